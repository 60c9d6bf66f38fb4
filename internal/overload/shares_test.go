package overload

import (
	"math/rand/v2"
	"testing"
	"time"
)

// demand is the requests of one kind, evenly spread over a second.
type demand struct {
	request   Request
	perSecond int
}

// admittedShares returns the share of each kind of request that is admitted over 20 s, at a node whose
// servers accept a share of all requests.
func admittedShares(weights map[string]float64, accepted float64, demands ...demand) []float64 {
	random := rand.New(rand.NewPCG(1, 2))
	s := newShares(weights)
	const ticks, seconds = 1000, 20
	admitted, made := make([]float64, len(demands)), make([]float64, len(demands))
	for tick := range ticks * seconds {
		now := start.Add(time.Duration(tick) * time.Second / ticks)
		for i, d := range demands {
			if tick*d.perSecond/ticks == (tick+1)*d.perSecond/ticks {
				continue
			}
			made[i]++
			if random.Float64() < s.chance(now, d.request, accepted) {
				admitted[i]++
			}
		}
	}
	for i := range admitted {
		admitted[i] /= made[i]
	}
	return admitted
}

// Guards against urgent requests that are refused for less urgent ones, against less urgent ones that
// starve, and against tenants whose share grows with their demand.
func TestDivisionOfTheAdmittedShare(t *testing.T) {
	of := func(tenant string, priority int) Request {
		return Request{Tenant: tenant, Priority: priority, Route: "r", Remaining: time.Second}
	}
	short := of("a", 0)
	short.Remaining -= shortOfTimeMargin + time.Millisecond
	cases := []struct {
		name     string
		weights  map[string]float64
		accepted float64
		demands  []demand
		want     []float64
	}{
		{"one tenant", nil, 0.3, []demand{{of("a", 0), 100}}, []float64{0.3}},
		{"urgent requests first", nil, 0.5, []demand{{of("a", 0), 40}, {of("a", 1), 60}}, []float64{1, 1. / 6}},
		{"a twentieth for the less urgent", nil, 0.5, []demand{{of("a", 0), 100}, {of("a", 1), 100}}, []float64{0.95, 0.05}},
		{"a twentieth of the rest for the least urgent", nil, 0.5, []demand{{of("a", 0), 100}, {of("a", 1), 50}, {of("a", 2), 50}},
			[]float64{0.95, 0.095, 0.005}},
		{"two tenants of unequal demand", nil, 0.5, []demand{{of("a", 0), 180}, {of("b", 0), 20}}, []float64{80. / 180, 1}},
		{"one request a second beside thousands", nil, 0.1, []demand{{of("a", 0), 2000}, {of("b", 0), 1}}, []float64{0.1, 1}},
		{"weights", map[string]float64{"a": 3}, 0.4, []demand{{of("a", 0), 100}, {of("b", 0), 100}}, []float64{0.6, 0.2}},
		{"less time left than usual", nil, 0.5, []demand{{of("a", 0), 80}, {short, 20}}, []float64{0.375, 1}},
		{"half of the share for those with less time left", nil, 0.4, []demand{{of("a", 0), 50}, {short, 50}}, []float64{0.4, 0.4}},
		{"what the others leave", nil, 0.5, []demand{{of("a", 0), 10}, {short, 90}}, []float64{1, 4. / 9}},
	}
	for _, c := range cases {
		got := admittedShares(c.weights, c.accepted, c.demands...)
		for i, want := range c.want {
			if got[i] < want-0.05 || got[i] > want+0.05 {
				t.Errorf("%s: admitted shares %.3f, want %.3f", c.name, got, c.want)
				break
			}
		}
	}
}

// Guards against refusing more than the share to refuse where each of many tenants has few requests.
func TestTenantsWithFewRequestsAreAdmittedByTheShare(t *testing.T) {
	var demands []demand
	for i := range 40 {
		demands = append(demands, demand{Request{Tenant: string(rune('a' + i)), Route: "r", Remaining: time.Second}, 1})
	}
	const accepted = 0.8
	sum := 0.0
	for _, admitted := range admittedShares(nil, accepted, demands...) {
		sum += admitted
	}
	if mean := sum / float64(len(demands)); mean < accepted-0.05 || mean > accepted+0.05 {
		t.Errorf("admitted %.3f of the requests, want %.1f", mean, accepted)
	}
}

// Guards against state that grows with the tenants that were ever seen.
func TestTenantsAreForgotten(t *testing.T) {
	s := newShares(nil)
	for i := range 100 {
		s.chance(start, Request{Tenant: string(rune('a' + i)), Priority: i % 3}, 0.5)
	}
	s.chance(start.Add(3*time.Second), Request{Tenant: "b", Priority: 1}, 0.5)
	if len(s.levels) != 1 || len(s.levels[0].tenants) != 1 || len(s.levels[0].byTenant) != 1 {
		t.Errorf("%d priorities are left", len(s.levels))
	}
}

// Guards against allocations for each request of a loaded node.
func TestAdmissionAllocatesNothing(t *testing.T) {
	throttle := overloadedThrottle()
	request := Request{Tenant: "a", Route: "r", Remaining: time.Second}
	throttle.Admit(start, request, 0.5)
	now := start
	if count := testing.AllocsPerRun(100, func() {
		now = now.Add(5 * time.Millisecond)
		throttle.Admit(now, request, 0.999)
	}); count > 0 {
		t.Errorf("%v allocations", count)
	}
}
