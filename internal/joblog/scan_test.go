package joblog

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// incompleteLog is a store that returns no job records but reports an end beyond them.
type incompleteLog struct {
	*storetest.Memory
	reads atomic.Int64
}

func (c *incompleteLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if at.Topic != store.TopicJobs {
		return c.Memory.Read(ctx, at, from, wait)
	}
	c.reads.Add(1)
	return store.Batch{Next: from, End: from + 1}, nil
}

// A job must not be reported as absent if the store did not return all records up to its reported end,
// and the read must not be repeated forever.
func TestIncompleteScanIsUncertain(t *testing.T) {
	log := &incompleteLog{Memory: storetest.NewMemory()}
	logs := startLogs(t, log)
	err := logs.partitions[0].scan(context.Background(), "job", HasPosition(0), func(*batch.State) { t.Error("unexpected state") })
	if !errors.Is(err, errIncompleteRead) {
		t.Errorf("error %v", err)
	}
	if reads := log.reads.Load(); reads != 1 {
		t.Errorf("%d reads", reads)
	}
}

// The same applies to an indexed job.
func TestIncompleteJobReadIsUncertain(t *testing.T) {
	log := &incompleteLog{Memory: storetest.NewMemory()}
	indexJob(t, log, "job", 0)
	logs := startLogs(t, log)
	err := logs.ViewIndexed(context.Background(), "job", HasPosition(0), func(*batch.State) { t.Error("unexpected state") })
	if !errors.Is(err, errIncompleteRead) || !errors.Is(err, ErrUncertain) {
		t.Errorf("error %v", err)
	}
	time.Sleep(3 * retryPause)
	if reads := log.reads.Load(); reads != 1 {
		t.Errorf("%d reads", reads)
	}
}
