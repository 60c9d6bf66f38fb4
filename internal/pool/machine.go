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

	// groups holds the entries of each pool and service, sorted by id, and pools
	// the names of the pools of engines, sorted.
	groups map[string][]*entry
	pools  []string

	// members is the list that was last looked at, watchers the live nodes in it
	// that may watch, and subsets this node's share of each service.
	members  []membership.Member
	watchers []watcher
	// assigned is the list from which the back ends' watchers were last chosen.
	assigned []watcher
	subsets  map[string][]*entry
	// polled holds the entries that this node polls.
	polled []*entry
	stale  staleness
	// nextRefresh is the earliest time of the next choice of watchers.
	nextRefresh time.Time

	list      listReader
	nextSweep time.Time
}

// staleness says what is to be computed again.
type staleness struct {
	// watchers is set when the live nodes have changed, polled when entries were
	// added or removed or when this node's subscriptions have changed.
	watchers bool
	polled   bool
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
		groups:     map[string][]*entry{},
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
	at, _ := slices.BinarySearchFunc(m.entries, rumor.Machine.ID, compareID)
	m.assign(added, rumor)
	m.entries = slices.Insert(m.entries, at, added)
	m.index[rumor.Machine.ID] = added
	m.assignWatchers(added)
}

// regroup moves an entry from the group of one pool to that of another.
func (m *Machine) regroup(e *entry, from, to string) {
	if m.index[e.id()] == e && from == to {
		return
	}
	m.groups[from] = slices.DeleteFunc(m.groups[from], func(other *entry) bool { return other == e })
	at, _ := slices.BinarySearchFunc(m.groups[to], e.id(), compareID)
	m.groups[to] = slices.Insert(m.groups[to], at, e)
	m.known[to] = struct{}{}
}

// compareID orders entries by id.
func compareID(e *entry, id cluster.BackendID) int { return cmp.Compare(e.id(), id) }

// assign takes a newer fact. A new life starts without a past.
func (m *Machine) assign(e *entry, rumor membership.BackendRumor) {
	if rumor.Machine.Incarnation != e.rumor.Machine.Incarnation || rumor.Machine.Address != e.rumor.Machine.Address {
		e.report, e.reportAt, e.load = machine.BackendReport{}, time.Time{}, -1
		e.failures, e.avoidUntil, e.avoidFor = 0, time.Time{}, 0
		e.polledAt = time.Time{}
	}
	from := e.rumor.Machine.Pool
	e.rumor = rumor
	m.regroup(e, from, rumor.Machine.Pool)
	e.answers = 0
	e.inquiry = inquiry{}
	e.deadAt = time.Time{}
	if rumor.Machine.State == cluster.StateDead {
		e.deadAt = m.now
	}
	m.notePool(rumor.Machine)
	delete(m.subsets, rumor.Machine.Pool)
	e.nextPoll = m.nextDue(e)
	m.stale.polled = true
}

// notePool keeps the names of the pools of engines.
func (m *Machine) notePool(subject cluster.Machine) {
	if subject.Kind != cluster.KindEngine {
		return
	}
	if at, found := slices.BinarySearch(m.pools, subject.Pool); !found {
		m.pools = slices.Insert(m.pools, at, subject.Pool)
	}
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

// ObserveAnswer takes what a back end said of itself on an answer; a negative
// load means that it said nothing.
func (m *Machine) ObserveAnswer(now time.Time, backend cluster.BackendID, load int, leaving bool) {
	m.now = now
	e := m.index[backend]
	if e == nil {
		return
	}
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
	group := m.groups[pool]
	engines := make([]Backend, 0, len(group))
	for _, e := range group {
		if e.rumor.Machine.Kind == cluster.KindEngine {
			engines = append(engines, e.backend(m.now))
		}
	}
	return engines
}

// All returns every known back end, dead ones too, sorted by id.
func (m *Machine) All() []Backend {
	all := make([]Backend, 0, len(m.entries))
	for _, e := range m.entries {
		all = append(all, e.backend(m.now))
	}
	return all
}

// Known reports whether a back end of the pool or service was ever listed.
func (m *Machine) Known(name string) bool {
	_, known := m.known[name]
	return known
}

// Pools returns the names of the pools of engines ever listed, sorted. The slice
// is shared and must not be changed.
func (m *Machine) Pools() []string { return m.pools }

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
			m.forget(e)
		}
	}
	m.entries = slices.DeleteFunc(m.entries, gone)
}

// forget takes an entry out of all indexes but the sorted list.
func (m *Machine) forget(e *entry) {
	name := e.rumor.Machine.Pool
	delete(m.index, e.id())
	delete(m.subsets, name)
	m.groups[name] = slices.DeleteFunc(m.groups[name], func(other *entry) bool { return other == e })
	m.stale.polled = true
}
