package scheduler

import (
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/reward"
)

// jobWithSharedItem returns a job of a tenant with one item, whose ID other jobs use too.
func jobWithSharedItem(id, tenantName string) *batch.Job {
	return &batch.Job{ID: id, Tenant: tenantName, Host: "h", Path: "/p/1", Model: "m", MinVersion: 1,
		Items: []batch.Item{{ID: "i", Path: "/p/x", Expected: 9, Group: "g", Reward: &reward.Call{ID: "r"}}}}
}

func TestItemsCarryTheTenantOfTheirJob(t *testing.T) {
	f := newFixture(t, nil)
	f.servers(8, map[string]int64{"a": 1})
	f.machine.HandleJob(f.now, 0, jobWithSharedItem("j", "a"), nil)
	f.take()
	if len(f.starts) != 1 || f.starts[0].Tenant != "a" {
		t.Fatalf("starts %+v", f.starts)
	}
	if got := f.machine.jobs["j"].items["i"].rewardItem(); got.Tenant != "a" {
		t.Errorf("reward call made for %+v", got)
	}
}

// Text generated for one tenant is never reused for another tenant whose job has the same item ID.
func TestRetainedItemsAreNotSharedAcrossTenants(t *testing.T) {
	for _, c := range []struct {
		name, tenant string
		starts       int
	}{{"the same tenant", "a", 1}, {"another tenant", "b", 2}} {
		f := newFixture(t, nil)
		f.servers(8, map[string]int64{"a": 1})
		f.machine.HandleJob(f.now, 0, jobWithSharedItem("first", "a"), nil)
		f.take()
		f.event(f.starts[0].Attempt, "1", 1)
		f.machine.HandleJobEnd(f.now, "first")
		f.machine.HandleJob(f.now, 0, jobWithSharedItem("second", c.tenant), nil)
		f.take()
		if len(f.starts) != c.starts {
			t.Errorf("%s: starts %+v", c.name, f.starts)
		}
		for _, start := range f.starts[1:] {
			if start.After != "" || start.Tenant != c.tenant {
				t.Errorf("%s: start %+v", c.name, start)
			}
		}
	}
}

func TestRecoveredProgressIsNotSharedAcrossTenants(t *testing.T) {
	for tenantName, after := range map[string]string{"a": "7", "b": ""} {
		f := newFixture(t, nil)
		f.servers(8, map[string]int64{"a": 1})
		saved := &batch.Partial{Tenant: "a", Run: "r", LastID: "7", Text: []string{"text"}, Versions: []int64{1}}
		f.machine.HandleRecoveredProgress(f.now, 0, map[string]*batch.Partial{"i": saved})
		f.machine.HandleJob(f.now, 0, jobWithSharedItem("j", tenantName), nil)
		f.take()
		if len(f.starts) != 1 || f.starts[0].After != after {
			t.Errorf("tenant %s: starts %+v", tenantName, f.starts)
		}
	}
}

func TestProgressCarriesItsTenant(t *testing.T) {
	f := newFixture(t, nil)
	f.servers(8, map[string]int64{"a": 1})
	f.machine.HandleJob(f.now, 0, jobWithSharedItem("j", "a"), nil)
	f.take()
	for i := range minUnsavedEvents {
		f.event(f.starts[0].Attempt, string(rune('1'+i)), 1)
	}
	f.advance(DefaultSaveInterval + time.Millisecond)
	if len(f.progress) == 0 || f.progress[0].Tenant != "a" {
		t.Errorf("progress %+v", f.progress)
	}
}
