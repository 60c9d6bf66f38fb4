package frontend

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// countedLog counts the bytes read.
type countedLog struct {
	*storetest.Memory
	bytes atomic.Int64
}

func (c *countedLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	read, err := c.Memory.Read(ctx, at, from, wait)
	for _, record := range read.Records {
		c.bytes.Add(int64(len(record.Value)))
	}
	return read, err
}

// Sizes of a job on a large site: items, and bytes of a result's text.
const (
	benchItems = 192
	benchText  = 4800
)

// appendBenchJob appends a job, its results and its end, and returns the number of its records.
func appendBenchJob(b *testing.B, memory *storetest.Memory, id string) int64 {
	b.Helper()
	job := &batch.Job{ID: id}
	for i := range benchItems {
		job.Items = append(job.Items, batch.Item{ID: fmt.Sprint(id, "-", i), Body: make([]byte, 600)})
	}
	records, err := batch.EncodeJob(job)
	if err != nil {
		b.Fatal(err)
	}
	text := strings.Repeat("x", benchText)
	for _, item := range job.Items {
		result, err := batch.EncodeResult(&batch.Result{JobID: id, ItemID: item.ID, Text: text})
		if err != nil {
			b.Fatal(err)
		}
		records = append(records, result...)
	}
	if _, err := memory.Append(context.Background(), store.Partition{Topic: store.TopicJobs}, records); err != nil {
		b.Fatal(err)
	}
	return int64(len(records))
}

// BenchmarkColdRead reads the last results of a job at a node without local records, with 1, 10 or
// 100 other jobs before it in the partition: through the coordinator, from the job's start
// according to the index, and from the start of the partition. It reports the bytes read from the
// store.
func BenchmarkColdRead(b *testing.B) {
	for _, others := range []int{1, 10, 100} {
		log := &countedLog{Memory: storetest.NewMemory()}
		start := int64(0)
		for i := range others {
			start += appendBenchJob(b, log.Memory, fmt.Sprint("other-", i))
		}
		appendBenchJob(b, log.Memory, "job")
		appendIndex(b, log.Memory, "job", start)
		coordinator, stop := startReader(log, func(readSource) {})
		coordinator.jobLogs.Subscribe(context.Background(), 0, subscriber{})
		address := serve(b, coordinator)
		for _, source := range []string{"coordinator", "index", "partition"} {
			b.Run(fmt.Sprintf("%s/%d", source, others), func(b *testing.B) {
				benchmarkColdRead(b, log, source, address)
			})
		}
		stop()
	}
}

func benchmarkColdRead(b *testing.B, log *countedLog, source, address string) {
	before := int64(0)
	for range b.N {
		node, stop := startReader(log, func(readSource) {})
		switch source {
		case "coordinator":
			node.observeCoordinator(false, address)
		case "partition":
			node.seenAt = time.Now().Add(-noCoordinatorTimeout)
		}
		before = log.bytes.Load()
		if source == "partition" {
			node.jobLogs.Follow(context.Background(), 0)
		}
		_, results, verdict := node.results(context.Background(), batch.JobKey{ID: "job"}, benchItems-10, 0)
		if verdict != VerdictDone || len(results) != 10 {
			b.Fatalf("%v, %d results", verdict, len(results))
		}
		stop()
	}
	b.ReportMetric(float64(log.bytes.Load()-before), "store-bytes/read")
}
