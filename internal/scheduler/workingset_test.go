package scheduler

import (
	"fmt"
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// A large fleet: six trainers, each with a step of 150 to 208 items every 4 s, of which two may be
// open, on thousands of engines with 6 slots.
var fleetSteps = map[string]int{"m0": 160, "m1": 192, "m2": 192, "m3": 160, "m4": 192, "m5": 208}

const fleetSlots = 6

// simulatedFleet drives a machine with many engines whose loads all succeed at once.
type simulatedFleet struct {
	*fixture
	versions map[string]map[string]int64
	listed   []*directory.Server
	loads    int
	step     int
}

func newSimulatedFleet(t *testing.T, engines int) *simulatedFleet {
	f := &simulatedFleet{fixture: &fixture{t: t, now: time.Unix(1000, 0)}, versions: make(map[string]map[string]int64)}
	for number := range engines {
		id := fmt.Sprintf("i-%06d", number)
		f.versions[id] = make(map[string]int64)
		for model := range fleetSteps {
			f.versions[id][model] = 1
		}
		f.listed = append(f.listed, &directory.Server{
			ID: id, Service: "pool", Address: id + ":1", Zone: fmt.Sprint("z", number%6), Slots: fleetSlots, Versions: f.versions[id],
		})
	}
	f.newTerm()
	return f
}

// newTerm gives the lease to a new machine.
func (f *simulatedFleet) newTerm() {
	f.machine = NewMachine(Options{})
	models := []string{"m0", "m1", "m2", "m3", "m4", "m5"}
	route := routetable.Route{
		Name: "r", Host: "h", Prefix: "/p/", Kind: routetable.KindBatch, MaxAttempts: 3,
		Targets: []routetable.Target{{Service: "pool", Weight: 1}}, ItemLifetime: 40 * time.Second,
	}
	service := routetable.Service{Name: "pool", Models: models}
	f.machine.HandleTable(f.now, routetable.NewTable(1, []routetable.Route{route}, []routetable.Service{service}, routetable.Limits{}))
	for model := range fleetSteps {
		f.machine.HandleVersion(f.now, model, int64(f.step+1))
	}
	f.machine.HandleServers(f.now, f.listed)
	f.machine.HandleLease(f.now, 1, true)
	f.readPartition()
	f.carryOut()
}

// carryOut completes all ordered loads.
func (f *simulatedFleet) carryOut() {
	f.take()
	for len(f.orders) > 0 {
		orders := f.orders
		f.orders = nil
		for _, order := range orders {
			f.loads++
			f.versions[order.Server.ID][order.Model] = order.Version
			f.machine.HandleLoad(f.now, order.Server, order.Model, LoadResult{Confirmed: true, Version: order.Version})
			f.take()
		}
	}
}

// runStep has each trainer submit a step and publish the next version 4 s later. Items run for 0.6
// s.
func (f *simulatedFleet) runStep() {
	f.t.Helper()
	f.step++
	for model, items := range fleetSteps {
		job := &batch.Job{ID: fmt.Sprint(model, " ", f.step), Host: "h", Path: "/p/x", Model: model, MinVersion: int64(max(f.step-1, 1))}
		for number := range items {
			job.Items = append(job.Items, batch.Item{ID: fmt.Sprint(job.ID, " ", number), Path: "/p/x", Expected: 900})
		}
		f.machine.HandleJob(f.now, 0, job, nil)
		f.carryOut()
	}
	if waiting := f.machine.Waiting(); waiting > 0 {
		f.t.Errorf("step %d: %d items wait though engines are free", f.step, waiting)
	}
	for passed := range 20 {
		f.advance(200 * time.Millisecond)
		f.carryOut()
		if passed%3 == 2 {
			ended := f.starts
			f.starts = nil
			for _, start := range ended {
				f.end(start.Attempt, EndCompleted)
			}
		}
	}
	if running := f.machine.Running(); running > 0 || len(f.cancels) > 0 {
		f.t.Errorf("step %d: %d items still running, %d cancelled", f.step, running, len(f.cancels))
	}
	for model := range fleetSteps {
		f.machine.HandleJobEnd(f.now, fmt.Sprint(model, " ", f.step))
		f.machine.HandleVersion(f.now, model, int64(f.step+1))
	}
	f.carryOut()
}

// Guards against a working set that grows with the fleet: 9,530 listed engines caused 15,463 loads
// for 4,832 items in a day, and more connections than a process may open. The engines in use and
// the loads per version must depend on the steps only: two concurrent steps, and half as many
// engines again.
func TestWorkingSetSizeFollowsSteps(t *testing.T) {
	items := 0
	for _, count := range fleetSteps {
		items += count
	}
	need := 2*items/fleetSlots + len(fleetSteps)
	for _, engines := range []int{10_000, 20_000} {
		f := newSimulatedFleet(t, engines)
		const steps = 5
		for range steps {
			f.runStep()
		}
		if used := len(f.machine.engines); used < need || used > 2*need {
			t.Errorf("%d engines: %d in use, %d needed concurrently", engines, used, need)
		}
		if most := 2 * need * steps; f.loads > most {
			t.Errorf("%d engines: %d loads for %d versions", engines, f.loads, steps)
		}
	}
}

// The next lease holder uses the engines with the newest weights, even if engines with lower IDs
// have been listed since.
func TestSuccessorKeepsWorkingSet(t *testing.T) {
	f := newSimulatedFleet(t, 10_000)
	all := f.listed
	f.listed = all[len(all)/2:]
	f.newTerm()
	for range 4 {
		f.runStep()
	}
	f.listed = all
	before := len(f.machine.engines)
	loads := f.loads
	f.newTerm()
	f.runStep()
	added := 0
	for id := range f.machine.engines {
		if f.versions[id]["m0"]+f.versions[id]["m1"]+f.versions[id]["m2"]+f.versions[id]["m3"]+f.versions[id]["m4"]+f.versions[id]["m5"] <= 8 {
			added++
		}
	}
	if added > before/10 || f.loads-loads > 2*before {
		t.Errorf("%d of %d engines newly in use, %d loads", added, before, f.loads-loads)
	}
}

// A sixth of the engines is lost with a zone: others replace them, and no item waits.
func TestWorkingSetReplacesEnginesOfLostZone(t *testing.T) {
	f := newSimulatedFleet(t, 10_000)
	f.runStep()
	var left []*directory.Server
	for _, server := range f.listed {
		if server.Zone != "z0" {
			left = append(left, server)
		}
	}
	before := len(f.machine.engines)
	f.listed = left
	f.machine.HandleServers(f.now, left)
	f.carryOut()
	f.runStep()
	if used := len(f.machine.engines); used < before*9/10 {
		t.Errorf("%d engines in use, %d before the loss", used, before)
	}
}

// A small fleet uses all its engines.
func TestSmallFleetUsesAllEngines(t *testing.T) {
	f := newSimulatedFleet(t, minWorkingSet)
	if used := len(f.machine.engines); used != minWorkingSet {
		t.Errorf("%d of %d engines in use", used, minWorkingSet)
	}
}

// BenchmarkReplaceEngine measures the selection of engines after one of 552 in use is lost, with
// 10,000 listed.
func BenchmarkReplaceEngine(b *testing.B) {
	const listed, wanted = 10_000, 552
	servers := make([]*directory.Server, 0, listed)
	for number := range listed {
		versions := make(map[string]int64)
		for model := range fleetSteps {
			versions[model] = int64(1 + number%7)
		}
		servers = append(servers, &directory.Server{ID: fmt.Sprintf("i-%06d", number), Service: "pool", Slots: fleetSlots, Versions: versions})
	}
	used := make(map[string]bool)
	for _, server := range servers[:wanted-1] {
		used[server.ID] = true
	}
	for b.Loop() {
		if chosen := chooseServers(servers, wanted, func(id string) bool { return used[id] }); len(chosen) != wanted {
			b.Fatal(len(chosen))
		}
	}
}
