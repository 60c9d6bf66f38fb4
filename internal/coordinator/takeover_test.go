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

// storeAppendLimit is the size in bytes above which the store permanently rejects an append: the
// smallest limit of the platform's stores.
const storeAppendLimit = 2 << 20

// After a store outage a handover holds everything that could not be appended, so it is split into
// parts that the store accepts.
func TestHandoverPartsFitStoreAppendLimit(t *testing.T) {
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
			t.Errorf("a group was split: %d records", len(pending.Records))
		}
		if size := sizeInBytes(pending.Records); size > storeAppendLimit {
			t.Errorf("part of %d bytes is too large for one append", size)
		}
	}
	if total != 2*groups {
		t.Errorf("%d of %d records", total, 2*groups)
	}
}

// unresponsivePartition is a store that does not answer appends to one partition.
type unresponsivePartition struct {
	*storetest.Memory
	unresponsive store.Partition
}

func (d unresponsivePartition) Append(ctx context.Context, at store.Partition, payloads [][]byte) (int64, error) {
	if at == d.unresponsive {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return d.Memory.Append(ctx, at, payloads)
}

// resignedPredecessor answers handover requests as a process that resigned its term.
type resignedPredecessor struct{ handover liveness.Handover }

func (p resignedPredecessor) Yield(int64) bool                 { return true }
func (p resignedPredecessor) HandOver(int64) liveness.Handover { return p.handover }
func (p resignedPredecessor) NoteCaller(string)                {}

// serve starts a server for the predecessor and returns its address.
func (p resignedPredecessor) serve(t *testing.T) string {
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

// jobIDInPartition returns a job ID that maps to a partition.
func jobIDInPartition(jobs *joblog.Logs, partition int) string {
	for i := 0; ; i++ {
		if id := fmt.Sprint("j", i); jobs.PartitionOf(id) == partition {
			return id
		}
	}
}

// A takeover must not wait for a partition whose appends the store does not answer. When no
// partition was followed until the handed-over records of all were appended, or dropped after three
// attempts, the items of all jobs started seconds late.
func TestUnresponsivePartitionDoesNotDelayOthers(t *testing.T) {
	log := unresponsivePartition{Memory: storetest.NewMemory(), unresponsive: store.Partition{Topic: store.TopicJobs, Number: 0}}
	handover := liveness.Handover{Whole: true, Pending: []liveness.Pending{{Partition: log.unresponsive, Records: [][]byte{[]byte("l{}")}}}}
	address := resignedPredecessor{handover: handover}.serve(t)
	engines := newQuickEngines()
	c, jobs := startCoordinatorWithPartitions(t, log, 2, engines, 8, zap.NewNop())
	id := jobIDInPartition(jobs, 1)
	appendJob(t, jobs, id, 1)
	now := time.Now()
	c.HandleLease(election.State{Leading: true, Held: true, Lease: election.Lease{
		Epoch: 2, ClaimedAt: now, ExpiresAt: now.Add(time.Minute), HasPredecessor: true, HandoverFrom: election.FormerLease{Address: address, Epoch: 1},
	}})
	awaitItem(t, engines, id+"a")
	if took := time.Since(now); took > appendTimeout {
		t.Errorf("item started after %v", took)
	}
}

// rejectingLog permanently rejects the record "refused".
type rejectingLog struct{ *storetest.Memory }

func (p rejectingLog) Append(ctx context.Context, at store.Partition, payloads [][]byte) (int64, error) {
	for _, payload := range payloads {
		if string(payload) == "refused" {
			return 0, fmt.Errorf("append: status 413: %w", store.ErrInvalid)
		}
	}
	return p.Memory.Append(ctx, at, payloads)
}

// The store may reject an append permanently, for example because a record is too large. When such
// an append was retried forever, later records waited behind it and the partition got no more results.
func TestPermanentlyRejectedRecordDoesNotBlockQueue(t *testing.T) {
	memory := storetest.NewMemory()
	memory.SetFault(storetest.FaultRefuse)
	writer := newRecordWriter(t.Context(), rejectingLog{memory}, zap.NewNop())
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
