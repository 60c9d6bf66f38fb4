package joblog

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// lowestReadLog records the lowest offset at which jobs were read.
type lowestReadLog struct {
	*storetest.Memory
	lowest atomic.Int64
}

func (r *lowestReadLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if at.Topic == store.TopicJobs {
		r.lowest.Store(min(r.lowest.Load(), from))
	}
	return r.Memory.Read(ctx, at, from, wait)
}

const noReadOffset = int64(1) << 40

func appendEnd(t *testing.T, logs *Logs, id string) {
	t.Helper()
	records, err := batch.EncodeEnd(&batch.End{JobID: id})
	if err != nil {
		t.Fatal(err)
	}
	if err := logs.Append(context.Background(), id, records); err != nil {
		t.Fatal(err)
	}
}

func indexOpenFrom(t *testing.T, log store.Log, openFrom int64) {
	t.Helper()
	record, err := EncodeIndexEntry(IndexEntry{OpenFrom: openFrom})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(context.Background(), store.Partition{Topic: store.TopicJobIndex}, [][]byte{record}); err != nil {
		t.Fatal(err)
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// startSubscribed returns a partition with an ended and an open job, and running Logs with a
// subscriber that reads from the start of the open job at offset 4.
func startSubscribed(t *testing.T) (*lowestReadLog, *Logs, *recorder) {
	log := &lowestReadLog{Memory: storetest.NewMemory()}
	log.lowest.Store(noReadOffset)
	writer := NewLogs(Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, log, writer, "ended", 2, 2)
	appendEnd(t, writer, "ended")
	appendJob(t, log, writer, "open", 2, 1)
	indexJob(t, log, "ended", 0)
	indexJob(t, log, "open", 4)
	indexOpenFrom(t, log, 4)
	logs := startLogs(t, log)
	logs.Follow(context.Background(), 0)
	recorded := &recorder{}
	logs.Subscribe(t.Context(), 0, recorded)
	eventually(t, "open job delivered", func() bool { return recorded.has("open", 4) })
	return log, logs, recorded
}

func TestSuccessorReadsFromFirstOpenJob(t *testing.T) {
	log, logs, recorded := startSubscribed(t)
	if lowest := log.lowest.Load(); lowest != 4 {
		t.Errorf("read from offset %d", lowest)
	}
	if recorded.has("ended", 0) {
		t.Error("ended job delivered")
	}
	checkRead(t, logs, "open", 0, 1)
}

// A node that reads from the first open job must answer for earlier jobs too, and not report them
// as absent.
func TestEndedJobIsReadBesideSubscriber(t *testing.T) {
	_, logs, recorded := startSubscribed(t)
	checkRead(t, logs, "ended", 0, 2)
	checkRead(t, logs, "ended", 1, 1)
	checkRead(t, logs, "no such job", 0, -1)
	err := logs.ViewFollowed(context.Background(), "ended", HasPosition(0), func(*batch.State) { t.Error("unexpected state") })
	if !errors.Is(err, ErrNotFollowed) {
		t.Errorf("error %v", err)
	}
	absent := false
	err = logs.ViewFollowed(context.Background(), "no such job", HasPosition(0), func(state *batch.State) { absent = state == nil })
	if err != nil || !absent {
		t.Errorf("absent job: %v", err)
	}
	if !recorded.has("open", 4) || recorded.has("ended", 0) {
		t.Errorf("delivered jobs: %v", recorded.starts)
	}
}

// A subscriber may restart the read at a later offset while another read is in progress. That read must
// not report a job before the offset as absent.
func TestJobIsUncertainAfterReadStartsLater(t *testing.T) {
	_, logs, _ := startSubscribed(t)
	err := logs.partitions[0].viewFromStart(context.Background(), "ended", HasPosition(0), func(*batch.State) {
		t.Error("unexpected state")
	})
	if !errors.Is(err, ErrUncertain) {
		t.Errorf("error %v", err)
	}
}

// A job may be in the log a second time after it has ended, because the append of the first copy
// got no answer and was repeated. It must not run again.
func TestDuplicateOfEndedJobIsIgnored(t *testing.T) {
	log, logs, recorded := startSubscribed(t)
	writer := NewLogs(Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, log, writer, "ended", 2, 0)
	appendJob(t, log, writer, "next", 1, 0)
	eventually(t, "job after the duplicate delivered", func() bool { return recorded.has("next", 7) })
	if recorded.has("ended", 6) {
		t.Error("duplicate delivered as a job")
	}
	checkRead(t, logs, "ended", 0, 2)
}

func TestOpenFromRisesAsJobsEnd(t *testing.T) {
	log, _, recorded := startSubscribed(t)
	writer := NewLogs(Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, log, writer, "next", 1, 0) // at 6
	appendJob(t, log, writer, "last", 1, 0) // at 7
	appendEnd(t, writer, "next")            // at 8
	appendEnd(t, writer, "open")            // at 9
	eventually(t, "end of all jobs before the last", func() bool { return recorded.hasOpenFrom(7) })
	appendEnd(t, writer, "last") // at 10
	eventually(t, "end of all jobs", func() bool { return recorded.hasOpenFrom(11) })
}

// A coordinator must report at once that it does not follow a job that ended before its term. When it
// first read the partition's end and the index, within the 0.5 s that it has for an answer, such
// reads failed with 503 while it was short of CPU time or its store was slow.
func TestEndedJobIsNotFollowedWithoutStoreCall(t *testing.T) {
	log, logs, _ := startSubscribed(t)
	log.SetFault(storetest.FaultSilent)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	err := logs.ViewFollowed(ctx, "ended", HasPosition(0), func(*batch.State) { t.Error("unexpected state") })
	if !errors.Is(err, ErrNotFollowed) {
		t.Errorf("error %v", err)
	}
}

// A late subscription by a goroutine of an ended term is ignored; the jobs go to the current term.
func TestSubscriptionOfEndedTermIsIgnored(t *testing.T) {
	log := storetest.NewMemory()
	logs := startLogs(t, log)
	endedTerm, cancel := context.WithCancel(context.Background())
	before, after := &recorder{}, &recorder{}
	logs.Subscribe(endedTerm, 0, before)
	appendJob(t, log, logs, "first", 1, 0) // at 0
	eventually(t, "job delivered to the first term", func() bool { return before.has("first", 0) })
	cancel()
	logs.Subscribe(t.Context(), 0, after)
	logs.Subscribe(endedTerm, 0, before)
	appendJob(t, log, logs, "second", 1, 0) // at 1
	eventually(t, "both jobs delivered to the current term", func() bool { return after.has("first", 0) && after.has("second", 1) })
	if before.has("second", 1) {
		t.Error("job delivered to the ended term")
	}
}

// A subscription ends with its term.
func TestPartitionIsNotFollowedAfterTermEnds(t *testing.T) {
	logs := startLogs(t, storetest.NewMemory())
	termCtx, cancel := context.WithCancel(context.Background())
	logs.Subscribe(termCtx, 0, &recorder{})
	cancel()
	eventually(t, "end of the subscription", func() bool { return !logs.partitions[0].subscribed() })
}

// A successor may need longer than idleTimeout to read its predecessor's saved progress. If the
// partition read by Follow is discarded by then, it is read again from its start, and its jobs are
// scheduled late after the takeover.
func TestFollowedPartitionIsKeptUntilSuccessorSubscribes(t *testing.T) {
	log := &lowestReadLog{Memory: storetest.NewMemory()}
	log.lowest.Store(noReadOffset)
	writer := NewLogs(Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, log, writer, "ended", 2, 2)
	appendEnd(t, writer, "ended")
	appendJob(t, log, writer, "open", 2, 1)
	indexJob(t, log, "ended", 0)
	indexJob(t, log, "open", 4)
	indexOpenFrom(t, log, 4)
	logs := startLogs(t, log)
	logs.Follow(t.Context(), 0)
	time.Sleep(idleTimeout + readWait + 2*maxReadPause)
	recorded := &recorder{}
	logs.Subscribe(t.Context(), 0, recorded)
	eventually(t, "open job delivered", func() bool { return recorded.has("open", 4) })
	if lowest := log.lowest.Load(); lowest != 4 {
		t.Errorf("read from offset %d", lowest)
	}
}

func (p *partition) subscribed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.subscriber != nil
}
