package frontend

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/joblog"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// linkBandwidth is the bandwidth of a small node's link in bytes a second: 60 Mbit/s.
const linkBandwidth = 7_500_000

// Sizes of a job in a large deployment.
const (
	endedJobItems     = 150
	endedJobTextBytes = 6000
	endedJobBodyBytes = 800
	// endedJobCount is the number of ended jobs in the partition.
	endedJobCount = 4
)

func endedJobID(number int) string { return fmt.Sprint("job-", number) }

// endedJobs returns a store with endedJobCount jobs that have ended, each with results for all
// items but the last, followed by one open job.
func endedJobs(t testing.TB) *storetest.Memory {
	memory := storetest.NewMemory()
	next := int64(0)
	add := func(records [][]byte, err error) {
		if err != nil {
			t.Fatal(err)
		}
		if _, err := memory.Append(context.Background(), store.Partition{Topic: store.TopicJobs}, records); err != nil {
			t.Fatal(err)
		}
		next += int64(len(records))
	}
	text := strings.Repeat("some text of a result. ", endedJobTextBytes/23)
	for number := range endedJobCount + 1 {
		appendIndex(t, memory, endedJobID(number), next)
		job := &batch.Job{ID: endedJobID(number)}
		for i := range endedJobItems {
			job.Items = append(job.Items, batch.Item{ID: fmt.Sprint(job.ID, "-", i), Body: make([]byte, endedJobBodyBytes)})
		}
		add(batch.EncodeJob(job))
		if number == endedJobCount {
			break
		}
		for _, item := range job.Items[:endedJobItems-1] {
			add(batch.EncodeResult(&batch.Result{JobID: job.ID, ItemID: item.ID, Text: text}))
		}
		add(batch.EncodeEnd(&batch.End{JobID: job.ID}))
	}
	record, err := joblog.EncodeIndexEntry(joblog.IndexEntry{OpenFrom: next - 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := memory.Append(context.Background(), store.Partition{Topic: store.TopicJobIndex}, [][]byte{record}); err != nil {
		t.Fatal(err)
	}
	return memory
}

// readAllResults reads a job's results page by page, and returns the time to the first page and to
// the last one.
func readAllResults(t testing.TB, node *jobReadRouter, job string) (first, all time.Duration) {
	began := time.Now()
	for from := 0; from < endedJobItems-1; {
		_, results, verdict := node.results(context.Background(), batch.JobKey{ID: job}, from, 0)
		if verdict == VerdictAbsent {
			t.Errorf("job %s is absent", job)
			return
		}
		if from += len(results); first == 0 && len(results) > 0 {
			first = time.Since(began)
		}
	}
	return first, time.Since(began)
}

// BenchmarkEndedJobs reads jobs that ended before the coordinator's term, at a node without local
// records behind a slow link: one job, several of one partition at once in either order, and one
// job by several callers. It reports the slowest reader's time to the first and to the last page,
// and the reads and bytes from the store.
func BenchmarkEndedJobs(b *testing.B) {
	cases := map[string][]int{
		"one": {0}, "rising": {0, 1, 2, 3}, "falling": {3, 2, 1, 0}, "same": {1, 1, 1, 1},
	}
	memory := endedJobs(b)
	for name, jobs := range cases {
		b.Run(name, func(b *testing.B) { benchmarkEndedJobs(b, memory, jobs) })
	}
}

func benchmarkEndedJobs(b *testing.B, memory *storetest.Memory, jobs []int) {
	var slowestFirst, slowestAll time.Duration
	reads, bytes := 0, 0
	for range b.N {
		coordinator, stopCoordinator := startReader(storetest.NewLink(memory, linkBandwidth), func(readSource) {})
		coordinator.jobLogs.Follow(context.Background(), 0)
		coordinator.jobLogs.Subscribe(b.Context(), 0, subscriber{})
		log := storetest.NewLink(memory, linkBandwidth)
		node, stop := startReader(log, func(readSource) {})
		node.observeCoordinator(false, serve(b, coordinator))
		var readers sync.WaitGroup
		var mutex sync.Mutex
		for i, job := range jobs {
			readers.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				first, all := readAllResults(b, node, endedJobID(job))
				mutex.Lock()
				defer mutex.Unlock()
				slowestFirst, slowestAll = max(slowestFirst, first), max(slowestAll, all)
			})
		}
		readers.Wait()
		stop()
		stopCoordinator()
		moreReads, moreBytes := log.Traffic()
		reads, bytes = reads+moreReads, bytes+moreBytes
	}
	b.ReportMetric(slowestFirst.Seconds()*1000, "first-ms")
	b.ReportMetric(slowestAll.Seconds()*1000, "all-ms")
	b.ReportMetric(float64(reads)/float64(b.N), "reads")
	b.ReportMetric(float64(bytes)/float64(b.N)/1e6, "MB")
}
