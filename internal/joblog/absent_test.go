package joblog

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// viewOf is one of the ways in which a job is read.
type viewOf func(ctx context.Context, jobID string, satisfied Condition, visit func(*batch.State)) error

// checkNotDenied reads a job that was accepted: it may be found, or not be known here, and is
// never absent.
func checkNotDenied(t *testing.T, view viewOf, jobID string) (err error) {
	t.Helper()
	err = view(context.Background(), jobID, HasPosition(0), func(state *batch.State) {
		if state == nil {
			t.Errorf("job %s is said to be absent", jobID)
		}
	})
	if err != nil && !errors.Is(err, ErrUncertain) && !errors.Is(err, ErrNotFollowed) && !errors.Is(err, errMayStandElsewhere) {
		t.Errorf("error %v", err)
	}
	return err
}

// Seen: a job that was accepted is said to be absent by a node that reads its partition after the
// store has dropped the partition's first records. The cause: the reading goes on at the first
// record that is kept, and counts as if it had brought all before. The proof: whatever way such a
// job is read in, and whether the index tells of it or not, it is not denied, and jobs that are
// kept whole are read as before.
func TestAJobWhoseRecordsAreGoneIsNotDenied(t *testing.T) {
	for _, indexed := range []bool{true, false} {
		memory := storetest.NewMemory()
		writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
		appendJob(t, memory, writer, "dropped", 2, 2)
		appendJob(t, memory, writer, "kept", 2, 1)
		if indexed {
			indexJob(t, memory, "dropped", 0)
		}
		indexJob(t, memory, "kept", 3)
		if err := memory.Trim(context.Background(), store.Partition{Topic: store.TopicJobs}, 2); err != nil {
			t.Fatal(err)
		}
		reader, subscriber, follower, beside := start(t, memory), start(t, memory), start(t, memory), start(t, memory)
		subscriber.Subscribe(t.Context(), 0, &recorder{})
		follower.Follow(context.Background(), 0)
		beside.Follow(context.Background(), 0)
		for name, view := range map[string]viewOf{
			"not followed": reader.View, "from the index": reader.ViewIndexed, "subscriber": subscriber.ViewFollowed,
			"follower": follower.ViewFollowed, "beside a follower": beside.View, "scan": beside.partitions[0].scan,
		} {
			t.Run(name, func(t *testing.T) {
				checkNotDenied(t, view, "dropped")
				if err := checkNotDenied(t, view, "kept"); err != nil {
					t.Errorf("a job that is kept: %v", err)
				}
			})
		}
	}
}

// awayLog refuses reads while it is away.
type awayLog struct {
	*storetest.Memory
	away atomic.Bool
}

func (l *awayLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if l.away.Load() {
		return store.Batch{}, store.ErrRefused
	}
	return l.Memory.Read(ctx, at, from, min(wait, time.Millisecond))
}

// A node that was away while the store dropped records does not take the results behind the gap
// for the ones that stood in it: its positions would hold other results than those of other nodes.
func TestResultsBehindAGapDoNotMoveUp(t *testing.T) {
	log := &awayLog{Memory: storetest.NewMemory()}
	writer := NewLogs(Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, log, writer, "job", 4, 1)
	logs := start(t, log)
	logs.Follow(context.Background(), 0)
	checkRead(t, logs, "job", 0, 1)
	log.away.Store(true)
	eventually(t, "the node notices", func() bool {
		logs.partitions[0].mutex.Lock()
		defer logs.partitions[0].mutex.Unlock()
		return logs.partitions[0].failed != nil
	})
	appendResults(t, writer, "job", 1, 4)
	if err := log.Trim(context.Background(), store.Partition{Topic: store.TopicJobs}, 3); err != nil {
		t.Fatal(err)
	}
	time.Sleep(FreshFor)
	log.away.Store(false)
	err := logs.View(context.Background(), "job", HasPosition(1), func(state *batch.State) {
		t.Errorf("a state is given: %v", state)
	})
	if !errors.Is(err, ErrUncertain) {
		t.Errorf("error %v", err)
	}
}

// hookedLog calls hook once when the jobs are read without a hold from an offset.
type hookedLog struct {
	*storetest.Memory
	mutex sync.Mutex
	from  int64
	hook  func()
}

func (l *hookedLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	l.mutex.Lock()
	hook := l.hook
	called := hook != nil && at.Topic == store.TopicJobs && wait == 0 && from == l.from
	if called {
		l.hook = nil
	}
	l.mutex.Unlock()
	if called {
		hook()
	}
	return l.Memory.Read(ctx, at, from, wait)
}

func (l *hookedLog) set(from int64, hook func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.from, l.hook = from, hook
}

// Seen: a node that coordinated until just now, and is still asked, denies a job whose entry in
// the index is on its way, while somebody reads an earlier job there. The cause: the reading begins
// anew where that earlier job begins and no longer covers all open jobs; what is not in the index
// is then passed over, and was taken for absent. The proof: the reading is made to begin anew in
// the midst of the look for such a job.
func TestAJobIsNotDeniedWhereTheReadingNoLongerCoversIt(t *testing.T) {
	synctest.Test(t, lookWhileTheReadingBeginsAnew)
}

func lookWhileTheReadingBeginsAnew(t *testing.T) {
	log := &hookedLog{Memory: storetest.NewMemory()}
	writer := NewLogs(Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, log, writer, "first", 1, 0)
	appendEnd(t, writer, "first")
	appendJob(t, log, writer, "ended", 2, 2)
	appendEnd(t, writer, "ended")
	appendJob(t, log, writer, "open", 2, 1) // at 6
	indexJob(t, log, "first", 0)
	indexJob(t, log, "ended", 2)
	indexJob(t, log, "open", 6)
	indexOpenFrom(t, log, 6)
	logs := start(t, log)
	logs.Follow(context.Background(), 0)
	term, endTerm := context.WithCancel(context.Background())
	seen := &recorder{}
	logs.Subscribe(term, 0, seen)
	eventually(t, "the open job is seen", func() bool { return seen.has("open", 6) })
	endTerm()
	eventually(t, "the subscription has ended", func() bool { return !logs.partitions[0].subscribed() })
	called := false
	log.set(8, func() {
		called = true
		appendJob(t, log.Memory, writer, "just accepted", 2, 1)
		checkNotDenied(t, logs.ViewIndexed, "ended")
	})
	checkNotDenied(t, logs.ViewFollowed, "just accepted")
	if !called {
		t.Error("the reading did not begin anew")
	}
}

// cutIndex tells of a later end of the index than it brings records for.
type cutIndex struct{ *storetest.Memory }

func (c *cutIndex) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	read, err := c.Memory.Read(ctx, at, from, wait)
	if at.Topic == store.TopicJobIndex {
		read.Records, read.Next = nil, from
	}
	return read, err
}

// An index that was not read to its end says nothing of what is not in it.
func TestAnIndexReadInPartDeniesNothing(t *testing.T) {
	memory := storetest.NewMemory()
	writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, memory, writer, "ended", 2, 2)
	appendEnd(t, writer, "ended")
	indexJob(t, memory, "ended", 0)
	logs := start(t, &cutIndex{Memory: memory})
	// The node took the reading up at an offset that an earlier read of the index had told.
	logs.partitions[0].index.openFrom = 4
	logs.partitions[0].mutex.Lock()
	logs.partitions[0].resetLocked(4)
	logs.partitions[0].touchLocked()
	logs.partitions[0].mutex.Unlock()
	checkNotDenied(t, logs.ViewFollowed, "ended")
	checkNotDenied(t, logs.ViewIndexed, "ended")
}

// Two readers of different jobs of one partition have each other's reading begin anew; neither
// takes its own job for absent. The race detector looks on.
func TestReadersOfOnePartitionDoNotDenyEachOthersJobs(t *testing.T) {
	memory := storetest.NewMemory()
	writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, memory, writer, "first", 1, 0)
	appendJob(t, memory, writer, "early", 2, 2)
	appendJob(t, memory, writer, "late", 2, 2)
	indexJob(t, memory, "early", 1)
	indexJob(t, memory, "late", 4)
	var readers sync.WaitGroup
	for range 20 {
		logs := start(t, memory)
		for _, job := range []string{"late", "early", "late", "early"} {
			readers.Go(func() { checkNotDenied(t, logs.ViewIndexed, job) })
		}
	}
	readers.Wait()
}

// A coordinator that was cut off, or stood still, and does not know that it was replaced, denies
// nothing that was accepted meanwhile: it asks the store first.
func TestAReplacedCoordinatorDeniesNothing(t *testing.T) {
	memory := storetest.NewMemory()
	writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, memory, writer, "before", 2, 1)
	logs := start(t, memory)
	seen := &recorder{}
	logs.Subscribe(t.Context(), 0, seen)
	eventually(t, "the first job is seen", func() bool { return seen.has("before", 0) })
	appendJob(t, memory, writer, "meanwhile", 2, 1)
	if err := checkNotDenied(t, logs.ViewFollowed, "meanwhile"); err != nil {
		t.Errorf("while the store answers: %v", err)
	}
	memory.SetFault(storetest.FaultRefuse)
	if err := checkNotDenied(t, logs.ViewFollowed, "later"); !errors.Is(err, ErrUncertain) {
		t.Errorf("while cut off: %v", err)
	}
}
