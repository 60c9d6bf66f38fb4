package election

import (
	"testing"
	"time"
)

// readAll reads the log to its end with a read that was sent at the given time.
func (c *testCluster) readAll(m *Machine, sentAt time.Time) {
	c.read(m)
	m.HandleCaughtUp(c.now, sentAt)
}

// An announcement is received by all nodes, immediately if its Next has advanced, and its age is never
// underestimated: it was made after the read before was sent.
func TestAnnouncementAgeIsNotUnderestimated(t *testing.T) {
	c := newTestCluster(2)
	holder, other := c.machines[0], c.machines[1]
	c.readAll(other, c.now)
	other.Suspect(c.now)
	holder.SetAnnouncement(&Announcement{Next: 3, AgeMs: 200})
	c.step(holder)
	c.readAll(other, c.now)
	if received := other.State(c.now).Announcement; received == nil || received.Next != 3 {
		t.Fatalf("announcement in the claim: %+v", received)
	}
	previousReadAt := c.now
	c.now = c.now.Add(300 * time.Millisecond)
	holder.SetAnnouncement(&Announcement{Next: 4, Large: 4, AgeMs: 50})
	c.step(holder)
	c.readAll(other, c.now.Add(-time.Millisecond))
	received := other.State(c.now).Announcement
	if received == nil || received.Next != 4 || received.Large != 4 {
		t.Fatalf("not announced before the next renewal: %+v", received)
	}
	if want := previousReadAt.Add(-50 * time.Millisecond); !received.AskedAt.Equal(want) {
		t.Errorf("announcement considered %v newer than it may be", received.AskedAt.Sub(want))
	}
	c.now = c.now.Add(100 * time.Millisecond)
	holder.SetAnnouncement(&Announcement{Next: 4, Large: 4, AgeMs: 10})
	if pending := holder.Tick(c.now); pending != nil {
		t.Error("announced again before the next renewal although Next did not advance")
	}
	if holder.State(c.now).Leading == false || other.State(c.now).Leading {
		t.Error("the announcing node is not the leader")
	}
}

// Guards against a process acting on an announcement made before it started: the holder may be gone, and
// all nodes of a restarted fleet would request the announced records from it.
func TestAnnouncementFromBeforeStartIsIgnored(t *testing.T) {
	c := newTestCluster(2)
	holder, late := c.machines[0], c.machines[1]
	holder.SetAnnouncement(&Announcement{Next: 3})
	c.step(holder)
	c.readAll(late, c.now)
	late.Suspect(c.now)
	if received := late.State(c.now).Announcement; received != nil {
		t.Errorf("received an announcement made before the start: %+v", received)
	}
	holder.SetAnnouncement(&Announcement{Next: 4})
	c.step(holder)
	c.readAll(late, c.now)
	if received := late.State(c.now).Announcement; received == nil || received.Next != 4 {
		t.Errorf("announcement made after the start: %+v", received)
	}
}

// A holder that announces nothing, such as an earlier build, must not be credited with its predecessor's
// announcement.
func TestHolderWithoutAnnouncement(t *testing.T) {
	c := newTestCluster(3)
	first, second, other := c.machines[0], c.machines[1], c.machines[2]
	first.SetAnnouncement(&Announcement{Next: 3})
	c.step(first)
	c.readAll(second, c.now)
	c.now = c.now.Add(testTiming.TTL + time.Millisecond)
	c.step(second)
	c.readAll(other, c.now)
	if state := other.State(c.now); state.Announcement != nil || state.Coordinator != "address-1" {
		t.Errorf("coordinator %q, announcement %+v", state.Coordinator, state.Announcement)
	}
}

// While reads of the log fail, ReadableSince must be zero: whether the holder announces anything is
// unknown.
func TestReadableSinceIsResetByReadFailure(t *testing.T) {
	c := newTestCluster(1)
	m := c.machines[0]
	c.readAll(m, c.now)
	since := c.now
	c.now = c.now.Add(time.Second)
	c.readAll(m, c.now)
	if state := m.State(c.now); !state.ReadableSince.Equal(since) || !state.ReadAt.Equal(c.now) {
		t.Errorf("%+v", state)
	}
	m.HandleReadFailure(c.now)
	if state := m.State(c.now); !state.ReadableSince.IsZero() || !state.ReadAt.Equal(c.now) {
		t.Errorf("after a failed read: %+v", state)
	}
}
