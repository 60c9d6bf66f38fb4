package frontend

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/joblog"
	"dalehook/internal/jobread"
	"dalehook/internal/nodecall/nodecalltest"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// readerNode is a job reader on a store in memory.
type readerNode struct {
	*jobReadRouter
	sources []readSource
}

func newReaderNode(t *testing.T, memory *storetest.Memory) *readerNode {
	node := &readerNode{}
	reader, stop := startReader(memory, func(source readSource) { node.sources = append(node.sources, source) })
	t.Cleanup(stop)
	node.jobReadRouter = reader
	return node
}

// startReader returns a reader on a store with one partition, and the function that stops it.
func startReader(log store.Log, observe func(readSource)) (reader *jobReadRouter, stop func()) {
	jobs := joblog.NewLogs(joblog.Options{Log: log, Partitions: 1, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		jobs.Run(ctx)
	}()
	return newJobReadRouter(jobs, observe, func() {}, zap.NewNop()), func() {
		cancel()
		<-ended
	}
}

// appendJob appends a job with results for all of its items.
func appendJob(t *testing.T, memory *storetest.Memory, id string, results int) {
	t.Helper()
	job := &batch.Job{ID: id}
	for i := range results {
		job.Items = append(job.Items, batch.Item{ID: fmt.Sprint(id, "-", i)})
	}
	records, err := batch.EncodeJob(job)
	if err != nil {
		t.Fatal(err)
	}
	for _, item := range job.Items {
		result, err := batch.EncodeResult(&batch.Result{JobID: id, ItemID: item.ID, Text: "text"})
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, result...)
	}
	if _, err := memory.Append(context.Background(), store.Partition{Topic: store.TopicJobs}, records); err != nil {
		t.Fatal(err)
	}
}

func appendIndex(t testing.TB, memory *storetest.Memory, id string, start int64) {
	t.Helper()
	record, err := joblog.EncodeIndexEntry(joblog.IndexEntry{JobID: id, Start: start})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := memory.Append(context.Background(), store.Partition{Topic: store.TopicJobIndex}, [][]byte{record}); err != nil {
		t.Fatal(err)
	}
}

func listen(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// serve registers a reader's calls on a server and returns its address.
func serve(t testing.TB, reader jobread.Reader) string {
	t.Helper()
	return nodecalltest.Serve(t, func(server *rpc.Server) error { return jobread.Register(server, reader) })
}

type subscriber struct{}

func (subscriber) HandleChange(int, batch.Change) {}
func (subscriber) HandleOpenFrom(int, int64)      {}
func (subscriber) HandleCaughtUp(int, time.Time)  {}

// A read is answered in time whether the coordinator hangs, is gone, or doesn't follow the jobs: it
// costs the read no more than the time to detect that.
func TestReadIsAnsweredWhateverTheCoordinatorDoes(t *testing.T) {
	memory := storetest.NewMemory()
	appendJob(t, memory, "job", 3)
	appendIndex(t, memory, "job", 0)
	coordinator := newReaderNode(t, memory)
	coordinator.jobLogs.Subscribe(context.Background(), 0, subscriber{})
	newCoordinator := newReaderNode(t, memory)
	newCoordinator.jobLogs.Follow(context.Background(), 0)
	gone := listen(t)
	gone.Close()
	cases := []struct {
		name, address string
		source        readSource
		most          time.Duration
	}{
		{"no coordinator", "", sourceStore, time.Second},
		{"just started", serve(t, newCoordinator), sourceCoordinator, time.Second},
		{"healthy", serve(t, coordinator), sourceCoordinator, time.Second},
		{"gone", gone.Addr().String(), sourceStore, time.Second},
		{"hangs", listen(t).Addr().String(), sourceStore, forwardTimeout + time.Second},
		{"follows no jobs", serve(t, newReaderNode(t, memory)), sourceStore, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			node := newReaderNode(t, memory)
			node.observeCoordinator(false, c.address)
			began := time.Now()
			total, results, verdict := node.results(context.Background(), batch.JobKey{ID: "job"}, 1, 0)
			if total != 3 || len(results) != 2 || verdict != VerdictDone {
				t.Errorf("total %d, %d results, %v", total, len(results), verdict)
			}
			if took := time.Since(began); took > c.most {
				t.Errorf("answered after %v", took)
			}
			if len(node.sources) != 1 || node.sources[0] != c.source {
				t.Errorf("answered from %v", node.sources)
			}
		})
	}
}

// A coordinator that didn't answer isn't asked again until the backoff ends.
func TestSilentCoordinatorIsNotAskedAgainAtOnce(t *testing.T) {
	memory := storetest.NewMemory()
	appendJob(t, memory, "job-1", 1)
	appendJob(t, memory, "job-2", 1)
	node := newReaderNode(t, memory)
	node.observeCoordinator(false, listen(t).Addr().String())
	node.results(context.Background(), batch.JobKey{ID: "job-1"}, 0, 0)
	if address := node.forwardTarget(); address != "" {
		t.Errorf("reads are still forwarded to %s", address)
	}
	node.observeCoordinator(false, "127.0.0.1:1")
	if node.forwardTarget() == "" {
		t.Error("reads are not forwarded to the next coordinator")
	}
}

// A read of a job that the index doesn't hold is refused while a takeover may be in progress:
// searching the whole partition is the next coordinator's work.
func TestWholePartitionIsReadOnlyWithoutACoordinator(t *testing.T) {
	memory := storetest.NewMemory()
	appendJob(t, memory, "job", 1)
	node := newReaderNode(t, memory)
	if _, _, verdict := node.results(context.Background(), batch.JobKey{ID: "job"}, 0, 0); verdict != VerdictRefused {
		t.Errorf("during a possible takeover: %v", verdict)
	}
	node.seenAt = time.Now().Add(-noCoordinatorTimeout)
	if _, results, verdict := node.results(context.Background(), batch.JobKey{ID: "job"}, 0, 0); verdict != VerdictDone || len(results) != 1 {
		t.Errorf("without a coordinator: %v, %d results", verdict, len(results))
	}
	if _, _, verdict := node.results(context.Background(), batch.JobKey{ID: "no such job"}, 0, 0); verdict != VerdictAbsent {
		t.Errorf("a job that does not exist: %v", verdict)
	}
}

// A coordinator that answers again after a silence counts as present, so whole partitions aren't
// read.
func TestAnsweringCoordinatorEndsTheTakeoverTimeout(t *testing.T) {
	memory := storetest.NewMemory()
	follower := newReaderNode(t, memory)
	node := newReaderNode(t, memory)
	node.observeCoordinator(false, serve(t, follower))
	node.failedAt = time.Now().Add(-2 * noCoordinatorTimeout)
	node.seenAt = node.failedAt
	if _, _, verdict := node.results(context.Background(), batch.JobKey{ID: "job"}, 0, 0); verdict != VerdictRefused {
		t.Errorf("%v", verdict)
	}
}

// A long poll at the coordinator ends with the next result.
func TestLongPollEndsWithTheNextResult(t *testing.T) {
	memory := storetest.NewMemory()
	appendJob(t, memory, "job", 1)
	coordinator := newReaderNode(t, memory)
	coordinator.jobLogs.Subscribe(context.Background(), 0, subscriber{})
	node := newReaderNode(t, memory)
	node.observeCoordinator(false, serve(t, coordinator))
	job := &batch.Job{ID: "later", Items: []batch.Item{{ID: "later-0"}}}
	records, err := batch.EncodeJob(job)
	if err != nil {
		t.Fatal(err)
	}
	at := store.Partition{Topic: store.TopicJobs}
	if _, err := memory.Append(context.Background(), at, records); err != nil {
		t.Fatal(err)
	}
	answered := make(chan int)
	go func() {
		_, results, _ := node.results(context.Background(), batch.JobKey{ID: "later"}, 0, 20*time.Second)
		answered <- len(results)
	}()
	time.Sleep(100 * time.Millisecond)
	records, err = batch.EncodeResult(&batch.Result{JobID: "later", ItemID: "later-0", Text: "text"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := memory.Append(context.Background(), at, records); err != nil {
		t.Fatal(err)
	}
	if count := <-answered; count != 1 {
		t.Errorf("%d results", count)
	}
	if len(node.sources) != 1 || node.sources[0] != sourceCoordinator {
		t.Errorf("answered from %v", node.sources)
	}
}

func TestLimitResults(t *testing.T) {
	results := []batch.Result{{Text: "aaaa"}, {Text: "bb"}, {Text: "cc"}}
	for most, want := range map[int]int{0: 1, 5: 1, 6: 2, 100: 3} {
		if got := len(limitResults(results, most)); got != want {
			t.Errorf("%d results within %d bytes, want %d", got, most, want)
		}
	}
}
