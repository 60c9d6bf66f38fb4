package rollout

import (
	"slices"
	"time"
)

// A planned stop hands each step over to the node on which placement would put
// it. The journal is emptied first, so that no result is lost on the way; the
// successor claims the step and goes back to the engines, which stream the
// running attempts again. Reads that are held here follow the step; those that
// trainers made here end empty after a short time, and are made again elsewhere.

// handoverInterval is the time after which an unanswered handover is sent again.
const handoverInterval = time.Second

// Leave begins a planned stop.
func (m *Machine) Leave(now time.Time) {
	m.observe(now)
	if m.leaving {
		return
	}
	m.leaving = true
	m.leaveAt = now
}

// Busy reports whether a planned stop still has something to finish here.
func (m *Machine) Busy() bool {
	if len(m.reads) > 0 || len(m.posts) > 0 {
		return true
	}
	if m.replicaStore.bytes > 0 && m.environment.StoreDown() {
		return true // the only copy of a result may be here
	}
	for _, s := range m.all() {
		if len(s.reads) > 0 || s.phase >= phaseClaiming && m.needed(s) && m.hasSuccessor(s) {
			return true
		}
	}
	return false
}

// hasSuccessor reports whether another node can take the step over, now or once
// the log is back. The last node of a cluster leaves its steps on the log.
func (m *Machine) hasSuccessor(s *step) bool {
	successor, ok := m.preferred(s.id)
	return !s.journal.empty() || ok && !m.isSelf(successor.ID)
}

// tickLeave hands steps over.
func (m *Machine) tickLeave(now time.Time) {
	if !m.leaving {
		return
	}
	for _, s := range m.all() {
		if s.phase == phaseOwning {
			m.handOverStep(now, s)
		}
	}
	if now.Sub(m.leaveAt) < m.limits.LeaveGrace {
		return
	}
	for _, read := range slices.Clone(m.reads) {
		if now.Sub(read.startedAt) >= m.limits.LeaveGrace {
			m.cancelRead(read)
			m.endRead(read, emptyRead(read.step, read.after))
		}
	}
}

// handOverStep asks the successor to take a step. It waits for the last samples
// when they are nearly done, and for the journal.
func (m *Machine) handOverStep(now time.Time, s *step) {
	successor, ok := m.preferred(s.id)
	if !ok || m.isSelf(successor.ID) || m.environment.StoreDown() {
		s.handing = false
		return
	}
	if now.Sub(m.leaveAt) < m.limits.LeaveGrace && s.nearlyDone(m.limits.LeaveGrace) {
		return
	}
	s.handing = true
	if !s.journal.empty() || now.Sub(s.handedAt) < handoverInterval {
		return
	}
	m.flushPlacements(now, s)
	s.handedAt = now
	m.sendTo(successor.ID, StepHandover{
		Step:     s.id,
		Epoch:    s.epoch,
		Finished: s.finished,
		Failed:   s.failed,
		Progress: s.movedProgress(),
	})
}

// nearlyDone reports whether all samples that run are expected to end in time.
func (s *step) nearlyDone(within time.Duration) bool {
	running := false
	for _, p := range s.samples {
		if p.ended() {
			continue
		}
		speed := p.speed
		if p.state != sampleRunning || speed == 0 {
			return false
		}
		remaining := time.Duration(float64(s.work(p).Expected) / speed * float64(time.Second))
		if remaining > within {
			return false
		}
		running = true
	}
	return running
}

// movedProgress returns what only this node has of running attempts.
func (s *step) movedProgress() []SampleProgress {
	var progress []SampleProgress
	for _, p := range s.samples {
		if p.ended() || p.carried == 0 || len(p.segments) == 0 {
			continue
		}
		progress = append(progress, SampleProgress{
			Sample:   p.index,
			Attempt:  p.attempt,
			Engine:   p.engine,
			Text:     p.text.String(),
			Segments: slices.Clone(p.segments),
		})
	}
	return progress
}

// progress returns the handed-over progress of a sample's attempt.
func (h *StepHandover) progress(p *sample) (SampleProgress, bool) {
	if h == nil {
		return SampleProgress{}, false
	}
	for _, progress := range h.Progress {
		if progress.Sample == p.index && progress.Attempt == p.attempt && len(progress.Segments) > 0 {
			return progress, true
		}
	}
	return SampleProgress{}, false
}

// handleHandover takes a leaving holder's request to take its step over.
func (m *Machine) handleHandover(now time.Time, in StepHandover) {
	if m.leaving {
		return
	}
	s := m.find(now, in.Step)
	if s.phase >= phaseClaiming {
		return
	}
	s.handover = &in
	s.read.caughtUp = false
	m.advance(now, s)
}

// takeFinished takes the results that the last holder had and could not write.
func (m *Machine) takeFinished(s *step) {
	if s.handover == nil {
		return
	}
	for _, result := range s.handover.Finished {
		p := s.samples[result.Sample]
		if !p.ended() && result.Attempt >= p.attempt {
			p.clear()
			p.state = sampleJournaled
			s.finished = append(s.finished, result)
		}
	}
	for _, failure := range s.handover.Failed {
		if p := s.samples[failure.Sample]; !p.ended() {
			p.state = sampleJournaled
			s.failed = append(s.failed, failure)
		}
	}
}
