package rollout

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestGoldenTrace compares everything that the nodes put out, from the post of a
// step with a cut stream to its closing, with a recorded trace.
func TestGoldenTrace(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(100 * time.Millisecond)
	w.accept(w.nodes["n1"], body("step-1", 2, 6))
	w.run(100 * time.Millisecond)
	w.engines[0].cut()
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	r.readOnce(w.nodes["n2"], 0)
	w.run(100 * time.Millisecond)
	goldie.New(t).Assert(t, "trace", []byte(w.outputs.String()))
}

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
