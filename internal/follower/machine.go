// Package follower keeps a node's fold of the control log up to date. A few
// nodes of each zone read the log; the others get new entries from their
// neighbours at once, and offsets on a slow heartbeat show who missed some. A
// node that starts takes the state from its peers.
//
// The fold only moves forward: an entry or a snapshot at or below the offset in
// force changes nothing.
package follower

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/membership"
	"dalehook/internal/record"
)

// Options configure a Machine.
type Options struct {
	// Self is this process.
	Self cluster.Node
	// Outbox takes reads and messages.
	Outbox *machine.Outbox
	// Control is the fold to start from; nil for an empty one.
	Control *record.Control
	// OnEntry is called for each entry after it was applied; nil for none.
	OnEntry func(now time.Time, entry record.Entry, change record.Change)
	// OnRestore is called when a snapshot has replaced the fold; nil for none.
	OnRestore func(now time.Time, control *record.Control)
	// Members returns the known members, sorted by id.
	Members func() []membership.Member
	// Neighbours returns the members to exchange entries with.
	Neighbours func() []cluster.Node
	// Seed feeds the random choices.
	Seed uint64
}

const (
	// offerInterval is the time between two offers; each goes to the next
	// neighbour in turn.
	offerInterval = time.Second
	// electInterval is the time between two looks at who reads the log.
	electInterval = 500 * time.Millisecond
	// eagerBytes is the size up to which new entries are pushed unasked; larger
	// ones are offered, so that each node receives them once.
	eagerBytes = 1 << 10
	// pullTimeout is how long a pull may stay unanswered before another peer is
	// asked.
	pullTimeout = 500 * time.Millisecond
)

// Machine follows the control log for one node.
type Machine struct {
	options Options
	outbox  *machine.Outbox
	random  *rand.Rand
	now     time.Time
	control *record.Control
	history history

	start    startPhase
	reader   reader
	pulling  pulling
	download download
	serving  serving
	statuses statuses

	nextOffer time.Time
	offerTurn int
	// caughtUpAt is the last time at which the fold held the whole log.
	caughtUpAt time.Time
}

// pulling is the running request for entries or a snapshot.
type pulling struct {
	from   cluster.NodeID
	sentAt time.Time
	// target is the highest offset that a peer has offered, and source who did.
	target uint64
	source cluster.NodeID
}

// New returns a machine that is not ready.
func New(options Options) *Machine {
	if options.Control == nil {
		options.Control = record.NewControl()
	}
	return &Machine{
		options: options,
		outbox:  options.Outbox,
		random:  rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(string(options.Self.ID)))),
		control: options.Control,
	}
}

// Tick drives reads, pulls and time-outs.
func (m *Machine) Tick(now time.Time) {
	m.now = now
	m.tickStart()
	m.elect()
	m.tickReader()
	m.tickPull()
	m.tickOffer()
	m.tickStatuses()
	m.serving.expire(now)
}

// HandleMessage takes a peer's message and reports whether it was a message of
// this package.
func (m *Machine) HandleMessage(now time.Time, in machine.PeerMessage) bool {
	m.now = now
	switch message := in.Message.(type) {
	case offer:
		m.handleOffer(in.From, message)
	case ask:
		m.sendTo(in.From, m.offer())
	case push:
		m.handlePush(in.From, message)
	case pull:
		m.handlePull(in.From, message)
	case pieceRequest:
		m.handlePieceRequest(in.From, message)
	case piece:
		m.handlePiece(in.From, message)
	case logStatus:
		m.handleStatus(in.From, message)
	default:
		return false
	}
	return true
}

// Ready reports whether the fold is fit to serve from: it has caught up with
// ready peers, or with the end of the log. Once set it stays set.
func (m *Machine) Ready() bool { return m.start.ready }

// CaughtUpAt returns the last time at which the fold is known to have held
// everything on the log: by the log's own answer, or by that of a peer which
// knows. It is zero when that was never so.
func (m *Machine) CaughtUpAt() time.Time { return m.caughtUpAt }

// Control returns the fold in force; a restore replaces it.
func (m *Machine) Control() *record.Control { return m.control }

// apply folds entries in order, tells core, and passes the new ones on. It
// returns false when entries before the first one are missing.
func (m *Machine) apply(entries []record.Entry, source cluster.NodeID) bool {
	first := m.control.Offset() + 1
	for _, entry := range entries {
		if entry.Offset <= m.control.Offset() {
			continue
		}
		if entry.Offset > m.control.Offset()+1 {
			m.spread(first, source)
			return false
		}
		change := m.control.Apply(entry)
		m.history.add(entry)
		if m.options.OnEntry != nil {
			m.options.OnEntry(m.now, entry, change)
		}
	}
	m.spread(first, source)
	return true
}

// spread tells the neighbours of the entries from first on: small ones in full,
// others by offset.
func (m *Machine) spread(first uint64, source cluster.NodeID) {
	if m.control.Offset() < first {
		return
	}
	var message any = m.offer()
	if entries, size := m.newEntries(first); size <= eagerBytes {
		message = push{Entries: entries, Offset: m.control.Offset()}
	}
	for _, neighbour := range m.options.Neighbours() {
		if neighbour.ID != source {
			m.send(neighbour, message)
		}
	}
}

// newEntries returns the entries from first on with their size in bytes; a size
// over eagerBytes when not all are at hand.
func (m *Machine) newEntries(first uint64) ([]record.Entry, int) {
	entries, complete := m.history.from(first)
	if !complete || uint64(len(entries)) != m.control.Offset()-first+1 {
		return nil, eagerBytes + 1
	}
	size := 0
	for _, known := range m.history.entries[len(m.history.entries)-len(entries):] {
		size += known.size
	}
	return entries, size
}

// offer returns this node's offset.
func (m *Machine) offer() offer {
	made := offer{Offset: m.control.Offset(), Ready: m.start.ready}
	if !m.caughtUpAt.IsZero() {
		made.FreshMillis = 1 + uint64(max(0, m.now.Sub(m.caughtUpAt).Milliseconds()))
	}
	return made
}

// tickOffer sends the heartbeat of offsets to one neighbour.
func (m *Machine) tickOffer() {
	if m.now.Before(m.nextOffer) {
		return
	}
	first := m.nextOffer.IsZero()
	m.nextOffer = m.now.Add(offerInterval)
	if first {
		m.nextOffer = m.now.Add(time.Duration(m.random.Int64N(int64(offerInterval))))
		return
	}
	neighbours := m.options.Neighbours()
	if len(neighbours) == 0 {
		return
	}
	m.offerTurn++
	question := m.offer()
	question.AskedMillis = m.now.UnixMilli()
	m.send(neighbours[m.offerTurn%len(neighbours)], question)
}

// handleOffer pulls from a peer that is ahead, and lets one that is behind know.
func (m *Machine) handleOffer(from cluster.NodeID, in offer) {
	m.start.take(from, in)
	if m.pulling.from == from && in.Offset <= m.control.Offset() {
		// The peer has nothing that this node lacks; whoever has offers it again.
		m.endPull()
		m.pulling.target = m.control.Offset()
	}
	switch {
	case in.AskedMillis != 0:
		answer := m.offer()
		answer.EchoMillis = in.AskedMillis
		m.sendTo(from, answer)
	case in.Offset < m.control.Offset():
		m.sendTo(from, m.offer())
	}
	if in.Offset > m.control.Offset() {
		m.want(from, in.Offset)
		return
	}
	m.takeFreshness(in)
}

// takeFreshness learns from an answer how recently this fold held the whole log:
// the peer held all of it at some time before it answered, and this fold holds
// all that the peer has.
func (m *Machine) takeFreshness(in offer) {
	if in.EchoMillis == 0 || in.FreshMillis == 0 {
		return
	}
	at := time.UnixMilli(in.EchoMillis).Add(-time.Duration(in.FreshMillis-1) * time.Millisecond)
	if at.After(m.caughtUpAt) && !at.After(m.now) {
		m.caughtUpAt = at
	}
}

// want notes that a peer is ahead and pulls unless a pull is running.
func (m *Machine) want(from cluster.NodeID, offset uint64) {
	if offset >= m.pulling.target {
		m.pulling.target, m.pulling.source = offset, from
	}
	if m.pulling.from == "" {
		m.pull(from)
	}
}

// pull asks a peer for what comes next.
func (m *Machine) pull(from cluster.NodeID) {
	m.pulling.from = from
	m.pulling.sentAt = m.now
	m.sendTo(from, pull{From: m.control.Offset() + 1})
}

// tickPull asks another peer when a pull was not answered.
func (m *Machine) tickPull() {
	if m.pulling.from == "" || m.now.Sub(m.pulling.sentAt) < pullTimeout {
		return
	}
	unanswered := m.pulling.from
	m.endPull()
	if m.control.Offset() >= m.pulling.target {
		return
	}
	if m.pulling.source != unanswered && m.alive(m.pulling.source) {
		m.pull(m.pulling.source)
		return
	}
	neighbours := m.options.Neighbours()
	if len(neighbours) > 0 {
		m.pull(neighbours[m.random.IntN(len(neighbours))].ID)
	}
}

// endPull forgets the running pull and what it has brought of a snapshot.
func (m *Machine) endPull() {
	m.pulling.from = ""
	m.download = download{}
}

// handlePush applies entries; what is missing before or after them is pulled.
func (m *Machine) handlePush(from cluster.NodeID, in push) {
	if m.pulling.from == from {
		m.endPull()
	}
	contiguous := m.apply(in.Entries, from)
	if !contiguous || in.Offset > m.control.Offset() {
		m.want(from, in.Offset)
		return
	}
	if m.control.Offset() < m.pulling.target && m.pulling.from == "" {
		m.pull(m.pulling.source)
	}
}

// handlePull sends entries, or the first piece of a snapshot to a peer for which
// the history does not reach back far enough.
func (m *Machine) handlePull(from cluster.NodeID, in pull) {
	if in.From > m.control.Offset() {
		m.sendTo(from, m.offer())
		return
	}
	entries, complete := m.history.from(in.From)
	if !complete {
		m.sendPiece(from, m.control.Offset(), 0)
		return
	}
	m.sendTo(from, push{Entries: entries, Offset: m.control.Offset()})
}

// send leaves a message for a node.
func (m *Machine) send(to cluster.Node, message any) {
	m.outbox.Add(machine.SendPeer{To: to.ID, Address: to.PeerAddress, Message: message})
}

// sendTo leaves a message for a member by id; an unknown one gets none.
func (m *Machine) sendTo(id cluster.NodeID, message any) {
	if to, known := m.member(id); known {
		m.send(to.Node, message)
	}
}
