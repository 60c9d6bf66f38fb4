package rollout

import (
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// StepSettled tells every node whether a step that its sender holds needs engines
// at present. A step stays open until its trainer has acknowledged the last
// sample, which may be long after it needs any; the limit of its class is then
// for the others.
type StepSettled struct {
	Step  string
	Epoch record.Epoch
	// Settled is cleared again when a sample of the step was revoked.
	Settled bool
	// Lengths tell the owner of the trainer's next step how long samples are. The
	// record that closes the step tells the same, and may come much later.
	Lengths []record.GroupLength
}

func init() {
	machine.RegisterMessage("rollout.step_settled", StepSettled{})
}

// settledSteps are the open steps that need no engine by their owners' word.
type settledSteps map[string]record.Epoch

// take notes what an owner says. An owner before the last one is not believed.
func (s settledSteps) take(said StepSettled) {
	if said.Epoch < s[said.Step] {
		return
	}
	if !said.Settled {
		delete(s, said.Step)
		return
	}
	s[said.Step] = said.Epoch
}

// keepOpen forgets the steps that are not open.
func (s settledSteps) keepOpen(control *record.Control) {
	for id := range s {
		if _, open := control.Step(id); !open {
			delete(s, id)
		}
	}
}

// tellSettled tells the other nodes when the step begins or ceases to need
// engines.
func (m *Machine) tellSettled(s *step) {
	settled := s.unfinished() == 0
	if settled == s.toldSettled {
		return
	}
	s.toldSettled = settled
	said := StepSettled{Step: s.id, Epoch: s.epoch, Settled: settled, Lengths: s.lengths.summary()}
	m.learned.take(m.opened[s.id].trainer, said.Lengths)
	for _, node := range m.environment.LiveNodes() {
		if !m.isSelf(node.ID) {
			m.sendTo(node.ID, said)
		}
	}
}

// handleSettled takes an owner's word of its step.
func (m *Machine) handleSettled(said StepSettled) {
	if _, open := m.environment.Control().Step(said.Step); open {
		m.settled.take(said)
		m.learned.take(m.opened[said.Step].trainer, said.Lengths)
	}
}

// needsEngines reports whether an open step has samples to run, as far as this
// node knows. A step that it knows nothing of counts.
func (m *Machine) needsEngines(id string) bool {
	if s := m.steps[id]; s != nil && s.phase == phaseOwning {
		return s.unfinished() > 0
	}
	_, settled := m.settled[id]
	return !settled
}

// classRoom returns how many more samples of the step may run by the limit of
// its class. The steps of the class that need engines have equal shares.
func (m *Machine) classRoom(s *step) int {
	limit := m.environment.ClassLimit(className(s.demand))
	if limit <= 0 {
		return len(s.samples)
	}
	sharing := 0
	control := m.environment.Control()
	for _, open := range control.Steps() {
		demand, ok := demandOf(control, record.StepBody{Event: open.Event, Trainer: open.Trainer})
		if ok && className(demand) == className(s.demand) && m.needsEngines(open.Step) {
			sharing++
		}
	}
	share := max(limit/max(sharing, 1), 1)
	for _, p := range s.samples {
		if p.state == sampleRunning {
			share--
		}
	}
	return share
}

// className returns the class under which a trainer's samples are limited.
func className(demand record.RolloutDemand) string {
	if demand.Class != "" {
		return demand.Class
	}
	return demand.Trainer
}
