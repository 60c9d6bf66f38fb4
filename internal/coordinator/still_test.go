package coordinator

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/scheduler"
	"dalehook/internal/store/storetest"
)

// steadyEngines make an event every few milliseconds, but while they are held.
type steadyEngines struct {
	oneEvent
	began chan string
	held  chan struct{}
}

func (e steadyEngines) Run(ctx context.Context, start scheduler.Start, emit func(scheduler.Event)) (scheduler.EndReason, error) {
	e.began <- start.Item.ID
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		e.held <- struct{}{}
		<-e.held
		emit(scheduler.Event{ID: "1", Data: "data", Version: 1})
	}
	return scheduler.EndBroken, ctx.Err()
}

// Seen: all runs are ended and begun again at other engines, and for half a second no item starts
// anywhere. It comes about where the coordinator's process stands still for a second: the events
// that its engines made meanwhile wait to be read. Cause: a run that gave no event for 0.9 s was
// taken for stalled, whether anybody had looked or not. Proof: the run goes on.
func TestAProcessThatStoodStillDoesNotMoveItsRuns(t *testing.T) {
	engines := steadyEngines{began: make(chan string, 100), held: make(chan struct{}, 1)}
	c, jobs := run(t, storetest.NewMemory(), engines, 1, zap.NewNop())
	appendJob(t, jobs, "j", 1)
	leads(c, 1)
	<-engines.began
	time.Sleep(4 * tickInterval)
	c.mutex.Lock()
	engines.held <- struct{}{}
	time.Sleep(scheduler.DefaultStallTimeout + 10*tickInterval)
	c.mutex.Unlock()
	time.Sleep(3 * tickInterval)
	<-engines.held
	select {
	case <-engines.began:
		t.Error("the run was ended and begun again")
	case <-time.After(time.Second):
	}
}
