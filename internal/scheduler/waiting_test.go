package scheduler

import (
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/routetable"
)

// table returns a configuration with the given routes and the pool of model m.
func table(version int64, routes ...routetable.Route) *routetable.Table {
	service := routetable.Service{Name: "pool", Models: []string{"m"}}
	return routetable.NewTable(version, routes, []routetable.Service{service}, routetable.Limits{})
}

// batchRoute returns the route of the fixture's jobs.
func batchRoute() routetable.Route {
	return routetable.Route{
		Name: "r", Host: "h", Prefix: "/p/", Kind: routetable.KindBatch, MaxAttempts: 3,
		Targets: []routetable.Target{{Service: "pool", Weight: 1}}, ItemLifetime: 40 * time.Second,
	}
}

// Guards against items that are sent with a deadline 1 ms away and never expire. The expiry time
// was computed only once, when the job was read. If another node accepted a job for a new route,
// this node could read the job before the configuration, and had no route to take the lifetime
// from. Items that start once the route is known must have the route's lifetime, counted from when
// the job was read.
func TestJobReadBeforeItsRouteGetsTheRouteLifetime(t *testing.T) {
	f := newFixture(t, nil)
	f.machine.HandleTable(f.now, table(2))
	f.servers(1, map[string]int64{"a": 1})
	receivedAt := f.now
	f.submit("j", 1, 10)
	f.advance(time.Second)
	if len(f.starts) != 0 {
		t.Fatalf("starts %+v without a route", f.starts)
	}
	f.machine.HandleTable(f.now, table(3, batchRoute()))
	f.take()
	if len(f.starts) != 1 {
		t.Fatalf("starts %+v", f.starts)
	}
	if left := f.starts[0].Deadline.Sub(receivedAt); left != batchRoute().ItemLifetime {
		t.Errorf("deadline %v after the job was read", left)
	}
	f.end(f.starts[0].Attempt, EndBroken)
	f.advance(batchRoute().ItemLifetime)
	if len(f.results) != 1 || f.results[0].Outcome != batch.OutcomeDead {
		t.Errorf("results %+v after the item expired", f.results)
	}
}

// Guards against a job's items waiting forever on a single-version route while all engines have
// free slots. It happened when an item's run broke after every engine had loaded a newer version:
// no engine could continue the item's text, the text was kept nevertheless, and an item without an
// engine blocked the queue. The items behind it must start at once, and the item itself must start
// over after a while.
func TestTextPinnedToMissingVersionDoesNotBlockQueue(t *testing.T) {
	f := newFixture(t, func(route *routetable.Route) { route.SingleVersion = true })
	f.servers(1, map[string]int64{"a": 1})
	f.submit("j", 1, 30, 20, 10)
	f.event(1, "1", 1)
	f.end(1, EndBroken)
	f.servers(1, map[string]int64{"b": 2, "c": 2, "d": 2})
	f.advance(testTick)
	if len(f.starts) != 3 {
		t.Errorf("started items %v, though three engines have free slots", f.startedItems())
	}
	f.advance(maxSlowEngineWait)
	last := f.starts[len(f.starts)-1]
	if len(f.starts) != 4 || last.Item.ID != "j-0" || last.After != "" || last.ExpectVersion != 2 {
		t.Errorf("started items %v, the last one after %q on version %d", f.startedItems(), last.After, last.ExpectVersion)
	}
}

// testTick is the time between two ticks.
const testTick = 50 * time.Millisecond

// Guards against an engine with free slots that takes no items until the next version. A draining
// engine could get the version before this scheduler ordered it, through a late order of a
// predecessor, and only an order ended the draining. The waiting job must start as soon as the
// server list reports the version.
func TestDrainingEndsWhenEngineAlreadyHasVersion(t *testing.T) {
	f := newFixture(t, func(route *routetable.Route) { route.SingleVersion = true })
	f.servers(2, map[string]int64{"a": 1})
	f.submit("j", 1, 10)
	f.machine.HandleLease(f.now, 1, true)
	f.machine.HandleVersion(f.now, "m", 2)
	f.submit("k", 2, 10)
	if len(f.starts) != 1 || len(f.orders) != 0 {
		t.Fatalf("starts %+v, orders %+v while the engine is draining", f.starts, f.orders)
	}
	f.servers(2, map[string]int64{"a": 2})
	f.advance(testTick)
	if len(f.starts) != 2 {
		t.Errorf("started items %v, though the engine has a free slot", f.startedItems())
	}
}

// A draining engine takes items again when the machine may no longer order loads.
func TestDrainingEndsWhenLeaseIsLost(t *testing.T) {
	f := newFixture(t, func(route *routetable.Route) { route.SingleVersion = true })
	f.servers(2, map[string]int64{"a": 1})
	f.submit("j", 1, 10)
	f.machine.HandleLease(f.now, 1, true)
	f.machine.HandleVersion(f.now, "m", 2)
	f.submit("k", 2, 10)
	f.submit("l", 1, 10)
	if len(f.starts) != 1 {
		t.Fatalf("starts %+v while the engine is draining", f.starts)
	}
	f.machine.HandleLease(f.now, 1, false)
	f.advance(testTick)
	if len(f.starts) != 2 || f.starts[1].Item.ID != "l-0" {
		t.Errorf("started items %v", f.startedItems())
	}
}

// runWithUnresponsiveEngines drives a machine in which the unresponsive engines never
// respond: a run there produces no events and ends only when it is cancelled, and an order fails
// after one second. It returns the time after which each item started at a responsive engine.
func runWithUnresponsiveEngines(f *fixture, unresponsive map[string]bool, duration time.Duration) map[string]time.Duration {
	startedAfter := make(map[string]time.Duration)
	orderedAt := make(map[string]time.Time)
	starts, cancels, orders := 0, 0, 0
	begin := f.now
	for f.now.Sub(begin) < duration {
		f.advance(testTick)
		for _, start := range f.starts[starts:] {
			if _, known := startedAfter[start.Item.ID]; !known && !unresponsive[start.Server.ID] {
				startedAfter[start.Item.ID] = f.now.Sub(begin)
			}
		}
		starts = len(f.starts)
		ended := f.cancels[cancels:]
		cancels = len(f.cancels)
		for _, order := range f.orders[orders:] {
			orderedAt[order.Server.ID] = f.now
		}
		orders = len(f.orders)
		for _, cancelled := range ended {
			f.end(cancelled.Attempt, EndCancelled)
		}
		for id, at := range orderedAt {
			if f.now.Sub(at) >= time.Second {
				delete(orderedAt, id)
				f.machine.HandleLoad(f.now, Server{ID: id}, "m", LoadResult{})
				f.take()
			}
		}
	}
	return startedAfter
}

// Guards against an item that never reaches a responsive engine with a free slot when several
// engines accept items and never respond. Each of these was paused for only half a second, less
// than the time the item spent on it, and was then preferred again because its gap was unknown.
func TestItemAvoidsUnresponsiveEngines(t *testing.T) {
	f := newFixture(t, nil)
	f.servers(1, map[string]int64{"a": 1, "b": 1, "c": 1, "z": 1})
	f.submit("j", 1, 10)
	f.machine.engines["z"].gap = 0.03
	unresponsive := map[string]bool{"a": true, "b": true, "c": true}
	startedAfter := runWithUnresponsiveEngines(f, unresponsive, 10*time.Second)
	if at, known := startedAfter["j-0"]; !known || at > 4*time.Second {
		t.Errorf("item started on the responsive engine after %v (started: %v)", at, known)
	}
}

// Guards against an item that stays at an unresponsive engine when a new version is published. The
// stall timeout is suspended during a load, each failed order counted as an event, and the next
// order came before the run counted as stalled.
func TestFailedLoadsDoNotDelayStallDetection(t *testing.T) {
	f := newFixture(t, nil)
	f.servers(1, map[string]int64{"a": 1})
	f.submit("j", 1, 10)
	f.machine.HandleLease(f.now, 1, true)
	f.servers(1, map[string]int64{"a": 1, "z": 2})
	f.machine.HandleVersion(f.now, "m", 2)
	startedAfter := runWithUnresponsiveEngines(f, map[string]bool{"a": true}, 10*time.Second)
	if at, known := startedAfter["j-0"]; !known || at > 4*time.Second {
		t.Errorf("item started on the responsive engine after %v (started: %v)", at, known)
	}
}

// Guards against a job's items waiting behind one that no engine accepts, such as an item larger
// than the memory of every engine, which is refused as if the engine were full. A refused item was
// always queued first again and took the only slot.
func TestRefusedItemDoesNotBlockQueue(t *testing.T) {
	f := newFixture(t, nil)
	f.servers(1, map[string]int64{"a": 1})
	f.submit("j", 1, 30, 10)
	for range 20 {
		last := f.starts[len(f.starts)-1]
		if last.Item.ID == "j-1" {
			return
		}
		f.end(last.Attempt, EndNotExecuted)
		f.advance(testTick)
	}
	t.Errorf("started items %v", f.startedItems())
}

// Guards against an item staying at an unresponsive engine for 5 to 19 s when every tick of the
// coordinator is late, as on a heavily shared processor. Each late tick excused the pause of the
// process without a bound, so that the time without an event hardly grew. The run must be moved
// after at most twice the stall timeout, however late the ticks are.
func TestLateTicksDoNotDelayStallDetection(t *testing.T) {
	const due = 50 * time.Millisecond
	for _, every := range []time.Duration{due, 240 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		f := newFixture(t, nil)
		f.servers(1, map[string]int64{"a": 1, "b": 1})
		f.submit("j", 1, 10)
		start := f.now
		for len(f.cancels) == 0 && f.now.Sub(start) < 30*time.Second {
			if late := every - due; late > 0 {
				f.machine.HandleProcessStall(f.now.Add(every), late)
			}
			f.advance(every)
		}
		if took := f.now.Sub(start); took > 2*DefaultStallTimeout+2*every {
			t.Errorf("tick interval %v: run moved after %v", every, took)
		}
	}
}

// Guards against items that reach an engine after their lifetime: between the expiry of a job and the next tick, any
// event that frees a slot started its items.
func TestItemsOfAnExpiredJobDoNotStart(t *testing.T) {
	f := newFixture(t, nil)
	f.submit("j", 1, 10)
	f.now = f.now.Add(batchRoute().ItemLifetime)
	f.readPartition()
	f.servers(1, map[string]int64{"a": 1})
	if len(f.starts) != 0 {
		t.Errorf("starts %+v", f.starts)
	}
	f.advance(0)
	if len(f.results) != 1 || f.results[0].Outcome != batch.OutcomeDead {
		t.Errorf("results %+v", f.results)
	}
}
