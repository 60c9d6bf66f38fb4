package sim

import (
	"fmt"
	"testing"
	"time"

	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// TestOverloadKeepsGoodput offers three times what the servers can do. What is
// answered within its deadline must stay at nine tenths of their capacity.
func TestOverloadKeepsGoodput(t *testing.T) {
	for _, slots := range []int{4, 8, 32} {
		t.Run(fmt.Sprintf("%d slots", slots), func(t *testing.T) { overloadServers(t, slots) })
	}
}

func overloadServers(t *testing.T, slots int) {
	t.Helper()
	const (
		overload   = 3
		planned    = 0.6
		leastShare = 0.9
		from       = 15 * time.Second
		until      = 55 * time.Second
	)
	s := Hearing(Arequipa())
	s.Trainers = nil
	s.ServerSlots, s.ServerQueue, s.ServiceTime = slots, 8*slots, 200*time.Millisecond
	capacity := float64(s.Deployment.Servers*s.ServerSlots) / s.ServiceTime.Seconds()
	// The plan needs most of the servers; the crowd is three times what they can.
	s.Events[0].Crowd = int(planned * capacity * s.Events[0].Arrival.Std().Seconds())
	s.Events[0].Services[0].RequestsPerCaller = 1
	s.Events[0].Services[0].ServiceTime = record.Duration(s.ServiceTime)
	s.Callers = []CallerOptions{{Name: "lookups", Service: "bridge", Rate: overload * capacity, Deadline: 2 * time.Second, StartAt: 5 * time.Second}}
	w := NewWorld(Options{Seed: 1, Scenario: s, Factory: newCore})
	w.Run()
	if !w.setup.Done() {
		t.Fatalf("the event was not confirmed: %+v", w.Refusals()[0])
	}
	good, offered, refused := 0, 0, make(map[machine.Code]int)
	eachRequest(w, func(r *RequestWitness) {
		if r.Began < from || r.Began > until {
			return
		}
		offered++
		good += count(r.Answered && r.Ended <= r.Began+2*time.Second)
		refused[r.Code]++
	})
	share := float64(good) / (capacity * (until - from).Seconds())
	t.Logf("%d offered, %d answered in time, by code %v: %.2f of the capacity", offered, good, refused, share)
	if share < leastShare {
		t.Errorf("goodput is %.2f of the capacity, want %.2f", share, leastShare)
	}
	for _, check := range []func(*World) []string{checkNotRun, checkWholeAnswers, checkAnsweredInTime} {
		for _, line := range check(w) {
			t.Error(line)
		}
	}
}
