package rollout

import (
	"testing"
	"time"
)

func TestStepRunsFromPostToLastRead(t *testing.T) {
	w := newWorld(t, 3, 2)
	w.run(100 * time.Millisecond)
	w.accept(w.nodes["n1"], body("step-1", 20, 40))
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	if len(r.samples) != 20 {
		t.Fatalf("%d samples delivered, want 20", len(r.samples))
	}
	r.readOnce(w.nodes["n2"], 0)
	w.run(time.Second)
	if open := w.nodes["n3"].control.Steps(); len(open) != 0 {
		t.Fatalf("steps are still open: %+v", open)
	}
	t.Logf("done after %v with %d appends", w.now.Sub(worldStart), w.appends)
}
