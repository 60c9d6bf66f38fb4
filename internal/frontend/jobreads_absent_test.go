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

// checkNotDenied asks a node for the results and for an item of a job that was accepted: the
// answers may be that it is not known here, and never that it is not there.
func checkNotDenied(t *testing.T, node *readerNode, job, item string) {
	t.Helper()
	if _, _, verdict := node.results(context.Background(), batch.JobKey{ID: job}, 0, 0); verdict == VerdictAbsent {
		t.Errorf("job %s is said to be absent", job)
	}
	if _, verdict := node.itemBody(context.Background(), batch.JobKey{ID: job}, item); verdict == VerdictAbsent {
		t.Errorf("item %s is said to be absent", item)
	}
}

// Nodes and coordinators that may not know all of a partition deny no job that was accepted: the
// store dropped the partition's beginning, with an entry of the job in the index or without.
func TestAJobThatMayHaveStoodInWhatIsGoneIsNotDenied(t *testing.T) {
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
		coordinator.jobs.Subscribe(t.Context(), 0, subscriber{})
		coordinator.observeCoordinator(true, "")
		node := newReaderNode(t, memory)
		node.observeCoordinator(false, serve(t, coordinator))
		alone := newReaderNode(t, memory)
		alone.seenAt = time.Now().Add(-takeOverTime)
		for name, reader := range map[string]*readerNode{"coordinator": coordinator, "node": node, "alone": alone} {
			t.Run(name, func(t *testing.T) { checkNotDenied(t, reader, "dropped", "dropped-0") })
		}
	}
}

// appendOpenJob accepts a job of one item without a result.
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

// A coordinator that was cut off from the store, does not know that it was replaced, and is asked
// for a job that was accepted meanwhile, says that it is behind; so does the node that asked it.
func TestACoordinatorThatWasReplacedDeniesNothing(t *testing.T) {
	memory := storetest.NewMemory()
	cut := &faultyLog{Memory: memory}
	coordinator := &readerNode{}
	reader, stop := startReader(cut, func(readSource) {})
	t.Cleanup(stop)
	coordinator.jobReader = reader
	coordinator.jobs.Subscribe(t.Context(), 0, subscriber{})
	coordinator.observeCoordinator(true, "")
	appendOpenJob(t, memory, "before")
	checkNotDenied(t, coordinator, "before", "before-0")
	cut.cut.Store(true)
	appendOpenJob(t, memory, "meanwhile")
	node := newReaderNode(t, memory)
	node.observeCoordinator(false, serve(t, coordinator))
	checkNotDenied(t, coordinator, "meanwhile", "meanwhile-0")
	checkNotDenied(t, node, "meanwhile", "meanwhile-0")
	cut.cut.Store(false)
	if _, verdict := node.itemBody(context.Background(), batch.JobKey{ID: "meanwhile"}, "meanwhile-0"); verdict != VerdictDone {
		t.Errorf("when the store answers again: %v", verdict)
	}
}

// A coordinator whose index does not hold a job's entry yet, or never will since its writer was
// lost, finds the job where it stands behind the first open one.
func TestAJobWithoutItsEntryIsNotDenied(t *testing.T) {
	memory := storetest.NewMemory()
	appendOpenJob(t, memory, "open")
	appendIndex(t, memory, "open", 0)
	appendOpenJob(t, memory, "not indexed")
	coordinator := newReaderNode(t, memory)
	coordinator.jobs.Follow(context.Background(), 0)
	coordinator.jobs.Subscribe(t.Context(), 0, subscriber{})
	coordinator.observeCoordinator(true, "")
	node := newReaderNode(t, memory)
	node.observeCoordinator(false, serve(t, coordinator))
	for name, reader := range map[string]*readerNode{"coordinator": coordinator, "node": node, "without a coordinator": newReaderNode(t, memory)} {
		t.Run(name, func(t *testing.T) { checkNotDenied(t, reader, "not indexed", "not indexed-0") })
	}
	if body := coordinator.FollowedBody(jobread.BodyQuestion{Job: batch.JobKey{ID: "not indexed"}, ItemID: "not indexed-0"}); body.Verdict != jobread.Found {
		t.Errorf("the coordinator: %v", body.Verdict)
	}
}

// silentAfter answers the first question of results as asked at once, and no held one.
type silentAfter struct {
	jobread.Reader
	stop <-chan struct{}
}

func (s silentAfter) FollowedResults(question jobread.ResultsQuestion) jobread.Results {
	if question.Wait > 0 {
		<-s.stop
	}
	return s.Reader.FollowedResults(question)
}

// Seen: a node answers that there is nothing at a position, over a second after that position was
// read at another node. The cause: what the coordinator had said before it held the question was
// given when it fell silent in the hold. The proof: a result comes during the hold of a
// coordinator that does not answer any more.
func TestWhatWasSaidBeforeAHoldIsNotTheAnswerAfterIt(t *testing.T) {
	memory := storetest.NewMemory()
	appendOpenJob(t, memory, "job")
	appendIndex(t, memory, "job", 0)
	coordinator := newReaderNode(t, memory)
	coordinator.jobs.Subscribe(t.Context(), 0, subscriber{})
	stop := make(chan struct{})
	defer close(stop)
	node := newReaderNode(t, memory)
	node.observeCoordinator(false, serve(t, silentAfter{Reader: coordinator, stop: stop}))
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
		t.Error("a position that is there since 1.7 s is said to be empty")
	}
}

// faultyLog is a store that one node can be cut off from.
type faultyLog struct {
	*storetest.Memory
	cut atomic.Bool
}

func (f *faultyLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if f.cut.Load() {
		return store.Batch{}, store.ErrRefused
	}
	return f.Memory.Read(ctx, at, from, wait)
}
