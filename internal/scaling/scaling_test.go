package scaling

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// fixture drives a machine on a clock of its own.
type fixture struct {
	t       *testing.T
	machine *Machine
	now     time.Time
	orders  []Order
	// listed is the number of servers by zone.
	listed map[string]int
}

func pool() Service {
	return Service{
		Name: "pool", Slots: 8, Minimum: 1, Maximum: 30, BootTime: 4 * time.Second,
		ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25},
	}
}

func newFixture(t *testing.T, options Options, change func(*Service)) *fixture {
	f := &fixture{t: t, machine: NewMachine(options), now: time.Unix(1000, 0), listed: map[string]int{"a": 5, "b": 5, "c": 5}}
	service := pool()
	if change != nil {
		change(&service)
	}
	f.machine.HandleServices([]Service{service})
	f.pass(lookFor+time.Second, 0)
	return f
}

// pass lets time go by, with a number of open items.
func (f *fixture) pass(length time.Duration, open int) {
	for ; length > 0; length -= 200 * time.Millisecond {
		f.now = f.now.Add(200 * time.Millisecond)
		f.machine.HandleServers(f.now, "pool", f.listed)
		f.machine.HandleDemand(f.now, "pool", open)
		for _, order := range f.machine.Tick(f.now) {
			f.orders = append(f.orders, order)
			f.machine.HandleOutcome(f.now, order, OutcomeTaken)
		}
	}
}

// ordered returns the last count that was ordered of each zone, and how many orders there were.
func (f *fixture) ordered() (counts map[string]int, orders int) {
	counts = make(map[string]int)
	for _, order := range f.orders {
		counts[order.Zone] = order.Count
	}
	return counts, len(f.orders)
}

func (f *fixture) want(when string, orders int, counts map[string]int) {
	f.t.Helper()
	got, number := f.ordered()
	if diff := cmp.Diff(counts, got); diff != "" || number != orders {
		f.t.Errorf("%s: %d orders: %s", when, number, diff)
	}
}

func TestNothingIsOrderedWhileWhatIsThereSuffices(t *testing.T) {
	f := newFixture(t, Options{}, nil)
	f.pass(2*time.Minute, 120)
	f.want("15 servers of 8 slots for 120 items", 0, map[string]int{})
}

func TestServersAreOrderedForAllOpenItems(t *testing.T) {
	f := newFixture(t, Options{Epoch: 7}, nil)
	f.pass(time.Second, 240)
	f.want("30 servers are needed", 3, map[string]int{"a": 10, "b": 12, "c": 8})
	if f.orders[0].Epoch != 7 || f.orders[0].Service != "pool" {
		t.Errorf("order %+v", f.orders[0])
	}
	f.listed = map[string]int{"a": 10, "b": 12, "c": 8}
	f.pass(30*time.Second, 100)
	f.want("between two steps", 3, map[string]int{"a": 10, "b": 12, "c": 8})
}

func TestBoundsHold(t *testing.T) {
	f := newFixture(t, Options{}, nil)
	f.pass(time.Second, 100_000)
	f.want("more than there may be", 3, map[string]int{"a": 30, "b": 30, "c": 30})
	bounded := newFixture(t, Options{Most: 18}, nil)
	bounded.pass(time.Second, 100_000)
	bounded.want("the operator's bound", 2, map[string]int{"a": 6, "b": 7})
	// A bound below what is there takes nothing away.
	low := newFixture(t, Options{Most: 3}, nil)
	low.pass(2*time.Minute, 100_000)
	low.want("a bound below what is there", 0, map[string]int{})
}

func TestServersAreGivenBackOnceFewerHaveSufficedForLong(t *testing.T) {
	f := newFixture(t, Options{}, nil)
	f.pass(time.Second, 240)
	f.listed, _ = f.ordered()
	f.pass(lowerAfter, 100)
	f.want("for a minute", 3, map[string]int{"a": 10, "b": 12, "c": 8})
	f.pass(lowerAfter+2*time.Second, 100)
	counts, _ := f.ordered()
	total := 0
	for _, count := range counts {
		total += count
	}
	if total != 15 {
		t.Errorf("after two minutes: %v", counts)
	}
}

// Servers that crash or are replaced are the platform's to bring back.
func TestServersThatAreMissingForAMomentAreNotReplaced(t *testing.T) {
	f := newFixture(t, Options{}, nil)
	f.listed = map[string]int{"a": 2, "b": 5, "c": 4}
	f.pass(20*time.Second, 120)
	f.want("some are gone", 0, map[string]int{})
}

// What was ordered and does not come is ordered again: an order may have been lost, or undone
// by an older one that was carried out late.
func TestWhatDoesNotComeIsOrderedAgain(t *testing.T) {
	f := newFixture(t, Options{}, nil)
	f.pass(time.Second, 240)
	f.listed = map[string]int{"a": 10, "b": 12, "c": 5}
	f.pass(4*time.Second+listedWithin, 240)
	f.want("one zone lacks some", 4, map[string]int{"a": 10, "b": 12, "c": 8})
	if last := f.orders[3]; last.Zone != "c" {
		t.Errorf("ordered again: %+v", last)
	}
}

func TestOutcomesOfOrders(t *testing.T) {
	f := newFixture(t, Options{}, nil)
	f.machine.HandleDemand(f.now, "pool", 240)
	first := f.machine.Tick(f.now)
	if len(first) != 3 {
		t.Fatalf("orders %+v", first)
	}
	for _, order := range first {
		f.machine.HandleOutcome(f.now, order, OutcomeUnknown)
	}
	if again := f.machine.Tick(f.now.Add(retryAfter / 2)); len(again) != 0 {
		t.Errorf("ordered again at once: %+v", again)
	}
	again := f.machine.Tick(f.now.Add(retryAfter))
	if diff := cmp.Diff(first, again); diff != "" {
		t.Error(diff)
	}
	f.machine.HandleOutcome(f.now, again[0], OutcomeFenced)
	if after := f.machine.Tick(f.now.Add(time.Minute)); len(after) != 0 {
		t.Errorf("ordered though fenced off: %+v", after)
	}
}

// A holder that has just begun looks at what is there before it orders.
func TestASuccessorGoesOnFromWhatIsListed(t *testing.T) {
	f := &fixture{t: t, machine: NewMachine(Options{}), now: time.Unix(1000, 0), listed: map[string]int{"a": 8, "b": 12, "c": 8}}
	f.machine.HandleServices([]Service{pool()})
	f.pass(time.Second, 240)
	f.want("it has just begun", 0, map[string]int{})
	f.listed = map[string]int{"a": 10, "b": 12, "c": 8} // two were being replaced
	f.pass(10*time.Second, 240)
	f.want("all are there", 0, map[string]int{})
	f.pass(time.Second, 300)
	f.want("more are needed", 3, map[string]int{"a": 12, "b": 16, "c": 10})
}

func TestServicesThatCanNotBeChosenAreLeftAlone(t *testing.T) {
	for name, change := range map[string]func(*Service){
		"no slots": func(s *Service) { s.Slots = 0 },
		"no zones": func(s *Service) { s.ZonePrices = nil },
	} {
		f := newFixture(t, Options{}, change)
		f.pass(time.Second, 1000)
		f.want(name, 0, map[string]int{})
	}
	f := newFixture(t, Options{}, nil)
	f.machine.HandleServices(nil)
	f.pass(time.Second, 1000)
	f.want("no such service any more", 0, map[string]int{})
}
