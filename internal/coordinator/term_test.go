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

// itemPatience is how long the tests wait for an item to reach an engine. Those of an open job
// that is followed take some milliseconds.
const itemPatience = 5 * time.Second

// quickEngines run each item to its end at once.
type quickEngines struct {
	oneEvent
	began chan string
}

func newQuickEngines() quickEngines { return quickEngines{began: make(chan string, 100)} }

func (e quickEngines) Run(_ context.Context, start scheduler.Start, emit func(scheduler.Event)) (scheduler.EndReason, error) {
	e.began <- start.Item.ID
	emit(scheduler.Event{ID: "1", Data: "data of " + start.Item.ID, Version: 1})
	return scheduler.EndCompleted, nil
}

// stallingLog is a store whose first read of saved progress stands still until it is let go, as
// a process does that gets no processor: its caller's deadline does not end it.
type stallingLog struct {
	*storetest.Memory
	read    atomic.Bool
	stalled chan struct{}
	letGo   chan struct{}
}

func newStallingLog() *stallingLog {
	return &stallingLog{Memory: storetest.NewMemory(), stalled: make(chan struct{}), letGo: make(chan struct{})}
}

func (l *stallingLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if at.Topic == store.TopicProgress && l.read.CompareAndSwap(false, true) {
		close(l.stalled)
		<-l.letGo
	}
	return l.Memory.Read(ctx, at, from, wait)
}

func awaitItem(t *testing.T, engines quickEngines, itemID string) {
	t.Helper()
	select {
	case got := <-engines.began:
		if got != itemID {
			t.Fatalf("item %s began, not %s", got, itemID)
		}
	case <-time.After(itemPatience):
		t.Fatalf("item %s of an open job has been at no engine for %v", itemID, itemPatience)
	}
}

// Seen: the items of a job wait for the rest of a term while an engine has room. It comes about
// where a term ends before it has taken over a partition, the same node leads again, and the
// goroutine of the term that is over gets there last. Cause: it subscribed all the same, in the
// place of the term that lasts, and its changes went to a scheduler that was over. Proof: the
// job that is accepted afterwards runs.
func TestATermThatIsOverFollowsNoJobs(t *testing.T) {
	log := newStallingLog()
	engines := newQuickEngines()
	core, logged := observer.New(zap.InfoLevel)
	c, jobs := run(t, log, engines, 8, zap.New(core))
	leads(c, 1)
	<-log.stalled
	leads(c, 2)
	appendJob(t, jobs, "before", 1)
	awaitItem(t, engines, "beforea")
	close(log.letGo)
	eventually(t, "the term that is over has taken over", func() bool {
		return logged.FilterMessage("progress recovered").FilterField(zap.Int64("epoch", 1)).Len() > 0
	})
	appendJob(t, jobs, "after", 1)
	awaitItem(t, engines, "aftera")
}

// Seen: a process that is about to stop begins its term once more, runs its items beside its
// successor, and names their progress as in the term before. It comes about where its release of
// the lease can not be appended for as long as runs go on after a term was given up. Cause: a
// lease that still stands began a term, be it given up or not. Proof: it leads no more once it
// has handed over, and hands over the same again.
func TestATermThatWasGivenUpDoesNotBeginAgain(t *testing.T) {
	engines := newQuickEngines()
	c, jobs := run(t, storetest.NewMemory(), engines, 8, zap.NewNop())
	leads(c, 1)
	c.Resign()
	if left := c.HandOver(1); !left.Whole {
		t.Fatalf("handed over %+v", left)
	}
	leads(c, 1)
	if c.State().Leading {
		t.Error("the term has begun once more")
	}
	// Nobody else has claimed the lease: a claim of this process is a term of its own.
	leads(c, 2)
	appendJob(t, jobs, "j", 1)
	awaitItem(t, engines, "ja")
}
