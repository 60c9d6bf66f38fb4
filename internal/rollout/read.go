package rollout

import (
	"net/http"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// originRead is a trainer's read at the node that it called. The node passes it
// to the step's owner, again and again until it is answered.
type originRead struct {
	call      machine.CallID
	id        uint64
	step      string
	after     string
	version   cluster.Version
	startedAt time.Time
	// deadline is when the trainer expects an answer.
	deadline time.Time
	target   cluster.NodeID
	sentAt   time.Time
	// heardAt is when the owner last said that it holds the read.
	heardAt time.Time
	held    bool
	// moves counts how often the read went to another owner.
	moves int
}

// ownerHint is what this node was told of a step's holder.
type ownerHint struct {
	node        cluster.NodeID
	incarnation cluster.Incarnation
	epoch       record.Epoch
}

// hintAlive reports whether the holder that a hint names still lives, and, when it
// is this node, still holds the step.
func (m *Machine) hintAlive(id string, hint ownerHint) bool {
	if m.isSelf(hint.node) {
		s := m.steps[id]
		return s != nil && s.phase >= phaseClaiming
	}
	node, known := m.environment.Node(hint.node)
	return known && node.Incarnation == hint.incarnation && m.environment.Alive(hint.node)
}

// HandleRead takes a trainer's read.
func (m *Machine) HandleRead(now time.Time, in machine.ReadSamples) {
	m.observe(now)
	if _, err := decodeCursor(in.Step, in.After); err != nil {
		m.reply(in.Call, m.badCursor(in.Step, err.Error()))
		return
	}
	if len(m.reads) >= m.limits.MaxReads {
		failure := m.failure(http.StatusServiceUnavailable, machine.CodeOverloaded, in.Step, "too many reads are open at this node")
		failure.NotRun = true
		failure.RetryAfter = shortRetryAfter
		m.reply(in.Call, failure)
		return
	}
	wait := min(max(in.Wait, 0), m.limits.MaxWait)
	if m.leaving {
		wait = min(wait, m.limits.LeaveGrace)
	}
	m.readID++
	read := &originRead{
		call:      in.Call,
		id:        m.readID,
		step:      in.Step,
		after:     in.After,
		version:   in.Version,
		startedAt: now,
		deadline:  now.Add(wait),
		heardAt:   now,
	}
	m.reads = append(m.reads, read)
	m.route(now, read)
	m.movePending(now)
}

func (m *Machine) badCursor(step, message string) machine.Failure {
	failure := m.failure(http.StatusBadRequest, machine.CodeBadCursor, step, message)
	failure.Field = "after"
	failure.NotRun = true
	return failure
}

// route passes a read to the node that holds the step, as far as this node knows.
func (m *Machine) route(now time.Time, read *originRead) {
	target, ok := m.ownerOf(read.step)
	if !ok {
		m.endRead(read, m.ownerAway(read.step, ""))
		return
	}
	m.routeTo(now, read, target)
}

// ownerOf returns the live holder of a step, or else the node that is to take it.
func (m *Machine) ownerOf(step string) (cluster.NodeID, bool) {
	if hint, ok := m.hints.get(step); ok && m.hintAlive(step, hint) {
		return hint.node, true
	}
	node, ok := m.preferred(step)
	return node.ID, ok
}

func (m *Machine) routeTo(now time.Time, read *originRead, target cluster.NodeID) {
	read.target = target
	read.sentAt = now
	request := ReadRequest{
		ID:      read.id,
		Step:    read.step,
		After:   read.after,
		Wait:    max(read.deadline.Sub(now), 0),
		Version: read.version,
	}
	if m.isSelf(target) {
		m.handleReadRequest(now, m.self.ID, m.self.Incarnation, request)
		return
	}
	m.sendTo(target, request)
}

// ownerAway answers a read whose owner can't be reached.
func (m *Machine) ownerAway(step string, peer cluster.NodeID) machine.Failure {
	failure := m.failure(http.StatusServiceUnavailable, machine.CodeOwnerAway, step, "the step's owner can't be reached")
	if peer != "" {
		failure.Peer = string(peer)
	}
	failure.NotRun = true
	failure.RetryAfter = shortRetryAfter
	return failure
}

// tickReads sends open reads again and gives up those whose owner is away.
func (m *Machine) tickReads(now time.Time) {
	for _, read := range append([]*originRead(nil), m.reads...) {
		if m.isSelf(read.target) && m.holdsOwn(read) {
			continue // this node's own step answers it
		}
		owner, ok := m.ownerOf(read.step)
		switch {
		case ok && owner != read.target && !m.environment.Alive(read.target):
			m.routeTo(now, read, owner)
		case now.Sub(read.heardAt) >= m.limits.OwnerTimeout:
			m.endRead(read, m.ownerAway(read.step, read.target))
		case now.After(read.deadline.Add(m.limits.OwnerTimeout)):
			m.endRead(read, m.ownerAway(read.step, read.target))
		case read.held && now.Sub(read.sentAt) >= readPingInterval, !read.held && now.Sub(read.sentAt) >= resendInterval:
			m.routeTo(now, read, read.target)
		}
	}
}

// holdsOwn reports whether a step of this node holds a read of this node.
func (m *Machine) holdsOwn(read *originRead) bool {
	s := m.steps[read.step]
	if s == nil {
		return false
	}
	for _, held := range s.reads {
		if held.same(m.self.ID, m.self.Incarnation, read.id) {
			return true
		}
	}
	return false
}

// findRead returns an open read of this node.
func (m *Machine) findRead(id uint64) *originRead {
	for _, read := range m.reads {
		if read.id == id {
			return read
		}
	}
	return nil
}

// handleReadHeld notes that the owner holds a read.
func (m *Machine) handleReadHeld(now time.Time, from cluster.NodeID, in ReadHeld) {
	if read := m.findRead(in.ID); read != nil && read.target == from {
		read.held = true
		read.heardAt = now
	}
}

// maxReadMoves bounds how often a read follows one owner to the next at once;
// later moves wait for the next resend.
const maxReadMoves = 4

// handleReadAnswer ends a read, or sends it on to another owner.
func (m *Machine) handleReadAnswer(now time.Time, from cluster.NodeID, in ReadAnswer) {
	read := m.findRead(in.ID)
	if read == nil || read.target != from {
		return
	}
	switch {
	case in.MovedTo != "" && in.MovedTo != from:
		m.moveRead(now, read, in.MovedTo)
	case in.MovedTo != "":
		return
	case in.Failure != nil:
		m.endRead(read, *in.Failure)
	default:
		m.endRead(read, in.Read)
	}
}

// moveRead follows a read to another owner.
func (m *Machine) moveRead(now time.Time, read *originRead, target cluster.NodeID) {
	read.held = false
	read.moves++
	if read.moves > maxReadMoves {
		read.target = target
		read.sentAt = now
		return
	}
	m.routeTo(now, read, target)
}

// endRead answers the trainer.
func (m *Machine) endRead(read *originRead, body any) {
	if !m.removeRead(read) {
		return
	}
	m.reply(read.call, body)
}

func (m *Machine) removeRead(read *originRead) bool {
	for i, open := range m.reads {
		if open == read {
			m.reads = append(m.reads[:i], m.reads[i+1:]...)
			return true
		}
	}
	return false
}

// goneRead drops the read of a trainer that has gone.
func (m *Machine) goneRead(call machine.CallID) bool {
	for _, read := range m.reads {
		if read.call != call {
			continue
		}
		m.removeRead(read)
		m.cancelRead(read)
		return true
	}
	return false
}

// cancelRead tells the owner that nobody waits for a read any more.
func (m *Machine) cancelRead(read *originRead) {
	cancel := ReadCancel{ID: read.id, Step: read.step}
	if m.isSelf(read.target) {
		m.handleReadCancel(m.self.ID, cancel)
		return
	}
	m.sendTo(read.target, cancel)
}
