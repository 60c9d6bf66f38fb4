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

// viewFunc is one of the functions that read a job.
type viewFunc func(ctx context.Context, jobID string, satisfied Condition, visit func(*batch.State)) error

// checkNotAbsent reads a job that was accepted. The job may be found or be unknown to this node, but must
// not be reported as absent.
func checkNotAbsent(t *testing.T, view viewFunc, jobID string) (err error) {
	t.Helper()
	err = view(context.Background(), jobID, HasPosition(0), func(state *batch.State) {
		if state == nil {
			t.Errorf("job %s is reported absent", jobID)
		}
	})
	if err != nil && !errors.Is(err, ErrUncertain) && !errors.Is(err, ErrNotFollowed) && !errors.Is(err, errMayBeUnread) {
		t.Errorf("error %v", err)
	}
	return err
}

// A node that starts to read a partition after the store has trimmed its first records continues at
// the first retained record. If it treats the partition as completely read, it reports jobs in the
// trimmed records as absent. No way of reading may do so, whether the job is indexed or not, and
// jobs that are completely retained must still be readable.
func TestJobWithTrimmedRecordsIsNotReportedAbsent(t *testing.T) {
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
		reader, subscriber, follower, scanner := startLogs(t, memory), startLogs(t, memory), startLogs(t, memory), startLogs(t, memory)
		subscriber.Subscribe(t.Context(), 0, &recorder{})
		follower.Follow(context.Background(), 0)
		scanner.Follow(context.Background(), 0)
		for name, view := range map[string]viewFunc{
			"not followed": reader.View, "from the index": reader.ViewIndexed, "subscriber": subscriber.ViewFollowed,
			"follower": follower.ViewFollowed, "beside a follower": scanner.View, "scan": scanner.partitions[0].scan,
		} {
			t.Run(name, func(t *testing.T) {
				checkNotAbsent(t, view, "dropped")
				if err := checkNotAbsent(t, view, "kept"); err != nil {
					t.Errorf("retained job: %v", err)
				}
			})
		}
	}
}

// unavailableLog refuses reads while it is unavailable.
type unavailableLog struct {
	*storetest.Memory
	unavailable atomic.Bool
}

func (l *unavailableLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if l.unavailable.Load() {
		return store.Batch{}, store.ErrRefused
	}
	return l.Memory.Read(ctx, at, from, min(wait, time.Millisecond))
}

// A node that could not reach the store while records were trimmed must not give the results after the
// gap the positions of the trimmed ones: its positions would differ from those of other nodes.
func TestResultsAfterTrimmedRecordsKeepTheirPositions(t *testing.T) {
	log := &unavailableLog{Memory: storetest.NewMemory()}
	writer := NewLogs(Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, log, writer, "job", 4, 1)
	logs := startLogs(t, log)
	logs.Follow(context.Background(), 0)
	checkRead(t, logs, "job", 0, 1)
	log.unavailable.Store(true)
	eventually(t, "failed read", func() bool {
		logs.partitions[0].mutex.Lock()
		defer logs.partitions[0].mutex.Unlock()
		return logs.partitions[0].lastErr != nil
	})
	appendResults(t, writer, "job", 1, 4)
	if err := log.Trim(context.Background(), store.Partition{Topic: store.TopicJobs}, 3); err != nil {
		t.Fatal(err)
	}
	time.Sleep(MaxStaleness)
	log.unavailable.Store(false)
	err := logs.View(context.Background(), "job", HasPosition(1), func(state *batch.State) {
		t.Errorf("unexpected state: %v", state)
	})
	if !errors.Is(err, ErrUncertain) {
		t.Errorf("error %v", err)
	}
}

// hookedLog calls hook once, at the first read of jobs without a wait from an offset.
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

// A node that was the coordinator until recently may still receive requests. If a request for an
// earlier job restarts the read where that job begins, the read no longer covers all open jobs. A
// job whose index entry has not been appended yet is then skipped, and must not be reported as absent.
// The test restarts the read while such a job is being looked up.
func TestJobIsNotReportedAbsentAfterReadRestarts(t *testing.T) {
	synctest.Test(t, checkRestartDuringView)
}

func checkRestartDuringView(t *testing.T) {
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
	logs := startLogs(t, log)
	logs.Follow(context.Background(), 0)
	termCtx, cancelTerm := context.WithCancel(context.Background())
	recorded := &recorder{}
	logs.Subscribe(termCtx, 0, recorded)
	eventually(t, "open job delivered", func() bool { return recorded.has("open", 6) })
	cancelTerm()
	eventually(t, "end of the subscription", func() bool { return !logs.partitions[0].subscribed() })
	called := false
	log.set(8, func() {
		called = true
		appendJob(t, log.Memory, writer, "just accepted", 2, 1)
		checkNotAbsent(t, logs.ViewIndexed, "ended")
	})
	checkNotAbsent(t, logs.ViewFollowed, "just accepted")
	if !called {
		t.Error("the read was not restarted")
	}
}

// truncatedIndex reports an end of the index beyond the records that it returns.
type truncatedIndex struct{ *storetest.Memory }

func (c *truncatedIndex) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	read, err := c.Memory.Read(ctx, at, from, wait)
	if at.Topic == store.TopicJobIndex {
		read.Records, read.Next = nil, from
	}
	return read, err
}

// A job that is missing from an index that was not read to its end must not be reported as absent.
func TestIncompleteIndexReadDoesNotProveAbsence(t *testing.T) {
	memory := storetest.NewMemory()
	writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, memory, writer, "ended", 2, 2)
	appendEnd(t, writer, "ended")
	indexJob(t, memory, "ended", 0)
	logs := startLogs(t, &truncatedIndex{Memory: memory})
	// The node began to read at the OpenFrom offset of an earlier index read.
	logs.partitions[0].index.openFrom = 4
	logs.partitions[0].mutex.Lock()
	logs.partitions[0].resetLocked(4)
	logs.partitions[0].touchLocked()
	logs.partitions[0].mutex.Unlock()
	checkNotAbsent(t, logs.ViewFollowed, "ended")
	checkNotAbsent(t, logs.ViewIndexed, "ended")
}

// Two readers of different jobs in a partition restart each other's reads; neither may report its own
// job as absent. The test is also meant for the race detector.
func TestConcurrentReadersDoNotReportJobsAbsent(t *testing.T) {
	memory := storetest.NewMemory()
	writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, memory, writer, "first", 1, 0)
	appendJob(t, memory, writer, "early", 2, 2)
	appendJob(t, memory, writer, "late", 2, 2)
	indexJob(t, memory, "early", 1)
	indexJob(t, memory, "late", 4)
	var readers sync.WaitGroup
	for range 20 {
		logs := startLogs(t, memory)
		for _, job := range []string{"late", "early", "late", "early"} {
			readers.Go(func() { checkNotAbsent(t, logs.ViewIndexed, job) })
		}
	}
	readers.Wait()
}

// A coordinator that was cut off or stalled may not know that it was replaced. It reads the store before
// it reports a job as absent, so that it finds jobs accepted in the meantime.
func TestReplacedCoordinatorDoesNotReportJobsAbsent(t *testing.T) {
	memory := storetest.NewMemory()
	writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, memory, writer, "before", 2, 1)
	logs := startLogs(t, memory)
	recorded := &recorder{}
	logs.Subscribe(t.Context(), 0, recorded)
	eventually(t, "first job delivered", func() bool { return recorded.has("before", 0) })
	appendJob(t, memory, writer, "meanwhile", 2, 1)
	if err := checkNotAbsent(t, logs.ViewFollowed, "meanwhile"); err != nil {
		t.Errorf("with the store available: %v", err)
	}
	memory.SetFault(storetest.FaultRefuse)
	if err := checkNotAbsent(t, logs.ViewFollowed, "later"); !errors.Is(err, ErrUncertain) {
		t.Errorf("with the store unavailable: %v", err)
	}
}
