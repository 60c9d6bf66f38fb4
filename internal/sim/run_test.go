package sim

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/core"
	"dalehook/internal/machine"
	"dalehook/internal/sim/fault"
)

var (
	seedFlag     = flag.Uint64("seed", 1, "seed of TestReplay")
	scheduleFlag = flag.String("schedule", "", "faults of TestReplay, as name:target@at+for,…")
	scenarioFlag = flag.String("scenario", "arequipa", "scenario of TestReplay")
	seedsFlag    = flag.Int("seeds", 0, "number of seeds of TestSoak")
	traceFlag    = flag.String("tracefile", "", "file for the trace of TestReplay; standard output when empty")
)

// newCore makes the product's own node.
func newCore(self cluster.Node, seeds []string, seed uint64) machine.Machine {
	return core.New(core.Options{Self: self, SeedAddresses: seeds, Seed: seed})
}

// trial is one run: a scenario by name, a seed and a schedule.
type trial struct {
	scenario string
	seed     uint64
	schedule fault.Schedule
}

// command returns the command that repeats the run with its trace.
func (r trial) command() string {
	return fmt.Sprintf("go test ./internal/sim -run 'TestReplay$' -scenario %s -seed %d -schedule '%s'", r.scenario, r.seed, r.schedule)
}

func scenarioByName(name string) (Scenario, error) {
	base, variant, _ := strings.Cut(name, "/")
	d, ok := DeploymentByName(base)
	if !ok {
		return Scenario{}, fmt.Errorf("no deployment %q", base)
	}
	s := Hearing(d)
	switch variant {
	case "":
	case "operators":
		s.Operators = racingOperators(s)
	case "outage":
		s.RunFor = 33 * time.Minute
	default:
		return Scenario{}, fmt.Errorf("no variant %q", variant)
	}
	return s, nil
}

// run runs a trial to its end.
func (r trial) run(t testing.TB, factory Factory, trace io.Writer) *World {
	t.Helper()
	scenario, err := scenarioByName(r.scenario)
	if err != nil {
		t.Fatal(err)
	}
	w := NewWorld(Options{Seed: r.seed, Scenario: scenario, Schedule: r.schedule, Factory: factory, Trace: trace, Probe: true})
	w.Run()
	return w
}

// holds runs a trial and fails the test when any property is broken.
func (r trial) holds(t testing.TB) *World {
	t.Helper()
	w := r.run(t, newCore, nil)
	if broken := checkAll(w); len(broken) > 0 {
		t.Errorf("broken under seed %d:\n  %s\nrepeat it with its trace:\n  %s", r.seed, strings.Join(broken, "\n  "), r.command())
	}
	return w
}

// TestReplay repeats one run and writes its trace.
func TestReplay(t *testing.T) {
	if *scheduleFlag == "" && *seedFlag == 1 && *traceFlag == "" {
		t.Skip("give -seed, -schedule or -tracefile")
	}
	schedule, err := fault.ParseSchedule(*scheduleFlag)
	if err != nil {
		t.Fatal(err)
	}
	var trace io.Writer = os.Stdout
	if *traceFlag != "" {
		file, err := os.Create(*traceFlag)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = file.Close() }()
		trace = file
	}
	w := trial{scenario: *scenarioFlag, seed: *seedFlag, schedule: schedule}.run(t, newCore, trace)
	for _, line := range checkAll(w) {
		t.Error(line)
	}
	var seen coverage
	seen.add(w)
	t.Logf("seen: %+v", seen)
	t.Logf("hash %x, %d events, %v", w.Hash(), w.Steps(), w.Elapsed())
}
