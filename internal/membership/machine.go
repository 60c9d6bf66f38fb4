// Package membership is the cluster's own failure detection. Each node
// exchanges heartbeats with a few neighbours, which every node computes alike
// from the member list. A silent neighbour is probed directly and through
// others, then suspected, and dead when it does not refute in time. Facts on
// members and back ends are flooded over the same neighbours, and digests on the
// heartbeats show where a fact was lost.
//
// The ways weighed are in docs/design/membership.md. The scheme of incarnations,
// suspicion and refutation follows SWIM (Das, Gupta, Motivala, 2002).
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// Stats count what this node has decided, since its start.
type Stats struct {
	// Suspected counts own suspicions of neighbours that did not answer.
	Suspected int
	// Died counts members that this node saw die.
	Died int
	// Refuted counts suspicions of this node that it has refuted.
	Refuted int
	// Revived counts members that were dead here and came back in the same
	// incarnation: each was a false death, or the healing of a partition.
	Revived int
	// Syncs counts requests for missing facts.
	Syncs int
}

// Machine is the membership state of one node.
type Machine struct {
	options Options
	outbox  *machine.Outbox
	random  *rand.Rand
	now     time.Time
	started bool
	// joined is set when a member has answered with all that it knows.
	joined bool
	// learned is set when the running answer has brought something new.
	learned bool

	// sequence is the version of this node's own state.
	sequence   uint64
	state      State
	superseded bool

	members  *table[member]
	backends *table[BackendRumor]
	news     spreadQueue

	// overlay, list and live are caches that a change of a member clears.
	overlay *overlay
	list    []Member
	live    []cluster.Node
	// neighbours are the watched members as of the last tick, sorted by id.
	neighbours []*neighbour
	// suspects is set while a member may be suspected.
	suspects bool
	health   localHealth

	relays     []relay
	candidates []candidate

	nextHeartbeat time.Time
	nextSpread    time.Time
	nextSync      time.Time
	nextJoin      time.Time
	nextRetry     time.Time
	nextSweep     time.Time

	stats Stats
}

// member is the state of another node.
type member struct {
	node     cluster.Node
	sequence uint64
	state    State
	// suspectAt is when this node began to suspect the member.
	suspectAt time.Time
	// remindedAt is when the member was last told that it is not alive here.
	remindedAt time.Time
	// ownVerdict is set when this node found the member dead by its own timer.
	ownVerdict bool
}

// New returns a machine that knows only itself.
func New(options Options) *Machine {
	options = options.withDefaults()
	return &Machine{
		options:  options,
		outbox:   options.Outbox,
		random:   rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(string(options.Self.ID)))),
		members:  newTable[member](),
		backends: newTable[BackendRumor](),
	}
}

// Tick drives heartbeats, probes, time-outs and the spread of facts.
func (m *Machine) Tick(now time.Time) {
	m.advance(now)
	m.health.tick(m.now, m.options.PauseThreshold/lateTicksInPause)
	m.refreshOverlay()
	m.checkNeighbours()
	m.checkSuspects()
	m.sendHeartbeats()
	m.sendNews()
	m.seekMembers()
	m.sweep()
}

// HandleMessage takes a peer's message and reports whether it was a message of
// this package. Core passes it each message of a peer, since any message is a
// sign of life.
func (m *Machine) HandleMessage(now time.Time, in machine.PeerMessage) bool {
	m.advance(now)
	m.hear(in)
	switch message := in.Message.(type) {
	case heartbeat:
		m.handleHeartbeat(in.From, message)
	case facts:
		m.handleFacts(in.From, message)
	case syncRequest:
		m.answerSync(in.From, message)
	case join:
		m.handleJoin(in.From, message)
	case probe:
		m.handleProbe(in.From, message)
	case probeAnswer:
		m.handleProbeAnswer(message)
	default:
		return false
	}
	return true
}

// HandleMachines takes the platform's list. Its nodes are contacted; they become
// members only when they answer.
func (m *Machine) HandleMachines(now time.Time, machines []cluster.Machine) {
	m.advance(now)
	m.setCandidates(machines)
}

// Members returns every known member, this node and dead ones too, sorted by
// id. The slice is shared and must not be changed.
func (m *Machine) Members() []Member {
	if m.list == nil {
		m.list = m.buildList()
	}
	return m.list
}

// Live returns the members that are alive or merely suspected, this node too,
// sorted by id: those to place work on. The slice is shared and must not be
// changed.
func (m *Machine) Live() []cluster.Node {
	if m.live == nil {
		m.live = make([]cluster.Node, 0, len(m.Members()))
		for _, known := range m.Members() {
			if known.State == StateAlive || known.State == StateSuspect {
				m.live = append(m.live, known.Node)
			}
		}
	}
	return m.live
}

// Alive reports whether a member is known and not dead: alive, leaving or
// merely suspected. This node is alive to itself.
func (m *Machine) Alive(id cluster.NodeID) bool {
	if id == m.options.Self.ID {
		return true
	}
	known := m.members.find(string(id))
	return known != nil && known.fact.state != StateDead
}

// Find returns the member with the given id, dead ones too.
func (m *Machine) Find(id cluster.NodeID) (Member, bool) {
	if id == m.options.Self.ID {
		return m.self(), true
	}
	known := m.members.find(string(id))
	if known == nil {
		return Member{}, false
	}
	return Member{Node: known.fact.node, State: known.fact.state}, true
}

// Neighbours returns the members that this node exchanges heartbeats with, as of
// the last tick, sorted by id.
func (m *Machine) Neighbours() []cluster.Node {
	nodes := make([]cluster.Node, 0, len(m.neighbours))
	for _, n := range m.neighbours {
		nodes = append(nodes, n.node)
	}
	return nodes
}

// Leave announces that this node is about to stop. Calling it again does nothing.
func (m *Machine) Leave(now time.Time) {
	m.advance(now)
	if m.state == StateLeaving {
		return
	}
	m.state = StateLeaving
	m.sequence++
	m.invalidate()
	m.news.add(memberNews, string(m.options.Self.ID), m.options.Self.ID)
}

// SpreadBackend tells every node a fact about a back end, if it is newer than
// what this node knows. A fact of sequence zero is not flooded: other nodes know
// it from the same list, and digests find those that don't.
func (m *Machine) SpreadBackend(rumor BackendRumor) {
	if m.storeBackend(rumor, 0) && rumor.Sequence > 0 {
		m.news.add(backendNews, string(rumor.Machine.ID), m.options.Self.ID)
	}
}

// Superseded reports whether a newer incarnation of this node's id is known: a
// process that was replaced and still runs.
func (m *Machine) Superseded() bool { return m.superseded }

// Stats returns this node's counters.
func (m *Machine) Stats() Stats { return m.stats }

// advance moves the machine's time. A jump of it means that the process was
// paused: then nothing can be said about the silence of others, and all running
// time-outs get the lost time back.
func (m *Machine) advance(now time.Time) {
	if !m.started {
		m.start(now)
		return
	}
	gap := now.Sub(m.now)
	if gap <= 0 {
		return
	}
	m.now = now
	if gap >= m.options.PauseThreshold {
		m.forgivePause(gap)
	}
}

// start sets the first times; heartbeats of different nodes are spread evenly.
func (m *Machine) start(now time.Time) {
	m.started = true
	m.now = now
	m.nextHeartbeat = now.Add(m.jitter(m.options.HeartbeatInterval))
	m.nextRetry = now.Add(m.jitter(m.options.RetryInterval))
	m.nextSweep = now.Add(m.jitter(sweepInterval))
	m.nextSync = now
	m.nextJoin = now
	m.nextSpread = now
}

// forgivePause moves the beginnings of all running time-outs by the lost time.
func (m *Machine) forgivePause(gap time.Duration) {
	for _, n := range m.neighbours {
		n.heardAt = n.heardAt.Add(gap)
		if !n.probedAt.IsZero() {
			n.probedAt = n.probedAt.Add(gap)
		}
	}
	for _, known := range m.members.rows {
		if known.fact.state == StateSuspect {
			known.fact.suspectAt = known.fact.suspectAt.Add(gap)
		}
	}
}

// jitter returns a random part of a duration.
func (m *Machine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

// self returns this node as a member.
func (m *Machine) self() Member { return Member{Node: m.options.Self, State: m.state} }

// buildList merges this node into the sorted table.
func (m *Machine) buildList() []Member {
	list := make([]Member, 0, len(m.members.rows)+1)
	placed := false
	for _, known := range m.members.rows {
		if !placed && known.fact.node.ID > m.options.Self.ID {
			list = append(list, m.self())
			placed = true
		}
		list = append(list, Member{Node: known.fact.node, State: known.fact.state})
	}
	if !placed {
		list = append(list, m.self())
	}
	return list
}

// invalidate clears what was computed from the member list.
func (m *Machine) invalidate() {
	m.list = nil
	m.live = nil
}

// invalidateOverlay also clears the graph: the set of members that take part in
// it has changed.
func (m *Machine) invalidateOverlay() {
	m.invalidate()
	m.overlay = nil
}

// send leaves a message for a member.
func (m *Machine) send(to cluster.Node, message any) {
	m.outbox.Add(machine.SendPeer{To: to.ID, Address: to.PeerAddress, Message: message})
}

// reply leaves a message for a member by id; one without a known address gets
// none.
func (m *Machine) reply(to cluster.NodeID, message any) {
	known := m.members.find(string(to))
	if known == nil || known.fact.node.PeerAddress == "" {
		return
	}
	m.send(known.fact.node, message)
}
