package scheduler

import (
	"fmt"
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// The load of a whole fleet: six trainers, each with a step of 150 to 208 items every 4 s, of which two may
// be open, before thousands of engines of 6 slots.
var fleetSteps = map[string]int{"m0": 160, "m1": 192, "m2": 192, "m3": 160, "m4": 192, "m5": 208}

const fleetSlots = 6

// fleetOfEngines drives a machine before many engines whose loads all succeed at once.
type fleetOfEngines struct {
	*fixture
	versions map[string]map[string]int64
	listed   []*directory.Server
	loads    int
	step     int
}

func newFleetOfEngines(t *testing.T, engines int) *fleetOfEngines {
	f := &fleetOfEngines{fixture: &fixture{t: t, now: time.Unix(1000, 0)}, versions: make(map[string]map[string]int64)}
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
	f.begin()
	return f
}

// begin gives the lease to a new machine.
func (f *fleetOfEngines) begin() {
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
	f.fresh()
	f.carryOut()
}

// carryOut has the engines load what they are ordered to.
func (f *fleetOfEngines) carryOut() {
	f.take()
	for len(f.orders) > 0 {
		orders := f.orders
		f.orders = nil
		for _, order := range orders {
			f.loads++
			f.versions[order.Server.ID][order.Model] = order.Version
			f.machine.HandleLoad(f.now, order.Server, order.Model, Load{Ordered: true, Version: order.Version})
			f.take()
		}
	}
}

// play has each trainer post a step, and name the next version 4 s later. Items run for 0.6 s.
func (f *fleetOfEngines) play() {
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
		f.t.Errorf("step %d: %d items wait though there are engines", f.step, waiting)
	}
	for passed := range 20 {
		f.pass(200 * time.Millisecond)
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
		f.t.Errorf("step %d: %d items still run, %d were moved", f.step, running, len(f.cancels))
	}
	for model := range fleetSteps {
		f.machine.HandleEnded(f.now, fmt.Sprint(model, " ", f.step))
		f.machine.HandleVersion(f.now, model, int64(f.step+1))
	}
	f.carryOut()
}

// Seen: 15,463 loads in a day of 4,832 items before 9,530 engines, and more connections than a process
// may open.
// The engines that are used, and what a version costs, depend on the steps and not on the engines that are
// listed: those of two steps at once, and half more.
func TestAFleetUsesTheEnginesThatItsStepsNeed(t *testing.T) {
	items := 0
	for _, count := range fleetSteps {
		items += count
	}
	need := 2*items/fleetSlots + len(fleetSteps)
	for _, engines := range []int{10_000, 20_000} {
		f := newFleetOfEngines(t, engines)
		const steps = 5
		for range steps {
			f.play()
		}
		if used := len(f.machine.engines); used < need || used > 2*need {
			t.Errorf("%d engines: %d are used, %d are needed at once", engines, used, need)
		}
		if most := 2 * need * steps; f.loads > most {
			t.Errorf("%d engines: %d loads for %d versions", engines, f.loads, steps)
		}
	}
}

// The holder of the next lease uses the engines that have the newest weights, also where others that come first by
// their ids were listed since.
func TestASuccessorUsesTheSameEngines(t *testing.T) {
	f := newFleetOfEngines(t, 10_000)
	all := f.listed
	f.listed = all[len(all)/2:]
	f.begin()
	for range 4 {
		f.play()
	}
	f.listed = all
	before := len(f.machine.engines)
	loads := f.loads
	f.begin()
	f.play()
	newly := 0
	for id := range f.machine.engines {
		if f.versions[id]["m0"]+f.versions[id]["m1"]+f.versions[id]["m2"]+f.versions[id]["m3"]+f.versions[id]["m4"]+f.versions[id]["m5"] <= 8 {
			newly++
		}
	}
	if newly > before/10 || f.loads-loads > 2*before {
		t.Errorf("%d of %d engines were not used before, %d loads", newly, before, f.loads-loads)
	}
}

// A sixth of the engines is lost with a zone: others come in their place, and no item waits.
func TestEnginesOfALostZoneAreReplaced(t *testing.T) {
	f := newFleetOfEngines(t, 10_000)
	f.play()
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
	f.play()
	if used := len(f.machine.engines); used < before*9/10 {
		t.Errorf("%d engines are used, %d were before the loss", used, before)
	}
}

// A small fleet uses all its engines.
func TestASmallFleetUsesAllEngines(t *testing.T) {
	f := newFleetOfEngines(t, leastEngines)
	if used := len(f.machine.engines); used != leastEngines {
		t.Errorf("%d of %d engines are used", used, leastEngines)
	}
}

// BenchmarkAnEngineIsReplaced chooses the engines anew after one of 552 that were used is gone, of 10,000
// that are listed.
func BenchmarkAnEngineIsReplaced(b *testing.B) {
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
		if chosen := chooseOf(servers, wanted, func(id string) bool { return used[id] }); len(chosen) != wanted {
			b.Fatal(len(chosen))
		}
	}
}
