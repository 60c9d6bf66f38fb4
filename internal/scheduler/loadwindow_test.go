package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// loadUntil plays loads of a fleet whose way to the weights carries so many at
// full speed, and returns the most that were under way at once in the last round.
func loadUntil(t *testing.T, engines, carried, rounds int) int {
	t.Helper()
	f := newFixture(t, nil)
	versions := make(map[string]int64)
	for i := range engines {
		versions[fmt.Sprintf("e%02d", i)] = 1
	}
	f.servers(4, versions)
	f.machine.HandleLease(f.now, 7, true)
	f.take()
	atOnce := 0
	for round := range rounds {
		f.machine.HandleVersion(f.now, "m", int64(round+2))
		f.take()
		most := 0
		for len(f.orders) > 0 {
			under := f.orders
			f.orders = nil
			most = max(most, len(under))
			f.now = f.now.Add(time.Duration(float64(time.Second) * max(1, float64(len(under))/float64(carried))))
			for _, order := range under {
				f.machine.HandleLoad(f.now, order.Server, "m", Load{Ordered: true, Version: order.Version})
			}
			f.fresh()
		}
		atOnce = most
	}
	return atOnce
}

func TestLoadsAtOnceFollowWhatTheWayToTheWeightsCarries(t *testing.T) {
	if got := loadUntil(t, 48, 10, 6); got < 9 {
		t.Errorf("%d loads at once where 10 are carried at full speed", got)
	}
}

func TestLoadsAtOnceStayFewWhereTheyBecomeSlower(t *testing.T) {
	if got := loadUntil(t, 12, 2, 6); got > 3 {
		t.Errorf("%d loads at once where 2 are carried at full speed", got)
	}
}

func TestALoadWindowDoesNotWidenForOthersFaults(t *testing.T) {
	window := newLoadWindow(2, 0)
	now := time.Unix(1000, 0)
	window.observe(now, time.Second, 2, 2)
	window.observe(now, 5*time.Second, 1, 1)
	if window.limit != 3 {
		t.Errorf("one slow load alone leaves a window of %d", window.limit)
	}
	window.observe(now, 2*time.Second, 3, 3)
	if window.limit != 2 {
		t.Errorf("slow loads leave a window of %d", window.limit)
	}
	window.observe(now, time.Second, 2, 2)
	if window.limit != 2 {
		t.Errorf("a window that was too wide is at once %d again", window.limit)
	}
	window.observe(now.Add(windowRetry+time.Second), time.Second, 2, 2)
	if window.limit != 3 {
		t.Errorf("a window that was too wide is not tried again: %d", window.limit)
	}
}

// A load that is slow while few are under way says nothing of many: its server, or the node
// that looks at it, was slow.
func TestASlowLoadAmongFewDoesNotNarrowAWideWindow(t *testing.T) {
	window := newLoadWindow(2, 20)
	now := time.Unix(1000, 0)
	window.observe(now, time.Second, 20, 20)
	before := window.limit
	window.observe(now, 1500*time.Millisecond, 3, 3)
	if window.limit != before {
		t.Errorf("a window of %d became one of %d", before, window.limit)
	}
	window.observe(now, 1500*time.Millisecond, before, before)
	if window.limit >= before || window.limit < before*3/4 {
		t.Errorf("slow loads in a full window of %d leave one of %d", before, window.limit)
	}
}

// The first load of many is one of many, though it began alone.
func TestLoadsThatBeginOneByOneCountAsMany(t *testing.T) {
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
		t.Fatalf("%d loads at once", len(f.orders))
	}
	for _, order := range f.orders {
		if got := f.machine.engines[order.Server.ID].loadsAtOnce; got != len(f.orders) {
			t.Errorf("a load of %d at once counts as one of %d", len(f.orders), got)
		}
	}
}
