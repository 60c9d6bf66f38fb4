package scheduler

import (
	"testing"

	"dalehook/internal/directory"
)

// Guards against runs that stay at an engine whose incarnation is gone until they count as stalled, and against
// news of an earlier incarnation that end runs of the current one.
func TestRunsOfGoneEngineResumeElsewhere(t *testing.T) {
	f := newFixture(t, nil)
	f.listIncarnation("e", 1000, 1)
	f.submit("j", 1, 10, 10)
	f.event(f.starts[0].Attempt, "1", 1)
	f.machine.HandleGone(directory.Incarnation{ID: "e", Born: 500})
	f.take()
	if len(f.cancels) != 0 {
		t.Fatalf("news of an earlier incarnation cancelled %v", f.cancels)
	}
	f.machine.HandleGone(directory.Incarnation{ID: "e", Born: 1000})
	f.listIncarnation("f", 2000, 1)
	if len(f.cancels) != 2 {
		t.Fatalf("cancels %v, want both runs", f.cancels)
	}
	f.end(f.starts[0].Attempt, EndCancelled)
	f.end(f.starts[1].Attempt, EndGone)
	if len(f.starts) != 4 || f.starts[2].Server.ID != "f" || f.starts[2].After != "1" || f.starts[3].Server.ID != "f" {
		t.Errorf("starts %+v", f.starts)
	}
}
