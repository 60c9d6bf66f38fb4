package core

import (
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

// TestLoadsOfWaitingTrainersAreDue covers a step that is posted before the plan
// loads the engines: its samples would wait for days.
func TestLoadsOfWaitingTrainersAreDue(t *testing.T) {
	at := time.Date(2026, 12, 7, 9, 0, 0, 0, time.UTC)
	c := New(Options{Self: cluster.Node{ID: "node-1", Incarnation: 1}})
	control := c.follower.Control()
	apply := func(body any) {
		offset := control.Offset() + 1
		control.Apply(record.Entry{Offset: offset, Record: record.Record{ID: record.ID(rune('a' + offset)), Body: body}})
	}
	apply(record.PlanConfirmed{Plan: record.Plan{
		Digest: "d",
		Event:  record.Event{Name: "exam week", Rollouts: []record.RolloutDemand{{Trainer: "marker", Pool: "essay", Model: "marker"}}},
		Loads:  []record.LoadVersion{{Engine: "engine-1", Pool: "essay", Model: "marker", Version: 1, At: at}},
	}})
	loads := weightsEnvironment{c.environment}
	if got := loads.PlannedLoads("essay"); len(got) != 1 || !got[0].At.Equal(at) {
		t.Fatalf("before a step is open the load is due as planned, got %+v", got)
	}
	apply(record.StepOpened{Step: "s1", Event: "exam week", Trainer: "marker", Samples: 1, Digest: "x"})
	if got := loads.PlannedLoads("essay"); len(got) != 1 || !got[0].At.IsZero() {
		t.Fatalf("with an open step the load is due at once, got %+v", got)
	}
}
