package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against an engine appearing slow because it is full, or fast because it is empty.
func TestSlowdownIsLearnedFromOccupancy(t *testing.T) {
	const gap, perRun = 0.05, 0.12
	learned := &slowdown{}
	eng := &engine{slowdown: learned, slots: 8}
	now := time.Unix(1000, 0)
	for i := range 400 {
		now = now.Add(200 * time.Millisecond)
		runs := float64(1 + i*5%8)
		noise := 1 + 0.05*float64(i%3-1)
		eng.addSample(paceSample{gap: gap * (1 + perRun*(runs-1)) * noise, runs: runs, at: now})
	}
	if got := learned.perRun(); math.Abs(got-perRun) > 0.03 {
		t.Errorf("slowdown %.3f by run, want %.3f", got, perRun)
	}
	for _, runs := range []int{1, 4, 8} {
		want := gap * (1 + perRun*float64(runs-1))
		if got := eng.gapAt(runs, 0); math.Abs(got-want) > 0.1*want {
			t.Errorf("gap with %d runs %.4f, want %.4f", runs, got, want)
		}
	}
}

// Guards against a change of an engine's speed being taken for an effect of its occupancy.
func TestChangeOfSpeedDoesNotCountAsSlowdown(t *testing.T) {
	learned := &slowdown{}
	now := time.Unix(1000, 0)
	for i := range 200 {
		now = now.Add(200 * time.Millisecond)
		speed := float64(1 + 2*(i%2))
		learned.observe(paceSample{gap: 0.05, runs: 1, at: now}, paceSample{gap: 0.05 * (speed + 1), runs: 8, at: now})
		learned.observe(paceSample{gap: 0.05, runs: 1, at: now}, paceSample{gap: 0.05, runs: 2, at: now.Add(2 * maxPairInterval)})
	}
	if got := learned.perRun(); got != initialSlowdown {
		t.Errorf("slowdown %.3f, want the initial %.3f", got, initialSlowdown)
	}
}

// Guards against engines that count as slow because they load weights: their runs produce no events meanwhile.
func TestLoadDoesNotCountAsSlowPace(t *testing.T) {
	f := newFixture(t, nil)
	f.servers(1, map[string]int64{"a": 1})
	f.submit("j", 1, 10)
	number := 0
	run := func(events int) {
		for range events {
			number++
			f.now = f.now.Add(50 * time.Millisecond)
			f.event(1, fmt.Sprint(number), 1)
		}
	}
	run(2 * gapSampleEvents)
	f.machine.orderLoad(f.now, f.machine.engines["a"])
	run(2)
	f.now = f.now.Add(850 * time.Millisecond)
	f.machine.HandleLoad(f.now, Server{ID: "a"}, "m", LoadResult{Confirmed: true, Version: 1})
	run(3 * gapSampleEvents)
	if got := f.machine.engines["a"].gap; math.Abs(got-0.05) > 0.005 {
		t.Errorf("gap %.3f after a load, want 0.05", got)
	}
}

// Guards against an old gap weighing on the first sample after an engine was idle: it may have recovered.
func TestOutdatedGapIsReplaced(t *testing.T) {
	eng := &engine{slowdown: &slowdown{}}
	start := time.Unix(1000, 0)
	eng.addSample(paceSample{gap: 0.5, runs: 1, at: start})
	eng.addSample(paceSample{gap: 0.05, runs: 1, at: start.Add(slowEngineExpiry)})
	if eng.gap != 0.05 {
		t.Errorf("gap %.3f, want 0.05", eng.gap)
	}
}

// Guards against a median that is the pace of slow engines: with half of the engines slow, none counted as
// slow.
func TestSlowEnginesAreKnownAmongMany(t *testing.T) {
	f := newFixture(t, nil)
	f.servers(1, map[string]int64{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1, "f": 1})
	for i, eng := range f.machine.sortedEngines() {
		eng.gap, eng.gapSampledAt = 0.05, f.now
		if i%3 > 0 {
			eng.gap = 0.15
		}
	}
	median := typicalGapsOf(f.machine.sortedEngines())["pool"]
	for i, eng := range f.machine.sortedEngines() {
		if got, want := eng.isSlow(f.now, median), i%3 > 0; got != want {
			t.Errorf("engine %s with gap %.2f: slow %v", eng.server.ID, eng.gap, got)
		}
	}
}
