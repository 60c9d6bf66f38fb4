package election

import (
	"testing"
	"time"
)

// readAll reads the log to its end; the store was asked when so much had passed since the last step.
func (w *world) readAll(m *Machine, asked time.Time) {
	w.read(m)
	m.HandleReadToEnd(w.now, asked)
}

// What a holder tells is heard by all, at once where it goes further than what was told, and is never taken
// for younger than it is: it was told after the log was asked for the time before.
func TestNewsAreAsOldAsTheyAre(t *testing.T) {
	w := newWorld(2)
	holder, other := w.machines[0], w.machines[1]
	w.readAll(other, w.now)
	other.Doubtful(w.now)
	holder.SetNews(&News{Next: 3, AgeMs: 200})
	w.step(holder)
	w.readAll(other, w.now)
	if heard := other.Standing(w.now).News; heard == nil || heard.Next != 3 {
		t.Fatalf("the claim tells %+v", heard)
	}
	askedBefore := w.now
	w.now = w.now.Add(300 * time.Millisecond)
	holder.SetNews(&News{Next: 4, Large: 4, AgeMs: 50})
	w.step(holder)
	w.readAll(other, w.now.Add(-time.Millisecond))
	heard := other.Standing(w.now).News
	if heard == nil || heard.Next != 4 || heard.Large != 4 {
		t.Fatalf("news were not told before the next renewal: %+v", heard)
	}
	if want := askedBefore.Add(-50 * time.Millisecond); !heard.At.Equal(want) {
		t.Errorf("taken for %v younger than they may be", heard.At.Sub(want))
	}
	w.now = w.now.Add(100 * time.Millisecond)
	holder.SetNews(&News{Next: 4, Large: 4, AgeMs: 10})
	if wanted := holder.Tick(w.now); wanted != nil {
		t.Error("told before its time what is known")
	}
	if holder.Standing(w.now).Leading == false || other.Standing(w.now).Leading {
		t.Error("the holder is not the one who tells")
	}
}

// What a holder told before a process began is not heard: the holder may be gone, and all nodes of a fleet that
// starts anew would ask it for what it told of.
func TestNewsOfBeforeAreNotHeard(t *testing.T) {
	w := newWorld(2)
	holder, late := w.machines[0], w.machines[1]
	holder.SetNews(&News{Next: 3})
	w.step(holder)
	w.readAll(late, w.now)
	late.Doubtful(w.now)
	if heard := late.Standing(w.now).News; heard != nil {
		t.Errorf("heard %+v", heard)
	}
	holder.SetNews(&News{Next: 4})
	w.step(holder)
	w.readAll(late, w.now)
	if heard := late.Standing(w.now).News; heard == nil || heard.Next != 4 {
		t.Errorf("what is told now: %+v", heard)
	}
}

// A holder that tells nothing, as those of earlier builds, is not taken to have told what another did.
func TestAHolderThatTellsNothing(t *testing.T) {
	w := newWorld(3)
	first, second, other := w.machines[0], w.machines[1], w.machines[2]
	first.SetNews(&News{Next: 3})
	w.step(first)
	w.readAll(second, w.now)
	w.now = w.now.Add(testTiming.TTL + time.Millisecond)
	w.step(second)
	w.readAll(other, w.now)
	if standing := other.Standing(w.now); standing.News != nil || standing.Coordinator != "address-1" {
		t.Errorf("coordinator %q told %+v", standing.Coordinator, standing.News)
	}
}

// While reads of the log fail, nobody knows whether the holder tells anything.
func TestContactWithTheLog(t *testing.T) {
	w := newWorld(1)
	m := w.machines[0]
	w.readAll(m, w.now)
	since := w.now
	w.now = w.now.Add(time.Second)
	w.readAll(m, w.now)
	if standing := m.Standing(w.now); !standing.ReadSince.Equal(since) || !standing.ReadAt.Equal(w.now) {
		t.Errorf("%+v", standing)
	}
	m.HandleReadFailure(w.now)
	if standing := m.Standing(w.now); !standing.ReadSince.IsZero() || !standing.ReadAt.Equal(w.now) {
		t.Errorf("after a failure: %+v", standing)
	}
}
