package coordinator

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/election"
	"dalehook/internal/joblog"
	"dalehook/internal/liveness"
	"dalehook/internal/nodecall"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// storeCallLimit is the size in bytes beyond which the store refuses an append for good: the
// least that the platform's store takes.
const storeCallLimit = 2 << 20

// A term hands over as much as an outage of the store kept it from appending.
func TestWhatIsHandedOverFitsTheStoresCalls(t *testing.T) {
	const groups, size = 30, 100 << 10
	memory := storetest.NewMemory()
	memory.SetFault(storetest.FaultRefuse)
	writer := newRecordWriter(t.Context(), memory, zap.NewNop())
	for range groups {
		writer.add(jobs, [][]byte{make([]byte, size/2), make([]byte, size/2)})
	}
	total := 0
	for _, pending := range writer.pending() {
		total += len(pending.Records)
		if len(pending.Records)%2 != 0 {
			t.Errorf("a group is cut: %d records", len(pending.Records))
		}
		if size := sizeOf(pending.Records); size > storeCallLimit {
			t.Errorf("%d bytes are to be appended at once", size)
		}
	}
	if total != 2*groups {
		t.Errorf("%d records of %d", total, 2*groups)
	}
}

// deafPartition is a store that does not answer appends to one partition.
type deafPartition struct {
	*storetest.Memory
	at store.Partition
}

func (d deafPartition) Append(ctx context.Context, at store.Partition, payloads [][]byte) (int64, error) {
	if at == d.at {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return d.Memory.Append(ctx, at, payloads)
}

// predecessor answers as a process that gave its term up and left records in a partition.
type predecessor struct{ left liveness.HandedOver }

func (p predecessor) Yield(int64) bool                   { return true }
func (p predecessor) HandOver(int64) liveness.HandedOver { return p.left }
func (p predecessor) NoteAsked(string)                   {}

// serve returns the address where a predecessor answers.
func (p predecessor) serve(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer()
	if err := liveness.Register(server, "node/1", p); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- nodecall.Serve(listener, server) }()
	t.Cleanup(func() { listener.Close(); <-ended })
	return listener.Addr().String()
}

// jobIn returns the id of a job that stands in a partition.
func jobIn(jobs *joblog.Logs, partition int) string {
	for i := 0; ; i++ {
		if id := fmt.Sprint("j", i); jobs.PartitionOf(id) == partition {
			return id
		}
	}
}

// Seen: the items of all jobs begin seconds late after a take-over. It comes about where the
// store does not answer for one partition, to which the predecessor left records. Cause: no
// partition was followed before the records of all had been appended, or given up after three
// tries. Proof: the job in the other partition begins at once.
func TestAPartitionThatTakesNothingHoldsNoOtherUp(t *testing.T) {
	log := deafPartition{Memory: storetest.NewMemory(), at: store.Partition{Topic: store.TopicJobs, Number: 0}}
	left := liveness.HandedOver{Whole: true, Pending: []liveness.Pending{{Partition: log.at, Records: [][]byte{[]byte("l{}")}}}}
	address := predecessor{left: left}.serve(t)
	engines := newQuickEngines()
	c, jobs := runPartitions(t, log, 2, engines, 8, zap.NewNop())
	id := jobIn(jobs, 1)
	appendJob(t, jobs, id, 1)
	now := time.Now()
	c.ObserveLease(election.State{Leading: true, Held: true, Lease: election.Lease{
		Epoch: 2, ClaimedAt: now, ExpiresAt: now.Add(time.Minute), HasPredecessor: true, Yielded: election.YieldedLease{Address: address, Epoch: 1},
	}})
	awaitItem(t, engines, id+"a")
	if took := time.Since(now); took > appendTimeout {
		t.Errorf("the item began after %v", took)
	}
}

// pickyLog is a store that refuses some records for good.
type pickyLog struct{ *storetest.Memory }

func (p pickyLog) Append(ctx context.Context, at store.Partition, payloads [][]byte) (int64, error) {
	for _, payload := range payloads {
		if string(payload) == "refused" {
			return 0, fmt.Errorf("append: status 413: %w", store.ErrInvalid)
		}
	}
	return p.Memory.Append(ctx, at, payloads)
}

// Seen: a partition gets no results any more. It comes about where the store refuses an append
// for good, such as one with a record beyond its size. Cause: it was tried again without end,
// with all that came later waiting behind it. Proof: what came before and after it is appended.
func TestARecordThatIsRefusedForGoodHoldsNoneUp(t *testing.T) {
	memory := storetest.NewMemory()
	memory.SetFault(storetest.FaultRefuse)
	writer := newRecordWriter(t.Context(), pickyLog{memory}, zap.NewNop())
	for _, text := range []string{"a", "b", "refused", "c"} {
		writer.add(jobs, [][]byte{[]byte(text)})
	}
	memory.SetFault(storetest.FaultNone)
	eventually(t, "the other records", func() bool { return len(records(t, memory, jobs)) == 3 })
	for i, want := range []string{"a", "b", "c"} {
		if got := records(t, memory, jobs)[i]; got != want {
			t.Errorf("record %d is %q", i, got)
		}
	}
}
