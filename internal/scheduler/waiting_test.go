package scheduler

import (
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/routetable"
)

// table returns a configuration with the routes given and the pool of model m.
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

// Seen: the items of a job are sent with a millisecond left, and none of them is ever given up.
// It comes about where another node accepts a job of a route that is new, and this one reads the
// job before the configuration. Cause: the time after which items may be given up was worked out
// once, when the job came, and there was no route to take it from. Proof: the items that start
// once the route is known have the route's time from when the job came.
func TestAJobThatIsReadBeforeItsRouteHasTheRoutesTime(t *testing.T) {
	f := newFixture(t, nil)
	f.machine.HandleTable(f.now, table(2))
	f.servers(1, map[string]int64{"a": 1})
	came := f.now
	f.job("j", 1, 10)
	f.pass(time.Second)
	if len(f.starts) != 0 {
		t.Fatalf("starts %+v without a route", f.starts)
	}
	f.machine.HandleTable(f.now, table(3, batchRoute()))
	f.take()
	if len(f.starts) != 1 {
		t.Fatalf("starts %+v", f.starts)
	}
	if left := f.starts[0].Deadline.Sub(came); left != batchRoute().ItemLifetime {
		t.Errorf("the deadline is %v after the job came", left)
	}
	f.end(f.starts[0].Attempt, EndBroken)
	f.pass(batchRoute().ItemLifetime)
	if len(f.results) != 1 || f.results[0].Outcome != batch.OutcomeDead {
		t.Errorf("results %+v once the item's time is over", f.results)
	}
}

// Seen: on a route whose texts are of one version, the items of a job wait without end while
// all engines have room. It comes about where the run of an item breaks and every engine has
// loaded a newer version by then. Cause: no engine may go on with the item's text, the text was
// kept all the same, and an item that finds no engine has those behind it in the queue wait as
// well. Proof: those behind it start at once, and the item itself starts anew after a while.
func TestATextThatNoEngineMayGoOnWithHoldsNothingUp(t *testing.T) {
	f := newFixture(t, func(route *routetable.Route) { route.SingleVersion = true })
	f.servers(1, map[string]int64{"a": 1})
	f.job("j", 1, 30, 20, 10)
	f.event(1, "1", 1)
	f.end(1, EndBroken)
	f.servers(1, map[string]int64{"b": 2, "c": 2, "d": 2})
	f.pass(tickOfTests)
	if len(f.starts) != 3 {
		t.Errorf("items %v have started, three engines have room", f.startedItems())
	}
	f.pass(slowPatience)
	last := f.starts[len(f.starts)-1]
	if len(f.starts) != 4 || last.Item.ID != "j-0" || last.After != "" || last.ExpectVersion != 2 {
		t.Errorf("items %v have started, the last one after %q under version %d", f.startedItems(), last.After, last.ExpectVersion)
	}
}

// tickOfTests is the time between two ticks.
const tickOfTests = 50 * time.Millisecond

// Seen: an engine with room takes no items until the next version is named. It comes about where
// an engine that takes nothing more, so as to load a version once it is idle, has that version
// before this scheduler orders it: by the order of a predecessor that was carried out late.
// Cause: that it takes nothing more was taken back only by an order. Proof: the waiting job
// starts as soon as the list of servers tells the version.
func TestAnEngineThatHasTheVersionTakesItems(t *testing.T) {
	f := newFixture(t, func(route *routetable.Route) { route.SingleVersion = true })
	f.servers(2, map[string]int64{"a": 1})
	f.job("j", 1, 10)
	f.machine.HandleLease(f.now, 1, true)
	f.machine.HandleVersion(f.now, "m", 2)
	f.job("k", 2, 10)
	if len(f.starts) != 1 || len(f.orders) != 0 {
		t.Fatalf("starts %+v, orders %+v while the engine is to become idle", f.starts, f.orders)
	}
	f.servers(2, map[string]int64{"a": 2})
	f.pass(tickOfTests)
	if len(f.starts) != 2 {
		t.Errorf("items %v have started, the engine has room", f.startedItems())
	}
}

// An engine that was to load once it is idle takes items again where no order may be given.
func TestAnEngineTakesItemsWhereNoOrderMayBeGiven(t *testing.T) {
	f := newFixture(t, func(route *routetable.Route) { route.SingleVersion = true })
	f.servers(2, map[string]int64{"a": 1})
	f.job("j", 1, 10)
	f.machine.HandleLease(f.now, 1, true)
	f.machine.HandleVersion(f.now, "m", 2)
	f.job("k", 2, 10)
	f.job("l", 1, 10)
	if len(f.starts) != 1 {
		t.Fatalf("starts %+v while the engine is to become idle", f.starts)
	}
	f.machine.HandleLease(f.now, 1, false)
	f.pass(tickOfTests)
	if len(f.starts) != 2 || f.starts[1].Item.ID != "l-0" {
		t.Errorf("items %v have started", f.startedItems())
	}
}

// blackHoles drives a machine whose engines with a name in silent never answer: a run there makes
// no event and ends only once it is cancelled, an order fails after a second. It returns when the
// item of each start began at an engine that answers.
func blackHoles(f *fixture, silent map[string]bool, lasts time.Duration) map[string]time.Duration {
	began := make(map[string]time.Duration)
	orderedAt := make(map[string]time.Time)
	starts, cancels, orders := 0, 0, 0
	first := f.now
	for f.now.Sub(first) < lasts {
		f.pass(tickOfTests)
		for _, start := range f.starts[starts:] {
			if _, known := began[start.Item.ID]; !known && !silent[start.Server.ID] {
				began[start.Item.ID] = f.now.Sub(first)
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
				f.machine.HandleLoad(f.now, Server{ID: id}, "m", Load{})
				f.take()
			}
		}
	}
	return began
}

// Seen: an item comes to no engine that answers while one has room. It comes about where several
// engines take what they are sent and never answer. Cause: each was left alone for half a second
// after it had held the item up for longer, and was preferred again by then, since nothing was
// known of its pace. Proof: the item comes to the engine that answers.
func TestAnItemLeavesEnginesThatNeverAnswer(t *testing.T) {
	f := newFixture(t, nil)
	f.servers(1, map[string]int64{"a": 1, "b": 1, "c": 1, "z": 1})
	f.job("j", 1, 10)
	f.machine.engines["z"].gap = 0.03
	silent := map[string]bool{"a": true, "b": true, "c": true}
	began := blackHoles(f, silent, 10*time.Second)
	if at, known := began["j-0"]; !known || at > 4*time.Second {
		t.Errorf("the item came to the engine that answers after %v (%v)", at, known)
	}
}

// Seen: an item stays at an engine that does not answer. It comes about where a new version is
// named meanwhile. Cause: a run is not expected to make events while its engine loads, the end of
// each order that failed counted as an event as well, and the next order came before the run
// counted as stalled. Proof: the item comes to the engine that answers.
func TestOrdersThatFailDoNotKeepARunWhereItIs(t *testing.T) {
	f := newFixture(t, nil)
	f.servers(1, map[string]int64{"a": 1})
	f.job("j", 1, 10)
	f.machine.HandleLease(f.now, 1, true)
	f.servers(1, map[string]int64{"a": 1, "z": 2})
	f.machine.HandleVersion(f.now, "m", 2)
	began := blackHoles(f, map[string]bool{"a": true}, 10*time.Second)
	if at, known := began["j-0"]; !known || at > 4*time.Second {
		t.Errorf("the item came to the engine that answers after %v (%v)", at, known)
	}
}

// Seen: the items of a job wait behind one that no engine takes. It comes about where engines
// refuse an item for good as though they were full, since it is larger than their memory. Cause:
// an item that was refused came first again each time, and had the only slot whenever the engine
// was asked again. Proof: the item behind it runs.
func TestAnItemThatEveryEngineRefusesHoldsNoneUp(t *testing.T) {
	f := newFixture(t, nil)
	f.servers(1, map[string]int64{"a": 1})
	f.job("j", 1, 30, 10)
	for range 20 {
		last := f.starts[len(f.starts)-1]
		if last.Item.ID == "j-1" {
			return
		}
		f.end(last.Attempt, EndNotExecuted)
		f.pass(tickOfTests)
	}
	t.Errorf("items %v have started", f.startedItems())
}

// Seen: the item of an engine that never answers stays there for 5 to 19 s. It comes about where
// every tick of the coordinator is late, as on a processor that many processes share. Cause: each
// late tick counted the time in which the process stood still for none of its runs, without
// a bound, so that the time without an event hardly grew. Proof: the run is moved after
// twice the time that one may be without an event, however late the ticks are.
func TestTicksThatAreAlwaysLateDoNotKeepARunAtASilentEngine(t *testing.T) {
	const due = 50 * time.Millisecond
	for _, every := range []time.Duration{due, 240 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		f := newFixture(t, nil)
		f.servers(1, map[string]int64{"a": 1, "b": 1})
		f.job("j", 1, 10)
		began := f.now
		for len(f.cancels) == 0 && f.now.Sub(began) < 30*time.Second {
			if late := every - due; late > 0 {
				f.machine.HandleStoodStill(f.now.Add(every), late)
			}
			f.pass(every)
		}
		if took := f.now.Sub(began); took > 2*DefaultStallTimeout+2*every {
			t.Errorf("ticks each %v: the run is moved after %v", every, took)
		}
	}
}
