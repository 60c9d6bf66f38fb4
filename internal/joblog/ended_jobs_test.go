package joblog

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/store/storetest"
)

// Parameters of the tests of ended jobs: jobs of the size that slow nodes have to read, over a link
// of 60 Mbit/s, for callers with a timeout of 1.5 s.
const (
	endedJobItems  = 150
	endedTextBytes = 6000
	endedJobsBytes = 1_000_000 // size of one job's records, within 10 %
	slowLinkRate   = 7_500_000 // bytes per second
	callerTimeout  = 1500 * time.Millisecond
)

func endedJob(number int) string { return fmt.Sprint("job-", number) }

// newStoreOfEndedJobs returns a store with consecutive ended jobs in one partition. Each has a result
// for every item but the last, and an index entry.
func newStoreOfEndedJobs(t *testing.T, jobs int) *storetest.Memory {
	memory := storetest.NewMemory()
	writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	next := int64(0)
	add := func(job string, records [][]byte, err error) {
		if err != nil {
			t.Fatal(err)
		}
		if err := writer.Append(context.Background(), job, records); err != nil {
			t.Fatal(err)
		}
		next += int64(len(records))
	}
	for number := range jobs {
		job := &batch.Job{ID: endedJob(number)}
		for i := range endedJobItems {
			job.Items = append(job.Items, batch.Item{ID: fmt.Sprint("i", i), Body: make([]byte, 300)})
		}
		indexJob(t, memory, job.ID, next)
		records, err := batch.EncodeJob(job)
		add(job.ID, records, err)
		for _, item := range job.Items[:endedJobItems-1] {
			records, err := batch.EncodeResult(&batch.Result{JobID: job.ID, ItemID: item.ID, Text: strings.Repeat("some text", endedTextBytes/9)})
			add(job.ID, records, err)
		}
		records, err = batch.EncodeEnd(&batch.End{JobID: job.ID})
		add(job.ID, records, err)
	}
	return memory
}

// readResults reads a job's results from a position within a caller's timeout and returns their number
// and the time taken.
func readResults(t *testing.T, logs *Logs, job string, from int) (count int, took time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	began := time.Now()
	err := logs.ViewIndexed(ctx, job, HasPosition(from), func(state *batch.State) {
		if state == nil {
			t.Errorf("job %s is reported absent", job)
			return
		}
		count = len(state.Results) - from
	})
	if err != nil {
		t.Logf("job %s from position %d: %v after %v", job, from, err, time.Since(began))
	}
	return count, time.Since(began)
}

// After all processes were lost at once, jobs that ended before the coordinator's term are read from the
// store by each node. When a node read on to the partition's end, through all later jobs, slow nodes
// answered too late several times in a row.
func TestEndedJobReadsOnlyItsOwnRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := storetest.NewLink(newStoreOfEndedJobs(t, 4), slowLinkRate)
		logs := startLogs(t, link)
		if count, took := readResults(t, logs, endedJob(0), endedJobItems-2); count != 1 {
			t.Errorf("%d results after %v", count, took)
		}
		time.Sleep(idleTimeout + readWait)
		if _, bytes := link.Traffic(); bytes > endedJobsBytes*3/2 {
			t.Errorf("read %d bytes for a job of %d bytes", bytes, endedJobsBytes)
		}
	})
}

// Concurrent requests for different jobs of a partition must only share the link's bandwidth. When
// each earlier job restarted the read, received records were lost, and the reader of a later job
// waited for all records before it.
func TestConcurrentReadersOnlyShareBandwidth(t *testing.T) {
	for name, order := range map[string][]int{"falling": {3, 2, 1, 0}, "rising": {0, 1, 2, 3}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { readConcurrently(t, order) })
		})
	}
}

func readConcurrently(t *testing.T, order []int) {
	const margin = 150 * time.Millisecond
	limit := margin + time.Duration(len(order))*endedJobsBytes*time.Second/slowLinkRate
	logs := startLogs(t, storetest.NewLink(newStoreOfEndedJobs(t, len(order)), slowLinkRate))
	var readers sync.WaitGroup
	for i, number := range order {
		readers.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			if count, took := readResults(t, logs, endedJob(number), 0); count < 1 || took > limit {
				t.Errorf("job %d: %d results after %v, want them within %v", number, count, took, limit)
			}
		})
	}
	readers.Wait()
}

// Records read for a caller that timed out must be kept for its retry. When they were dropped some
// seconds after the caller had left, the retry started again from the beginning. Here the link
// transfers the job within two callers' timeouts, so the second caller gets it.
func TestRecordsReadForTimedOutCallerAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slowLink = 600_000
		logs := startLogs(t, storetest.NewLink(newStoreOfEndedJobs(t, 3), slowLink))
		if count, took := readResults(t, logs, endedJob(1), endedJobItems-2); count > 0 {
			t.Fatalf("first caller answered after %v", took)
		}
		time.Sleep(5 * time.Second)
		if count, took := readResults(t, logs, endedJob(1), endedJobItems-2); count != 1 || took > callerTimeout/10 {
			t.Errorf("second caller: %d results after %v", count, took)
		}
	})
}

// startWithOpenJob returns a store with a job that has one of three results, a writer, and the
// running Logs of a node that has read the job.
func startWithOpenJob(t *testing.T) (memory *storetest.Memory, writer, logs *Logs) {
	memory = storetest.NewMemory()
	writer = NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, memory, writer, "other", 1, 1)
	appendJob(t, memory, writer, "open", 3, 1)
	indexJob(t, memory, "open", 2)
	logs = startLogs(t, memory)
	if count, _ := readResults(t, logs, "open", 0); count != 1 {
		t.Fatalf("%d results", count)
	}
	return memory, writer, logs
}

// Without a coordinator each node reads open jobs itself: new results reach the callers that wait for
// them and later callers.
func TestOpenJobIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, writer, logs := startWithOpenJob(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		waited := make(chan time.Duration)
		began := time.Now()
		go func() {
			logs.WaitFor(ctx, "open", 1)
			waited <- time.Since(began)
		}()
		time.Sleep(10 * time.Second)
		appendResults(t, writer, "open", 1, 2)
		if took := <-waited; took > 10*time.Second+callerReadWait {
			t.Errorf("waited %v for a result appended after 10 s", took)
		}
		time.Sleep(propagationTime)
		appendResults(t, writer, "open", 2, 3)
		time.Sleep(propagationTime)
		if count, _ := readResults(t, logs, "open", 2); count != 1 {
			t.Errorf("%d results from position 2", count)
		}
	})
}

// While the store is unavailable, records read earlier do not count as complete and callers get an error
// soon; afterwards reading continues.
func TestJobIsUncertainWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory, writer, logs := startWithOpenJob(t)
		time.Sleep(propagationTime)
		memory.SetFault(storetest.FaultRefuse)
		err := logs.ViewIndexed(context.Background(), "open", HasPosition(1), func(*batch.State) { t.Error("unexpected state") })
		if !errors.Is(err, ErrUncertain) {
			t.Errorf("error %v", err)
		}
		time.Sleep(retryPause)
		memory.SetFault(storetest.FaultNone)
		appendResults(t, writer, "open", 1, 2)
		if count, _ := readResults(t, logs, "open", 1); count != 1 {
			t.Errorf("%d results from position 1", count)
		}
	})
}

// A missing item of an ended job must not cause further reads of the store.
func TestItemOfEndedJobIsAnsweredFromCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := storetest.NewLink(newStoreOfEndedJobs(t, 1), slowLinkRate)
		logs := startLogs(t, link)
		view := func() {
			err := logs.ViewIndexed(context.Background(), endedJob(0), HasItem("i149"), func(state *batch.State) {
				if state == nil || !state.Ended {
					t.Error("the job is not known to have ended")
				}
			})
			if err != nil {
				t.Error(err)
			}
		}
		// A read beyond the last result is only answered once the job is known to have ended.
		if count, _ := readResults(t, logs, endedJob(0), endedJobItems-1); count != 0 {
			t.Errorf("%d results", count)
		}
		before, _ := link.Traffic()
		view()
		if reads, _ := link.Traffic(); reads != before {
			t.Errorf("%d reads for a cached job", reads-before)
		}
	})
}

func cachedJobs(readers *singleJobReaders) (jobs, bytes int) {
	readers.mutex.Lock()
	defer readers.mutex.Unlock()
	for _, reader := range readers.byJob {
		_, size := reader.idle()
		bytes += size
	}
	return len(readers.byJob), bytes
}

// The cache of jobs is bounded in size and age, and causes no reads by itself.
func TestCachedJobsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 20
		link := storetest.NewLink(newStoreOfEndedJobs(t, jobs), slowLinkRate)
		logs := startLogs(t, link)
		for number := range jobs {
			if count, _ := readResults(t, logs, endedJob(number), 0); count < 1 {
				t.Errorf("job %d has no results", number)
			}
			// The reader continues to the job's end.
			time.Sleep(200 * time.Millisecond)
		}
		if _, bytes := cachedJobs(logs.readers); bytes > maxCachedJobBytes+2*endedJobsBytes {
			t.Errorf("%d bytes cached", bytes)
		}
		before, _ := link.Traffic()
		time.Sleep(3 * jobRetention)
		if jobs, _ := cachedJobs(logs.readers); jobs > 0 {
			t.Errorf("%d jobs cached", jobs)
		}
		if reads, _ := link.Traffic(); reads != before {
			t.Errorf("%d reads without a request", reads-before)
		}
	})
}

// While active readers use up the cache's limit, a new reader must not be evicted at once. When eviction
// ran after the new reader was added, it evicted that one, and an ended job could not be read because
// every caller started again.
func TestNewReaderIsNotEvictedFirst(t *testing.T) {
	memory := storetest.NewMemory()
	logs := startLogs(t, memory)
	p := logs.partitions[0]
	first := logs.readers.readerFor(p, "first", 0)
	first.mutex.Lock()
	first.active, first.bytes = true, maxCachedJobBytes+1
	first.mutex.Unlock()
	second := logs.readers.readerFor(p, "second", 10)
	if logs.readers.readerFor(p, "second", 10) != second {
		t.Error("the new reader was evicted")
	}
	first.mutex.Lock()
	first.active = false
	first.mutex.Unlock()
}

// A job that is answered from the cache of single jobs must be read on meanwhile: callers that asked again and again
// from an early position, or for an item, got the first answer for as long as they asked.
func TestCachedJobIsReadOnWhileItIsAskedFor(t *testing.T) {
	memory := storetest.NewMemory()
	writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, memory, writer, "other", 1, 0)
	appendJob(t, memory, writer, "job", 3, 1)
	indexJob(t, memory, "job", 1)
	logs := startLogs(t, memory)
	checkRead(t, logs, "job", 0, 1)
	appendResults(t, writer, "job", 1, 2)
	results := 0
	eventually(t, "the second result from the first position", func() bool {
		logs.ViewCached("job", HasPosition(0), func(state *batch.State) { results = len(state.Results) })
		return results == 2
	})
	appendEnd(t, writer, "job")
	ended := false
	eventually(t, "the end, asked for an item", func() bool {
		logs.ViewCached("job", HasItem("i2"), func(state *batch.State) { ended = state.Ended })
		return ended
	})
}
