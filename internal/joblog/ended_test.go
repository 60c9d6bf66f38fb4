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

// What the tests of ended jobs go by: jobs of the size that weak nodes have to read, behind a link
// of 60 Mbit/s, for callers who wait 1.5 s.
const (
	endedItems     = 150
	endedText      = 6000
	endedJobsBytes = 1_000_000 // of one job's records, within a tenth
	weakLink       = 7_500_000
	callerPatience = 1500 * time.Millisecond
)

func endedJob(number int) string { return fmt.Sprint("job-", number) }

// storeOfEndedJobs has jobs in one partition, one behind the other, which have ended with a result
// for all items but the last, and have entries in the index.
func storeOfEndedJobs(t *testing.T, jobs int) *storetest.Memory {
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
		for i := range endedItems {
			job.Items = append(job.Items, batch.Item{ID: fmt.Sprint("i", i), Body: make([]byte, 300)})
		}
		indexJob(t, memory, job.ID, next)
		records, err := batch.EncodeJob(job)
		add(job.ID, records, err)
		for _, item := range job.Items[:endedItems-1] {
			records, err := batch.EncodeResult(&batch.Result{JobID: job.ID, ItemID: item.ID, Text: strings.Repeat("some text", endedText/9)})
			add(job.ID, records, err)
		}
		records, err = batch.EncodeEnd(&batch.End{JobID: job.ID})
		add(job.ID, records, err)
	}
	return memory
}

// readEnded reads a job's results from a position on within a caller's patience, and returns how
// many there are and how long that took.
func readEnded(t *testing.T, logs *Logs, job string, from int) (count int, took time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	began := time.Now()
	err := logs.ViewIndexed(ctx, job, HasPosition(from), func(state *batch.State) {
		if state == nil {
			t.Errorf("job %s is said to be absent", job)
			return
		}
		count = len(state.Results) - from
	})
	if err != nil {
		t.Logf("job %s from %d on: %v after %v", job, from, err, time.Since(began))
	}
	return count, time.Since(began)
}

// Seen: at the end of a run in which all processes were lost at once, weak nodes answer reads of
// jobs too late, several times in a row. The cause: such jobs ended before the coordinator's term,
// so that each node reads them from the store by itself, and it read on to the partition's end,
// through all later jobs, though the job had ended. The proof: the bytes that come over the link.
func TestAnEndedJobCostsNoMoreThanItsOwnRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := storetest.NewLink(storeOfEndedJobs(t, 4), weakLink)
		logs := start(t, link)
		if count, took := readEnded(t, logs, endedJob(0), endedItems-2); count != 1 {
			t.Errorf("%d results after %v", count, took)
		}
		time.Sleep(interest + readWait)
		if _, bytes := link.Sent(); bytes > endedJobsBytes*3/2 {
			t.Errorf("%d bytes were read for a job of %d", bytes, endedJobsBytes)
		}
	})
}

// Seen as above, where callers ask for different jobs of one partition at once. The cause: each
// earlier job had the reading begin anew, so that what had come over the link was lost, and the
// reader of a later job waited for all that stands before it. The proof: the time until each has
// its first page is that of the jobs' own bytes over the link.
func TestReadersOfDifferentJobsShareTheLinkAlone(t *testing.T) {
	for name, order := range map[string][]int{"falling": {3, 2, 1, 0}, "rising": {0, 1, 2, 3}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { readAtOnce(t, order) })
		})
	}
}

func readAtOnce(t *testing.T, order []int) {
	const reserve = 150 * time.Millisecond
	most := reserve + time.Duration(len(order))*endedJobsBytes*time.Second/weakLink
	logs := start(t, storetest.NewLink(storeOfEndedJobs(t, len(order)), weakLink))
	var readers sync.WaitGroup
	for i, number := range order {
		readers.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			if count, took := readEnded(t, logs, endedJob(number), 0); count < 1 || took > most {
				t.Errorf("job %d: %d results after %v, not within %v", number, count, took, most)
			}
		})
	}
	readers.Wait()
}

// Seen as above, where a caller asks again after its patience ended. The cause: what had been read
// for it was forgotten some seconds after it had left, so that the next one began anew. The proof:
// over a link that brings the job within two callers' patience, the second one has it.
func TestACallerThatLeftLeavesWhatWasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slowLink = 600_000
		logs := start(t, storetest.NewLink(storeOfEndedJobs(t, 3), slowLink))
		if count, took := readEnded(t, logs, endedJob(1), endedItems-2); count > 0 {
			t.Fatalf("the first caller is answered after %v", took)
		}
		time.Sleep(5 * time.Second)
		if count, took := readEnded(t, logs, endedJob(1), endedItems-2); count != 1 || took > callerPatience/10 {
			t.Errorf("the second caller has %d results after %v", count, took)
		}
	})
}

// openJob is a store with a job that has one result of three, and the node that has read it.
func openJob(t *testing.T) (memory *storetest.Memory, writer, logs *Logs) {
	memory = storetest.NewMemory()
	writer = NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	appendJob(t, memory, writer, "other", 1, 1)
	appendJob(t, memory, writer, "open", 3, 1)
	indexJob(t, memory, "open", 2)
	logs = start(t, memory)
	if count, _ := readEnded(t, logs, "open", 0); count != 1 {
		t.Fatalf("%d results", count)
	}
	return memory, writer, logs
}

// An open job that no coordinator answers for is read by each node as well: what comes is seen by
// those that wait for it, and by those that ask later.
func TestAnOpenJobIsReadOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, writer, logs := openJob(t)
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
			t.Errorf("waited %v for a result that came after 10 s", took)
		}
		time.Sleep(settleTime)
		appendResults(t, writer, "open", 2, 3)
		time.Sleep(settleTime)
		if count, _ := readEnded(t, logs, "open", 2); count != 1 {
			t.Errorf("%d results from position 2 on", count)
		}
	})
}

// While the store does not answer, what was read before it is old is not taken for all, and a
// caller is refused soon; after that the reading goes on.
func TestAJobIsUncertainWhileTheStoreDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory, writer, logs := openJob(t)
		time.Sleep(settleTime)
		memory.SetFault(storetest.FaultRefuse)
		err := logs.ViewIndexed(context.Background(), "open", HasPosition(1), func(*batch.State) { t.Error("a state is given") })
		if !errors.Is(err, ErrUncertain) {
			t.Errorf("error %v", err)
		}
		time.Sleep(retryPause)
		memory.SetFault(storetest.FaultNone)
		appendResults(t, writer, "open", 1, 2)
		if count, _ := readEnded(t, logs, "open", 1); count != 1 {
			t.Errorf("%d results from position 1 on", count)
		}
	})
}

// An item of a job that has ended is not looked for in the store again and again.
func TestAnItemOfAnEndedJobIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := storetest.NewLink(storeOfEndedJobs(t, 1), weakLink)
		logs := start(t, link)
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
		// Beyond the last result there is something to know only once the job has ended.
		if count, _ := readEnded(t, logs, endedJob(0), endedItems-1); count != 0 {
			t.Errorf("%d results", count)
		}
		before, _ := link.Sent()
		view()
		if reads, _ := link.Sent(); reads != before {
			t.Errorf("%d reads for what is known", reads-before)
		}
	})
}

func kept(readings *jobReadings) (jobs, bytes int) {
	readings.mutex.Lock()
	defer readings.mutex.Unlock()
	for _, reading := range readings.byJob {
		_, size := reading.idle()
		bytes += size
	}
	return len(readings.byJob), bytes
}

// What is kept of jobs is bounded in size and in time, and nothing is read for it.
func TestKeptJobsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 20
		link := storetest.NewLink(storeOfEndedJobs(t, jobs), weakLink)
		logs := start(t, link)
		for number := range jobs {
			if count, _ := readEnded(t, logs, endedJob(number), 0); count < 1 {
				t.Errorf("job %d is not read", number)
			}
			// The reading goes on to the job's end.
			time.Sleep(200 * time.Millisecond)
		}
		if _, bytes := kept(logs.readings); bytes > keepJobBytes+2*endedJobsBytes {
			t.Errorf("%d bytes are kept", bytes)
		}
		before, _ := link.Sent()
		time.Sleep(3 * keepJobFor)
		if jobs, _ := kept(logs.readings); jobs > 0 {
			t.Errorf("%d jobs are kept", jobs)
		}
		if reads, _ := link.Sent(); reads != before {
			t.Errorf("%d reads that nobody asked for", reads-before)
		}
	})
}

// Seen: a job that ended can not be read at a node for as long as others are being read there,
// each caller begins anew. It comes about where what is being read takes all the
// memory that there is for it. Cause: room was made after the new reading was added, and
// that one was the first to go. Proof: the next caller finds the reading of the first.
func TestANewReadingIsNotTheFirstToGo(t *testing.T) {
	memory := storetest.NewMemory()
	logs := start(t, memory)
	p := logs.partitions[0]
	first := logs.readings.of(p, "first", 0)
	first.mutex.Lock()
	first.active, first.bytes = true, keepJobBytes+1
	first.mutex.Unlock()
	second := logs.readings.of(p, "second", 10)
	if logs.readings.of(p, "second", 10) != second {
		t.Error("the reading begins anew")
	}
	first.mutex.Lock()
	first.active = false
	first.mutex.Unlock()
}
