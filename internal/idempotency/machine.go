// Package idempotency lets the request of a key run at most once. Each key has a
// replica group of up to three nodes, one a zone. The node that has the call, the
// coordinator, gets a marker "started, attempt X" onto a majority of the group
// before the first byte leaves for a back end; every later request of the key
// finds it. Markers go over from view to view by sealing the older one, after the
// model of Vertical Paxos (Lamport, Malkhi, Zhou, 2009) and of the
// reconfiguration in Viewstamped Replication Revisited (Liskov, Cowling, 2012).
// docs/design/idempotency.md weighs the choices.
package idempotency

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// Defaults of the limits.
const (
	// DefaultLifetime is how long a marker is kept after its last change.
	DefaultLifetime = 10 * time.Minute

	defaultMostKeys   = 1 << 18
	defaultMostBytes  = 256 << 20
	defaultMostAnswer = 64 << 10
)

// Environment is what the machine reads from the rest of the node.
type Environment interface {
	// View returns the placement view in force, PreviousView the one published
	// directly before it; a number of zero means that there is none.
	View() cluster.View
	PreviousView() cluster.View
	// Alive reports whether membership takes a node for live.
	Alive(node cluster.NodeID) bool
}

// FirstViewer is an Environment that knows the number of the first view ever on the
// log, zero for none. Without it a group whose majority never saw the first view
// while it was in force counts as lost.
type FirstViewer interface {
	FirstView() uint64
}

// Options configure a Machine. Zero limits take defaults.
type Options struct {
	Self        cluster.Node
	Outbox      *machine.Outbox
	Environment Environment
	// Lifetime is how long a marker is kept after its last change.
	Lifetime time.Duration
	// MostKeys and MostBytes bound the markers that this node holds.
	MostKeys  int
	MostBytes int
	// MostAnswer bounds a recorded answer in bytes. Of a larger one only the
	// fact that it came is recorded.
	MostAnswer int

	ablation ablation
}

// ablation switches mechanisms off, for tests that show that they are needed.
type ablation struct {
	// noSeal lets a replica vote on in an older view after a transfer.
	noSeal bool
	// noFull lets a replica vote before it has taken over the markers.
	noFull bool
}

// Machine is one node's part: replica of the slots whose groups it is in, and
// coordinator of its own calls.
type Machine struct {
	options     Options
	replica     *replica
	coordinator *coordinator
	transport   *transport
}

// New returns a machine that holds nothing.
func New(options Options) *Machine {
	if options.Lifetime == 0 {
		options.Lifetime = DefaultLifetime
	}
	if options.MostKeys == 0 {
		options.MostKeys = defaultMostKeys
	}
	if options.MostBytes == 0 {
		options.MostBytes = defaultMostBytes
	}
	if options.MostAnswer == 0 {
		options.MostAnswer = defaultMostAnswer
	}
	transport := &transport{self: options.Self, outbox: options.Outbox}
	groups := &groupCache{}
	return &Machine{
		options:     options,
		transport:   transport,
		replica:     newReplica(options, transport, groups),
		coordinator: newCoordinator(options, transport, groups),
	}
}

// Lifetime returns how long a marker is kept after its last change.
func (m *Machine) Lifetime() time.Duration { return m.options.Lifetime }

// Begin asks for the right to run a key's request. An event follows: see TakeEvents.
func (m *Machine) Begin(now time.Time, request Request) {
	m.coordinator.begin(now, request)
	m.deliverLocal(now)
}

// Start must be called right before a granted request is sent, each time. It
// returns false when the right has lapsed; the call is then to be abandoned.
func (m *Machine) Start(now time.Time, call machine.CallID) bool {
	return m.coordinator.start(now, call)
}

// Unsent says that a started request surely did not run. It may be started again
// or abandoned.
func (m *Machine) Unsent(call machine.CallID) { m.coordinator.unsent(call) }

// Abandon gives up a call that was not sent and whose caller has gone. Other calls
// of the key go on.
func (m *Machine) Abandon(now time.Time, call machine.CallID) {
	m.coordinator.abandon(now, call)
	m.deliverLocal(now)
}

// Refuse gives up a call that was not sent and whose caller is told so. Calls of
// the key that wait for this one are refused as well: they must not run it after
// its caller was told that it did not run. Refuse reports whether the key's
// request surely did not run up to now: a majority of the replicas held no other's
// marker.
func (m *Machine) Refuse(now time.Time, call machine.CallID, failure machine.Failure) (notRun bool) {
	notRun = m.coordinator.refuseCall(now, call, failure)
	m.deliverLocal(now)
	return notRun
}

// Finish records what a started request has come to: its answer, or nil when
// none is known.
func (m *Machine) Finish(now time.Time, call machine.CallID, response *machine.Response) {
	m.coordinator.finish(now, call, response)
	m.deliverLocal(now)
}

// HandleMessage takes a peer's message. It reports whether it was one of this
// package's.
func (m *Machine) HandleMessage(now time.Time, message machine.PeerMessage) bool {
	taken := m.dispatch(now, message)
	m.deliverLocal(now)
	return taken
}

// dispatch passes a message to the part that it is for.
func (m *Machine) dispatch(now time.Time, message machine.PeerMessage) bool {
	from := sender{id: message.From, incarnation: message.FromIncarnation}
	switch body := message.Message.(type) {
	case Prepare:
		m.replica.handlePrepare(now, from, body)
	case Release:
		m.replica.handleRelease(now, body)
	case Record:
		m.replica.handleRecord(now, from, body)
	case TransferRequest:
		m.replica.handleTransferRequest(now, from, body)
	case TransferReply:
		m.replica.handleTransferReply(now, from, body)
	case FullQuery:
		m.replica.handleFullQuery(from, body)
	case FullReply:
		m.replica.handleFullReply(from, body)
	case PrepareReply:
		m.coordinator.handlePrepareReply(now, from, body)
	case RecordReply:
		m.coordinator.handleRecordReply(from, body)
	case Ask:
		m.coordinator.handleAsk(from, body)
	case AskReply:
		m.coordinator.handleAskReply(now, body)
	default:
		return false
	}
	return true
}

// HandleView takes a view that came into force; first says that it is the first
// one on the log, before which no key can have run.
func (m *Machine) HandleView(now time.Time, view cluster.View, first bool) {
	m.replica.handleView(now, view, first)
	m.coordinator.handleView(now)
	m.deliverLocal(now)
}

// Tick drives what depends on time.
func (m *Machine) Tick(now time.Time) {
	m.replica.tick(now)
	m.coordinator.tick(now)
	m.deliverLocal(now)
}

// Leave begins the planned stop: the node stays a replica until its slots'
// successors can vote.
func (m *Machine) Leave() { m.replica.leaving = true }

// Busy reports whether a planned stop must wait: for outcomes that are not
// recorded yet, or for slots whose successors can't vote yet.
func (m *Machine) Busy() bool {
	return m.coordinator.busy() || m.replica.leaving && !m.replica.handedOver()
}

// TakeEvents returns and forgets what has happened to calls.
func (m *Machine) TakeEvents() []Event { return m.coordinator.takeEvents() }

// Stats counts what the node holds and what its calls came to.
type Stats struct {
	// Keys and Bytes are what the node holds as a replica.
	Keys  int
	Bytes int
	// Slots counts the slots of the node's groups, Waiting those of them on which
	// it can't vote yet, Lost those whose markers are lost until they expire.
	Slots   int
	Waiting int
	Lost    int
	// Open counts the calls without an end.
	Open int
}

// Stats returns the counters.
func (m *Machine) Stats() Stats {
	stats := m.replica.stats()
	stats.Open = len(m.coordinator.operations)
	return stats
}

// deliverLocal passes on what this node has sent to itself.
func (m *Machine) deliverLocal(now time.Time) {
	for len(m.transport.local) > 0 {
		message := m.transport.local[0]
		m.transport.local = m.transport.local[1:]
		m.dispatch(now, machine.PeerMessage{
			From: m.options.Self.ID, FromIncarnation: m.options.Self.Incarnation, Message: message,
		})
	}
}

// sender is the process that a message comes from.
type sender struct {
	id          cluster.NodeID
	incarnation cluster.Incarnation
}

// transport sends to other nodes and keeps what a node sends to itself.
type transport struct {
	self   cluster.Node
	outbox *machine.Outbox
	local  []any
}

// send sends to a member of a view. A message to an earlier life of this node
// goes nowhere.
func (t *transport) send(to cluster.Node, message any) {
	if to.ID != t.self.ID {
		t.outbox.Add(machine.SendPeer{To: to.ID, Address: to.PeerAddress, Message: message})
		return
	}
	if to.Incarnation == t.self.Incarnation {
		t.local = append(t.local, message)
	}
}

// reply sends to the process that a message came from.
func (t *transport) reply(to sender, message any) {
	t.send(cluster.Node{ID: to.id, Incarnation: to.incarnation}, message)
}
