package scheduler

import (
	"fmt"
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// largeFleet is a machine with many engines and the items of three trainers' steps.
type largeFleet struct {
	machine *Machine
	now     time.Time
	servers []*directory.Server
	running []AttemptID
	version int64
	jobs    int
}

var benchModels = []string{"m0", "m1", "m2"}

func newLargeFleet(engines int) *largeFleet {
	f := &largeFleet{machine: NewMachine(Options{}), now: time.Unix(1000, 0), version: 1}
	var routes []routetable.Route
	for _, model := range benchModels {
		routes = append(routes, routetable.Route{
			Name: model, Host: "h", Prefix: "/" + model + "/", Kind: routetable.KindBatch, MaxAttempts: 3, Resumable: true,
			Targets: []routetable.Target{{Service: "pool", Weight: 1}}, ItemLifetime: time.Hour,
		})
	}
	f.machine.HandleTable(f.now, routetable.NewTable(1, routes, []routetable.Service{{Name: "pool", Models: benchModels}}, routetable.Limits{}))
	for i := range engines {
		f.servers = append(f.servers, &directory.Server{
			ID: fmt.Sprintf("i-%08d", i), Service: "pool", Address: "a:1", Slots: 8,
			Versions: map[string]int64{"m0": 1, "m1": 1, "m2": 1},
		})
	}
	f.machine.HandleServers(f.now, f.servers)
	f.machine.HandleLease(f.now, 1, true)
	return f
}

// second plays a second of the fleet: events of every run, ends and starts of some,
// ticks, lists, and a new version with its loads.
func (f *largeFleet) second() {
	m := f.machine
	for tick := range 20 {
		f.now = f.now.Add(50 * time.Millisecond)
		m.HandleFresh(f.now, 0, f.now)
		for _, id := range f.running {
			m.HandleEvent(f.now, id, Event{ID: fmt.Sprint(tick), Data: "x", Version: f.version})
		}
		if tick%4 == 0 {
			m.HandleServers(f.now, f.servers)
		}
		if tick == 0 {
			f.step()
		}
		m.Tick(f.now)
		f.carryOut()
		for range min(len(f.running), 6) {
			m.HandleAttemptEnd(f.now, f.running[0], EndCompleted)
			f.running = f.running[1:]
			f.carryOut()
		}
	}
}

func (f *largeFleet) step() {
	f.jobs++
	model := benchModels[f.jobs%len(benchModels)]
	job := &batch.Job{ID: fmt.Sprint("job-", f.jobs), Host: "h", Path: "/" + model + "/j", Model: model, MinVersion: f.version}
	for i := range 112 {
		job.Items = append(job.Items, batch.Item{ID: fmt.Sprintf("%s-%d", job.ID, i), Path: "/" + model + "/i", Expected: i})
	}
	f.machine.HandleJob(f.now, 0, job, nil)
	f.version++
	f.machine.HandleVersion(f.now, model, f.version)
}

func (f *largeFleet) carryOut() {
	output := f.machine.Take()
	for _, start := range output.Starts {
		f.running = append(f.running, start.Attempt)
	}
	for _, order := range output.Orders {
		f.machine.HandleLoad(f.now, order.Server, order.Model, Load{Version: order.Version})
	}
	for _, result := range output.Results {
		f.machine.HandleListed(f.now, &result)
	}
}

// BenchmarkSecond is the processor time of a second of scheduling at sizes up to that
// of 300 machines before 3,000 engines.
func BenchmarkSecond(b *testing.B) {
	for _, engines := range []int{50, 300, 1000, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			fleet := newLargeFleet(engines)
			for b.Loop() {
				fleet.second()
			}
		})
	}
}
