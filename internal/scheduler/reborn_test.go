package scheduler

import (
	"testing"
	"time"

	"dalehook/internal/directory"
)

// life lists one life of an engine with a loaded version.
func (f *fixture) life(id string, born, version int64) {
	f.machine.HandleServers(f.now, []*directory.Server{{
		ID: id, Born: born, Service: "pool", Address: id, Slots: 2, Versions: map[string]int64{"m": version},
	}})
	f.take()
}

// Seen: none; read in the code. An engine that crashed and started again under its id kept the
// weights that it was believed to have, its runs, its load under way and its pauses.
// Cause: engines were known by their id alone.
func TestAnEngineThatStartsAgainKnowsNothing(t *testing.T) {
	t.Run("its weights and runs", func(t *testing.T) {
		f := newFixture(t, nil)
		f.machine.HandleLease(f.now, 1, true)
		f.life("e", 1000, 2)
		f.machine.HandleVersion(f.now, "m", 2)
		f.job("j", 2, 5)
		f.take()
		if len(f.starts) != 1 || len(f.orders) != 0 {
			t.Fatalf("%d items started, %d orders", len(f.starts), len(f.orders))
		}
		f.life("e", 2000, 1)
		if len(f.cancels) != 1 || f.cancels[0].Attempt != f.starts[0].Attempt {
			t.Errorf("the run of the life before goes on: cancels %v", f.cancels)
		}
		f.end(f.starts[0].Attempt, EndBroken)
		f.take()
		if len(f.starts) != 1 || len(f.orders) != 1 || f.orders[0].Server.Born != 2000 {
			t.Fatalf("%d items started, orders %+v", len(f.starts), f.orders)
		}
		f.machine.HandleLoad(f.now, f.orders[0].Server, "m", Load{Ordered: true, Version: 2})
		f.take()
		if len(f.starts) != 2 || f.starts[1].Server.Born != 2000 {
			t.Errorf("once the new life has loaded: %+v", f.starts)
		}
	})
	t.Run("its load", func(t *testing.T) {
		f := newFixture(t, nil)
		f.machine.HandleLease(f.now, 1, true)
		f.life("e", 1000, 1)
		f.machine.HandleVersion(f.now, "m", 2)
		f.take()
		f.life("e", 2000, 1)
		if len(f.orders) != 2 || f.orders[1].Server.Born != 2000 {
			t.Fatalf("the new life is not ordered to load: %+v", f.orders)
		}
		f.machine.HandleLoad(f.now, f.orders[0].Server, "m", Load{Ordered: true, Version: 2})
		f.job("j", 2, 5)
		f.take()
		if len(f.starts) != 0 {
			t.Errorf("what the life before had loaded serves: %+v", f.starts)
		}
		f.machine.HandleLoad(f.now, f.orders[1].Server, "m", Load{Ordered: true, Version: 2})
		f.pass(100 * time.Millisecond)
		if len(f.starts) != 1 {
			t.Errorf("%d items started once the new life has loaded", len(f.starts))
		}
	})
}
