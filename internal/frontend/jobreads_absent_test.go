package frontend

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/jobread"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// checkNotReportedAbsent reads the results and an item of an accepted job at a node. The node may
// fail to answer, but must not report them as absent.
func checkNotReportedAbsent(t *testing.T, node *readerNode, job, item string) {
	t.Helper()
	if _, _, verdict := node.results(context.Background(), batch.JobKey{ID: job}, 0, 0); verdict == VerdictAbsent {
		t.Errorf("job %s is reported as absent", job)
	}
	if _, verdict := node.itemBody(context.Background(), batch.JobKey{ID: job}, item); verdict == VerdictAbsent {
		t.Errorf("item %s is reported as absent", item)
	}
}

// A job whose records the store has trimmed isn't reported as absent, by nodes or coordinators,
// with or without its entry in the index: they can't know that it never existed.
func TestJobInTrimmedRecordsIsNotReportedAbsent(t *testing.T) {
	for _, indexed := range []bool{true, false} {
		memory := storetest.NewMemory()
		appendOpenJob(t, memory, "dropped")
		appendOpenJob(t, memory, "kept")
		if indexed {
			appendIndex(t, memory, "dropped", 0)
		}
		if err := memory.Trim(context.Background(), store.Partition{Topic: store.TopicJobs}, 1); err != nil {
			t.Fatal(err)
		}
		coordinator := newReaderNode(t, memory)
		coordinator.jobLogs.Subscribe(t.Context(), 0, subscriber{})
		coordinator.observeCoordinator(true, "")
		node := newReaderNode(t, memory)
		node.observeCoordinator(false, serve(t, coordinator))
		alone := newReaderNode(t, memory)
		alone.seenAt = time.Now().Add(-noCoordinatorTimeout)
		for name, reader := range map[string]*readerNode{"coordinator": coordinator, "node": node, "alone": alone} {
			t.Run(name, func(t *testing.T) { checkNotReportedAbsent(t, reader, "dropped", "dropped-0") })
		}
	}
}

// appendOpenJob appends a job of one item without a result.
func appendOpenJob(t *testing.T, memory *storetest.Memory, id string) {
	t.Helper()
	records, err := batch.EncodeJob(&batch.Job{ID: id, Items: []batch.Item{{ID: id + "-0", Body: []byte("body")}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := memory.Append(context.Background(), store.Partition{Topic: store.TopicJobs}, records); err != nil {
		t.Fatal(err)
	}
}

// A coordinator that is cut off from the store, and so doesn't know of its successor or of newly
// accepted jobs, reports itself as behind instead of reporting such a job as absent; so does a node
// that asks it.
func TestReplacedCoordinatorReportsNoJobAbsent(t *testing.T) {
	memory := storetest.NewMemory()
	cut := &cuttableLog{Memory: memory}
	coordinator := &readerNode{}
	reader, stop := startReader(cut, func(readSource) {})
	t.Cleanup(stop)
	coordinator.jobReadRouter = reader
	coordinator.jobLogs.Subscribe(t.Context(), 0, subscriber{})
	coordinator.observeCoordinator(true, "")
	appendOpenJob(t, memory, "before")
	checkNotReportedAbsent(t, coordinator, "before", "before-0")
	cut.cut.Store(true)
	appendOpenJob(t, memory, "accepted later")
	node := newReaderNode(t, memory)
	node.observeCoordinator(false, serve(t, coordinator))
	checkNotReportedAbsent(t, coordinator, "accepted later", "accepted later-0")
	checkNotReportedAbsent(t, node, "accepted later", "accepted later-0")
	cut.cut.Store(false)
	if _, verdict := node.itemBody(context.Background(), batch.JobKey{ID: "accepted later"}, "accepted later-0"); verdict != VerdictDone {
		t.Errorf("after the store is reachable again: %v", verdict)
	}
}

// A coordinator finds a job behind the first open one even if the index has no entry for it, yet or
// ever, since the node that should have written it was lost.
func TestUnindexedJobIsNotReportedAbsent(t *testing.T) {
	memory := storetest.NewMemory()
	appendOpenJob(t, memory, "open")
	appendIndex(t, memory, "open", 0)
	appendOpenJob(t, memory, "not indexed")
	coordinator := newReaderNode(t, memory)
	coordinator.jobLogs.Follow(context.Background(), 0)
	coordinator.jobLogs.Subscribe(t.Context(), 0, subscriber{})
	coordinator.observeCoordinator(true, "")
	node := newReaderNode(t, memory)
	node.observeCoordinator(false, serve(t, coordinator))
	for name, reader := range map[string]*readerNode{"coordinator": coordinator, "node": node, "without a coordinator": newReaderNode(t, memory)} {
		t.Run(name, func(t *testing.T) { checkNotReportedAbsent(t, reader, "not indexed", "not indexed-0") })
	}
	if body := coordinator.FollowedBody(jobread.BodyRequest{Job: batch.JobKey{ID: "not indexed"}, ItemID: "not indexed-0"}); body.Verdict != jobread.Found {
		t.Errorf("the coordinator: %v", body.Verdict)
	}
}

// hangingReader answers reads without a wait and blocks on long polls.
type hangingReader struct {
	jobread.Reader
	stop <-chan struct{}
}

func (s hangingReader) FollowedResults(request jobread.ResultsRequest) jobread.Results {
	if request.Wait > 0 {
		<-s.stop
	}
	return s.Reader.FollowedResults(request)
}

// A node reported a position as empty more than a second after another node had read a result
// there: when the coordinator stopped answering in the middle of a long poll, the node returned the
// page from before the poll. Here a result is appended while the coordinator hangs in the poll.
func TestStalePageIsNotReturnedAfterALongPoll(t *testing.T) {
	memory := storetest.NewMemory()
	appendOpenJob(t, memory, "job")
	appendIndex(t, memory, "job", 0)
	coordinator := newReaderNode(t, memory)
	coordinator.jobLogs.Subscribe(t.Context(), 0, subscriber{})
	stop := make(chan struct{})
	defer close(stop)
	node := newReaderNode(t, memory)
	node.observeCoordinator(false, serve(t, hangingReader{Reader: coordinator, stop: stop}))
	go func() {
		time.Sleep(50 * time.Millisecond)
		records, err := batch.EncodeResult(&batch.Result{JobID: "job", ItemID: "job-0", Text: "text"})
		if err == nil {
			_, err = memory.Append(context.Background(), store.Partition{Topic: store.TopicJobs}, records)
		}
		if err != nil {
			t.Error(err)
		}
	}()
	_, results, verdict := node.results(context.Background(), batch.JobKey{ID: "job"}, 0, time.Second)
	if verdict == VerdictDone && len(results) == 0 {
		t.Error("a result appended 1.7 s ago is missing from the answer")
	}
}

// cuttableLog is a store from which one node can be cut off.
type cuttableLog struct {
	*storetest.Memory
	cut atomic.Bool
}

func (f *cuttableLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if f.cut.Load() {
		return store.Batch{}, store.ErrRefused
	}
	return f.Memory.Read(ctx, at, from, wait)
}
