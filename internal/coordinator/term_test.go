package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"dalehook/internal/scheduler"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// itemTimeout is how long the tests wait for an item to reach an engine. Items of an open job
// that is followed take a few milliseconds.
const itemTimeout = 5 * time.Second

// quickEngines complete each item at once.
type quickEngines struct {
	oneEventEngines
	started chan string
}

func newQuickEngines() quickEngines { return quickEngines{started: make(chan string, 100)} }

func (e quickEngines) Run(_ context.Context, start scheduler.Start, emit func(scheduler.Event)) (scheduler.EndReason, error) {
	e.started <- start.Item.ID
	emit(scheduler.Event{ID: "1", Data: "data of " + start.Item.ID, Version: 1})
	return scheduler.EndCompleted, nil
}

// stallingLog is a store whose first read of saved progress blocks until it is released, as if the
// process got no CPU time: the caller's deadline does not end the read.
type stallingLog struct {
	*storetest.Memory
	read    atomic.Bool
	stalled chan struct{}
	release chan struct{}
}

func newStallingLog() *stallingLog {
	return &stallingLog{Memory: storetest.NewMemory(), stalled: make(chan struct{}), release: make(chan struct{})}
}

func (l *stallingLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if at.Topic == store.TopicProgress && l.read.CompareAndSwap(false, true) {
		close(l.stalled)
		<-l.release
	}
	return l.Memory.Read(ctx, at, from, wait)
}

func awaitItem(t *testing.T, engines quickEngines, itemID string) {
	t.Helper()
	select {
	case got := <-engines.started:
		if got != itemID {
			t.Fatalf("item %s started, want %s", got, itemID)
		}
	case <-time.After(itemTimeout):
		t.Fatalf("item %s of an open job did not reach an engine within %v", itemID, itemTimeout)
	}
}

// A term may end before it has taken over a partition, and the same node may lead again. If the
// goroutine of the ended term then subscribes last, it replaces the subscription of the current term
// and changes go to the old scheduler, so that items wait for the rest of the term although an engine
// has a free slot.
func TestEndedTermDoesNotSubscribe(t *testing.T) {
	log := newStallingLog()
	engines := newQuickEngines()
	core, logged := observer.New(zap.InfoLevel)
	c, jobs := startCoordinator(t, log, engines, 8, zap.New(core))
	grantLease(c, 1)
	<-log.stalled
	grantLease(c, 2)
	appendJob(t, jobs, "before", 1)
	awaitItem(t, engines, "beforea")
	close(log.release)
	eventually(t, "takeover of the ended term finished", func() bool {
		return logged.FilterMessage("progress recovered").FilterField(zap.Int64("epoch", 1)).Len() > 0
	})
	appendJob(t, jobs, "after", 1)
	awaitItem(t, engines, "aftera")
}

// A lease whose release can not be appended for as long as the runs of a resigned term continue stays
// valid after the handover. If it begins a term again, a stopping process runs its items beside its
// successor and reuses the run names of the previous term in their progress.
func TestResignedTermDoesNotRestart(t *testing.T) {
	engines := newQuickEngines()
	c, jobs := startCoordinator(t, storetest.NewMemory(), engines, 8, zap.NewNop())
	grantLease(c, 1)
	c.Resign()
	if handover := c.HandOver(1); !handover.Whole {
		t.Fatalf("handed over %+v", handover)
	}
	grantLease(c, 1)
	if c.State().Leading {
		t.Error("the resigned term started again")
	}
	// No other process has claimed the lease: a new claim by this process begins a new term.
	grantLease(c, 2)
	appendJob(t, jobs, "j", 1)
	awaitItem(t, engines, "ja")
}
