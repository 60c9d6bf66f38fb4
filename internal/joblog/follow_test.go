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

// readsFrom notes the lowest offset at which the jobs were read.
type readsFrom struct {
	*storetest.Memory
	lowest atomic.Int64
}

func (r *readsFrom) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if at.Topic == store.TopicJobs {
		r.lowest.Store(min(r.lowest.Load(), from))
	}
	return r.Memory.Read(ctx, at, from, wait)
}

const noRead = int64(1) << 40

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
	t.Fatalf("never: %s", what)
}

// subscribed is a partition with a job that has ended and one that is open, read by a
// subscriber from where the open one begins, at offset 4.
func subscribed(t *testing.T) (*readsFrom, *Logs, *recorder) {
	log := &readsFrom{Memory: storetest.NewMemory()}
	log.lowest.Store(noRead)
	writer := NewLogs(Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, log, writer, "ended", 2, 2)
	appendEnd(t, writer, "ended")
	appendJob(t, log, writer, "open", 2, 1)
	indexJob(t, log, "ended", 0)
	indexJob(t, log, "open", 4)
	indexOpenFrom(t, log, 4)
	logs := start(t, log)
	logs.Follow(context.Background(), 0)
	seen := &recorder{}
	logs.Subscribe(t.Context(), 0, seen)
	eventually(t, "the open job is seen", func() bool { return seen.has("open", 4) })
	return log, logs, seen
}

func TestASuccessorReadsFromTheFirstOpenJob(t *testing.T) {
	log, logs, seen := subscribed(t)
	if lowest := log.lowest.Load(); lowest != 4 {
		t.Errorf("read from offset %d on", lowest)
	}
	if seen.has("ended", 0) {
		t.Error("a job that has ended is seen")
	}
	checkRead(t, logs, "open", 0, 1)
}

// A node that reads from the first open job on answers for earlier ones, and does not take
// them for absent.
func TestAnEndedJobIsReadBesideASubscriber(t *testing.T) {
	_, logs, seen := subscribed(t)
	checkRead(t, logs, "ended", 0, 2)
	checkRead(t, logs, "ended", 1, 1)
	checkRead(t, logs, "no such job", 0, -1)
	err := logs.ViewFollowed(context.Background(), "ended", HasPosition(0), func(*batch.State) { t.Error("a state is given") })
	if !errors.Is(err, ErrNotFollowed) {
		t.Errorf("error %v", err)
	}
	absent := false
	err = logs.ViewFollowed(context.Background(), "no such job", HasPosition(0), func(state *batch.State) { absent = state == nil })
	if err != nil || !absent {
		t.Errorf("an absent job: %v", err)
	}
	if !seen.has("open", 4) || seen.has("ended", 0) {
		t.Errorf("the subscriber sees %v", seen.starts)
	}
}

// A read that began before a subscriber came, which had the reading begin at a later offset,
// does not take a job for absent that stands before.
func TestAJobIsNotAbsentWhereTheReadingMovedOn(t *testing.T) {
	_, logs, _ := subscribed(t)
	err := logs.partitions[0].viewWhole(context.Background(), "ended", HasPosition(0), func(*batch.State) {
		t.Error("a state is given")
	})
	if !errors.Is(err, ErrUncertain) {
		t.Errorf("error %v", err)
	}
}

// A job may stand in the log once more after it has ended, since the append of the first copy
// got no answer. It must not run again.
func TestACopyOfAnEndedJobIsVoid(t *testing.T) {
	log, logs, seen := subscribed(t)
	writer := NewLogs(Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, log, writer, "ended", 2, 0)
	appendJob(t, log, writer, "next", 1, 0)
	eventually(t, "the job after the copy is seen", func() bool { return seen.has("next", 7) })
	if seen.has("ended", 6) {
		t.Error("the copy is taken for a job")
	}
	checkRead(t, logs, "ended", 0, 2)
}

func TestOpenFromRisesAsJobsEnd(t *testing.T) {
	log, _, seen := subscribed(t)
	writer := NewLogs(Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, log, writer, "next", 1, 0) // at 6
	appendJob(t, log, writer, "last", 1, 0) // at 7
	appendEnd(t, writer, "next")            // at 8
	appendEnd(t, writer, "open")            // at 9
	eventually(t, "all before the last job has ended", func() bool { return seen.opensFrom(7) })
	appendEnd(t, writer, "last") // at 10
	eventually(t, "all jobs have ended", func() bool { return seen.opensFrom(11) })
}

// Seen: reads of jobs that ended before the coordinator's term end with 503 while the coordinator
// is short of processor time or the store is slow to it. The cause: before it said that it does not
// follow such a job, it asked the store for the partition's end and for the index, within the half
// second that it has for an answer. The proof: it says so while the store answers nothing.
func TestAnEndedJobIsHandedBackWithoutTheStore(t *testing.T) {
	log, logs, _ := subscribed(t)
	log.SetFault(storetest.FaultSilent)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	err := logs.ViewFollowed(ctx, "ended", HasPosition(0), func(*batch.State) { t.Error("a state is given") })
	if !errors.Is(err, ErrNotFollowed) {
		t.Errorf("error %v", err)
	}
}

// A subscription that its term's goroutine makes too late is void: the jobs go to the term that
// lasts.
func TestASubscriptionEndsWithItsTerm(t *testing.T) {
	log := storetest.NewMemory()
	logs := start(t, log)
	over, end := context.WithCancel(context.Background())
	before, after := &recorder{}, &recorder{}
	logs.Subscribe(over, 0, before)
	appendJob(t, log, logs, "first", 1, 0) // at 0
	eventually(t, "the first term sees a job", func() bool { return before.has("first", 0) })
	end()
	logs.Subscribe(t.Context(), 0, after)
	logs.Subscribe(over, 0, before)
	appendJob(t, log, logs, "second", 1, 0) // at 1
	eventually(t, "the term that lasts sees both jobs", func() bool { return after.has("first", 0) && after.has("second", 1) })
	if before.has("second", 1) {
		t.Error("the term that is over sees a job")
	}
}

// Nobody follows the jobs of a term that is over.
func TestAPartitionIsNotFollowedAfterTheTerm(t *testing.T) {
	logs := start(t, storetest.NewMemory())
	term, end := context.WithCancel(context.Background())
	logs.Subscribe(term, 0, &recorder{})
	end()
	eventually(t, "the subscription has ended", func() bool { return !logs.partitions[0].subscribed() })
}

// Seen: the jobs of a partition are scheduled late after a take-over. It comes about where a
// successor takes longer to read what its predecessor saved than a partition is kept for readers
// that do not come back. Cause: what Follow had read for the successor was dropped by then, and
// the partition was read anew, from its very start. Proof: it is read from the first open job
// only.
func TestWhatIsFollowedForASuccessorIsKeptUntilItSubscribes(t *testing.T) {
	log := &readsFrom{Memory: storetest.NewMemory()}
	log.lowest.Store(noRead)
	writer := NewLogs(Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, log, writer, "ended", 2, 2)
	appendEnd(t, writer, "ended")
	appendJob(t, log, writer, "open", 2, 1)
	indexJob(t, log, "ended", 0)
	indexJob(t, log, "open", 4)
	indexOpenFrom(t, log, 4)
	logs := start(t, log)
	logs.Follow(t.Context(), 0)
	time.Sleep(interest + readWait + 2*slowestRead)
	seen := &recorder{}
	logs.Subscribe(t.Context(), 0, seen)
	eventually(t, "the open job is seen", func() bool { return seen.has("open", 4) })
	if lowest := log.lowest.Load(); lowest != 4 {
		t.Errorf("read from offset %d on", lowest)
	}
}

func (p *partition) subscribed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.subscriber != nil
}
