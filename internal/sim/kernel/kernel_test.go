package kernel_test

import (
	"slices"
	"testing"
	"time"

	"dalehook/internal/sim/kernel"
)

func TestEventsRunInOrderOfTimeAndScheduling(t *testing.T) {
	k := kernel.New(1, nil)
	random := k.Rand("test")
	var seen []time.Duration
	for range 1000 {
		at := time.Duration(random.IntN(50)) * time.Millisecond
		k.At(at, func() { seen = append(seen, at) })
	}
	k.Run(time.Second)
	if len(seen) != 1000 || !slices.IsSorted(seen) {
		t.Fatalf("events ran out of order: %v", seen)
	}
	if k.Elapsed() != time.Second {
		t.Errorf("clock stands at %v, want 1s", k.Elapsed())
	}
	var order []int
	for i := range 10 {
		k.After(time.Millisecond, func() { order = append(order, i) })
	}
	k.Run(2 * time.Second)
	if !slices.IsSorted(order) {
		t.Errorf("events at one time ran as %v", order)
	}
}

func TestHashCoversTimeKindAndSubject(t *testing.T) {
	hash := func(delay time.Duration, kind string) uint64 {
		k := kernel.New(1, nil)
		k.After(delay, func() { k.Record(kind, "a", "b", 1) })
		k.Run(time.Second)
		return k.Hash()
	}
	base := hash(time.Millisecond, "x")
	if hash(time.Millisecond, "x") != base {
		t.Error("the same events gave another hash")
	}
	if hash(2*time.Millisecond, "x") == base || hash(time.Millisecond, "y") == base {
		t.Error("different events gave the same hash")
	}
}
