package rollout

import (
	"time"

	"dalehook/internal/logwriter"
	"dalehook/internal/record"
)

// closeStep registers on the control log that a step has ended. It is called
// again until that is done.
func (m *Machine) closeStep(now time.Time, s *step) {
	if s.closing || m.environment.StoreDown() {
		return
	}
	if _, open := m.environment.Control().Step(s.id); !open {
		if s.closedAt.IsZero() {
			s.closedAt = now // closed before, and read once more
		}
		return
	}
	s.closing = true
	body := record.StepClosed{Step: s.id, Lengths: s.lengths.summary()}
	m.writer.Append(now, record.ControlLog, body, func(now time.Time, result logwriter.Result) {
		if result.Outcome != logwriter.Done {
			s.closing = false
		}
	})
}

// retire closes a step that its trainer has read to the end, or does not read
// any more, and drops a closed one from memory after a while.
func (m *Machine) retire(now time.Time, s *step) {
	if s.closedAt.IsZero() {
		if s.acknowledged || m.forsaken(now, s) {
			m.closeStep(now, s)
		}
		return
	}
	idle := now.Sub(s.closedAt) >= m.limits.ClosedRetention && now.Sub(s.touchedAt) >= m.limits.ClosedRetention
	if idle && len(s.reads) == 0 && s.journal.empty() {
		m.forgetMirrors(s)
		m.drop(s)
		m.subscribe()
	}
}

// forsaken reports whether all samples are safe and nobody has read for long.
func (m *Machine) forsaken(now time.Time, s *step) bool {
	last := s.ownedAt
	if s.readAt.After(last) {
		last = s.readAt
	}
	return now.Sub(last) >= m.limits.IdleRetention && s.unfinished() == 0 && !s.unsettled()
}
