package scheduler

import (
	"math"
	"testing"
	"time"
)

// Guards against engines being filled by their number of runs alone: several long items on one engine exceed
// its memory, and it must read their prompts and texts again.
func TestUnevenLengthsDoNotExceedMemory(t *testing.T) {
	for seed := range uint64(3) {
		f := newUnevenFleet(t, 30, 4, 14, seed)
		f.run(20 * time.Second)
		if f.started < 1000 {
			t.Fatalf("seed %d: only %d runs", seed, f.started)
		}
		if f.preemptions > f.started/500 {
			t.Errorf("seed %d: %d of %d runs preempted", seed, f.preemptions, f.started)
		}
	}
}

// Guards against long items on slow engines, and against runs that move more often than their engines
// change: half of the engines become 3 times slower, then they recover and a fifth become 10 times slower.
func TestSlowEnginesGetShortItems(t *testing.T) {
	for seed := range uint64(3) {
		f := newUnevenFleet(t, 45, 4, 14, seed)
		f.run(10 * time.Second)
		before := f.started
		f.setPaces(func(position int) float64 { return 1 + 2*float64(position%2) })
		f.run(15 * time.Second)
		f.setPaces(func(position int) float64 {
			if position%5 == 0 {
				return 10
			}
			return 1
		})
		f.run(15 * time.Second)
		started := f.started - before
		all, most := f.moved()
		if all > started/8 || most > 3 {
			t.Errorf("seed %d: %d moves for %d runs, %d of one item", seed, all, started, most)
		}
		if f.preemptions > started/500 {
			t.Errorf("seed %d: %d of %d runs preempted", seed, f.preemptions, started)
		}
		count, mean, late := f.steps()
		if count < 20 || late > count/4 || mean > unevenResultDeadline {
			t.Errorf("seed %d: %d steps, %d late, %v on average", seed, count, late, mean)
		}
	}
}

// Guards against long items on slow engines, and against items that move back and forth, with engines from
// twice as fast to 10 times slower.
func TestPacesFromHalfToTenTimes(t *testing.T) {
	for seed := range uint64(3) {
		f := newUnevenFleet(t, 45, 4, 10, seed)
		f.setPaces(func(position int) float64 { return 0.5 * math.Pow(20, float64(position)/44) })
		f.run(10 * time.Second)
		f.longOnSlow, f.long = 0, 0
		f.run(15 * time.Second)
		if f.long < 50 || f.longOnSlow > f.long/5 {
			t.Errorf("seed %d: %d of %d starts of long items on the slower half", seed, f.longOnSlow, f.long)
		}
		if all, most := f.moved(); all > f.started/4 || most > 4 {
			t.Errorf("seed %d: %d moves for %d runs, %d of one item", seed, all, f.started, most)
		}
	}
}

// Guards against moves between engines that are equally fast, which late events could cause. Some moves
// remain: long runs leave full engines for empty ones.
func TestEqualEnginesExchangeFewRuns(t *testing.T) {
	for seed := range uint64(3) {
		f := newUnevenFleet(t, 45, 4, 10, seed)
		f.jitter = 0.5
		f.run(20 * time.Second)
		if all, most := f.moved(); all > f.started/30 || most > 2 {
			t.Errorf("seed %d: %d moves for %d runs, %d of one item", seed, all, f.started, most)
		}
	}
}

// Guards against predictions that rely on the caller's estimate: estimates that are 4 times too high or too
// low, and ones that are right in the median and off by 4 times, must neither exceed memory nor leave it
// unused.
func TestEstimatesWrongByFourTimes(t *testing.T) {
	for _, c := range []struct {
		name           string
		factor, spread float64
	}{{"too low", 0.25, 0.3}, {"too high", 4, 0.3}, {"far off", 1, math.Log(4)}} {
		f := newUnevenFleet(t, 30, 4, 14, 1)
		f.hintFactor, f.hintSpread = c.factor, c.spread
		f.run(25 * time.Second)
		if f.preemptions > f.started/200 {
			t.Errorf("%s: %d of %d runs preempted", c.name, f.preemptions, f.started)
		}
		if count, mean, late := f.steps(); count < 12 || late > count/4 {
			t.Errorf("%s: %d steps, %d late, %v on average", c.name, count, late, mean)
		}
	}
}

// Guards against decisions that differ between two runs with the same inputs, such as by the order of a map.
func TestUnevenFleetIsDeterministic(t *testing.T) {
	run := func() (started, moved int, mean time.Duration) {
		f := newUnevenFleet(t, 20, 4, 10, 7)
		f.setPaces(func(position int) float64 { return 1 + 2*float64(position%2) })
		f.run(10 * time.Second)
		_, mean, _ = f.steps()
		all, _ := f.moved()
		return f.started, all, mean
	}
	started, moved, mean := run()
	for range 2 {
		if again, movedAgain, meanAgain := run(); again != started || movedAgain != moved || meanAgain != mean {
			t.Fatalf("%d runs, %d moves, mean step %v; then %d, %d, %v", started, moved, mean, again, movedAgain, meanAgain)
		}
	}
}
