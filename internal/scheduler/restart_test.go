package scheduler

import (
	"testing"
	"time"

	"dalehook/internal/directory"
)

// listIncarnation lists one incarnation of an engine with a loaded version.
func (f *fixture) listIncarnation(id string, born, version int64) {
	f.machine.HandleServers(f.now, []*directory.Server{{
		ID: id, Born: born, Service: "pool", Address: id, Slots: 2, Versions: map[string]int64{"m": version},
	}})
	f.take()
}

// Guards against an engine that crashed and restarted under its ID keeping its believed weights,
// runs, load in progress and pauses. Engines were identified by their ID alone.
func TestRestartedEngineLosesItsState(t *testing.T) {
	t.Run("weights and runs", func(t *testing.T) {
		f := newFixture(t, nil)
		f.machine.HandleLease(f.now, 1, true)
		f.listIncarnation("e", 1000, 2)
		f.machine.HandleVersion(f.now, "m", 2)
		f.submit("j", 2, 5)
		f.take()
		if len(f.starts) != 1 || len(f.orders) != 0 {
			t.Fatalf("%d items started, %d orders", len(f.starts), len(f.orders))
		}
		f.listIncarnation("e", 2000, 1)
		if len(f.cancels) != 1 || f.cancels[0].Attempt != f.starts[0].Attempt {
			t.Errorf("the run of the previous incarnation was not cancelled: cancels %v", f.cancels)
		}
		f.end(f.starts[0].Attempt, EndBroken)
		f.take()
		if len(f.starts) != 1 || len(f.orders) != 1 || f.orders[0].Server.Born != 2000 {
			t.Fatalf("%d items started, orders %+v", len(f.starts), f.orders)
		}
		f.machine.HandleLoad(f.now, f.orders[0].Server, "m", LoadResult{Confirmed: true, Version: 2})
		f.take()
		if len(f.starts) != 2 || f.starts[1].Server.Born != 2000 {
			t.Errorf("after the new incarnation has loaded: starts %+v", f.starts)
		}
	})
	t.Run("load in progress", func(t *testing.T) {
		f := newFixture(t, nil)
		f.machine.HandleLease(f.now, 1, true)
		f.listIncarnation("e", 1000, 1)
		f.machine.HandleVersion(f.now, "m", 2)
		f.take()
		f.listIncarnation("e", 2000, 1)
		if len(f.orders) != 2 || f.orders[1].Server.Born != 2000 {
			t.Fatalf("the new incarnation was not ordered to load: %+v", f.orders)
		}
		f.machine.HandleLoad(f.now, f.orders[0].Server, "m", LoadResult{Confirmed: true, Version: 2})
		f.submit("j", 2, 5)
		f.take()
		if len(f.starts) != 0 {
			t.Errorf("item started on the version of the previous incarnation: %+v", f.starts)
		}
		f.machine.HandleLoad(f.now, f.orders[1].Server, "m", LoadResult{Confirmed: true, Version: 2})
		f.advance(100 * time.Millisecond)
		if len(f.starts) != 1 {
			t.Errorf("%d items started after the new incarnation has loaded", len(f.starts))
		}
	})
}
