package main

import (
	"fmt"
	"slices"
	"syscall"
	"testing"

	"dalehook/internal/machine"
)

// awaitTakenOver waits until a node other than the old owner has the step, or
// the step is at its end.
func (l *load) awaitTakenOver(old *clusterNode, step machine.StepStatus) {
	l.w.t.Helper()
	before := l.steps.Load()
	took := l.w.await("step "+step.Step+" to be taken over", func() error {
		for _, n := range l.w.others(old) {
			status, err := n.probe.Status(l.w.ctx)
			if err == nil && slices.ContainsFunc(status.Steps, func(s machine.StepStatus) bool { return s.Step == step.Step }) {
				return nil
			}
		}
		if l.steps.Load() > before {
			return nil
		}
		return fmt.Errorf("%s had it in epoch %d", old.id, step.Epoch)
	})
	l.w.t.Logf("step %s of %s was taken over, or at its end, after %v", step.Step, old.id, took)
}

func TestFailureOwnerKilled(t *testing.T) {
	t.Parallel()
	w := newWorld(t, worldOptions{})
	l := w.startLoad(false)
	owner, step := w.awaitOwner()
	w.kill(owner.process)
	l.awaitTakenOver(owner, step)
	l.awaitWork(1, 100)
	w.restart(owner)
	t.Logf("%s was ready again after %v", owner.id, w.awaitReady(owner))
	l.awaitWork(1, 100)
	l.check()
}

func TestFailureOwnerPaused(t *testing.T) {
	t.Parallel()
	w := newWorld(t, worldOptions{})
	l := w.startLoad(false)
	owner, step := w.awaitOwner()
	owner.signal(t, syscall.SIGSTOP)
	l.awaitTakenOver(owner, step)
	l.awaitWork(1, 100)
	owner.signal(t, syscall.SIGCONT)
	t.Logf("%s was ready again after %v", owner.id, w.awaitReady(owner))
	l.awaitWork(1, 100)
	w.await("the woken node to give up its step", func() error {
		status, err := owner.probe.Status(w.ctx)
		if err == nil && slices.ContainsFunc(status.Steps, func(s machine.StepStatus) bool { return s == step }) {
			err = fmt.Errorf("%s still has %+v", owner.id, step)
		}
		return err
	})
	l.check()
}
