package coordinator

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/scheduler"
	"dalehook/internal/store/storetest"
)

// steadyEngines emit an event every 10 ms, except while paused.
type steadyEngines struct {
	oneEventEngines
	started chan string
	paused  chan struct{}
}

func (e steadyEngines) Run(ctx context.Context, start scheduler.Start, emit func(scheduler.Event)) (scheduler.EndReason, error) {
	e.started <- start.Item.ID
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		e.paused <- struct{}{}
		<-e.paused
		emit(scheduler.Event{ID: "1", Data: "data", Version: 1})
	}
	return scheduler.EndBroken, ctx.Err()
}

// If the coordinator's process stalls for a second, events that engines emitted meanwhile are still
// unread. A run without an event for 0.9 s then counted as stalled: all runs were cancelled and
// restarted at other engines, and no item started for half a second.
func TestProcessStallDoesNotRestartRuns(t *testing.T) {
	engines := steadyEngines{started: make(chan string, 100), paused: make(chan struct{}, 1)}
	c, jobs := startCoordinator(t, storetest.NewMemory(), engines, 1, zap.NewNop())
	appendJob(t, jobs, "j", 1)
	grantLease(c, 1)
	<-engines.started
	time.Sleep(4 * tickInterval)
	c.mutex.Lock()
	engines.paused <- struct{}{}
	time.Sleep(scheduler.DefaultStallTimeout + 10*tickInterval)
	c.mutex.Unlock()
	time.Sleep(3 * tickInterval)
	<-engines.paused
	select {
	case <-engines.started:
		t.Error("the run was restarted")
	case <-time.After(time.Second):
	}
}
