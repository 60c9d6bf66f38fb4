// Package lease claims duties that one node holds at a time. The claim's offset
// on the control log is the epoch and the fencing token: of several claims that
// supersede the same epoch the first on the log is valid. A node claims by its
// own failure detection, so taking over too early costs churn and never safety.
// The package does no I/O; see internal/machine for the contract.
package lease

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/logwriter"
	"dalehook/internal/placement"
	"dalehook/internal/record"
)

// Appender writes records to a log; *logwriter.Writer implements it.
type Appender interface {
	Append(now time.Time, log string, body any, done func(now time.Time, result logwriter.Result), options ...logwriter.AppendOption) record.ID
}

// Environment is what a Manager reads of the rest of the node.
type Environment interface {
	// Control returns the fold of the control log.
	Control() *record.Control
	// LiveNodes returns the nodes that this node's failure detection takes for
	// alive and not leaving, itself included unless it is leaving, sorted by id,
	// each in its newest life.
	LiveNodes() []cluster.Node
	// Leaving reports whether a node has announced a planned stop and still runs.
	Leaving(id cluster.NodeID) bool
	// StoreDown reports whether the platform's log cannot be reached.
	StoreDown() bool
	// LastContact is the last time at which a peer or the log was heard.
	LastContact() time.Time
	// CaughtUpAt is the last time at which the control fold was known to hold
	// everything on the log, by the log's own answer or by that of a peer which
	// reads the log.
	CaughtUpAt() time.Time
}

// Options configure a Manager.
type Options struct {
	// Self is this process.
	Self        cluster.Node
	Writer      Appender
	Environment Environment
	// Timing holds the times; zero fields take the defaults.
	Timing Timing
}

// Timing holds the times of a Manager.
type Timing struct {
	// Interval is the time between two looks at the wanted duties.
	Interval time.Duration
	// StartGrace is the time after the first Tick in which nothing is claimed,
	// so that a new node hears of the living before it takes a holder for dead.
	StartGrace time.Duration
	// FirstGrace replaces StartGrace for a duty that nobody ever claimed: there
	// is no holder to be taken for dead, and a new cluster waits for it.
	FirstGrace time.Duration
	// VacantWait is how long a duty must be without a live holder before the
	// first candidate claims it.
	VacantWait time.Duration
	// StandIn is the further wait of each next candidate.
	StandIn time.Duration
	// ClaimTimeout ends a claim whose fate is unknown; another one may follow.
	ClaimTimeout time.Duration
	// PauseLimit is the gap between two ticks from which on the process counts
	// as having been paused.
	PauseLimit time.Duration
	// ContactLimit is the time without a word from any peer or the log after
	// which this node is not sure of its leases.
	ContactLimit time.Duration
	// ContestLimit bounds the pause between the claims of two sides that hold
	// each other for dead.
	ContestLimit time.Duration
}

// The defaults of Timing.
const (
	DefaultInterval     = 250 * time.Millisecond
	DefaultStartGrace   = 2 * time.Second
	DefaultFirstGrace   = time.Second
	DefaultVacantWait   = 500 * time.Millisecond
	DefaultStandIn      = 2 * time.Second
	DefaultClaimTimeout = 10 * time.Second
	DefaultPauseLimit   = 2 * time.Second
	DefaultContactLimit = 10 * time.Second
	DefaultContestLimit = 2 * time.Minute
)

// contestWindow is the time after a claim in which another one counts as a
// contest, beyond twice the pause that was due before it.
const contestWindow = 30 * time.Second

func (t Timing) withDefaults() Timing {
	t.Interval = cmp.Or(t.Interval, DefaultInterval)
	t.StartGrace = cmp.Or(t.StartGrace, DefaultStartGrace)
	t.FirstGrace = cmp.Or(t.FirstGrace, DefaultFirstGrace)
	t.VacantWait = cmp.Or(t.VacantWait, DefaultVacantWait)
	t.StandIn = cmp.Or(t.StandIn, DefaultStandIn)
	t.ClaimTimeout = cmp.Or(t.ClaimTimeout, DefaultClaimTimeout)
	t.PauseLimit = cmp.Or(t.PauseLimit, DefaultPauseLimit)
	t.ContactLimit = cmp.Or(t.ContactLimit, DefaultContactLimit)
	t.ContestLimit = cmp.Or(t.ContestLimit, DefaultContestLimit)
	return t
}

// Manager claims the duties that its node wants and knows which it holds.
type Manager struct {
	self        cluster.Node
	writer      Appender
	environment Environment
	timing      Timing
	startedAt   time.Time
	lastTick    time.Time
	lookedAt    time.Time
	// unsureSince is set while this node is not sure of its leases.
	unsureSince time.Time
	// duties are the wanted duties, sorted by name.
	duties []*wantedDuty
}

// wantedDuty is what a Manager remembers of one duty.
type wantedDuty struct {
	name record.Duty
	// vacantEpoch and vacantSince say since when the lease of that epoch has no
	// live holder; vacantSince is zero while it has one.
	vacantEpoch record.Epoch
	vacantSince time.Time
	// claiming is set while a claim is on its way.
	claiming bool
	// The next claim waits until the fold has reached settleOffset, where the
	// last one stands, or until retryAt.
	settleOffset uint64
	retryAt      time.Time
	// contests counts the claims that followed each other closely, the last one
	// at claimedAt.
	contests  int
	claimedAt time.Time
}

// New returns a Manager that wants nothing.
func New(options Options) *Manager {
	return &Manager{
		self:        options.Self,
		writer:      options.Writer,
		environment: options.Environment,
		timing:      options.Timing.withDefaults(),
	}
}

// Want says whether this node is ready to hold a duty. A duty that is no longer
// wanted is not claimed again; one that is held stays held until another node
// claims it.
func (m *Manager) Want(duty record.Duty, wanted bool) {
	index, found := slices.BinarySearchFunc(m.duties, duty, func(d *wantedDuty, name record.Duty) int {
		return cmp.Compare(d.name, name)
	})
	switch {
	case wanted && !found:
		m.duties = slices.Insert(m.duties, index, &wantedDuty{name: duty})
	case !wanted && found:
		m.duties = slices.Delete(m.duties, index, index+1)
	}
}

// Holds reports whether this node surely holds a duty now, and under which
// epoch. Whatever is done for the duty carries the epoch, since a newer holder
// may exist all the same.
func (m *Manager) Holds(now time.Time, duty record.Duty) (record.Epoch, bool) {
	lease := m.environment.Control().Lease(duty)
	if !lease.HeldBy(m.self) || !m.sure(now) {
		return 0, false
	}
	return lease.Epoch, true
}

// sure reports whether this node has been running and connected without a break.
func (m *Manager) sure(now time.Time) bool {
	return m.unsureSince.IsZero() && !m.lastTick.IsZero() && now.Sub(m.lastTick) <= m.timing.PauseLimit
}

// Tick drives everything that depends on time. It watches for pauses each time,
// and looks at the duties once in an interval, since that goes over all nodes.
func (m *Manager) Tick(now time.Time) {
	m.checkSelf(now)
	if now.Sub(m.lookedAt) < m.timing.Interval {
		return
	}
	m.lookedAt = now
	live := m.environment.LiveNodes()
	for _, duty := range m.duties {
		m.observe(now, duty, live)
		if m.due(now, duty, live) {
			m.claim(now, duty)
		}
	}
}

// checkSelf looks for a pause of this process and for a loss of all contact.
func (m *Manager) checkSelf(now time.Time) {
	if m.startedAt.IsZero() {
		m.startedAt = now
	} else if now.Sub(m.lastTick) > m.timing.PauseLimit {
		m.unsureSince = now
	}
	m.lastTick = now
	if m.isolated(now) {
		m.unsureSince = now
	}
	if !m.unsureSince.IsZero() && m.assured() {
		m.unsureSince = time.Time{}
	}
}

// isolated reports whether neither a peer nor the log was heard for a while. A
// node that is alone in the view has nobody to hear from but the log.
func (m *Manager) isolated(now time.Time) bool {
	if m.environment.StoreDown() && !m.hasPeers() {
		return false
	}
	heard := m.environment.LastContact()
	if heard.Before(m.startedAt) {
		heard = m.startedAt
	}
	return now.Sub(heard) > m.timing.ContactLimit
}

func (m *Manager) hasPeers() bool {
	return slices.ContainsFunc(m.environment.Control().View().Members, func(node cluster.Node) bool {
		return node.ID != m.self.ID
	})
}

// assured reports whether this node has seen the log's end since it became
// unsure. While the store is down nobody can claim, so a word from any peer will
// do, and a node that is alone needs none.
func (m *Manager) assured() bool {
	if m.environment.CaughtUpAt().After(m.unsureSince) {
		return true
	}
	if !m.environment.StoreDown() {
		return false
	}
	return !m.hasPeers() || m.environment.LastContact().After(m.unsureSince)
}

// observe keeps track of how long a duty has had no live holder.
func (m *Manager) observe(now time.Time, duty *wantedDuty, live []cluster.Node) {
	lease := m.environment.Control().Lease(duty.name)
	switch {
	case hasLiveHolder(lease, live):
		duty.vacantSince = time.Time{}
	case duty.vacantSince.IsZero() || duty.vacantEpoch != lease.Epoch:
		duty.vacantEpoch = lease.Epoch
		duty.vacantSince = now
	}
}

// hasLiveHolder reports whether the very life of the node that claimed a duty is
// alive and not leaving.
func hasLiveHolder(lease record.Lease, live []cluster.Node) bool {
	if lease.Epoch == 0 {
		return false
	}
	return slices.ContainsFunc(live, func(node cluster.Node) bool {
		return node.ID == lease.Holder && node.Incarnation <= lease.Incarnation
	})
}

// due reports whether it is this node's turn to claim a duty.
func (m *Manager) due(now time.Time, duty *wantedDuty, live []cluster.Node) bool {
	switch {
	case duty.vacantSince.IsZero(), duty.claiming, m.isSettling(now, duty):
		return false
	case m.environment.StoreDown(), !m.sure(now):
		return false
	}
	rank, candidate := m.rank(duty.name, live)
	if !candidate {
		return false
	}
	wait := m.timing.VacantWait + time.Duration(rank)*m.timing.StandIn + m.contestPause(duty)
	return now.Sub(m.countedSince(duty)) >= wait
}

// contestPause is the further wait for a duty that changes hands time after time.
// Two sides of a partition that both reach the log hold each other's holder for
// dead, and would claim in turn for as long as the partition lasts.
func (m *Manager) contestPause(duty *wantedDuty) time.Duration {
	if duty.contests == 0 {
		return 0
	}
	pause := m.timing.VacantWait
	for range duty.contests {
		pause = min(2*pause, m.timing.ContestLimit)
	}
	return pause
}

// observeClaim counts contests. What a node reads of the past, because it has
// just started or the log was down, is none.
func (m *Manager) observeClaim(now time.Time, duty *wantedDuty) {
	window := contestWindow + 2*m.contestPause(duty)
	follows := !duty.claimedAt.IsZero() && now.Sub(duty.claimedAt) < window
	if !follows {
		duty.contests = 0
	} else if now.Sub(m.environment.CaughtUpAt()) < contestWindow {
		duty.contests++
	}
	duty.claimedAt = now
}

// countedSince is the time from which on a duty's vacancy counts: not before this
// node has had time to hear of the living.
func (m *Manager) countedSince(duty *wantedDuty) time.Time {
	grace := m.timing.StartGrace
	if duty.vacantEpoch == 0 {
		grace = m.timing.FirstGrace
	}
	if heard := m.startedAt.Add(grace); duty.vacantSince.Before(heard) {
		return heard
	}
	return duty.vacantSince
}

// rank returns this node's place among the candidates for a duty, by rendezvous
// hashing, so that nodes with the same members agree on it without a word. It is
// no candidate while it is not live itself.
func (m *Manager) rank(duty record.Duty, live []cluster.Node) (rank int, candidate bool) {
	own := placement.Score(string(m.self.ID), string(duty))
	for _, node := range live {
		if node.ID == m.self.ID {
			candidate = true
			continue
		}
		score := placement.Score(string(node.ID), string(duty))
		if score > own || score == own && node.ID < m.self.ID {
			rank++
		}
	}
	return rank, candidate
}

func (m *Manager) claim(now time.Time, duty *wantedDuty) {
	duty.claiming = true
	body := record.LeaseClaimed{
		Duty:        duty.name,
		Holder:      m.self.ID,
		Incarnation: m.self.Incarnation,
		Supersedes:  duty.vacantEpoch,
	}
	done := func(now time.Time, result logwriter.Result) { m.claimed(now, duty, result) }
	m.writer.Append(now, record.ControlLog, body, done,
		logwriter.ReportNotDone(), logwriter.GiveUpAfter(m.timing.ClaimTimeout))
}

// claimed takes the end of a claim's append. Whether the claim is valid is for the
// fold to say, which may be seconds behind the log.
func (m *Manager) claimed(now time.Time, duty *wantedDuty, result logwriter.Result) {
	duty.claiming = false
	if result.Outcome == logwriter.Done {
		duty.settleOffset = result.Offset
		duty.retryAt = now.Add(m.timing.ClaimTimeout)
		return
	}
	duty.settleOffset = math.MaxUint64
	duty.retryAt = now.Add(m.timing.VacantWait)
}

// isSettling reports whether the fold may not show the last claim yet.
func (m *Manager) isSettling(now time.Time, duty *wantedDuty) bool {
	return now.Before(duty.retryAt) && m.environment.Control().Offset() < duty.settleOffset
}

// HandleChange takes what an entry of the control log changed. A claim by
// another node ends the wait for a stand-in at once.
func (m *Manager) HandleChange(now time.Time, entry record.Entry, change record.Change) {
	claimed, ok := entry.Record.Body.(record.LeaseClaimed)
	if !ok || !change.Valid {
		return
	}
	for _, duty := range m.duties {
		if duty.name == claimed.Duty {
			duty.vacantSince = time.Time{}
			m.observeClaim(now, duty)
		}
	}
}
