package joblog

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// appendJob appends a job and the given number of its results.
func appendJob(t *testing.T, log store.Log, logs *Logs, id string, items, results int) {
	t.Helper()
	job := &batch.Job{ID: id}
	for i := range items {
		job.Items = append(job.Items, batch.Item{ID: fmt.Sprint("i", i)})
	}
	records, err := batch.EncodeJob(job)
	if err != nil {
		t.Fatal(err)
	}
	for i := range results {
		encoded, err := batch.EncodeResult(&batch.Result{JobID: id, ItemID: fmt.Sprint("i", i)})
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, encoded...)
	}
	if err := logs.Append(context.Background(), id, records); err != nil {
		t.Fatal(err)
	}
}

func startLogs(t *testing.T, log store.Log) *Logs {
	logs := NewLogs(Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { logs.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return logs
}

// countResults returns the number of a job's results from a position, or -1 if the job does not exist.
func countResults(logs *Logs, id string, from int) (int, error) {
	count := -1
	err := logs.View(context.Background(), id, HasPosition(from), func(state *batch.State) {
		if state != nil {
			count = len(state.Results) - from
		}
	})
	return count, err
}

func TestPartialReadIsNotTakenForComplete(t *testing.T) {
	memory := storetest.NewMemory()
	writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, memory, writer, "job", 6, 6)
	// The partition was read only up to position 2.
	logs := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	p := logs.partitions[0]
	p.touch()
	batch, err := memory.Read(context.Background(), p.at, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	batch.Records, batch.Next = batch.Records[:3], 3
	p.apply(0, batch, time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		time.Sleep(50 * time.Millisecond)
		logs.Run(ctx)
	}()
	if count, err := countResults(logs, "job", 2); err != nil || count != 4 {
		t.Errorf("%d results from position 2, %v", count, err)
	}
}

func TestJobIsReportedAbsentOnlyAfterStoreRead(t *testing.T) {
	memory := storetest.NewMemory()
	logs := startLogs(t, memory)
	if count, err := countResults(logs, "job", 0); err != nil || count != -1 {
		t.Errorf("absent job: %d results, %v", count, err)
	}
	memory.SetFault(storetest.FaultRefuse)
	if _, err := countResults(logs, "job", 0); !errors.Is(err, ErrUncertain) {
		t.Errorf("with the store unavailable: %v", err)
	}
	memory.SetFault(storetest.FaultNone)
	appendJob(t, memory, logs, "job", 2, 1)
	if count, err := countResults(logs, "job", 0); err != nil || count != 1 {
		t.Errorf("newly accepted job: %d results, %v", count, err)
	}
}

func TestAppendedPositionIsReadAtOnce(t *testing.T) {
	memory := storetest.NewMemory()
	logs := startLogs(t, memory)
	appendJob(t, memory, logs, "job", 300, 0)
	for count := range 300 {
		records, err := batch.EncodeResult(&batch.Result{JobID: "job", ItemID: fmt.Sprint("i", count)})
		if err != nil {
			t.Fatal(err)
		}
		if err := logs.Append(context.Background(), "job", records); err != nil {
			t.Fatal(err)
		}
		// A client that has read up to position count at another node immediately reads on here.
		if got, err := countResults(logs, "job", count+1); err != nil || got != 0 {
			t.Fatalf("after %d results: %d more, %v", count+1, got, err)
		}
	}
}

func TestWaitForEndsWithTheNextResult(t *testing.T) {
	memory := storetest.NewMemory()
	logs := startLogs(t, memory)
	appendJob(t, memory, logs, "job", 2, 0)
	if _, err := countResults(logs, "job", 0); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	waited := make(chan struct{})
	go func() { logs.WaitFor(ctx, "job", 0); close(waited) }()
	records, err := batch.EncodeResult(&batch.Result{JobID: "job", ItemID: "i1"})
	if err != nil {
		t.Fatal(err)
	}
	if err := logs.Append(context.Background(), "job", records); err != nil {
		t.Fatal(err)
	}
	<-waited
	if ctx.Err() != nil {
		t.Error("WaitFor did not return")
	}
}

func TestReadContinuesAfterTrim(t *testing.T) {
	memory := storetest.NewMemory()
	logs := startLogs(t, memory)
	appendJob(t, memory, logs, "old", 1, 1)
	if err := memory.Trim(context.Background(), store.Partition{Topic: store.TopicJobs}, 2); err != nil {
		t.Fatal(err)
	}
	appendJob(t, memory, logs, "new", 1, 1)
	if count, err := countResults(logs, "new", 0); err != nil || count != 1 {
		t.Errorf("%d results, %v", count, err)
	}
}

func TestReadEndOfTrimmedPartition(t *testing.T) {
	memory := storetest.NewMemory()
	logs := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, memory, logs, "old", 1, 1)
	appendJob(t, memory, logs, "new", 1, 1)
	if err := memory.Trim(context.Background(), store.Partition{Topic: store.TopicJobs}, 2); err != nil {
		t.Fatal(err)
	}
	if end, err := logs.partitions[0].readEnd(context.Background()); err != nil || end != 4 {
		t.Errorf("end %d, %v", end, err)
	}
}

// countingLog counts the job records that it returns, and delays the first read of them.
type countingLog struct {
	*storetest.Memory
	records   atomic.Int64
	firstRead atomic.Int64 // a time.Duration
}

func (l *countingLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if at.Topic != store.TopicJobs {
		return l.Memory.Read(ctx, at, from, wait)
	}
	select {
	case <-ctx.Done():
		return store.Batch{}, ctx.Err()
	case <-time.After(time.Duration(l.firstRead.Load())):
		l.firstRead.Store(0)
	}
	read, err := l.Memory.Read(ctx, at, from, wait)
	l.records.Add(int64(len(read.Records)))
	return read, err
}

// A node that starts to read a partition transfers each of its records once.
func TestPartitionIsReadOnceForAnAnswer(t *testing.T) {
	log := &countingLog{Memory: storetest.NewMemory()}
	writer := NewLogs(Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, log, writer, "job", 50, 50)
	logs := startLogs(t, log)
	log.firstRead.Store(int64(50 * time.Millisecond))
	if count, err := countResults(logs, "job", 0); err != nil || count != 50 {
		t.Fatalf("%d results, %v", count, err)
	}
	stored, err := log.Memory.Read(context.Background(), store.Partition{Topic: store.TopicJobs}, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if got := log.records.Load(); got != int64(len(stored.Records)) {
		t.Errorf("read %d records of a partition with %d", got, len(stored.Records))
	}
}

// A long first read over a low-bandwidth link completes although it exceeds the timeout of an answer;
// later answers use it.
func TestLongFirstReadCompletes(t *testing.T) {
	log := &countingLog{Memory: storetest.NewMemory()}
	writer := NewLogs(Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, log, writer, "job", 5, 5)
	logs := startLogs(t, log)
	log.firstRead.Store(int64(2 * time.Second))
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		if count, err := countResults(logs, "job", 0); err == nil && count == 5 {
			return
		}
	}
	t.Error("the partition was not read")
}
