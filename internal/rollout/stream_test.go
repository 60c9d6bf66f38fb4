package rollout

import (
	"strings"
	"testing"
	"time"
)

func TestOverBoundWhileRunningIsStoppedEarly(t *testing.T) {
	w, _ := started(t, 400)
	w.run(2 * time.Second)
	for _, e := range w.engines {
		e.version = 3
	}
	w.announce(3)
	w.run(200 * time.Millisecond)
	if n := w.restarts(); n != 8 {
		t.Fatalf("%d attempts began again, want 8", n)
	}
	r := w.trainer("step-1")
	r.readAll(time.Minute)
}

func TestSwapMidStreamGivesSegments(t *testing.T) {
	w, _ := started(t, 100)
	w.run(time.Second)
	for _, e := range w.engines {
		e.version = 2
	}
	w.announce(2)
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	for id, view := range r.samples {
		if len(view.Versions) != 2 || view.Attempt != 1 {
			t.Fatalf("sample %s came as %+v", id, view.Versions)
		}
	}
}

func TestUnintendedVersion(t *testing.T) {
	w, _ := started(t, 100)
	w.run(time.Second)
	w.engines[0].version = 0 // it can't say what it runs
	w.run(time.Second)
	w.engines[0].version = 7 // nobody announced it
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	if len(r.samples) != 8 {
		t.Fatalf("%d samples, want 8", len(r.samples))
	}
	for id, view := range r.samples {
		for _, segment := range view.Versions {
			if segment.Version == 0 {
				t.Fatalf("sample %s names no version: %+v", id, view.Versions)
			}
		}
	}
}

func TestCutStreamsResumeInPlace(t *testing.T) {
	w, _ := started(t, 100)
	w.run(500 * time.Millisecond)
	w.engines[0].cut()
	w.engines[1].cut()
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	if n := w.restarts(); n != 0 {
		t.Fatalf("%d attempts began again", n)
	}
	for _, line := range w.trace {
		if strings.Contains(line, "text \"0.") {
			t.Fatalf("a cut stream was moved: %s", line)
		}
	}
}

func TestCrashedEngineKeepsTokens(t *testing.T) {
	w, _ := started(t, 100)
	w.run(time.Second)
	w.engines[0].crash()
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	if n := w.restarts(); n != 0 {
		t.Fatalf("%d attempts began again", n)
	}
}

func TestMovedAttemptSurvivesItsOwner(t *testing.T) {
	w, owner := started(t, 200)
	w.run(time.Second)
	w.engines[1].version = 2
	w.engines[1].lenient = true
	w.announce(2)
	w.engines[0].crash()
	w.run(time.Second)
	owner.kill()
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	if len(r.samples) != 8 || w.restarts() == 0 {
		t.Fatalf("%d samples, %d attempts began again", len(r.samples), w.restarts())
	}
}

func TestDeadlineEndsSamplesWithError(t *testing.T) {
	w := newWorld(t, 3, 2)
	w.run(100 * time.Millisecond)
	late := body("step-1", 4, 4000)
	late.Deadline = w.now.Add(5 * time.Second)
	w.accept(w.nodes["n1"], late)
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	for id, view := range r.samples {
		if view.Error == nil || view.Error.Code != codeDeadline {
			t.Fatalf("sample %s came as %+v", id, view)
		}
	}
	for _, e := range w.engines {
		if len(e.requests) != 0 {
			t.Fatalf("engine %s still runs %d attempts", e.id, len(e.requests))
		}
	}
}
