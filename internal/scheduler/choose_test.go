package scheduler

import (
	"fmt"
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// setGaps sets the gaps of engines as sampled at the given time.
func (f *fixture) setGaps(at time.Time, gaps map[string]float64) {
	for id, gap := range gaps {
		f.machine.engines[id].gap, f.machine.engines[id].gapSampledAt = gap, at
	}
}

// observeLengths has items of the fixture's route end: most with 10 events, and one in ten with 100, by an
// estimate of 100 tokens for an event.
func (f *fixture) observeLengths() {
	for i := range 100 {
		events := 10
		if i%10 == 0 {
			events = 100
		}
		f.machine.lengths.Observe("r", 100*events, events)
	}
}

// Guards against slow engines being left idle while items wait, and against long items on them: a short item
// takes a slow engine when it ends sooner there than behind the items that wait.
func TestShortItemsTakeSlowEnginesWhileLongOnesWait(t *testing.T) {
	f := newFixture(t, nil)
	f.observeLengths()
	f.servers(1, map[string]int64{"a": 1, "b": 1, "c": 1})
	f.setGaps(f.now, map[string]float64{"a": 0.05, "b": 0.05, "c": 0.15})
	f.submitLengths("j", "", 100, 100, 100, 10)
	if got := f.startsByEngine(); len(got["c"]) != 1 || got["c"][0] != "j-3" {
		t.Fatalf("started %v, want the short item on the slow engine", got)
	}
	f.end(f.starts[2].Attempt, EndCompleted)
	f.advance(maxSlowEngineWait)
	if len(f.starts) != 3 {
		t.Fatalf("the long item started on %s after %v", f.starts[3].Server.ID, maxSlowEngineWait)
	}
	f.end(f.starts[0].Attempt, EndCompleted)
	if len(f.starts) != 4 || f.starts[3].Server.ID != "a" {
		t.Errorf("started %v", f.startsByEngine())
	}
}

// Guards against items that wait for a prediction that does not come true: after as much time as the faster
// engine would gain, an item takes the slow one.
func TestLongItemStopsWaitingAfterItsGain(t *testing.T) {
	f := newFixture(t, nil)
	f.observeLengths()
	f.servers(1, map[string]int64{"a": 1, "b": 1})
	gaps := map[string]float64{"a": 0.05, "b": 0.15}
	f.setGaps(f.now, gaps)
	f.submitLengths("j", "", 100, 100)
	for passed := 0; len(f.starts) < 2; passed++ {
		if passed > 120 {
			t.Fatal("the item has waited for 12 s for a gain of 10 s")
		}
		f.event(1, fmt.Sprint(passed), 1)
		f.setGaps(f.now, gaps)
		f.advance(100 * time.Millisecond)
	}
	if waited := f.now.Sub(time.Unix(1000, 0)); waited < 3*time.Second {
		t.Errorf("the item waited for %v only", waited)
	}
}

// Guards against an engine that was slow being filled, or never used, before it is known whether it has
// recovered: it is tried with one short item.
func TestSlowEngineIsTriedWithOneShortItem(t *testing.T) {
	f := newFixture(t, nil)
	f.observeLengths()
	f.servers(4, map[string]int64{"a": 1, "b": 1})
	f.setGaps(f.now, map[string]float64{"b": 0.15})
	f.now = f.now.Add(slowEngineExpiry)
	f.setGaps(f.now, map[string]float64{"a": 0.05})
	f.readPartition()
	f.submitLengths("j", "", 100, 100, 100, 100, 100, 10, 10, 10)
	if got := f.startsByEngine()["b"]; len(got) != 1 || got[0] != "j-5" {
		t.Fatalf("engine b runs %v, want one short item", got)
	}
	probe := f.starts[4].Attempt
	for number := range 2 * gapSampleEvents {
		f.now = f.now.Add(50 * time.Millisecond)
		f.event(probe, fmt.Sprint(number), 1)
	}
	f.advance(time.Millisecond)
	if got := f.startsByEngine()["b"]; len(got) != 4 {
		t.Errorf("engine b runs %v after it has recovered", got)
	}
}

// Guards against long runs that slow each other down while other engines run short ones.
func TestLongItemsAreSpread(t *testing.T) {
	f := newFixture(t, nil)
	f.observeLengths()
	f.servers(4, map[string]int64{"a": 1, "b": 1, "c": 1})
	f.setGaps(f.now, map[string]float64{"a": 0.05, "b": 0.05, "c": 0.05})
	f.submitLengths("j", "", 100, 100, 100, 10, 10, 10)
	for id, items := range f.startsByEngine() {
		if len(items) != 2 {
			t.Errorf("engine %s runs %v", id, items)
		}
	}
}

// runSlowly has a run produce events every 200 ms for a time, and others every 50 ms.
func (f *fixture) runSlowly(period time.Duration, slow AttemptID, fast ...AttemptID) {
	for passed := time.Duration(0); passed < period; passed += 50 * time.Millisecond {
		f.now = f.now.Add(50 * time.Millisecond)
		for _, id := range fast {
			f.event(id, f.now.String(), 1)
		}
		if passed%(200*time.Millisecond) == 0 {
			f.event(slow, f.now.String(), 1)
		}
	}
}

// Guards against moves without a gain: a trainer can use a group only when its last item has ended.
func TestOnlyTheLastItemOfAGroupMoves(t *testing.T) {
	for _, c := range []struct {
		name   string
		groups [3]string
		want   int
	}{
		{"another item of the group ends later", [3]string{"g", "g", "h"}, 0},
		{"last of its group", [3]string{"g", "h", "h"}, 1},
		{"no groups", [3]string{"", "", ""}, 1},
	} {
		f := newFixture(t, func(route *routetable.Route) { route.Resumable = true })
		f.observeLengths()
		f.servers(1, map[string]int64{"a": 1, "b": 1, "c": 1})
		job := &batch.Job{ID: "j", Host: "h", Path: "/p/j", Model: "m"}
		for i, expected := range []int{100, 20, 10} {
			job.Items = append(job.Items, batch.Item{ID: fmt.Sprint("j-", i), Path: "/p/x", Expected: 100 * expected, Group: c.groups[i]})
		}
		f.machine.HandleJob(f.now, 0, job, nil)
		f.take()
		f.runSlowly(1500*time.Millisecond, f.starts[1].Attempt, f.starts[0].Attempt, f.starts[2].Attempt)
		f.end(f.starts[2].Attempt, EndCompleted)
		f.advance(time.Millisecond)
		if len(f.cancels) != c.want {
			t.Errorf("%s: %d runs cancelled, want %d", c.name, len(f.cancels), c.want)
		}
	}
}

// Guards against a run that is moved again and again: it resumed on a slow engine of its own model, because
// its target was an engine of another model.
func TestMovedItemResumesOnItsTarget(t *testing.T) {
	f := newFixture(t, func(route *routetable.Route) { route.Resumable = true })
	service := routetable.Service{Name: "pool", Models: []string{"m", "n"}}
	f.machine.HandleTable(f.now, routetable.NewTable(2, f.machine.table.Routes, []routetable.Service{service}, routetable.Limits{}))
	var servers []*directory.Server
	for _, id := range []string{"a", "b", "c", "d"} {
		servers = append(servers, &directory.Server{
			ID: id, Service: "pool", Address: id + ":1", Slots: 1, Versions: map[string]int64{"m": 1, "n": 1},
		})
	}
	f.machine.HandleServers(f.now, servers)
	gaps := make(map[string]float64)
	for _, eng := range f.machine.sortedEngines() {
		gaps[eng.server.ID] = 0.2
		if eng.model == "n" {
			gaps[eng.server.ID] = 0.05
		}
	}
	f.observeLengths()
	f.submitLengths("j", "", 100)
	own := f.starts[0].Server.ID
	if f.machine.engines[own].model != "m" {
		t.Fatalf("started on engine %s of model n", own)
	}
	for range 8 {
		f.now = f.now.Add(200 * time.Millisecond)
		f.event(1, f.now.String(), 1)
	}
	f.setGaps(f.now, gaps)
	f.machine.Tick(f.now)
	moves := f.machine.output.Moves
	f.take()
	if len(moves) != 1 || len(f.cancels) != 1 {
		t.Fatalf("moves %+v", moves)
	}
	f.end(1, EndCancelled)
	if got := f.starts[1].Server.ID; got != moves[0].To.ID || gaps[got] != 0.05 {
		t.Errorf("resumed on %s, want %s", got, moves[0].To.ID)
	}
	if moves[0].Gain < time.Second || moves[0].PredictedEvents < 50 {
		t.Errorf("move %+v", moves[0])
	}
}
