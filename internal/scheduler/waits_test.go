package scheduler

import (
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/reward"
	"dalehook/internal/routetable"
)

// waitsOf returns the reasons of the items that have waited for a second, by item.
func (f *fixture) waitsOf() map[string]WaitReason {
	reasons := make(map[string]WaitReason)
	for _, wait := range f.machine.Waits(f.now, time.Second, 10).Longest {
		reasons[wait.ItemID] = wait.Reason
	}
	return reasons
}

// Guards against items that stand at no engine without any record of why, so that a fault looks like load.
func TestWaitsHaveTheirReason(t *testing.T) {
	cases := []struct {
		name string
		want WaitReason
		// prepare submits item j-0 and has it wait.
		prepare func(f *fixture)
	}{
		{"partition not read", WaitStaleLog, func(f *fixture) {
			f.now = f.now.Add(DefaultFreshnessLimit + time.Second)
			f.submit("j", 1, 10)
			f.now = f.now.Add(time.Second)
		}},
		{"engines are paused", WaitPaused, func(f *fixture) {
			f.submit("j", 1, 10)
			f.end(f.starts[0].Attempt, EndBroken)
			f.now = f.now.Add(time.Second)
			f.machine.engines["a"].pausedUntil = f.now.Add(time.Second)
		}},
		{"engines load", WaitLoading, func(f *fixture) {
			f.machine.HandleLease(f.now, 1, true)
			f.machine.HandleVersion(f.now, "m", 2)
			f.take()
			f.submit("j", 1, 10)
			f.advance(time.Second)
		}},
		{"engines have an older version", WaitVersion, func(f *fixture) {
			f.submit("j", 2, 10)
			f.advance(time.Second)
		}},
		{"cancelled run has not ended", WaitCancelled, func(f *fixture) {
			f.submit("j", 1, 10)
			f.advance(DefaultStallTimeout + time.Millisecond)
			f.now = f.now.Add(time.Second)
		}},
		{"run without events", WaitSilent, func(f *fixture) {
			f.submit("j", 1, 10)
			f.now = f.now.Add(time.Second)
		}},
		{"reward call", WaitReward, func(f *fixture) {
			job := &batch.Job{ID: "j", Host: "h", Path: "/p/j", Model: "m"}
			job.Items = []batch.Item{{ID: "j-0", Path: "/p/x", Expected: 10, Reward: &reward.Call{ID: "r", Host: "h", Path: "/s/x"}}}
			f.machine.HandleJob(f.now, 0, job, nil)
			f.take()
			f.end(f.starts[0].Attempt, EndCompleted)
			f.advance(time.Second)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.servers(2, map[string]int64{"a": 1})
			c.prepare(f)
			reasons := f.waitsOf()
			if len(reasons) != 1 || reasons["j-0"] != c.want {
				t.Errorf("waits %v, want %v", reasons, c.want)
			}
		})
	}
}

// Items that wait for the slots of others are load, not a fault: they are not reported.
func TestWaitsForFullEnginesAreLeftOut(t *testing.T) {
	f := newFixture(t, func(route *routetable.Route) { route.MaxAttempts = 1 })
	f.servers(1, map[string]int64{"a": 1})
	f.submit("j", 1, 10, 10)
	f.event(f.starts[0].Attempt, "1", 1)
	f.advance(DefaultStallTimeout)
	f.event(f.starts[0].Attempt, "2", 1)
	f.advance(DefaultStallTimeout)
	f.event(f.starts[0].Attempt, "3", 1)
	if report := f.machine.Waits(f.now, time.Second, 10); report.Total != 0 {
		t.Errorf("waits %+v", report)
	}
}

func TestWaitsAreBounded(t *testing.T) {
	f := newFixture(t, nil)
	f.servers(2, map[string]int64{"a": 1})
	f.submit("j", 2, 10, 10, 10)
	f.advance(time.Second)
	report := f.machine.Waits(f.now, time.Second, 2)
	if report.Total != 3 || len(report.Longest) != 2 {
		t.Errorf("report %+v", report)
	}
}
