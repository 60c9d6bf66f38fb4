package scheduler

import (
	"testing"

	"dalehook/internal/batch"
	"dalehook/internal/routetable"
)

// A machine after StopStarting lets its runs continue, and starts nothing.
func TestResignedMachineStartsNothing(t *testing.T) {
	f := newFixture(t, func(route *routetable.Route) { route.Resumable = true })
	f.machine.HandleLease(f.now, 1, true)
	f.servers(1, map[string]int64{"a": 1, "b": 1})
	f.submit("j", 1, 30, 20, 10)
	f.event(f.starts[0].Attempt, "1", 1)
	f.machine.StopStarting(f.now)
	f.take()
	if len(f.progress) != 1 || f.progress[0].ItemID != "j-0" {
		t.Errorf("progress %+v", f.progress)
	}
	starts, orders := len(f.starts), len(f.orders)
	f.event(f.starts[0].Attempt, "2", 1)
	f.end(f.starts[1].Attempt, EndBroken)
	f.machine.HandleVersion(f.now, "m", 2)
	f.submit("k", 1, 10)
	f.advance(2 * DefaultStallTimeout)
	f.servers(4, map[string]int64{"a": 1, "b": 1, "c": 1})
	if len(f.starts) != starts || len(f.orders) != orders || len(f.cancels) != 0 {
		t.Errorf("starts %+v, orders %+v, cancels %+v", f.starts[starts:], f.orders[orders:], f.cancels)
	}
	f.end(f.starts[0].Attempt, EndCompleted)
	if len(f.results) != 1 || f.results[0].Text != "data 1\ndata 2" {
		t.Errorf("results %+v", f.results)
	}
}

// The checkpoints for a successor cover running items, waiting items, and retained items of ended
// jobs.
func TestSaveCheckpointsCoversOpenAndRetainedItems(t *testing.T) {
	f := newFixture(t, nil)
	f.servers(8, map[string]int64{"a": 1})
	f.submitGroups("ended", 1, "g/0", "g/1", "g/2")
	f.event(1, "1", 1)
	f.event(2, "1", 1)
	f.end(2, EndCompleted)
	f.machine.HandleResult(f.now, &f.results[0])
	f.endJob("ended")
	f.submitGroups("open", 1, "h/0", "h/1", "h/2")
	f.event(4, "7", 1)
	f.event(5, "8", 1)
	f.servers(8, nil)
	f.end(5, EndBroken)
	f.progress = nil
	f.machine.SaveCheckpoints(f.now)
	f.take()
	want := map[string]batch.Progress{
		"g/0": {LastID: "1", Text: "data 1"}, "g/1": {Text: "data 1", Whole: true},
		"h/0": {LastID: "7", Text: "data 7"}, "h/1": {LastID: "8", Text: "data 8"},
	}
	if len(f.progress) != len(want) {
		t.Errorf("progress %+v", f.progress)
	}
	for _, got := range f.progress {
		expected := want[got.ItemID]
		if !got.Checkpoint || got.LastID != expected.LastID || got.Text != expected.Text || got.Whole != expected.Whole {
			t.Errorf("%s: %+v", got.ItemID, got)
		}
	}
	successor := newFixture(t, nil)
	successor.machine.HandleRecoveredProgress(successor.now, 0, foldProgress(t, f.progress))
	successor.servers(8, map[string]int64{"a": 1})
	successor.submitGroups("open", 1, "h/0", "h/1", "h/2")
	successor.submitGroups("next", 1, "g/0", "g/1", "g/2")
	if len(successor.results) != 1 || successor.results[0].ItemID != "g/1" {
		t.Errorf("results %+v", successor.results)
	}
	after := map[string]string{"h/0": "7", "h/1": "8", "h/2": "", "g/0": "1", "g/2": ""}
	for _, start := range successor.starts {
		if expected, known := after[start.Item.ID]; !known || start.After != expected {
			t.Errorf("%s starts after %q", start.Item.ID, start.After)
		}
	}
	if len(successor.starts) != len(after) {
		t.Errorf("%d starts", len(successor.starts))
	}
}

func foldProgress(t *testing.T, saved []Progress) map[string]*batch.Partial {
	t.Helper()
	fold := batch.NewProgressFold()
	for _, progress := range saved {
		record, err := batch.EncodeProgress(&progress.Progress)
		if err != nil {
			t.Fatal(err)
		}
		if err := fold.Apply(record); err != nil {
			t.Fatal(err)
		}
	}
	return fold.Partials()
}
