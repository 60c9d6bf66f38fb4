package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// Size of the largest fleet, and of the jobs that wait there.
const (
	benchServers       = 9998
	benchWaitingJobs   = 40
	benchWaitingGroups = 22
	benchGroupSize     = 8
)

// newWaitingFleet returns a machine with several thousand waiting items and engines that are full, and
// its running attempts. deadline is that of the route's results; 0 keeps order of arrival.
func newWaitingFleet(deadline time.Duration) (*Machine, time.Time, []AttemptID) {
	now := time.Unix(1000, 0)
	m := NewMachine(Options{StallTimeout: time.Hour, FreshnessLimit: time.Hour})
	route := batchRoute()
	route.ItemLifetime, route.ResultDeadline, route.Resumable = time.Hour, deadline, true
	m.HandleTable(now, routetable.NewTable(1, []routetable.Route{route}, []routetable.Service{{Name: "pool", Models: []string{"m"}}}, routetable.Limits{}))
	var servers []*directory.Server
	for i := range benchServers {
		servers = append(servers, &directory.Server{ID: fmt.Sprintf("i-%08d", i), Service: "pool", Address: "a:1", Slots: 2, Versions: map[string]int64{"m": 1}})
	}
	m.HandleServers(now, servers)
	m.HandlePartitionRead(now, 0, now)
	for number := range 2 * benchWaitingJobs {
		job := &batch.Job{
			ID: fmt.Sprintf("j%03d", number), Tenant: fmt.Sprint(number % 4), Host: "h", Path: "/p/x", Model: "m", MinVersion: 1,
			WantedGroups: benchWaitingGroups - 2, AcceptedAt: now.UnixMilli(),
		}
		for at := range benchWaitingGroups * benchGroupSize {
			job.Items = append(job.Items, batch.Item{
				ID: fmt.Sprintf("%s-%d", job.ID, at), Path: "/p/x", Group: fmt.Sprint(at / benchGroupSize), Expected: 100 + (at*37)%900,
			})
		}
		m.HandleJob(now, 0, job, nil)
		if number == benchWaitingJobs-1 {
			// The other jobs wait: no engines are added for them.
			m.workingSets.setListed(servers[:len(m.engines)])
		}
	}
	var running []AttemptID
	for _, start := range m.TakeOutput().Starts {
		running = append(running, start.Attempt)
	}
	return m, now, running
}

// BenchmarkStepWithWaitingItems measures one step of the machine while several thousand items wait at
// engines that are full: the end of a run and the start of the next one.
func BenchmarkStepWithWaitingItems(b *testing.B) {
	for name, deadline := range map[string]time.Duration{"arrival": 0, "slack": 30 * time.Minute} {
		b.Run(name, func(b *testing.B) {
			m, now, running := newWaitingFleet(deadline)
			waiting, engines := m.Waiting(), len(m.engines)
			var steps []time.Duration
			for b.Loop() {
				if len(running) == 0 || m.Waiting() < 1000 {
					b.StopTimer()
					m, now, running = newWaitingFleet(deadline)
					b.StartTimer()
				}
				now = now.Add(time.Millisecond)
				began := time.Now()
				m.HandleAttemptEnd(now, running[0], EndCompleted)
				steps = append(steps, time.Since(began))
				running = running[1:]
				output := m.TakeOutput()
				for _, start := range output.Starts {
					running = append(running, start.Attempt)
				}
			}
			slices.Sort(steps)
			b.ReportMetric(float64(steps[len(steps)*999/1000].Microseconds()), "p99.9-µs")
			b.ReportMetric(float64(waiting), "waiting")
			b.ReportMetric(float64(engines), "engines")
		})
	}
}
