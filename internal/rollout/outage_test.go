package rollout

import (
	"slices"
	"testing"
	"time"

	"dalehook/internal/machine"
	"dalehook/internal/record"
)

func TestStoreDownHandsOverFromReplicas(t *testing.T) {
	w, owner := started(t, 100)
	w.run(500 * time.Millisecond)
	w.down = true
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	if len(r.samples) != 8 || r.failures != 0 {
		t.Fatalf("%d samples, %d failed reads", len(r.samples), r.failures)
	}
	if committed := w.committed("step-1"); committed != 0 {
		t.Fatalf("%d results on a log that is down", committed)
	}
	w.down = false
	w.run(5 * time.Second)
	if committed := w.committed("step-1"); committed != 8 {
		t.Fatalf("%d results on the log after it came back, want 8", committed)
	}
	for _, n := range w.sorted() {
		if n.machine.replicaStore.bytes != 0 {
			t.Fatalf("%s still holds %d bytes of mirrored entries", n.node.ID, n.machine.replicaStore.bytes)
		}
	}
	if len(owner.machine.Status()) != 1 {
		t.Fatal("the owner lost the step")
	}
}

// committed counts the results on a step's log.
func (w *world) committed(step string) int {
	fold, count := w.fold(step), 0
	stepBody, _ := fold.Body()
	for i := range stepBody.Samples {
		if _, _, ok := fold.Committed(i); ok {
			count++
		}
	}
	return count
}

func TestMirroredResultsSurviveTheirOwner(t *testing.T) {
	w, owner := started(t, 100)
	w.run(500 * time.Millisecond)
	w.down = true
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	owner.kill()
	call := w.read(w.other(owner), "step-1", "", time.Second, 0)
	w.run(10 * time.Second)
	if failure := w.failure(call); failure.Code != machine.CodeOwnerAway || failure.RetryAfter == 0 || failure.Step != "step-1" {
		t.Fatalf("the read with the owner gone and the log down got %+v", failure)
	}
	for _, e := range w.engines {
		e.forget()
		e.version = 2
	}
	w.down = false
	again := w.trainer("step-1")
	again.readAll(time.Minute)
	for id, view := range r.samples {
		if again.samples[id].Text != view.Text {
			t.Fatalf("sample %s was handed over as %q and is %q now", id, view.Text, again.samples[id].Text)
		}
	}
}

func TestRevocationWhileStoreIsDown(t *testing.T) {
	w, owner := started(t, 40)
	w.run(5 * time.Second) // all are committed on the log
	w.overtaking = true
	w.down = true
	for _, e := range w.engines {
		e.version = 3
	}
	r := w.trainer("step-1")
	r.version = 3
	r.readAll(time.Minute)
	owner.kill()
	for _, e := range w.engines {
		e.forget()
		e.version = 4
	}
	w.down = false
	again := w.trainer("step-1")
	again.version = 3
	again.readAll(time.Minute)
	for id, view := range r.samples {
		if view.Versions[0].Version != 3 || again.samples[id].Text != view.Text {
			t.Fatalf("sample %s came as %+v and as %+v", id, view, again.samples[id])
		}
	}
}

func TestNoMajorityOfReplicas(t *testing.T) {
	w, owner := started(t, 40)
	w.down = true
	w.dropMirrors = true
	call := w.read(w.other(owner), "step-1", "", 30*time.Second, 0)
	w.run(20 * time.Second)
	failure := w.failure(call)
	if failure.Code != machine.CodeNoQuorum || failure.RetryAfter == 0 {
		t.Fatalf("answered %+v", failure)
	}
	w.dropMirrors = false
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	if len(r.samples) != 8 {
		t.Fatalf("%d samples, want 8", len(r.samples))
	}
}

// TestNewOwnerWaitsForMajority kills the owner and stops the replicas from
// answering: what was mirrored may have been handed over, so nothing is answered
// until a majority speaks.
func TestNewOwnerWaitsForMajority(t *testing.T) {
	w, owner := started(t, 100)
	w.run(500 * time.Millisecond)
	w.down = true
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	var others []*worldNode
	for _, n := range w.sorted() {
		if n != owner {
			others = append(others, n)
		}
	}
	owner.kill()
	others[1].pause()
	w.down = false
	w.run(4 * time.Second)
	call := w.read(others[0], "step-1", "", time.Second, 0)
	w.run(8 * time.Second)
	if failure := w.failure(call); failure.Code != machine.CodeNoQuorum {
		t.Fatalf("answered %+v", failure)
	}
	others[1].wake()
	again := w.trainer("step-1")
	again.readAll(time.Minute)
	for id, view := range r.samples {
		if again.samples[id].Text != view.Text {
			t.Fatalf("sample %s was handed over as %q and is %q now", id, view.Text, again.samples[id].Text)
		}
	}
}

// TestMajorityLostForGood replaces two of three replicas while the log is down:
// what was mirrored only is gone, and the samples are run again.
func TestMajorityLostForGood(t *testing.T) {
	w, owner := started(t, 100)
	w.run(500 * time.Millisecond)
	w.down = true
	r := w.trainer("step-1")
	r.readOnce(w.other(owner), 10*time.Second)
	w.run(5 * time.Second)
	for _, n := range w.sorted()[:2] {
		n.kill()
		next := n.node
		next.Incarnation++
		w.startNode(next, Limits{})
	}
	w.nodes["n3"].kill()
	next := w.nodes["n3"].node
	next.Incarnation++
	w.startNode(next, Limits{})
	w.down = false
	r.readAll(time.Minute)
	if len(r.samples) != 8 {
		t.Fatalf("%d samples, want 8", len(r.samples))
	}
}

func TestPausedOwnerWakesWhileStoreIsDown(t *testing.T) {
	w, owner := started(t, 40)
	r := w.trainer("step-1")
	w.run(3 * time.Second)
	owner.pause()
	r.readOnce(w.other(owner), 10*time.Second)
	for r.failures > 0 && len(r.samples) == 0 {
		r.readOnce(w.other(owner), 10*time.Second)
	}
	if len(r.samples) != 8 {
		t.Fatalf("%d samples from the new owner, want 8", len(r.samples))
	}
	w.down = true
	owner.wake()
	call := w.read(owner, "step-1", "", time.Second, 0)
	w.run(10 * time.Second)
	switch answer := w.answers[call].(type) {
	case machine.SamplesRead:
		t.Logf("answered by the new owner: %d samples", len(answer.Samples))
	case machine.Failure:
		if answer.Code != machine.CodeNoQuorum && answer.Code != machine.CodeOwnerAway {
			t.Fatalf("answered %+v", answer)
		}
	default:
		t.Fatalf("answered %+v", answer)
	}
	if slices.ContainsFunc(owner.machine.all(), func(s *step) bool { return s.phase == phaseOwning && s.sure }) {
		t.Fatal("the paused owner is sure of a step that it lost")
	}
}

func TestReplicaRefusesLowerEpochs(t *testing.T) {
	store := newReplicaStore(Limits{}.withDefaults())
	entry := func(serial uint64) MirrorEntry {
		return MirrorEntry{Serial: serial, Results: []record.Result{{Sample: int(serial), Attempt: 1, Text: "text"}}}
	}
	if ack := store.mirror(worldStart, Mirror{Step: "s", Epoch: 5, First: 1, Entries: []MirrorEntry{entry(1), entry(3)}}); ack.Serial != 1 {
		t.Fatalf("an entry beyond a gap was acknowledged: %+v", ack)
	}
	if ack := store.mirror(worldStart, Mirror{Step: "s", Epoch: 5, First: 1, Entries: []MirrorEntry{entry(1), entry(2)}}); ack.Serial != 2 {
		t.Fatalf("acknowledged %+v, want serial 2", ack)
	}
	epochs := store.collect(worldStart, "s", 9)
	if len(epochs) != 1 || len(epochs[0].Entries) != 2 {
		t.Fatalf("collected %+v", epochs)
	}
	if ack := store.mirror(worldStart, Mirror{Step: "s", Epoch: 5, First: 1, Entries: []MirrorEntry{entry(3)}}); ack.Promised != 9 || ack.Serial != 0 {
		t.Fatalf("a lower epoch got %+v", ack)
	}
	store.forget(MirrorForget{Step: "s", Epoch: 9})
	if store.bytes != 0 {
		t.Fatalf("%d bytes are left", store.bytes)
	}
}

// TestClaimIsRenewed replaces a replica while the log is up: the owner claims
// again, so that its group has a majority when the log goes down.
func TestClaimIsRenewed(t *testing.T) {
	w, owner := started(t, 400)
	w.run(time.Second)
	for _, n := range w.sorted() {
		if n != owner {
			w.replace(n)
		}
	}
	w.run(5 * time.Second)
	w.down = true
	r := w.trainer("step-1")
	r.readAll(time.Minute)
	if len(r.samples) != 8 || r.failures != 0 || w.restarts() != 0 {
		t.Fatalf("%d samples, %d failed reads, %d attempts began again", len(r.samples), r.failures, w.restarts())
	}
	if w.owner("step-1") != owner || len(owner.machine.steps["step-1"].claims) != 2 {
		t.Fatalf("the claims are %+v", owner.machine.steps["step-1"].claims)
	}
}
