package rollout

import (
	"testing"
	"time"

	"dalehook/internal/record"
)

func TestSettledSteps(t *testing.T) {
	said := func(epoch int, settled bool) StepSettled {
		return StepSettled{Step: "s", Epoch: 3 + record.Epoch(epoch), Settled: settled}
	}
	cases := []struct {
		name string
		said []StepSettled
		want bool
	}{
		{"nothing said", nil, false},
		{"settled", []StepSettled{said(0, true)}, true},
		{"a sample was revoked", []StepSettled{said(0, true), said(0, false)}, false},
		{"an earlier owner says otherwise", []StepSettled{said(1, true), said(0, false)}, true},
		{"a later owner says otherwise", []StepSettled{said(0, true), said(1, false)}, false},
	}
	for _, c := range cases {
		settled := settledSteps{}
		for _, message := range c.said {
			settled.take(message)
		}
		if _, got := settled["s"]; got != c.want {
			t.Errorf("%s: settled %v, want %v", c.name, got, c.want)
		}
	}
}

// TestFinishedStepLeavesItsShare covers a trainer that never acknowledges the end
// of a step: the step stays open, and counted against the limit of its class.
func TestFinishedStepLeavesItsShare(t *testing.T) {
	w := newWorld(t, 3, 3)
	w.run(time.Second)
	w.accept(w.nodes["n1"], body("one", 4, 10))
	w.runUntil(20*time.Second, "all nodes know that the step needs no engine", func() bool {
		for _, n := range w.sorted() {
			if n.machine.needsEngines("one") {
				return false
			}
		}
		return true
	})
	if _, open := w.nodes["n1"].control.Step("one"); !open {
		t.Error("the step is closed")
	}
}
