package joblog

import (
	"context"
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
