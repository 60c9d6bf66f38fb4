package rollout

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// started returns a world in which a step of 8 samples is running, and its owner.
func started(t *testing.T, tokens int) (*world, *worldNode) {
	t.Helper()
	w := newWorld(t, 3, 2)
	w.run(100 * time.Millisecond)
	w.accept(w.nodes["n1"], body("step-1", 8, tokens))
	w.runUntil(5*time.Second, "an owner runs the step", func() bool {
		owner := w.owner("step-1")
		return owner != nil && len(owner.machine.Status()) == 1 && owner.machine.Status()[0].Running == 8
	})
	return w, w.owner("step-1")
}

// other returns a live node that is not the given one.
func (w *world) other(than *worldNode) *worldNode {
	for _, n := range w.sorted() {
		if n != than && !n.dead && !n.paused {
			return n
		}
	}
	w.t.Fatal("no other node")
	return nil
}

// failure returns the error that answered a call.
func (w *world) failure(call machine.CallID) machine.Failure {
	w.t.Helper()
	failure, ok := w.answers[call].(machine.Failure)
	if !ok {
		w.t.Fatalf("answered %+v, want an error", w.answers[call])
	}
	return failure
}

// restarts counts the attempts that began from nothing.
func (w *world) restarts() int {
	count := 0
	for _, line := range w.trace {
		if strings.Contains(line, "start") && !strings.Contains(line, "/1 at") {
			count++
		}
	}
	return count
}

func TestOwnerKilledWhileSamplesRun(t *testing.T) {
	w, owner := started(t, 200)
	w.run(time.Second)
	owner.kill()
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	if len(r.samples) != 8 {
		t.Fatalf("%d samples, want 8", len(r.samples))
	}
	if n := w.restarts(); n != 0 {
		t.Fatalf("%d attempts began again, want none: the engines know the running ones", n)
	}
}

func TestOwnerKilledBetweenFinishAndCommit(t *testing.T) {
	w, owner := started(t, 40)
	w.runUntil(5*time.Second, "a result is written", func() bool {
		return !owner.machine.steps["step-1"].journal.empty()
	})
	owner.kill()
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	if len(r.samples) != 8 {
		t.Fatalf("%d samples, want 8", len(r.samples))
	}
}

func TestOwnerKilledAfterCommit(t *testing.T) {
	w, owner := started(t, 40)
	r := w.trainer("step-1")
	r.readOnce(w.other(owner), 5*time.Second)
	before := len(r.samples)
	owner.kill()
	r.readAll(time.Minute)
	if before == 0 || len(r.samples) != 8 {
		t.Fatalf("%d samples before and %d after the failure, want some and 8", before, len(r.samples))
	}
}

func TestPausedOwnerWakes(t *testing.T) {
	w, owner := started(t, 100)
	w.run(500 * time.Millisecond)
	owner.pause()
	call := w.read(owner, "step-1", "", 10*time.Second, 0)
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	owner.wake()
	appends := w.appends
	w.run(12 * time.Second)
	if len(owner.machine.Status()) != 0 {
		t.Fatalf("the paused owner still holds %+v", owner.machine.Status())
	}
	read, ok := w.answers[call].(machine.SamplesRead)
	if !ok {
		t.Fatalf("the read at the paused node got %+v", w.answers[call])
	}
	for _, view := range read.Samples {
		if r.samples[view.ID].Text != view.Text {
			t.Fatalf("sample %s has two contents: %q and %q", view.ID, r.samples[view.ID].Text, view.Text)
		}
	}
	for _, entry := range w.logs["step.step-1"] {
		if strings.HasPrefix(string(entry.Record.ID), string(owner.node.ID)) && entry.Offset > uint64(appends) {
			t.Fatalf("the paused owner wrote %+v", entry)
		}
	}
}

// TestPausedOwnerHandsNothingOverBlind lets a paused owner find a read before
// anything else when it wakes. It holds results that are over the bound by now.
func TestPausedOwnerHandsNothingOverBlind(t *testing.T) {
	w, owner := started(t, 40)
	w.run(3 * time.Second)
	owner.pause()
	w.run(3 * time.Second)
	for _, e := range w.engines {
		e.version = 3
	}
	w.announce(3)
	w.run(100 * time.Millisecond)
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	call := w.read(owner, "step-1", "", 5*time.Second, 0)
	last := len(owner.held) - 1
	owner.held = append(owner.held[last:], owner.held[:last]...)
	owner.wake()
	w.run(3 * time.Second)
	answer, ok := w.answers[call].(machine.SamplesRead)
	if !ok || len(answer.Samples) == 0 {
		t.Fatalf("answered %+v", w.answers[call])
	}
	for _, view := range answer.Samples {
		if view.Versions[0].Version != 3 {
			t.Fatalf("sample %s was handed over with %+v", view.ID, view.Versions)
		}
	}
}

func TestLostAnswerOfPost(t *testing.T) {
	w := newWorld(t, 3, 2)
	w.run(100 * time.Millisecond)
	w.loseAnswers = true
	call := w.post(w.nodes["n1"], body("step-1", 4, 40))
	w.run(11 * time.Second)
	failure := w.failure(call)
	if failure.Code != machine.CodeOutcomeUnknown || failure.NotRun || failure.RetryAfter == 0 {
		t.Fatalf("answered %+v", failure)
	}
	w.loseAnswers = false
	w.accept(w.nodes["n2"], body("step-1", 4, 40))
	w.accept(w.nodes["n3"], body("step-1", 4, 40))
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	if len(r.samples) != 4 {
		t.Fatalf("%d samples, want 4", len(r.samples))
	}
}

func TestPostRefusals(t *testing.T) {
	w := newWorld(t, 3, 2)
	w.run(100 * time.Millisecond)
	w.accept(w.nodes["n1"], body("known", 2, 40))
	w.run(100 * time.Millisecond)
	conflicting := body("known", 3, 40)
	conflicting.Digest = "another"
	unknown := body("new", 1, 40)
	unknown.Event = "nothing"
	stranger := body("new", 1, 40)
	stranger.Trainer = "stranger"
	cases := []struct {
		name   string
		down   bool
		body   func() machine.CallID
		status int
		code   machine.Code
	}{
		{"conflict", false, func() machine.CallID { return w.post(w.nodes["n2"], conflicting) }, http.StatusConflict, machine.CodeStepConflict},
		{"unknown event", false, func() machine.CallID { return w.post(w.nodes["n2"], unknown) }, http.StatusNotFound, machine.CodeUnknownEvent},
		{"unknown trainer", false, func() machine.CallID { return w.post(w.nodes["n2"], stranger) }, http.StatusNotFound, machine.CodeUnknownEvent},
		{"store down", true, func() machine.CallID { return w.post(w.nodes["n2"], body("new", 1, 40)) }, http.StatusServiceUnavailable, machine.CodeStoreDown},
	}
	for _, c := range cases {
		w.down = c.down
		call := c.body()
		w.run(100 * time.Millisecond)
		failure := w.failure(call)
		if failure.Status != c.status || failure.Code != c.code || !failure.NotRun || failure.Step == "" || failure.Peer != "n2" {
			t.Errorf("%s: answered %+v", c.name, failure)
		}
	}
	w.accept(w.nodes["n3"], body("known", 2, 40)) // the same step again, log down
}

func TestConflictingPostsAtTwoNodes(t *testing.T) {
	w := newWorld(t, 3, 2)
	w.run(100 * time.Millisecond)
	second := body("step-1", 2, 40)
	second.Digest = "another"
	first := w.post(w.nodes["n1"], body("step-1", 4, 40))
	other := w.post(w.nodes["n2"], second)
	w.run(2 * time.Second)
	if _, ok := w.answers[first].(machine.StepAccepted); !ok {
		t.Fatalf("the first post got %+v", w.answers[first])
	}
	if failure := w.failure(other); failure.Code != machine.CodeStepConflict || !failure.NotRun {
		t.Fatalf("the second post got %+v", failure)
	}
}

func TestReadAgainFromOldCursor(t *testing.T) {
	w, owner := started(t, 40)
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	again := w.trainer("step-1")
	again.readAll(time.Minute)
	for id, view := range r.samples {
		if again.samples[id].Text != view.Text || again.samples[id].Attempt != view.Attempt {
			t.Fatalf("sample %s was %+v and is %+v", id, view, again.samples[id])
		}
	}
	r.readOnce(w.other(owner), 0) // closes the step
	w.run(2 * time.Minute)
	if n := len(owner.machine.steps); n != 0 {
		t.Fatalf("%d steps are in memory after the retention", n)
	}
	late := w.trainer("step-1")
	late.readAll(time.Minute)
	if len(late.samples) != 8 {
		t.Fatalf("%d samples of the closed step, want 8", len(late.samples))
	}
}

func TestOverBoundAtHandOver(t *testing.T) {
	w, owner := started(t, 40)
	w.run(5 * time.Second)
	for _, e := range w.engines {
		e.version = 3
	}
	w.announce(2)
	w.run(time.Second)
	r := w.trainer("step-1")
	r.version = 3 // the trainer knows before the log says so
	r.readAll(time.Minute)
	for id, view := range r.samples {
		if view.Versions[0].Version != 3 || view.Attempt != 2 {
			t.Fatalf("sample %s came as %+v", id, view)
		}
	}
	if got := len(owner.machine.Status()); got != 1 {
		t.Fatalf("%d steps at the owner", got)
	}
}

func TestNewerReadEndsOlderOne(t *testing.T) {
	w, owner := started(t, 400)
	older := w.read(w.other(owner), "step-1", "", 10*time.Second, 0)
	w.run(100 * time.Millisecond)
	newer := w.read(owner, "step-1", "", 10*time.Second, 0)
	w.run(100 * time.Millisecond)
	answer, ok := w.answers[older].(machine.SamplesRead)
	if !ok || len(answer.Samples) != 0 || answer.Done || w.answers[newer] != nil {
		t.Fatalf("the older read got %+v, the newer %+v", w.answers[older], w.answers[newer])
	}
	if _, err := decodeCursor("step-1", answer.Cursor); err != nil {
		t.Fatal(err)
	}
}

func TestReadRefusals(t *testing.T) {
	w, owner := started(t, 40)
	foreign := encodeCursor("step-2", sampleSet{}.with(1))
	beyond := encodeCursor("step-1", sampleSet{}.with(99))
	cases := []struct {
		name, step, after string
		code              machine.Code
	}{
		{"malformed", "step-1", "???", machine.CodeBadCursor},
		{"truncated", "step-1", "AQ", machine.CodeBadCursor},
		{"of another step", "step-1", foreign, machine.CodeBadCursor},
		{"beyond the step", "step-1", beyond, machine.CodeBadCursor},
		{"unknown step", "step-9", "", machine.CodeUnknownStep},
	}
	for _, c := range cases {
		call := w.read(w.other(owner), c.step, c.after, time.Second, 0)
		w.run(500 * time.Millisecond)
		if failure := w.failure(call); failure.Code != c.code || !failure.NotRun || failure.Step != c.step {
			t.Errorf("%s: answered %+v", c.name, failure)
		}
	}
}

func TestPlannedStopHandsStepOver(t *testing.T) {
	w, owner := started(t, 300)
	w.run(time.Second)
	local := w.read(owner, "step-1", "", 30*time.Second, 0)
	w.run(100 * time.Millisecond)
	owner.leaving = true
	owner.deliver(func() { owner.machine.Leave(w.now) })
	w.runUntil(500*time.Millisecond, "another node holds the step", func() bool { return w.owner("step-1") != owner })
	w.runUntil(4*time.Second, "the leaving node is done", func() bool { return !owner.machine.Busy() })
	answer, ok := w.answers[local].(machine.SamplesRead)
	if !ok {
		t.Fatalf("the read at the leaving node got %+v", w.answers[local])
	}
	owner.kill()
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	if n := w.restarts(); n != 0 || len(r.samples) != 8 {
		t.Fatalf("%d attempts began again, %d samples", n, len(r.samples))
	}
	for _, view := range answer.Samples {
		if r.samples[view.ID].Text != view.Text {
			t.Fatalf("sample %s has two contents", view.ID)
		}
	}
}

func TestPlannedStopWaitsForTheJournal(t *testing.T) {
	w, owner := started(t, 40)
	owner.appendDelay = time.Second
	w.runUntil(5*time.Second, "a result is written", func() bool {
		return !owner.machine.steps["step-1"].journal.empty()
	})
	owner.leaving = true
	owner.deliver(func() { owner.machine.Leave(w.now) })
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	w.run(2 * time.Second)
	fold := record.NewStep()
	for _, entry := range w.logs["step.step-1"] {
		if change := fold.Apply(entry); !change.Valid {
			t.Fatalf("record at %d is void: %s", entry.Offset, change.Reason)
		}
	}
}

func TestAllNodesReplacedOneAfterAnother(t *testing.T) {
	w, _ := started(t, 600)
	r := w.trainer("step-1")
	for _, n := range w.sorted() {
		n.leaving = true
		n.deliver(func() { n.machine.Leave(w.now) })
		w.runUntil(20*time.Second, "the leaving node is done", func() bool { return !n.machine.Busy() })
		n.kill()
		w.run(100 * time.Millisecond)
		next := n.node
		next.Incarnation++
		w.startNode(next, Limits{})
		w.run(time.Second)
	}
	r.readAll(time.Minute)
	if n := w.restarts(); n != 0 || len(r.samples) != 8 || r.failures != 0 {
		t.Fatalf("%d attempts began again, %d samples, %d failed reads", n, len(r.samples), r.failures)
	}
}

func TestEntriesBeyondAGapChangeNothing(t *testing.T) {
	w, owner := started(t, 200)
	strange := machine.LogEntries{Log: "step.step-1", From: 90, End: 99, Entries: []record.Entry{{Offset: 99}}}
	owner.deliver(func() { owner.machine.HandleEntries(w.now, strange) })
	if len(owner.machine.Status()) != 1 {
		t.Fatal("the owner let go of its step")
	}
	r := w.trainer("step-1")
	r.readAll(time.Minute)
}

func TestLastNodeLeaves(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(100 * time.Millisecond)
	n := w.nodes["n1"]
	w.accept(n, body("step-1", 2, 400))
	w.run(time.Second)
	n.leaving = true
	n.deliver(func() { n.machine.Leave(w.now) })
	w.runUntil(time.Second, "the last node is not held by its step", func() bool { return !n.machine.Busy() })
}

// A read that has followed the step from owner to owner, and at last to its own
// node, is answered all the same.
func TestReadThatMovedHereIsAnswered(t *testing.T) {
	w, owner := started(t, 300)
	origin := w.other(owner)
	call := w.read(origin, "step-1", "", 200*time.Millisecond, 0)
	w.run(20 * time.Millisecond)
	origin.deliver(func() {
		read := origin.machine.reads[0]
		origin.machine.cancelRead(read)
		read.moves = maxReadMoves
		origin.machine.moveRead(w.now, read, origin.node.ID)
	})
	w.runUntil(5*time.Second, "the read is answered", func() bool { return w.answers[call] != nil })
}
