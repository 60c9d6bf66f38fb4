package overload

import (
	"testing"
	"time"
)

// highestRefusedShare returns the refused share of the node that refuses most.
func (m *model) highestRefusedShare() float64 {
	highest := 0.0
	for _, node := range m.nodes {
		highest = max(highest, node.service.Throttle.RefusedShare(m.now))
	}
	return highest
}

// Guards against retries and hedges that multiply a burst, against servers that are left idle or
// answer only late requests under it, and against refusals that outlast it. 87 nodes decide
// independently in front of 4 servers; callers send refused requests again.
func TestBurstsAreServedAndForgotten(t *testing.T) {
	const capacity = 4 * modelCapacity
	for _, times := range []float64{1, 2, 5} {
		m := newModel(87, 4)
		if quiet := m.simulate(3*time.Second, 0.3*capacity); quiet.refused > 0 {
			t.Errorf("%v times the capacity: %d requests refused before", times, quiet.refused)
		}
		burst := m.simulate(5*time.Second, times*capacity)
		if least := 0.9 * min(times, 1) * capacity * 5; float64(burst.inTime) < least {
			t.Errorf("%v times the capacity: %d answers in time, want %.0f", times, burst.inTime, least)
		}
		if most := 1.4 * float64(burst.made); float64(burst.arrivals) > most {
			t.Errorf("%v times the capacity: %d arrivals for %d requests", times, burst.arrivals, burst.made)
		}
		// The requests of the burst come back until their deadlines.
		m.simulate(modelDeadline, 0.3*capacity)
		m.simulate(time.Second, 0.3*capacity)
		if share := m.highestRefusedShare(); share > 0 {
			t.Errorf("%v times the capacity: a node refuses %.2f a second after the last retry", times, share)
		}
		after := m.simulate(3*time.Second, 0.3*capacity)
		if after.refused > 0 || after.inTime < after.made-50 {
			t.Errorf("%v times the capacity: afterwards %+v", times, after)
		}
	}
}

// Guards against a model whose servers withstand a burst without protection, which would make the test
// above meaningless.
func TestUnprotectedNodesMultiplyABurst(t *testing.T) {
	m := newModel(87, 4)
	for _, node := range m.nodes {
		node.unprotected = true
	}
	if burst := m.simulate(5*time.Second, 2*4*modelCapacity); burst.arrivals < 4*burst.made {
		t.Errorf("%+v", burst)
	}
}

// Guards against a slow or hanging server that has requests refused, or hedges denied, while the
// other servers are idle.
func TestSlowServerAmongIdleOnes(t *testing.T) {
	for name, slowdown := range map[string]float64{"ten times slower": 10, "hanging": 0} {
		m := newModel(5, 5)
		m.servers[0].slowdown = slowdown
		got := m.simulate(10*time.Second, 0.2*5*modelCapacity)
		if got.refused > 0 || float64(got.inTime) < 0.99*float64(got.made) || got.hedges == 0 {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// Guards against refusals because one or two servers reject all requests while the others are idle, at
// nodes with many and with few requests, and with servers that state no load; and against requests that
// are sent there first.
func TestRejectingServersAmongIdleOnes(t *testing.T) {
	for _, nodes := range []int{1, 5, 87} {
		for _, statesLoad := range []bool{true, false} {
			for _, rejecting := range []int{1, 2} {
				m := newModel(nodes, 5)
				m.statesLoad = statesLoad
				const rate = 0.2 * 5 * modelCapacity
				m.simulate(2*time.Second, rate)
				for _, server := range m.servers[:rejecting] {
					server.rejecting = true
				}
				got := m.simulate(10*time.Second, rate)
				if rejecting == 1 && float64(got.refused) > 0.01*float64(got.made) || float64(got.inTime) < 0.99*float64(got.made) ||
					float64(got.arrivals) > 1.3*float64(got.made) {
					t.Errorf("%d nodes, loads stated %v, %d servers reject: %+v", nodes, statesLoad, rejecting, got)
				}
			}
		}
	}
}

// Guards against a throttle that lets nothing through while all servers reject, so that it never
// notices their recovery, and against one that lets much through.
func TestServersThatRejectEverything(t *testing.T) {
	for _, statesLoad := range []bool{true, false} {
		m := newModel(3, 4)
		m.statesLoad = statesLoad
		m.simulate(2*time.Second, 200)
		for _, server := range m.servers {
			server.rejecting = true
		}
		m.simulate(2*time.Second, 200)
		for range 5 {
			rejected := m.simulate(time.Second, 200)
			if rejected.arrivals < len(m.nodes) || rejected.arrivals > 100 {
				t.Errorf("loads stated %v: %+v while all servers reject", statesLoad, rejected)
			}
		}
		for _, server := range m.servers {
			server.rejecting = false
		}
		m.simulate(time.Second+modelDeadline, 200)
		if after := m.simulate(2*time.Second, 200); after.refused > 0 {
			t.Errorf("loads stated %v: %+v after the recovery", statesLoad, after)
		}
	}
}

// Guards against budgets whose sum over many nodes multiplies the load: docs/design/overload.md has
// the formula. Servers that reject everything make each request need a retry.
func TestSumOfBudgetsOfManyNodes(t *testing.T) {
	const nodes, seconds = 87, 5
	m := newModel(nodes, 4)
	for _, server := range m.servers {
		server.rejecting = true
	}
	got := m.simulate(seconds*time.Second, 2*4*modelCapacity)
	admitted := got.arrivals - got.retries
	most := nodes*(initialBudget+budgetFloor*seconds) + DefaultBudgetShare*float64(admitted)
	if float64(got.retries) > most || got.hedges > 0 {
		t.Errorf("%d retries for %d admitted requests, want %.0f; %d hedges", got.retries, admitted, most, got.hedges)
	}
}

// Guards against an overload that is kept up by its own retries after its cause is over: the servers
// are ten times slower for two seconds, and then as fast as before, at 0.7 of their capacity.
func TestRetryStormEndsByItself(t *testing.T) {
	const rate = 0.7 * 4 * modelCapacity
	m := newModel(87, 4)
	m.simulate(2*time.Second, rate)
	for _, server := range m.servers {
		server.slowdown = 10
	}
	storm := m.simulate(2*time.Second, rate)
	if float64(storm.arrivals) > 1.4*float64(storm.made) {
		t.Errorf("during the fault: %+v", storm)
	}
	for _, server := range m.servers {
		server.slowdown = 1
	}
	m.simulate(2*time.Second, rate)
	if after := m.simulate(3*time.Second, rate); float64(after.inTime) < 0.95*float64(after.made) || float64(after.arrivals) > 1.1*float64(after.made) {
		t.Errorf("after the fault: %+v", after)
	}
}
