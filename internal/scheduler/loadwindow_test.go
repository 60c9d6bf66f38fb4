package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// simulateLoads runs rounds of loads in a fleet whose bandwidth to the weights supports capacity
// loads at full speed. It returns the maximum concurrency in the last round.
func simulateLoads(t *testing.T, engines, capacity, rounds int) int {
	t.Helper()
	f := newFixture(t, nil)
	versions := make(map[string]int64)
	for i := range engines {
		versions[fmt.Sprintf("e%02d", i)] = 1
	}
	f.servers(4, versions)
	f.machine.HandleLease(f.now, 7, true)
	f.take()
	concurrent := 0
	for round := range rounds {
		f.machine.HandleVersion(f.now, "m", int64(round+2))
		f.take()
		most := 0
		for len(f.orders) > 0 {
			running := f.orders
			f.orders = nil
			most = max(most, len(running))
			f.now = f.now.Add(time.Duration(float64(time.Second) * max(1, float64(len(running))/float64(capacity))))
			for _, order := range running {
				f.machine.HandleLoad(f.now, order.Server, "m", LoadResult{Confirmed: true, Version: order.Version})
			}
			f.readPartition()
		}
		concurrent = most
	}
	return concurrent
}

func TestConcurrentLoadsGrowToTheWeightBandwidth(t *testing.T) {
	if got := simulateLoads(t, 48, 10, 6); got < 9 {
		t.Errorf("%d concurrent loads, though 10 run at full speed", got)
	}
}

func TestConcurrentLoadsStayLowWhenLoadsSlowDown(t *testing.T) {
	if got := simulateLoads(t, 12, 2, 6); got > 3 {
		t.Errorf("%d concurrent loads, though only 2 run at full speed", got)
	}
}

func TestLoadWindowShrinksOnSlowLoadsAndRetriesLater(t *testing.T) {
	window := newLoadWindow(2, 0)
	now := time.Unix(1000, 0)
	window.observe(now, time.Second, 2, 2)
	window.observe(now, 5*time.Second, 1, 1)
	if window.limit != 3 {
		t.Errorf("window %d after a single slow load", window.limit)
	}
	window.observe(now, 2*time.Second, 3, 3)
	if window.limit != 2 {
		t.Errorf("window %d after slow concurrent loads", window.limit)
	}
	window.observe(now, time.Second, 2, 2)
	if window.limit != 2 {
		t.Errorf("window %d right after it was too wide", window.limit)
	}
	window.observe(now.Add(windowRetryDelay+time.Second), time.Second, 2, 2)
	if window.limit != 3 {
		t.Errorf("window %d after the retry delay", window.limit)
	}
}

// A slow load while few loads are running is caused by its server or the observing node, not by
// the size of the window.
func TestSlowLoadAtLowConcurrencyDoesNotShrinkWindow(t *testing.T) {
	window := newLoadWindow(2, 20)
	now := time.Unix(1000, 0)
	window.observe(now, time.Second, 20, 20)
	before := window.limit
	window.observe(now, 1500*time.Millisecond, 3, 3)
	if window.limit != before {
		t.Errorf("window changed from %d to %d", before, window.limit)
	}
	window.observe(now, 1500*time.Millisecond, before, before)
	if window.limit >= before || window.limit < before*3/4 {
		t.Errorf("slow loads in a full window of %d left %d", before, window.limit)
	}
}

// The first of many concurrent loads counts all of them, although it started alone.
func TestStaggeredLoadsCountAsConcurrent(t *testing.T) {
	f := newFixture(t, nil)
	versions := make(map[string]int64)
	for i := range 48 {
		versions[fmt.Sprintf("e%02d", i)] = 1
	}
	f.servers(4, versions)
	f.machine.HandleLease(f.now, 7, true)
	f.machine.HandleVersion(f.now, "m", 2)
	f.take()
	if len(f.orders) < 8 {
		t.Fatalf("%d concurrent loads", len(f.orders))
	}
	for _, order := range f.orders {
		if got := f.machine.engines[order.Server.ID].maxConcurrentLoads; got != len(f.orders) {
			t.Errorf("%d concurrent loads, but the engine recorded %d", len(f.orders), got)
		}
	}
}
