package election

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// timing is that of the product, but for the holder's doubters, of whom there are none.
var timing = Timing{TTL: 2500 * time.Millisecond, Renewal: 500 * time.Millisecond, Margin: 200 * time.Millisecond}

// slowReads is a store whose reads get no answer while it is to.
type slowReads struct {
	*storetest.Memory
	silent atomic.Bool
}

func (s *slowReads) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return store.Batch{}, ctx.Err()
	}
	return s.Memory.Read(ctx, at, from, wait)
}

// A holder whose reads wait behind those of many nodes keeps its lease as long as the store
// takes its renewals.
func TestALeaseIsRenewedWithoutReads(t *testing.T) {
	log := &slowReads{Memory: storetest.NewMemory()}
	ctx, cancel := context.WithCancel(context.Background())
	var held atomic.Bool
	var lost atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Run(ctx, Options{
			Log: log, Self: "node-0/1", Address: "address", Timing: timing, Logger: zap.NewNop(), Leaving: make(chan struct{}),
			Observe: func(standing Standing) {
				if held.Swap(standing.Held) && !standing.Held {
					lost.Add(1)
				}
			},
		})
	}()
	defer func() {
		cancel()
		<-ended
	}()
	for end := time.Now().Add(time.Minute); !held.Load() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	log.silent.Store(true)
	time.Sleep(2 * timing.TTL)
	if !held.Load() || lost.Load() > 0 {
		t.Errorf("held: %v, lost %d times while the store took appends", held.Load(), lost.Load())
	}
}

// When the store is back for all, its holder is asked to yield by those who got an answer
// first. It must have had one of its own by then.
func TestAHolderIsInContactSoonAfterAnOutage(t *testing.T) {
	memory := storetest.NewMemory()
	ctx, cancel := context.WithCancel(context.Background())
	hold := &Hold{}
	var epoch atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Run(ctx, Options{
			Log: memory, Self: "node-0/1", Address: "address", Timing: timing, Hold: hold, Logger: zap.NewNop(), Leaving: make(chan struct{}),
			Observe: func(standing Standing) { epoch.Store(standing.Lease.Epoch) },
		})
	}()
	defer func() {
		cancel()
		<-ended
	}()
	for end := time.Now().Add(time.Minute); epoch.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for range 5 {
		memory.SetFault(storetest.FaultRefuse)
		time.Sleep(yieldAfter + 300*time.Millisecond)
		memory.SetFault(storetest.FaultNone)
		if hold.Yield(epoch.Load()) {
			t.Fatal("the lease was yielded though the store was back")
		}
	}
}
