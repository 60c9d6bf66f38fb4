package pool

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// Subscribe turns polling of all engines of a pool on or off. Engines whose
// report is old are polled at once, so that a subscriber knows the whole pool
// after one round trip.
func (m *Machine) Subscribe(pool string, on bool) {
	if _, subscribed := m.subscribed[pool]; subscribed == on {
		return
	}
	if on {
		m.subscribed[pool] = struct{}{}
	} else {
		delete(m.subscribed, pool)
	}
	m.stale.polled = true
	if on {
		m.pollStale(pool)
	}
}

// pollStale polls engines of a pool whose report is not recent. A large pool is
// polled in part, which begins at a place of this node's own.
func (m *Machine) pollStale(pool string) {
	group := m.groups[pool]
	if len(group) == 0 {
		return
	}
	first := int(xxhash.Sum64String(string(m.options.Self.ID)) % uint64(len(group)))
	asked := 0
	for i := range group {
		e := group[(first+i)%len(group)]
		recent := !e.reportAt.IsZero() && m.now.Sub(e.reportAt) < recentAnswer
		if recent || !m.subscribes(e) {
			continue
		}
		if asked++; asked > subscribedBurst {
			return
		}
		m.poll(e)
	}
}

// Refresh polls a back end at once, such as after an order to load a version.
func (m *Machine) Refresh(now time.Time, id cluster.BackendID) {
	m.now = now
	if e := m.index[id]; e != nil {
		m.poll(e)
	}
}

// subscribes reports whether this node polls a back end as a subscriber.
func (m *Machine) subscribes(e *entry) bool {
	_, subscribed := m.subscribed[e.rumor.Machine.Pool]
	return subscribed && e.rumor.Machine.Kind == cluster.KindEngine && e.state() != cluster.StateDead
}

// interval returns the time between two polls of a back end by this node.
func (m *Machine) interval(e *entry) time.Duration {
	shortest := time.Duration(0)
	if e.rank >= 0 && e.rank < pollingWatchers {
		shortest = watchInterval
		if e.state() == cluster.StateDead && e.answers == 0 {
			shortest = deadInterval
		}
	}
	if m.subscribes(e) {
		subscribed := max(subscribedInterval, time.Duration(len(m.polled))*time.Second/subscribedRate)
		if e.report.Loading != 0 {
			subscribed = loadingInterval
		}
		if shortest == 0 || subscribed < shortest {
			shortest = subscribed
		}
	}
	return shortest
}

// nextDue returns the next time at which a back end is to be polled. The times
// of its watchers lie evenly apart when their clocks agree.
func (m *Machine) nextDue(e *entry) time.Time {
	interval := m.interval(e)
	if interval == 0 {
		return time.Time{}
	}
	phase := time.Duration(e.hash%uint64(interval)) + time.Duration(max(0, e.rank))*interval/pollingWatchers
	since := time.Duration(m.now.UnixNano()) - phase
	return m.now.Add(interval - since%interval)
}

// tickEntry polls a back end when it is due, counts a poll that was not answered
// in time, and closes an inquiry that is over.
func (m *Machine) tickEntry(e *entry) {
	if !e.polledAt.IsZero() && m.now.Sub(e.polledAt) >= pollTimeout {
		m.fail(e)
	}
	m.decide(e)
	if e.nextPoll.IsZero() || m.now.Before(e.nextPoll) {
		return
	}
	m.poll(e)
}

// poll asks a back end for its report, unless a poll is running.
func (m *Machine) poll(e *entry) {
	e.nextPoll = m.nextDue(e)
	if !e.polledAt.IsZero() {
		return
	}
	e.polledAt = m.now
	if !slices.Contains(m.polled, e) {
		m.polled = append(m.polled, e)
	}
	subject := e.rumor.Machine
	m.outbox.Add(machine.PollBackend{Backend: subject.ID, Kind: subject.Kind, Address: subject.Address})
}

// HandleReport takes the answer to a poll.
func (m *Machine) HandleReport(now time.Time, report machine.BackendReport) {
	m.now = now
	e := m.index[report.Backend]
	if e == nil {
		return
	}
	if report.Err != "" {
		if !e.polledAt.IsZero() {
			m.fail(e)
		}
		return
	}
	e.polledAt = time.Time{}
	e.report, e.reportAt = report, now
	e.load = report.Running + report.Waiting
	e.failures = 0
	e.answers++
	e.avoidUntil, e.avoidFor = time.Time{}, 0
	e.inquiry = inquiry{}
	m.answerAskers(e, true)
	m.judgeAnswer(e)
}
