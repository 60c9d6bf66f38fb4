package pool

import (
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/membership"
	"dalehook/internal/placement"
)

// listReader decides when this node reads the platform's machine list.
type listReader struct {
	// next is the next look at whether to read, readAt the last reading.
	next   time.Time
	readAt time.Time
	// received is set after the first list that names a back end.
	received bool
	// pause is the time between two readings by the zone's reader.
	pause time.Duration
}

// tickList asks for the list: until the first one came, then now and then, more
// often by the one node of the zone that rendezvous hashing chooses.
func (m *Machine) tickList() {
	if m.now.Before(m.list.next) {
		return
	}
	pause := listRetry
	if m.list.received {
		pause = m.list.pause
	}
	m.list.next = m.now.Add(pause/2 + time.Duration(m.random.Int64N(int64(pause))))
	idle := m.now.Sub(m.list.readAt)
	if !m.list.received || idle >= idleListInterval || m.readsList() {
		m.list.readAt = m.now
		m.outbox.Add(machine.ReadMachines{})
	}
}

// readsList reports whether this node reads the list for its zone.
func (m *Machine) readsList() bool {
	var zone []cluster.Node
	for _, known := range m.members {
		if known.State == membership.StateAlive && sameZone(known.Node, m.options.Self) {
			zone = append(zone, known.Node)
		}
	}
	owner, found := placement.Owner(zone, "machine list")
	return !found || owner.ID == m.options.Self.ID
}

// HandleMachines takes the platform's lagging list. It adds what is new and
// takes over that a machine is leaving; it never brings back one that watchers
// or an earlier list have seen leaving or dead in the same life.
func (m *Machine) HandleMachines(now time.Time, machines []cluster.Machine) {
	m.now = now
	first := !m.list.received
	m.list.pause = listPause(len(machines))
	if first && slices.ContainsFunc(machines, isBackend) {
		m.list.received = true
		m.list.next = now.Add(time.Duration(m.random.Int64N(int64(m.list.pause))))
		m.list.readAt = now.Add(-time.Duration(m.random.Int64N(int64(idleListInterval / 2))))
	}
	for _, listed := range machines {
		if !isBackend(listed) {
			continue
		}
		if known := m.index[listed.ID]; known != nil {
			m.compareListed(known, listed)
			continue
		}
		m.addListed(listed, first)
	}
}

// isBackend reports whether a line of the list is a back end with a name.
func isBackend(listed cluster.Machine) bool {
	return listed.Kind != cluster.KindNode && listed.ID != ""
}

// listPause returns the time between two readings of a list of the given
// length, so that reading costs the same number of bytes a second at any size.
func listPause(length int) time.Duration {
	return min(max(time.Duration(length)*listPausePerLine, minListInterval), listInterval)
}

// addListed adds a machine that this node did not know. All nodes read the same
// machines from their first lists, so those are not news; later ones are.
func (m *Machine) addListed(listed cluster.Machine, first bool) {
	if listed.State == cluster.StateDead {
		return
	}
	rumor := membership.BackendRumor{Machine: listed, Listed: listed.State == cluster.StateLeaving}
	if !first {
		rumor.Sequence = 1
	}
	m.insert(rumor)
	m.options.SpreadBackend(rumor)
}

// compareListed takes what the list knows better.
func (m *Machine) compareListed(known *entry, listed cluster.Machine) {
	held := known.rumor.Machine
	switch {
	case listed.State == cluster.StateDead || listed.Incarnation < held.Incarnation:
		return
	case listed.Incarnation > held.Incarnation:
		rumor := membership.BackendRumor{Machine: listed, Sequence: 1, Listed: listed.State == cluster.StateLeaving}
		m.assign(known, rumor)
		m.options.SpreadBackend(rumor)
	case listed.State == cluster.StateLeaving && held.State == cluster.StateLive:
		m.publish(known, func(rumor *membership.BackendRumor) {
			rumor.Machine.State = cluster.StateLeaving
			rumor.Listed = true
		})
	case listed.State == cluster.StateLive && held.State == cluster.StateDead && listed.Address != held.Address:
		m.publish(known, func(rumor *membership.BackendRumor) {
			rumor.Machine = listed
			rumor.Listed = false
		})
	}
}
