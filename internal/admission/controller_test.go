package admission

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/machine"
	"dalehook/internal/record"
)

var start = time.Date(2026, 1, 5, 9, 0, 1, 0, time.UTC)

func item(call machine.CallID, service string, within time.Duration) Item {
	return Item{Call: call, Service: service, Class: service, Deadline: start.Add(within)}
}

func refusedCalls(c *Controller) map[machine.CallID]machine.Code {
	codes := make(map[machine.CallID]machine.Code)
	for _, refusal := range c.TakeRefused() {
		codes[refusal.Item.Call] = refusal.Code
		if refusal.RetryAfter < minimumRetryAfter {
			codes[refusal.Item.Call] = "refused without a time to come back"
		}
	}
	return codes
}

func startAll(c *Controller, now time.Time) []machine.CallID {
	var started []machine.CallID
	c.Dispatch(now, func(item Item) bool {
		started = append(started, item.Call)
		return true
	})
	return started
}

func TestControllerShedsInThePlansOrder(t *testing.T) {
	c := New(Options{MaxTotalQueueLength: 3})
	for _, name := range []string{"lookup", "practice", "save"} {
		c.Register(name, name)
	}
	c.SetShedOrder([]string{"practice", "lookup"})
	for call, service := range []string{"practice", "lookup", "save", "save", "lookup", "save", "save"} {
		c.Offer(start, item(machine.CallID(call), service, time.Second))
	}
	want := map[machine.CallID]machine.Code{0: machine.CodeShed, 1: machine.CodeShed, 4: machine.CodeShed, 2: machine.CodeShed}
	if diff := cmp.Diff(want, refusedCalls(c)); diff != "" {
		t.Errorf("refused (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]machine.CallID{3, 5, 6}, startAll(c, start)); diff != "" {
		t.Errorf("started (-want +got):\n%s", diff)
	}
}

func TestControllerKeepsToItsShares(t *testing.T) {
	c := New(Options{})
	c.Register("lookup", "lookup")
	c.Register("save", "save")
	c.SetShares([]record.ClassLimit{{Class: "lookup", Concurrent: 2}, {Class: "save", Rate: 10}})
	for call := range machine.CallID(10) {
		c.Offer(start, item(call, "lookup", time.Minute))
		c.Offer(start, item(call+100, "save", time.Minute))
	}
	if got := startAll(c, start); len(got) != 4 {
		t.Errorf("started %v, want two by the concurrent limit and two by the burst", got)
	}
	c.Ended(item(0, "lookup", 0), time.Millisecond)
	if diff := cmp.Diff([]machine.CallID{2, 102, 103}, startAll(c, start.Add(200*time.Millisecond))); diff != "" {
		t.Errorf("started later (-want +got):\n%s", diff)
	}
}

func TestControllerRefusesWhatCannotBeInTime(t *testing.T) {
	c := New(Options{})
	c.Register("lookup", "lookup")
	c.flows[flowKey{"lookup", "lookup"}].serviceTime = 100 * time.Millisecond
	c.flows[flowKey{"lookup", "lookup"}].perSecond = 10
	c.flows[flowKey{"lookup", "lookup"}].inFlight = 1
	c.Offer(start, item(1, "lookup", 150*time.Millisecond))
	c.Offer(start, item(2, "lookup", 900*time.Millisecond))
	c.Offer(start, item(3, "lookup", 250*time.Millisecond))
	c.Offer(start, item(4, "lookup", time.Second))
	want := map[machine.CallID]machine.Code{1: machine.CodeOverloaded, 3: machine.CodeOverloaded}
	if diff := cmp.Diff(want, refusedCalls(c)); diff != "" {
		t.Errorf("refused at once (-want +got):\n%s", diff)
	}
	c.Tick(start.Add(750 * time.Millisecond))
	want = map[machine.CallID]machine.Code{2: machine.CodeOverloaded}
	if diff := cmp.Diff(want, refusedCalls(c)); diff != "" {
		t.Errorf("refused later (-want +got):\n%s", diff)
	}
	c.Offer(start.Add(760*time.Millisecond), item(5, "lookup", 2*time.Second))
	if diff := cmp.Diff([]machine.CallID{5, 4}, startAll(c, start.Add(760*time.Millisecond))); diff != "" {
		t.Errorf("newest first after an item ran out of time (-want +got):\n%s", diff)
	}
}

func TestIdleFlowAlwaysTries(t *testing.T) {
	c := New(Options{})
	c.Register("lookup", "lookup")
	c.flows[flowKey{"lookup", "lookup"}].serviceTime = time.Minute
	c.Offer(start, item(1, "lookup", time.Second))
	if diff := cmp.Diff([]machine.CallID{1}, startAll(c, start)); diff != "" {
		t.Errorf("started (-want +got):\n%s", diff)
	}
	c.Offer(start, item(2, "lookup", time.Second))
	want := map[machine.CallID]machine.Code{2: machine.CodeOverloaded}
	if diff := cmp.Diff(want, refusedCalls(c)); diff != "" {
		t.Errorf("refused while one runs (-want +got):\n%s", diff)
	}
}
