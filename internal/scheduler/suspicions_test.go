package scheduler

import (
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/quarantine"
)

// bodies submits a job with one item for each body; the group of each is its own.
func (f *fixture) bodies(id string, bodies ...string) {
	job := &batch.Job{ID: id, Host: "h", Path: "/p/" + id, Model: "m"}
	for _, body := range bodies {
		job.Items = append(job.Items, batch.Item{ID: id + "-" + body, Path: "/p/x", Body: []byte(body), Expected: 10, Group: body})
	}
	f.machine.HandleJob(f.now, 0, job, nil)
	f.take()
}

func (f *fixture) suspect(suspicions map[string]quarantine.Suspicion) {
	byFingerprint := make(map[quarantine.Fingerprint]quarantine.Suspicion)
	for body, known := range suspicions {
		byFingerprint[Fingerprint("", "h", &batch.Item{Path: "/p/x", Body: []byte(body)})] = known
	}
	f.machine.HandleSuspicions(f.now, byFingerprint)
	f.take()
}

func (f *fixture) running() map[string]string {
	at := make(map[string]string)
	for _, running := range f.machine.attempts {
		at[running.item.source.ID] = running.engine.server.ID
	}
	return at
}

func TestAHeldItemKeepsNothingWaiting(t *testing.T) {
	f := newFixture(t, nil)
	f.suspect(map[string]quarantine.Suspicion{"deadly": {Ends: 3, Held: true, Proven: true}})
	f.servers(1, map[string]int64{"a": 1})
	f.bodies("j", "deadly", "harmless")
	if at := f.running(); len(at) != 1 || at["j-harmless"] != "a" {
		t.Errorf("running: %v", at)
	}
	f.end(f.starts[0].Attempt, EndCompleted)
	for range 50 {
		f.pass(time.Second)
	}
	if len(f.starts) != 1 {
		t.Errorf("%d items started", len(f.starts))
	}
	dead := 0
	for _, result := range f.results {
		if result.ItemID == "j-deadly" && result.Outcome == batch.OutcomeDead {
			dead++
		}
	}
	if dead != 1 {
		t.Errorf("listed as dead %d times", dead)
	}
	f.suspect(nil)
	f.bodies("k", "deadly")
	if at := f.running(); at["k-deadly"] != "a" {
		t.Errorf("once it is released: running %v", at)
	}
}

func TestSuspectsRunApartAndOnceAtATime(t *testing.T) {
	f := newFixture(t, nil)
	twice := quarantine.Suspicion{Ends: 2}
	f.suspect(map[string]quarantine.Suspicion{"s1": twice, "s2": twice, "s3": {Ends: 2, ProbePending: true}, "once": {Ends: 1}})
	f.servers(4, map[string]int64{"a": 1, "b": 1})
	f.bodies("j", "s1", "s2", "s3", "once", "harmless")
	at := f.running()
	if len(at) != 4 || at["j-s1"] == at["j-s2"] || at["j-s3"] != "" {
		t.Errorf("running: %v", at)
	}
	f.bodies("k", "s1")
	if at := f.running(); at["k-s1"] != "" {
		t.Errorf("the same item runs twice: %v", at)
	}
	f.suspect(map[string]quarantine.Suspicion{"s1": twice})
	if at := f.running(); at["j-s3"] == "" || at["k-s1"] != "" {
		t.Errorf("once the others are cleared: %v", at)
	}
}

// Samples of one prompt may look alike. An engine's crash, which implicates all that it ran, must
// not have them run one after the other.
func TestSamplesThatLookAlikeRunTogetherAfterOneCrash(t *testing.T) {
	f := newFixture(t, nil)
	f.suspect(map[string]quarantine.Suspicion{"prompt": {Ends: 1}})
	f.servers(4, map[string]int64{"a": 1, "b": 1})
	for _, id := range []string{"j", "k", "l"} {
		f.bodies(id, "prompt")
	}
	if at := f.running(); len(at) != 3 {
		t.Errorf("running: %v", at)
	}
}
