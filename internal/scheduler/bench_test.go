package scheduler

import (
	"fmt"
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// benchmarkFleet is a machine with many engines that runs the steps of three trainers.
type benchmarkFleet struct {
	machine *Machine
	now     time.Time
	servers []*directory.Server
	running []AttemptID
	version int64
	jobs    int
}

var benchModels = []string{"m0", "m1", "m2"}

func newBenchmarkFleet(engines int) *benchmarkFleet {
	f := &benchmarkFleet{machine: NewMachine(Options{}), now: time.Unix(1000, 0), version: 1}
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

// simulateSecond simulates one second: events of all runs, ends and starts of some runs, ticks,
// server lists, and a new version with its loads.
func (f *benchmarkFleet) simulateSecond() {
	m := f.machine
	for tick := range 20 {
		f.now = f.now.Add(50 * time.Millisecond)
		m.HandlePartitionRead(f.now, 0, f.now)
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

func (f *benchmarkFleet) step() {
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

func (f *benchmarkFleet) carryOut() {
	output := f.machine.TakeOutput()
	for _, start := range output.Starts {
		f.running = append(f.running, start.Attempt)
	}
	for _, order := range output.Orders {
		f.machine.HandleLoad(f.now, order.Server, order.Model, LoadResult{Version: order.Version})
	}
	for _, result := range output.Results {
		f.machine.HandleResult(f.now, &result)
	}
}

// BenchmarkSecond measures the processor time per second of scheduling, up to the size of 300
// machines and 3,000 engines.
func BenchmarkSecond(b *testing.B) {
	for _, engines := range []int{50, 300, 1000, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			fleet := newBenchmarkFleet(engines)
			for b.Loop() {
				fleet.simulateSecond()
			}
		})
	}
}

// BenchmarkUnevenStep measures single steps of a machine with 9,998 listed engines, of which those in use are
// full, half of them slow, and thousands of items wait: an end of a run, with the choice of the next item,
// and a tick.
func BenchmarkUnevenStep(b *testing.B) {
	fleet := newBenchmarkFleet(9998)
	m := fleet.machine
	service := routetable.Service{Name: "pool", Models: benchModels, Slots: 8, MemoryTokens: 30_000, TokensPerEvent: 73}
	m.HandleTable(fleet.now, routetable.NewTable(2, m.table.Routes, []routetable.Service{service}, routetable.Limits{}))
	m.HandlePartitionRead(fleet.now, 0, fleet.now)
	for number := range 4 * len(benchModels) {
		model := benchModels[number%len(benchModels)]
		job := &batch.Job{ID: fmt.Sprint(number), Host: "h", Path: "/" + model + "/j", Model: model, MinVersion: 1}
		for i := range 1200 {
			job.Items = append(job.Items, batch.Item{
				ID: fmt.Sprintf("%d-%d", number, i), Path: "/" + model + "/i", Expected: 73 * (5 + i%100), Prompt: 276, Group: fmt.Sprint(number, ".", i/8),
			})
		}
		m.HandleJob(fleet.now, 0, job, nil)
	}
	fleet.carryOut()
	for i, eng := range m.sortedEngines() {
		eng.gap, eng.gapRuns, eng.gapSampledAt = 0.05*float64(1+2*(i%2)), 8, fleet.now.Add(time.Hour)
	}
	b.Logf("%d engines in use, %d runs, %d waiting", len(m.engines), m.Running(), m.Waiting())
	b.Run("end", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			// The item is queued again, so that the number of waiting items stays, and the engine takes the next.
			next := i % len(fleet.running)
			m.HandleAttemptEnd(fleet.now, fleet.running[next], EndCancelled)
			for _, start := range m.TakeOutput().Starts {
				fleet.running = append(fleet.running, start.Attempt)
			}
			fleet.running[next] = fleet.running[len(fleet.running)-1]
			fleet.running = fleet.running[:len(fleet.running)-1]
		}
	})
	b.Run("tick", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			m.Tick(fleet.now)
			m.TakeOutput()
		}
	})
}
