package scaling

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// fixture drives an Autoscaler on a simulated clock.
type fixture struct {
	t          *testing.T
	autoscaler *Autoscaler
	now        time.Time
	orders     []Order
	// listed is the number of servers by zone.
	listed map[string]int
}

func testService() Service {
	return Service{
		Name: "pool", Slots: 8, Minimum: 1, Maximum: 30, BootTime: 4 * time.Second,
		ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25},
	}
}

func newFixture(t *testing.T, options Options, change func(*Service)) *fixture {
	f := &fixture{t: t, autoscaler: NewAutoscaler(options), now: time.Unix(1000, 0), listed: map[string]int{"a": 5, "b": 5, "c": 5}}
	service := testService()
	if change != nil {
		change(&service)
	}
	f.autoscaler.HandleServices([]Service{service})
	f.advance(observationPeriod+time.Second, 0)
	return f
}

// advance moves the clock forward with a constant number of open items.
func (f *fixture) advance(length time.Duration, open int) {
	for ; length > 0; length -= 200 * time.Millisecond {
		f.now = f.now.Add(200 * time.Millisecond)
		f.autoscaler.HandleServers(f.now, "pool", f.listed)
		f.autoscaler.HandleDemand(f.now, "pool", open)
		for _, order := range f.autoscaler.Tick(f.now) {
			f.orders = append(f.orders, order)
			f.autoscaler.HandleOutcome(f.now, order, OutcomeAccepted)
		}
	}
}

// orderedCounts returns the last ordered count of each zone and the total number of orders.
func (f *fixture) orderedCounts() (counts map[string]int, orders int) {
	counts = make(map[string]int)
	for _, order := range f.orders {
		counts[order.Zone] = order.Count
	}
	return counts, len(f.orders)
}

func (f *fixture) expectOrders(condition string, orders int, counts map[string]int) {
	f.t.Helper()
	got, number := f.orderedCounts()
	if diff := cmp.Diff(counts, got); diff != "" || number != orders {
		f.t.Errorf("%s: %d orders: %s", condition, number, diff)
	}
}

func TestNoOrdersWhileCapacitySuffices(t *testing.T) {
	f := newFixture(t, Options{}, nil)
	f.advance(2*time.Minute, 120)
	f.expectOrders("15 servers of 8 slots for 120 items", 0, map[string]int{})
}

func TestScaleUpCoversOpenItems(t *testing.T) {
	f := newFixture(t, Options{Epoch: 7}, nil)
	f.advance(time.Second, 240)
	f.expectOrders("240 items need 30 servers", 3, map[string]int{"a": 10, "b": 12, "c": 8})
	if f.orders[0].Epoch != 7 || f.orders[0].Service != "pool" {
		t.Errorf("order %+v", f.orders[0])
	}
	f.listed = map[string]int{"a": 10, "b": 12, "c": 8}
	f.advance(30*time.Second, 100)
	f.expectOrders("lower demand between two steps", 3, map[string]int{"a": 10, "b": 12, "c": 8})
}

func TestScaleUpRespectsMaximums(t *testing.T) {
	f := newFixture(t, Options{}, nil)
	f.advance(time.Second, 100_000)
	f.expectOrders("demand beyond the zone maximums", 3, map[string]int{"a": 30, "b": 30, "c": 30})
	bounded := newFixture(t, Options{MaxServers: 18}, nil)
	bounded.advance(time.Second, 100_000)
	bounded.expectOrders("bound by MaxServers", 2, map[string]int{"a": 6, "b": 7})
	// A bound below the baseline removes no servers.
	low := newFixture(t, Options{MaxServers: 3}, nil)
	low.advance(2*time.Minute, 100_000)
	low.expectOrders("a bound below the baseline", 0, map[string]int{})
}

func TestScaleDownWaitsForDelay(t *testing.T) {
	f := newFixture(t, Options{}, nil)
	f.advance(time.Second, 240)
	f.listed, _ = f.orderedCounts()
	f.advance(scaleDownDelay, 100)
	f.expectOrders("after one minute of lower demand", 3, map[string]int{"a": 10, "b": 12, "c": 8})
	f.advance(scaleDownDelay+2*time.Second, 100)
	counts, _ := f.orderedCounts()
	total := 0
	for _, count := range counts {
		total += count
	}
	if total != 15 {
		t.Errorf("after two minutes of lower demand: %v", counts)
	}
}

// The platform, not the autoscaler, replaces servers that crash or are being replaced.
func TestMissingServersAreNotReordered(t *testing.T) {
	f := newFixture(t, Options{}, nil)
	f.listed = map[string]int{"a": 2, "b": 5, "c": 4}
	f.advance(20*time.Second, 120)
	f.expectOrders("some servers are missing", 0, map[string]int{})
}

// An order is repeated if its servers do not appear: it may have been lost, or undone by an older
// order that was carried out late.
func TestUnfulfilledOrderIsRepeated(t *testing.T) {
	f := newFixture(t, Options{}, nil)
	f.advance(time.Second, 240)
	f.listed = map[string]int{"a": 10, "b": 12, "c": 5}
	f.advance(4*time.Second+listingDelay, 240)
	f.expectOrders("one zone has too few servers", 4, map[string]int{"a": 10, "b": 12, "c": 8})
	if last := f.orders[3]; last.Zone != "c" {
		t.Errorf("ordered again: %+v", last)
	}
}

func TestOrderOutcomes(t *testing.T) {
	f := newFixture(t, Options{}, nil)
	f.autoscaler.HandleDemand(f.now, "pool", 240)
	first := f.autoscaler.Tick(f.now)
	if len(first) != 3 {
		t.Fatalf("orders %+v", first)
	}
	for _, order := range first {
		f.autoscaler.HandleOutcome(f.now, order, OutcomeUnknown)
	}
	if again := f.autoscaler.Tick(f.now.Add(retryDelay / 2)); len(again) != 0 {
		t.Errorf("ordered again before the retry delay: %+v", again)
	}
	again := f.autoscaler.Tick(f.now.Add(retryDelay))
	if diff := cmp.Diff(first, again); diff != "" {
		t.Error(diff)
	}
	f.autoscaler.HandleOutcome(f.now, again[0], OutcomeFenced)
	if after := f.autoscaler.Tick(f.now.Add(time.Minute)); len(after) != 0 {
		t.Errorf("ordered though fenced off: %+v", after)
	}
}

// A new holder observes the existing servers before it places orders.
func TestSuccessorStartsFromListedServers(t *testing.T) {
	f := &fixture{t: t, autoscaler: NewAutoscaler(Options{}), now: time.Unix(1000, 0), listed: map[string]int{"a": 8, "b": 12, "c": 8}}
	f.autoscaler.HandleServices([]Service{testService()})
	f.advance(time.Second, 240)
	f.expectOrders("during the observation period", 0, map[string]int{})
	f.listed = map[string]int{"a": 10, "b": 12, "c": 8} // two servers were being replaced
	f.advance(10*time.Second, 240)
	f.expectOrders("all servers are listed", 0, map[string]int{})
	f.advance(time.Second, 300)
	f.expectOrders("more servers are needed", 3, map[string]int{"a": 12, "b": 16, "c": 10})
}

func TestUnscalableServicesGetNoOrders(t *testing.T) {
	for name, change := range map[string]func(*Service){
		"no slots": func(s *Service) { s.Slots = 0 },
		"no zones": func(s *Service) { s.ZonePrices = nil },
	} {
		f := newFixture(t, Options{}, change)
		f.advance(time.Second, 1000)
		f.expectOrders(name, 0, map[string]int{})
	}
	f := newFixture(t, Options{}, nil)
	f.autoscaler.HandleServices(nil)
	f.advance(time.Second, 1000)
	f.expectOrders("the service was removed", 0, map[string]int{})
}
