// Package pool is what one node knows of back ends: model engines and service
// servers, their state and their load. Two or three nodes watch each back end;
// what they find travels as facts through the membership's messages and is in
// force everywhere before the platform's list knows it.
package pool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/membership"
)

// Machine is one node's knowledge of back ends.
type Machine struct {
	options Options
	outbox  *machine.Outbox
	random  *rand.Rand
	now     time.Time

	// entries are sorted by id.
	entries []*entry
	index   map[cluster.BackendID]*entry
	// known holds the names of all pools and services ever listed.
	known      map[string]struct{}
	subscribed map[string]struct{}

	// members is the list that the watchers were computed from, polled the
	// entries that this node polls, and subsets its share of each service. stale
	// is set when they are to be computed again.
	members []membership.Member
	polled  []*entry
	subsets map[string][]*entry
	stale   bool

	list      listReader
	nextSweep time.Time
}

// New returns a machine that knows no back end.
func New(options Options) *Machine {
	return &Machine{
		options:    options,
		outbox:     options.Outbox,
		random:     rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(string(options.Self.ID)))),
		index:      map[cluster.BackendID]*entry{},
		known:      map[string]struct{}{},
		subscribed: map[string]struct{}{},
		subsets:    map[string][]*entry{},
	}
}

// Tick polls back ends and asks for the machine list.
func (m *Machine) Tick(now time.Time) {
	m.now = now
	m.refresh()
	for _, e := range m.polled {
		m.tickEntry(e)
	}
	m.tickList()
	m.sweep()
}

// HandleMessage takes a peer's message and reports whether it was a message of
// this package.
func (m *Machine) HandleMessage(now time.Time, in machine.PeerMessage) bool {
	m.now = now
	switch message := in.Message.(type) {
	case doubt:
		m.handleDoubt(in.From, message)
	case vote:
		m.handleVote(message)
	default:
		return false
	}
	return true
}

// HandleRumor takes a fact that other nodes spread.
func (m *Machine) HandleRumor(now time.Time, rumor membership.BackendRumor) {
	m.now = now
	known := m.index[rumor.Machine.ID]
	if known == nil {
		m.insert(rumor)
		return
	}
	if rumor.Newer(known.rumor) {
		m.assign(known, rumor)
		m.doubtVerdict(known)
	}
}

// doubtVerdict polls a back end at once that others call dead though this node,
// as one of its watchers, has just had an answer.
func (m *Machine) doubtVerdict(e *entry) {
	if !e.watched() || e.state() != cluster.StateDead || m.now.Sub(e.reportAt) >= recentAnswer {
		return
	}
	e.answers = 1
	m.poll(e)
}

// insert adds a back end, unless the table is full.
func (m *Machine) insert(rumor membership.BackendRumor) {
	if len(m.entries) >= maxBackends || rumor.Machine.Kind == cluster.KindNode {
		return
	}
	added := &entry{hash: xxhash.Sum64String(string(rumor.Machine.ID)), load: -1, rank: -1}
	at, _ := slices.BinarySearchFunc(m.entries, rumor.Machine.ID, func(e *entry, id cluster.BackendID) int {
		return cmp.Compare(e.id(), id)
	})
	m.entries = slices.Insert(m.entries, at, added)
	m.index[rumor.Machine.ID] = added
	m.known[rumor.Machine.Pool] = struct{}{}
	m.assign(added, rumor)
}

// assign takes a newer fact. A new life starts without a past.
func (m *Machine) assign(e *entry, rumor membership.BackendRumor) {
	if rumor.Machine.Incarnation != e.rumor.Machine.Incarnation || rumor.Machine.Address != e.rumor.Machine.Address {
		e.report, e.reportAt, e.load = machine.BackendReport{}, time.Time{}, -1
		e.failures, e.avoidUntil, e.avoidFor = 0, time.Time{}, 0
		e.polledAt = time.Time{}
	}
	e.rumor = rumor
	e.answers = 0
	e.inquiry = inquiry{}
	e.deadAt = time.Time{}
	if rumor.Machine.State == cluster.StateDead {
		e.deadAt = m.now
	}
	m.stale = true
}

// publish changes a back end's state and tells every node.
func (m *Machine) publish(e *entry, change func(rumor *membership.BackendRumor)) {
	rumor := e.rumor
	rumor.Sequence++
	change(&rumor)
	m.assign(e, rumor)
	m.options.SpreadBackend(rumor)
}

// setState publishes a state that this node has seen for itself. Once the
// platform has said that a machine is leaving, it stays so for this life.
func (m *Machine) setState(e *entry, state cluster.MachineState) {
	if e.rumor.Listed && state == cluster.StateLive {
		state = cluster.StateLeaving
	}
	m.publish(e, func(rumor *membership.BackendRumor) { rumor.Machine.State = state })
}

// ObserveStart counts a request that this node sends to a back end; the matching
// ObserveAnswer or ObserveFailure ends it.
func (m *Machine) ObserveStart(backend cluster.BackendID) {
	if e := m.index[backend]; e != nil {
		e.inFlight++
	}
}

// ObserveAnswer takes what a back end said of itself on an answer; a negative
// load means that it said nothing.
func (m *Machine) ObserveAnswer(now time.Time, backend cluster.BackendID, load int, leaving bool) {
	m.now = now
	e := m.index[backend]
	if e == nil {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	e.avoidUntil, e.avoidFor = time.Time{}, 0
	if load >= 0 {
		e.load = load
	}
	if leaving && e.state() == cluster.StateLive {
		m.setState(e, cluster.StateLeaving)
	}
}

// ObserveFailure takes a request that failed on its way to a back end: this node
// avoids it for a while, and its watchers poll it at once.
func (m *Machine) ObserveFailure(now time.Time, backend cluster.BackendID, _ string) {
	m.now = now
	e := m.index[backend]
	if e == nil {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	m.avoid(e)
	m.alarm(e)
}

// avoid keeps this node's new work away from a back end, longer each time.
func (m *Machine) avoid(e *entry) {
	e.avoidFor = min(max(2*e.avoidFor, avoidFirst), avoidLongest)
	e.avoidUntil = m.now.Add(e.avoidFor)
}

// Engines returns the known engines of a pool, sorted by id.
func (m *Machine) Engines(pool string) []Backend {
	return m.collect(func(e *entry) bool {
		return e.rumor.Machine.Kind == cluster.KindEngine && e.rumor.Machine.Pool == pool
	})
}

// All returns every known back end, dead ones too, sorted by id.
func (m *Machine) All() []Backend {
	return m.collect(func(*entry) bool { return true })
}

// collect returns the back ends that match.
func (m *Machine) collect(match func(e *entry) bool) []Backend {
	var found []Backend
	for _, e := range m.entries {
		if match(e) {
			found = append(found, e.backend(m.now))
		}
	}
	return found
}

// Known reports whether a back end of the pool or service was ever listed.
func (m *Machine) Known(name string) bool {
	_, known := m.known[name]
	return known
}

// Pools returns the names of the pools of engines, sorted.
func (m *Machine) Pools() []string {
	var names []string
	for _, e := range m.entries {
		if e.rumor.Machine.Kind == cluster.KindEngine {
			names = append(names, e.rumor.Machine.Pool)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Find returns one back end.
func (m *Machine) Find(id cluster.BackendID) (Backend, bool) {
	e := m.index[id]
	if e == nil {
		return Backend{}, false
	}
	return e.backend(m.now), true
}

// sweep forgets back ends that have been dead for long.
func (m *Machine) sweep() {
	if m.now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = m.now.Add(sweepInterval)
	gone := func(e *entry) bool { return !e.deadAt.IsZero() && m.now.Sub(e.deadAt) >= forgetAfter }
	for _, e := range m.entries {
		if gone(e) {
			delete(m.index, e.id())
			m.stale = true
		}
	}
	m.entries = slices.DeleteFunc(m.entries, gone)
}
