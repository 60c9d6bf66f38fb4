package joblog

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

func indexJob(t *testing.T, log store.Log, id string, start int64) {
	t.Helper()
	record, err := EncodeIndexEntry(IndexEntry{JobID: id, Start: start})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(context.Background(), store.Partition{Topic: store.TopicJobIndex}, [][]byte{record}); err != nil {
		t.Fatal(err)
	}
}

func appendResults(t *testing.T, logs *Logs, id string, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		records, err := batch.EncodeResult(&batch.Result{JobID: id, ItemID: fmt.Sprint("i", i)})
		if err != nil {
			t.Fatal(err)
		}
		if err := logs.Append(context.Background(), id, records); err != nil {
			t.Fatal(err)
		}
	}
}

// checkRead checks the number of a job's results from a position.
func checkRead(t *testing.T, logs *Logs, id string, from, want int) {
	t.Helper()
	count, err := countResults(logs, id, from)
	if err != nil || count != want {
		t.Errorf("job %s has %d results from position %d, %v; want %d", id, count, from, err, want)
	}
}

func TestJobIsReadFromItsStart(t *testing.T) {
	log := &countingLog{Memory: storetest.NewMemory()}
	writer := NewLogs(Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, log, writer, "early", 50, 50)
	appendJob(t, log, writer, "late", 4, 4)
	indexJob(t, log, "early", 0)
	indexJob(t, log, "late", 51)
	logs := startLogs(t, log)
	checkRead(t, logs, "late", 0, 4)
	if got := log.records.Load(); got != 5 {
		t.Errorf("read %d records for a job of 5", got)
	}
	checkRead(t, logs, "early", 0, 50)
	checkRead(t, logs, "late", 1, 3)
}

// A job that begins before the offset at which the read began may be in the log a second time. The
// duplicate is ignored, and earlier results keep their positions.
func TestDuplicateOfEarlierJobIsIgnored(t *testing.T) {
	for _, indexed := range []bool{true, false} {
		memory := storetest.NewMemory()
		writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
		appendJob(t, memory, writer, "early", 3, 1)
		appendJob(t, memory, writer, "late", 1, 1)
		appendJob(t, memory, writer, "early", 3, 0)
		appendResults(t, writer, "early", 1, 3)
		indexJob(t, memory, "late", 2)
		if indexed {
			indexJob(t, memory, "early", 0)
		}
		logs := startLogs(t, memory)
		checkRead(t, logs, "late", 0, 1)
		checkRead(t, logs, "early", 0, 3)
	}
}

// pagedLog returns one record per read, after a pause.
type pagedLog struct {
	*storetest.Memory
	pause time.Duration
}

func (l *pagedLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	read, err := l.Memory.Read(ctx, at, from, wait)
	if err != nil || at.Topic != store.TopicJobs || len(read.Records) == 0 {
		return read, err
	}
	time.Sleep(l.pause)
	read.Records = read.Records[:1]
	read.Next = from + 1
	return read, nil
}

func TestReadWaitsOnlyForNeededRecords(t *testing.T) {
	memory := storetest.NewMemory()
	writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, memory, writer, "first", 2, 2)
	appendJob(t, memory, writer, "second", 200, 200)
	logs := startLogs(t, &pagedLog{Memory: memory, pause: 25 * time.Millisecond})
	began := time.Now()
	if count, err := countResults(logs, "first", 0); err != nil || count < 1 {
		t.Fatalf("%d results, %v", count, err)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("read took %v", took)
	}
}

// A request for an earlier job must not wait for a long poll in progress.
func TestEarlierJobInterruptsLongPoll(t *testing.T) {
	memory := storetest.NewMemory()
	writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, memory, writer, "early", 2, 2)
	appendJob(t, memory, writer, "late", 2, 2)
	indexJob(t, memory, "early", 0)
	indexJob(t, memory, "late", 3)
	logs := startLogs(t, memory)
	checkRead(t, logs, "late", 0, 2)
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	checkRead(t, logs, "early", 0, 2)
	if took := time.Since(began); took > readWait/2 {
		t.Errorf("read took %v", took)
	}
}

func TestSubscriberSeesWholePartition(t *testing.T) {
	memory := storetest.NewMemory()
	writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, memory, writer, "early", 1, 1)
	appendJob(t, memory, writer, "late", 1, 1)
	indexJob(t, memory, "late", 2)
	logs := startLogs(t, memory)
	checkRead(t, logs, "late", 0, 1)
	recorded := &recorder{}
	logs.Subscribe(t.Context(), 0, recorded)
	deadline := time.Now().Add(10 * time.Second)
	for !recorded.has("early", 0) || !recorded.has("late", 2) {
		if time.Now().After(deadline) {
			t.Fatalf("delivered jobs: %v", recorded.starts)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// recorder is a subscriber that records the start offsets of jobs.
type recorder struct {
	mutex  sync.Mutex
	starts map[string]int64
	// openFrom is the last reported offset.
	openFrom int64
}

func (r *recorder) HandleChange(_ int, change batch.Change) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.starts == nil {
		r.starts = make(map[string]int64)
	}
	if change.Accepted != nil {
		r.starts[change.Accepted.Job.ID] = change.Accepted.Start
	}
}

func (r *recorder) HandleOpenFrom(_ int, openFrom int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.openFrom = openFrom
}

func (r *recorder) hasOpenFrom(openFrom int64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.openFrom == openFrom
}

func (r *recorder) HandleCaughtUp(int, time.Time) {}

func (r *recorder) has(id string, start int64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	got, known := r.starts[id]
	return known && got == start
}

// The read may be restarted at any time while the read loop runs. The test is meant for the race detector.
func TestReadMayRestartAtAnyTime(t *testing.T) {
	memory := storetest.NewMemory()
	writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, memory, writer, "early", 1, 1)
	appendJob(t, memory, writer, "late", 1, 1)
	indexJob(t, memory, "early", 0)
	indexJob(t, memory, "late", 2)
	logs := startLogs(t, memory)
	checkRead(t, logs, "late", 0, 1)
	p := logs.partitions[0]
	for i := range 20000 {
		p.mutex.Lock()
		p.resetLocked(int64(i % 3))
		p.mutex.Unlock()
	}
	checkRead(t, logs, "early", 0, 1)
}
