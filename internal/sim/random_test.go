package sim

import (
	"flag"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc/pool"
	"pgregory.net/rapid"

	"dalehook/internal/sim/fault"
)

// fixedSeeds is how many seeds CI runs.
const fixedSeeds = 60

// mostFaults is the largest number of faults in a random schedule.
const mostFaults = 10

var randomScenarios = []string{"arequipa", "medellin", "arequipa/operators", "medellin/operators"}

// randomTrial returns the trial that belongs to a seed.
func randomTrial(seed uint64) trial {
	name := randomScenarios[seed%uint64(len(randomScenarios))]
	s, err := scenarioByName(name)
	if err != nil {
		panic(err)
	}
	return trial{scenario: name, seed: seed, schedule: drawSchedule(s.Deployment, seed, mostFaults)}
}

// runSeeds runs random trials on all cores and returns how many failed.
func runSeeds(t *testing.T, from, to uint64) int {
	t.Helper()
	var failed atomic.Int64
	var seen coverage
	var lock sync.Mutex
	workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for seed := from; seed < to; seed++ {
		workers.Go(func() {
			r := randomTrial(seed)
			w := r.run(t, newCore, nil)
			lock.Lock()
			seen.add(w)
			if seen.runs%100 == 0 {
				t.Logf("%d of %d seeds run", seen.runs, to-from)
			}
			lock.Unlock()
			if broken := checkAll(w); len(broken) > 0 {
				failed.Add(1)
				t.Errorf("broken under seed %d:\n  %s\nrepeat it with its trace:\n  %s", seed, strings.Join(broken, "\n  "), r.command())
			}
		})
	}
	workers.Wait()
	t.Logf("seen: %+v", seen)
	return int(failed.Load())
}

// TestFixedSeeds runs random schedules under a fixed set of seeds.
func TestFixedSeeds(t *testing.T) {
	failed := runSeeds(t, 1, 1+fixedSeeds)
	t.Logf("%d of %d seeds failed", failed, fixedSeeds)
}

// TestSoak runs as many further seeds as -seeds says.
func TestSoak(t *testing.T) {
	if *seedsFlag == 0 {
		t.Skip("give -seeds")
	}
	failed := runSeeds(t, 1000, 1000+uint64(*seedsFlag))
	t.Logf("%d of %d seeds failed", failed, *seedsFlag)
}

// Without -seeds rapid always draws the same schedules, and few of them.
const (
	drawnChecks = "30"
	drawnSeed   = "1"
)

// TestDrawnSchedules lets rapid draw schedules and shrink those that fail.
func TestDrawnSchedules(t *testing.T) {
	if *seedsFlag == 0 {
		setFlag(t, "rapid.checks", drawnChecks)
		setFlag(t, "rapid.seed", drawnSeed)
	}
	rapid.Check(t, func(rt *rapid.T) {
		name := rapid.SampledFrom(randomScenarios).Draw(rt, "scenario")
		s, err := scenarioByName(name)
		if err != nil {
			rt.Fatal(err)
		}
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }
		var schedule fault.Schedule
		for range rapid.IntRange(0, 3).Draw(rt, "faults") {
			schedule = append(schedule, drawFault(faultKinds[draw(len(faultKinds))], s.Deployment, draw))
		}
		r := trial{scenario: name, seed: rapid.Uint64Range(1, 1000).Draw(rt, "seed"), schedule: schedule}
		if broken := checkAll(r.run(t, newCore, nil)); len(broken) > 0 {
			rt.Fatalf("broken:\n  %s\nrepeat it with its trace:\n  %s", strings.Join(broken, "\n  "), r.command())
		}
	})
}

// setFlag sets a flag of another package for the length of a test.
func setFlag(t *testing.T, name, value string) {
	t.Helper()
	before := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, before) })
}
