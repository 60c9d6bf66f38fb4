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

// cutOff is a store that has no records of jobs, but tells of an end behind them.
type cutOff struct {
	*storetest.Memory
	reads atomic.Int64
}

func (c *cutOff) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if at.Topic != store.TopicJobs {
		return c.Memory.Read(ctx, at, from, wait)
	}
	c.reads.Add(1)
	return store.Batch{Next: from, End: from + 1}, nil
}

// A job is not absent where the store has not brought all that it tells of, and the store is
// not asked without end.
func TestAScanThatComesToNoEndIsUncertain(t *testing.T) {
	log := &cutOff{Memory: storetest.NewMemory()}
	logs := start(t, log)
	err := logs.partitions[0].scan(context.Background(), "job", HasPosition(0), func(*batch.State) { t.Error("a state is given") })
	if !errors.Is(err, errCutOff) {
		t.Errorf("error %v", err)
	}
	if reads := log.reads.Load(); reads != 1 {
		t.Errorf("%d reads", reads)
	}
}

// The same for a job that the index holds.
func TestAJobThatComesToNoEndIsUncertain(t *testing.T) {
	log := &cutOff{Memory: storetest.NewMemory()}
	indexJob(t, log, "job", 0)
	logs := start(t, log)
	err := logs.ViewIndexed(context.Background(), "job", HasPosition(0), func(*batch.State) { t.Error("a state is given") })
	if !errors.Is(err, errCutOff) || !errors.Is(err, ErrUncertain) {
		t.Errorf("error %v", err)
	}
	time.Sleep(3 * retryPause)
	if reads := log.reads.Load(); reads != 1 {
		t.Errorf("%d reads", reads)
	}
}
