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

// timing has the production values, except that nobody suspects the holder.
var timing = Timing{TTL: 2500 * time.Millisecond, RenewInterval: 500 * time.Millisecond, SafetyMargin: 200 * time.Millisecond}

// unresponsiveReads is a store whose reads do not return while blocked is set.
type unresponsiveReads struct {
	*storetest.Memory
	blocked atomic.Bool
}

func (s *unresponsiveReads) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if s.blocked.Load() {
		<-ctx.Done()
		return store.Batch{}, ctx.Err()
	}
	return s.Memory.Read(ctx, at, from, wait)
}

// A holder whose reads queue behind those of many nodes must keep its lease as long as the store accepts
// its renewals.
func TestLeaseIsRenewedWithoutReads(t *testing.T) {
	log := &unresponsiveReads{Memory: storetest.NewMemory()}
	ctx, cancel := context.WithCancel(context.Background())
	var held atomic.Bool
	var lost atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Run(ctx, Options{
			Log: log, Self: "node-0/1", Address: "address", Timing: timing, Logger: zap.NewNop(), Resign: make(chan struct{}),
			Observe: func(state State) {
				if held.Swap(state.Held) && !state.Held {
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
	log.blocked.Store(true)
	time.Sleep(2 * timing.TTL)
	if !held.Load() || lost.Load() > 0 {
		t.Errorf("held: %v, lost %d times while the store accepted appends", held.Load(), lost.Load())
	}
}

// After an outage the first nodes to get an answer from the store ask the holder to yield. The holder must
// have had an answer of its own by then, or leadership would change after every outage.
func TestHolderIsFirstInContactAfterOutage(t *testing.T) {
	memory := storetest.NewMemory()
	ctx, cancel := context.WithCancel(context.Background())
	yielder := &Yielder{}
	var epoch atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Run(ctx, Options{
			Log: memory, Self: "node-0/1", Address: "address", Timing: timing, Yielder: yielder, Logger: zap.NewNop(), Resign: make(chan struct{}),
			Observe: func(state State) { epoch.Store(state.Lease.Epoch) },
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
		if yielder.Yield(epoch.Load()) {
			t.Fatal("the lease was yielded although the store had recovered")
		}
	}
}
