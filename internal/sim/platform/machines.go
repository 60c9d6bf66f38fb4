package platform

import (
	"slices"
	"strings"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/sim/fault"
	"dalehook/internal/sim/kernel"
)

// Machines is the platform's machine list. What it shows is as old as its lag.
type Machines struct {
	kernel  *kernel.Kernel
	faults  *fault.Set
	lag     time.Duration
	current []cluster.Machine
	changes []change
}

// change is the whole list as it stood from a time on.
type change struct {
	at       time.Duration
	machines []cluster.Machine
}

// NewMachines returns an empty list that lags by the given time.
func NewMachines(k *kernel.Kernel, faults *fault.Set, lag time.Duration) *Machines {
	return &Machines{kernel: k, faults: faults, lag: lag}
}

// Set adds or replaces a machine.
func (m *Machines) Set(added cluster.Machine) {
	m.current = slices.DeleteFunc(slices.Clone(m.current), func(c cluster.Machine) bool { return c.ID == added.ID })
	m.current = append(m.current, added)
	m.changed()
}

// SetState changes the state of a machine.
func (m *Machines) SetState(id cluster.BackendID, state cluster.MachineState) {
	m.current = slices.Clone(m.current)
	for i := range m.current {
		if m.current[i].ID == id {
			m.current[i].State = state
		}
	}
	m.changed()
}

func (m *Machines) changed() {
	slices.SortFunc(m.current, func(a, b cluster.Machine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	m.changes = append(m.changes, change{at: m.kernel.Elapsed(), machines: m.current})
}

// Published makes the present list visible at once, as at the start of a world.
func (m *Machines) Published() { m.changes = []change{{machines: m.current}} }

// Read returns the list as it is shown. The lag is far longer for as long as
// ListLag is active.
func (m *Machines) Read() []cluster.Machine {
	if m.faults.On(fault.ListLag, fault.Platform) && len(m.changes) > 0 {
		return slices.Clone(m.changes[0].machines)
	}
	now := m.kernel.Elapsed()
	for len(m.changes) > 1 && m.changes[1].at+m.lag <= now {
		m.changes = m.changes[1:]
	}
	if len(m.changes) == 0 {
		return nil
	}
	return slices.Clone(m.changes[0].machines)
}
