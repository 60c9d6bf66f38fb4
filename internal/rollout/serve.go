package rollout

import (
	"net/http"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/routing"
)

// heldRead is a trainer's read at the step's owner.
type heldRead struct {
	origin      cluster.NodeID
	incarnation cluster.Incarnation
	request     ReadRequest
	arrivedAt   time.Time
	deadline    time.Time
	// blockedSince is when the read began to wait for results that are finished
	// and not safe.
	blockedSince time.Time
}

// same reports whether a request is a copy of the read.
func (r *heldRead) same(origin cluster.NodeID, incarnation cluster.Incarnation, id uint64) bool {
	return r.origin == origin && r.incarnation == incarnation && r.request.ID == id
}

// handleReadRequest takes a read as the step's owner, or as the node that is to
// become it.
func (m *Machine) handleReadRequest(now time.Time, origin cluster.NodeID, incarnation cluster.Incarnation, request ReadRequest) {
	s := m.find(now, request.Step)
	m.acknowledge(origin, request.ID)
	for _, read := range s.reads {
		if read.same(origin, incarnation, request.ID) {
			m.serveReads(now, s)
			return
		}
		if read.origin == origin && read.incarnation == incarnation && read.request.ID > request.ID {
			m.answerRead(origin, request.ID, m.superseded(request))
			return // a late copy of an older read
		}
	}
	m.supersede(s)
	s.reads = append(s.reads, &heldRead{
		origin:      origin,
		incarnation: incarnation,
		request:     request,
		arrivedAt:   now,
		deadline:    now.Add(request.Wait),
	})
	m.advance(now, s)
}

// acknowledge tells the origin that its read has arrived.
func (m *Machine) acknowledge(origin cluster.NodeID, id uint64) {
	if !m.isSelf(origin) {
		m.sendTo(origin, ReadHeld{ID: id})
	}
}

// supersede ends the open reads of a step: only the newest one is answered.
func (m *Machine) supersede(s *step) {
	open := s.reads
	s.reads = nil
	for _, read := range open {
		m.answerRead(read.origin, read.request.ID, m.superseded(read.request))
	}
}

// superseded answers a read empty, with the cursor that it came with.
func (m *Machine) superseded(request ReadRequest) ReadAnswer {
	return ReadAnswer{ID: request.ID, Read: emptyRead(request.Step, request.After)}
}

// emptyRead is an answer without samples.
func emptyRead(step, after string) machine.SamplesRead {
	cursor := after
	if cursor == "" {
		cursor = encodeCursor(step, sampleSet{})
	}
	return machine.SamplesRead{Samples: []machine.SampleView{}, Cursor: cursor}
}

// answerRead sends an answer to the node that the trainer called.
func (m *Machine) answerRead(origin cluster.NodeID, id uint64, answer ReadAnswer) {
	answer.ID = id
	if !m.isSelf(origin) {
		m.sendTo(origin, answer)
		return
	}
	read := m.findRead(id)
	if read == nil {
		return
	}
	switch {
	case answer.MovedTo != "":
		m.pendingMoves = append(m.pendingMoves, pendingMove{read: read, target: answer.MovedTo})
	case answer.Failure != nil:
		m.endRead(read, *answer.Failure)
	default:
		m.endRead(read, answer.Read)
	}
}

// pendingMove is a local read that has to go to another owner. It is sent on at
// the end of the input, so that two nodes never call each other without end.
type pendingMove struct {
	read   *originRead
	target cluster.NodeID
}

// movePending sends on the reads that lost their owner here.
func (m *Machine) movePending(now time.Time) {
	moves := m.pendingMoves
	m.pendingMoves = nil
	for _, move := range moves {
		move.read.heardAt = now
		m.moveRead(now, move.read, move.target)
	}
}

// handleReadCancel drops a held read.
func (m *Machine) handleReadCancel(origin cluster.NodeID, in ReadCancel) {
	s := m.steps[in.Step]
	if s == nil {
		return
	}
	for i, read := range s.reads {
		if read.origin == origin && read.request.ID == in.ID {
			s.reads = append(s.reads[:i], s.reads[i+1:]...)
			return
		}
	}
}

// serveReads answers the held reads that can be answered now.
func (m *Machine) serveReads(now time.Time, s *step) {
	for _, read := range append([]*heldRead(nil), s.reads...) {
		answer, ready := m.serve(now, s, read)
		if !ready {
			continue
		}
		for i, held := range s.reads {
			if held == read {
				s.reads = append(s.reads[:i], s.reads[i+1:]...)
				break
			}
		}
		m.answerRead(read.origin, read.request.ID, answer)
	}
}

// serve returns the answer to one read, once there is one.
func (m *Machine) serve(now time.Time, s *step, read *heldRead) (ReadAnswer, bool) {
	late := now.Sub(read.arrivedAt) >= m.limits.OwnerTimeout
	switch s.phase {
	case phaseOwning:
		return m.serveOwned(now, s, read)
	case phaseAbsent:
		if m.posts[s.id] != nil {
			return ReadAnswer{}, false
		}
		failure := m.failure(http.StatusNotFound, machine.CodeUnknownStep, s.id, "no such step")
		failure.Field = "step"
		failure.NotRun = true
		return ReadAnswer{Failure: &failure}, true
	case phaseFollowing:
		if owner, ok := m.ownerOf(s.id); ok && !m.isSelf(owner) {
			return ReadAnswer{MovedTo: owner}, true
		}
	}
	if !late {
		return ReadAnswer{}, false
	}
	failure := m.unavailable(s)
	return ReadAnswer{Failure: &failure}, true
}

// unavailable says why a step can't be read from here now.
func (m *Machine) unavailable(s *step) machine.Failure {
	failure := m.ownerAway(s.id, m.self.ID)
	switch {
	case s.phase == phaseRecovering:
		failure.Code = machine.CodeNoQuorum
		failure.Message = "too few replicas of the step's last owner answer"
	case m.environment.StoreDown():
		failure.Message = "the step's owner is gone and the log can't be reached"
		failure.RetryAfter = storeRetryAfter
	}
	return failure
}

// serveOwned answers a read of a step that this node holds.
func (m *Machine) serveOwned(now time.Time, s *step, read *heldRead) (ReadAnswer, bool) {
	set, err := decodeCursor(s.id, read.request.After)
	if err != nil || !set.within(len(s.samples)) {
		failure := m.badCursor(s.id, "the cursor names samples that the step has not")
		return ReadAnswer{Failure: &failure}, true
	}
	s.readAt = now
	if set.covers(len(s.samples)) {
		s.acknowledged = true
		m.closeStep(now, s)
		answer := emptyRead(s.id, read.request.After)
		answer.Done = true
		return ReadAnswer{Read: answer}, true
	}
	if !s.sure {
		return m.whileUnsure(now, s, read)
	}
	answer := m.handOver(now, s, set, read)
	if len(answer.Samples) > 0 {
		return ReadAnswer{Read: answer}, true
	}
	return m.waitOn(now, s, read, answer)
}

// whileUnsure holds a read until the node knows again that the step is its own.
func (m *Machine) whileUnsure(now time.Time, s *step, read *heldRead) (ReadAnswer, bool) {
	m.readLog(now, s, 0)
	if now.Sub(s.unsureSince) < m.limits.OwnerTimeout || now.Sub(read.arrivedAt) < m.limits.OwnerTimeout {
		return ReadAnswer{}, false
	}
	failure := m.ownerAway(s.id, m.self.ID)
	failure.Code = machine.CodeNoQuorum
	failure.Message = "the log can't be reached and too few replicas answer"
	return ReadAnswer{Failure: &failure}, true
}

// waitOn holds an empty answer back until the read's time is up.
func (m *Machine) waitOn(now time.Time, s *step, read *heldRead, answer machine.SamplesRead) (ReadAnswer, bool) {
	if !m.environment.StoreDown() || !s.unsettled() {
		read.blockedSince = time.Time{}
	} else if read.blockedSince.IsZero() {
		read.blockedSince = now
	} else if now.Sub(read.blockedSince) >= m.limits.OwnerTimeout {
		failure := m.ownerAway(s.id, m.self.ID)
		failure.Code = machine.CodeNoQuorum
		failure.Message = "results are finished, but the log can't be reached and too few replicas have them"
		return ReadAnswer{Failure: &failure}, true
	}
	if now.Before(read.deadline) {
		return ReadAnswer{}, false
	}
	return ReadAnswer{Read: answer}, true
}

// handOver collects what the trainer does not have. A result over the staleness
// bound is taken back and run again instead.
func (m *Machine) handOver(now time.Time, s *step, set sampleSet, read *heldRead) machine.SamplesRead {
	s.named = max(s.named, read.request.Version)
	newest := m.newest(s)
	answer := machine.SamplesRead{Samples: []machine.SampleView{}}
	var over []AttemptRef
	bytes := 0
	for _, p := range s.samples {
		full := len(answer.Samples) >= m.limits.MaxAnswerSamples || bytes >= m.limits.MaxAnswerBytes
		if full {
			break
		}
		if set.has(p.index) || p.revoking || p.state < sampleCommitted {
			continue
		}
		if p.state == sampleCommitted && routing.TooOld(p.result.Oldest(), newest, s.bound()) {
			p.revoking = true
			over = append(over, AttemptRef{Sample: p.index, Attempt: p.result.Attempt})
			continue
		}
		set = set.with(p.index)
		view := s.view(p, set)
		bytes += len(view.Text)
		answer.Samples = append(answer.Samples, view)
	}
	if len(over) > 0 {
		m.write(now, s, MirrorEntry{Revoked: over, Newest: newest})
	}
	answer.Cursor = encodeCursor(s.id, set)
	answer.Done = set.covers(len(s.samples))
	return answer
}

// view returns a sample as the trainer reads it; set is what the trainer has
// with it.
func (s *step) view(p *sample, set sampleSet) machine.SampleView {
	view := machine.SampleView{
		ID:     s.body.Samples[p.index].ID,
		Cursor: encodeCursor(s.id, set),
	}
	if p.state == sampleFailed {
		failure := p.failure
		view.Error = &failure
		return view
	}
	view.Attempt = p.result.Attempt
	view.Text = p.result.Text
	view.Versions = p.result.Segments
	return view
}
