package scheduler

import (
	"testing"
	"time"

	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// shortRuns plays a pool of one engine with 8 slots whose items end within 50 ms, for a while, and
// returns the most items that the engine was sent within any second.
func shortRuns(t *testing.T, warmUpRate float64, warmIn time.Duration) (most, total int) {
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
	f.job("j", 1, make([]int, 200)...)
	var times []time.Time
	ended := 0
	for range 60 {
		for ; len(times) < len(f.starts); times = append(times, f.now) {
		}
		f.pass(50 * time.Millisecond)
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

// An engine that has just started is slow, bears few items a second, and falls over at a rate well
// above that; it tells with its heartbeats, a second late or more, when it turns slow again.
func TestAnEngineThatWarmsUpIsSentWhatItBears(t *testing.T) {
	const rate, slots = 7.9, 8
	// What the users allow within a second: half more than the rate, and five.
	const allowed = 1.5*rate + 5
	cases := []struct {
		name   string
		rate   float64
		warmIn time.Duration
		most   float64
	}{
		{"while it warms up", rate, time.Minute, rate},
		{"warm, as far as it told", rate, 0, allowed},
	}
	for _, c := range cases {
		if most, total := shortRuns(t, c.rate, c.warmIn); float64(most) > c.most || total < 20 {
			t.Errorf("%s: %d items within a second, where %.1f are borne, %d in 3 s", c.name, most, c.most, total)
		}
	}
	if _, total := shortRuns(t, 0, time.Minute); total < 200 {
		t.Errorf("without a rate %d of 200 items were sent in 3 s", total)
	}
}
