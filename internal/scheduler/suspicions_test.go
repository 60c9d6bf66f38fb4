package scheduler

import (
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/quarantine"
)

// submitBodies submits a job with one item per body, each in a group of its own.
func (f *fixture) submitBodies(id string, bodies ...string) {
	job := &batch.Job{ID: id, Host: "h", Path: "/p/" + id, Model: "m"}
	for _, body := range bodies {
		job.Items = append(job.Items, batch.Item{ID: id + "-" + body, Path: "/p/x", Body: []byte(body), Expected: 10, Group: body})
	}
	f.machine.HandleJob(f.now, 0, job, nil)
	f.take()
}

func (f *fixture) setSuspicions(suspicions map[string]quarantine.Suspicion) {
	byFingerprint := make(map[quarantine.Fingerprint]quarantine.Suspicion)
	for body, suspicion := range suspicions {
		byFingerprint[ItemFingerprint("", "h", &batch.Item{Path: "/p/x", Body: []byte(body)})] = suspicion
	}
	f.machine.HandleSuspicions(f.now, byFingerprint)
	f.take()
}

func (f *fixture) enginesByRunningItem() map[string]string {
	at := make(map[string]string)
	for _, running := range f.machine.attempts {
		at[running.item.source.ID] = running.engine.server.ID
	}
	return at
}

func TestHeldItemDoesNotBlockQueue(t *testing.T) {
	f := newFixture(t, nil)
	f.setSuspicions(map[string]quarantine.Suspicion{"deadly": {Ends: 3, Held: true, Proven: true}})
	f.servers(1, map[string]int64{"a": 1})
	f.submitBodies("j", "deadly", "harmless")
	if at := f.enginesByRunningItem(); len(at) != 1 || at["j-harmless"] != "a" {
		t.Errorf("running: %v", at)
	}
	f.end(f.starts[0].Attempt, EndCompleted)
	for range 50 {
		f.advance(time.Second)
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
		t.Errorf("recorded as dead %d times", dead)
	}
	f.setSuspicions(nil)
	f.submitBodies("k", "deadly")
	if at := f.enginesByRunningItem(); at["k-deadly"] != "a" {
		t.Errorf("after the release: running %v", at)
	}
}

func TestSuspectsAreIsolatedAndRunOnceAtATime(t *testing.T) {
	f := newFixture(t, nil)
	twice := quarantine.Suspicion{Ends: 2}
	f.setSuspicions(map[string]quarantine.Suspicion{"s1": twice, "s2": twice, "s3": {Ends: 2, ProbePending: true}, "once": {Ends: 1}})
	f.servers(4, map[string]int64{"a": 1, "b": 1})
	f.submitBodies("j", "s1", "s2", "s3", "once", "harmless")
	at := f.enginesByRunningItem()
	if len(at) != 4 || at["j-s1"] == at["j-s2"] || at["j-s3"] != "" {
		t.Errorf("running: %v", at)
	}
	f.submitBodies("k", "s1")
	if at := f.enginesByRunningItem(); at["k-s1"] != "" {
		t.Errorf("the same item runs twice at once: %v", at)
	}
	f.setSuspicions(map[string]quarantine.Suspicion{"s1": twice})
	if at := f.enginesByRunningItem(); at["j-s3"] == "" || at["k-s1"] != "" {
		t.Errorf("after the others were cleared: %v", at)
	}
}

// Samples of one prompt may be identical. One crash implicates all items of the engine, but must
// not serialize these samples.
func TestIdenticalSamplesRunConcurrentlyAfterOneCrash(t *testing.T) {
	f := newFixture(t, nil)
	f.setSuspicions(map[string]quarantine.Suspicion{"prompt": {Ends: 1}})
	f.servers(4, map[string]int64{"a": 1, "b": 1})
	for _, id := range []string{"j", "k", "l"} {
		f.submitBodies(id, "prompt")
	}
	if at := f.enginesByRunningItem(); len(at) != 3 {
		t.Errorf("running: %v", at)
	}
}
