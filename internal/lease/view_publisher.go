package lease

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/logwriter"
	"dalehook/internal/record"
)

// ViewOptions configure a ViewPublisher.
type ViewOptions struct {
	Writer      Appender
	Environment Environment
	// Leases is asked whether this node holds record.DutyView.
	Leases *Manager
	// Timing holds the times; zero fields take the defaults.
	Timing ViewTiming
}

// ViewTiming holds the times of a ViewPublisher.
type ViewTiming struct {
	// Interval is the time between two looks at the live nodes.
	Interval time.Duration
	// Settle is how long the live nodes must stay the same before they are
	// published, so that several changes make one view.
	Settle time.Duration
	// SettleLimit publishes although the live nodes keep changing.
	SettleLimit time.Duration
	// MinInterval is the shortest time between two views.
	MinInterval time.Duration
	// IntervalPerMember is added to the shortest time for each member: every
	// node receives each view, and its bytes grow with the members.
	IntervalPerMember time.Duration
	// MassLossWait replaces Settle when more than a third of the view's members
	// are missing and have announced no planned stop: a cut network is more
	// likely then than that many deaths.
	MassLossWait time.Duration
	// PublishTimeout ends an append whose fate is unknown.
	PublishTimeout time.Duration
}

// The defaults of ViewTiming. A view of 340 members has 25 KB as gob (measured);
// one each 23.4 s is 1.1 KB/s, and only while members keep changing.
const (
	DefaultSettle            = 2 * time.Second
	DefaultSettleLimit       = 10 * time.Second
	DefaultMinInterval       = 3 * time.Second
	DefaultIntervalPerMember = 60 * time.Millisecond
	DefaultMassLossWait      = 20 * time.Second
	DefaultPublishTimeout    = 10 * time.Second
)

// massLossDivisor is the part of the members whose absence is a mass loss.
const massLossDivisor = 3

func (t ViewTiming) withDefaults() ViewTiming {
	t.Interval = cmp.Or(t.Interval, DefaultInterval)
	t.Settle = cmp.Or(t.Settle, DefaultSettle)
	t.SettleLimit = cmp.Or(t.SettleLimit, DefaultSettleLimit)
	t.MinInterval = cmp.Or(t.MinInterval, DefaultMinInterval)
	t.IntervalPerMember = cmp.Or(t.IntervalPerMember, DefaultIntervalPerMember)
	t.MassLossWait = cmp.Or(t.MassLossWait, DefaultMassLossWait)
	t.PublishTimeout = cmp.Or(t.PublishTimeout, DefaultPublishTimeout)
	return t
}

// ViewPublisher publishes the placement view while its node holds the duty.
type ViewPublisher struct {
	writer      Appender
	environment Environment
	leases      *Manager
	timing      ViewTiming
	// candidate is the last seen set of live nodes; it is unchanged since
	// candidateSince and differs from the view since differsSince.
	candidate      []cluster.Node
	candidateSince time.Time
	differsSince   time.Time
	publishedAt    time.Time
	lookedAt       time.Time
	publishing     bool
	// settleOffset is where the last view stands on the log; the next one waits
	// until the fold shows it.
	settleOffset uint64
}

// NewViewPublisher returns a ViewPublisher. The caller makes the Manager want
// record.DutyView.
func NewViewPublisher(options ViewOptions) *ViewPublisher {
	return &ViewPublisher{
		writer:      options.Writer,
		environment: options.Environment,
		leases:      options.Leases,
		timing:      options.Timing.withDefaults(),
	}
}

// Tick publishes a view when the live nodes differ from the view in force and
// have settled. While the store is down the view stands still.
func (p *ViewPublisher) Tick(now time.Time) {
	if now.Sub(p.lookedAt) < p.timing.Interval {
		return
	}
	p.lookedAt = now
	view := p.environment.Control().View()
	p.observe(now, view)
	epoch, holds := p.leases.Holds(now, record.DutyView)
	if holds && !p.environment.StoreDown() && p.due(now, view) {
		p.publish(now, epoch)
	}
}

// observe keeps track of the live nodes and of how long they differ from the
// view. It does so on each node, so that a new holder need not begin to wait.
func (p *ViewPublisher) observe(now time.Time, view cluster.View) {
	live := p.environment.LiveNodes()
	if p.candidate == nil || !slices.Equal(live, p.candidate) {
		p.candidate = slices.Clone(live)
		p.candidateSince = now
	}
	switch {
	case slices.Equal(p.candidate, view.Members):
		p.differsSince = time.Time{}
	case p.differsSince.IsZero():
		p.differsSince = now
	}
}

func (p *ViewPublisher) due(now time.Time, view cluster.View) bool {
	if p.publishing || p.isSettling(now) || p.differsSince.IsZero() || len(p.candidate) == 0 {
		return false
	}
	interval := p.timing.MinInterval + time.Duration(len(p.candidate))*p.timing.IntervalPerMember
	if !p.publishedAt.IsZero() && now.Sub(p.publishedAt) < interval {
		return false
	}
	if p.isMassLoss(view) {
		return now.Sub(p.candidateSince) >= p.timing.MassLossWait
	}
	settled := now.Sub(p.candidateSince) >= p.timing.Settle
	return settled || now.Sub(p.differsSince) >= p.timing.SettleLimit
}

// isMassLoss reports whether more than a third of the view's members are neither
// live nor leaving: those that leave have said so themselves.
func (p *ViewPublisher) isMassLoss(view cluster.View) bool {
	lost := 0
	for _, member := range view.Members {
		_, alive := slices.BinarySearchFunc(p.candidate, member.ID, func(node cluster.Node, id cluster.NodeID) int {
			return cmp.Compare(node.ID, id)
		})
		if !alive && !p.environment.Leaving(member.ID) {
			lost++
		}
	}
	return lost*massLossDivisor > len(view.Members)
}

func (p *ViewPublisher) publish(now time.Time, epoch record.Epoch) {
	p.publishing = true
	p.publishedAt = now
	body := record.ViewPublished{Epoch: epoch, Members: slices.Clone(p.candidate)}
	done := func(_ time.Time, result logwriter.Result) { p.published(result) }
	p.writer.Append(now, record.ControlLog, body, done,
		logwriter.ReportNotDone(), logwriter.GiveUpAfter(p.timing.PublishTimeout))
}

// published takes the end of a view's append.
func (p *ViewPublisher) published(result logwriter.Result) {
	p.publishing = false
	switch result.Outcome {
	case logwriter.Done:
		p.settleOffset = result.Offset
	case logwriter.Unknown:
		p.settleOffset = math.MaxUint64
	default:
		p.settleOffset = 0
	}
}

// isSettling reports whether the fold may not show the last view yet.
func (p *ViewPublisher) isSettling(now time.Time) bool {
	return p.environment.Control().Offset() < p.settleOffset && now.Sub(p.publishedAt) < 2*p.timing.PublishTimeout
}
