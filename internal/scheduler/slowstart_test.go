package scheduler

import (
	"testing"
	"time"

	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// maxStartsPerSecond simulates 3 s of a pool with one engine of 8 slots and items that end within
// 50 ms. It returns the maximum number of items sent within any second, and the total.
func maxStartsPerSecond(t *testing.T, warmUpRate float64, warmIn time.Duration) (most, total int) {
	f := newFixture(t, nil)
	route := routetable.Route{
		Name: "r", Host: "h", Prefix: "/p/", Kind: routetable.KindBatch, MaxAttempts: 3,
		Targets: []routetable.Target{{Service: "pool", Weight: 1}}, ItemLifetime: 40 * time.Second,
	}
	service := routetable.Service{Name: "pool", Models: []string{"m"}, WarmUpRate: warmUpRate}
	f.machine.HandleTable(f.now, routetable.NewTable(2, []routetable.Route{route}, []routetable.Service{service}, routetable.Limits{}))
	f.machine.HandleServers(f.now, []*directory.Server{{
		ID: "a", Service: "pool", Address: "a:1", Slots: 8, Versions: map[string]int64{"m": 1}, WarmAt: f.now.Add(warmIn),
	}})
	f.submit("j", 1, make([]int, 200)...)
	var times []time.Time
	ended := 0
	for range 60 {
		for ; len(times) < len(f.starts); times = append(times, f.now) {
		}
		f.advance(50 * time.Millisecond)
		for ; ended < len(times); ended++ {
			f.end(f.starts[ended].Attempt, EndCompleted)
		}
	}
	for first := range times {
		within := 0
		for _, at := range times[first:] {
			if at.Sub(times[first]) < time.Second {
				within++
			}
		}
		most = max(most, within)
	}
	return most, len(times)
}

// An engine that has just started sustains few items per second and fails well above that rate.
// Its heartbeats report that it turned slow again only a second or more later.
func TestWarmingEngineReceivesAtMostItsRate(t *testing.T) {
	const rate, slots = 7.9, 8
	// Allowed bound within one second: one and a half times the rate, plus five.
	const allowed = 1.5*rate + 5
	cases := []struct {
		name   string
		rate   float64
		warmIn time.Duration
		most   float64
	}{
		{"warming up", rate, time.Minute, rate},
		{"reported as warm", rate, 0, allowed},
	}
	for _, c := range cases {
		if most, total := maxStartsPerSecond(t, c.rate, c.warmIn); float64(most) > c.most || total < 20 {
			t.Errorf("%s: %d items within a second, want at most %.1f; %d in 3 s", c.name, most, c.most, total)
		}
	}
	if _, total := maxStartsPerSecond(t, 0, time.Minute); total < 200 {
		t.Errorf("%d of 200 items sent in 3 s without a rate limit", total)
	}
}
