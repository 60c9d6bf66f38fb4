package rollout

import (
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// TailRunning tells the director of a pool which engines run the last samples of
// a step, so that their weights are swapped last: a swap stops them and is of no
// use to samples that have begun.
type TailRunning struct {
	Step    string
	Engines []cluster.BackendID
}

func init() {
	machine.RegisterMessage("rollout.tail_running", TailRunning{})
}

const (
	// tailShare is the part of a pool's engines, as its inverse, that the samples
	// left of a step may occupy to count as its last ones. The rest of the pool
	// takes new versions meanwhile.
	tailShare = 3
	// maxTailEngines bounds one message.
	maxTailEngines = 16
	// tailInterval is the time between two messages of one step, tailLifetime the
	// time for which one holds.
	tailInterval = 2 * time.Second
	tailLifetime = 2*tailInterval + time.Second
)

// tailNote is what an owner last said of its step.
type tailNote struct {
	engines []cluster.BackendID
	until   time.Time
}

// tailEngines returns the engines that run a step's last samples, sorted, or
// nothing while too many samples are left.
func tailEngines(samples []*sample, pool int) []cluster.BackendID {
	var engines []cluster.BackendID
	left := 0
	for _, p := range samples {
		if p.ended() {
			continue
		}
		left++
		if left > maxTailEngines || left*tailShare > pool {
			return nil
		}
		if p.state == sampleRunning {
			engines = append(engines, p.engine)
		}
	}
	slices.Sort(engines)
	return slices.Compact(engines)
}

// tellTail tells the pool's director of the engines that run the step's tail.
func (m *Machine) tellTail(now time.Time, s *step) {
	if now.Sub(s.tailAt) < tailInterval {
		return
	}
	engines := tailEngines(s.samples, len(m.environment.Engines(s.demand.Pool)))
	if len(engines) == 0 {
		return
	}
	s.tailAt = now
	said := TailRunning{Step: s.id, Engines: engines}
	director := m.environment.Control().Lease(record.DutyPool(s.demand.Pool)).Holder
	switch {
	case m.isSelf(director):
		m.handleTail(now, said)
	case director != "":
		m.sendTo(director, said)
	}
}

// handleTail notes what an owner says.
func (m *Machine) handleTail(now time.Time, said TailRunning) {
	for step, note := range m.tails {
		if now.After(note.until) {
			delete(m.tails, step)
		}
	}
	m.tails[said.Step] = tailNote{engines: said.Engines, until: now.Add(tailLifetime)}
}

// RunsTail reports whether an engine runs the last samples of a step, as far as
// the owners have told this node.
func (m *Machine) RunsTail(now time.Time, engine cluster.BackendID) bool {
	for _, note := range m.tails {
		if !now.After(note.until) && slices.Contains(note.engines, engine) {
			return true
		}
	}
	return false
}
