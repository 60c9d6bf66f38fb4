// Package follower keeps a node's fold of the control log up to date. A few
// nodes of a zone read the log; the others take new entries from their
// neighbours, and a node that starts takes a snapshot from its peers.
package follower

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/membership"
	"dalehook/internal/record"
)

// Options configure a Machine.
type Options struct {
	// Self is this process.
	Self cluster.Node
	// Outbox takes reads and messages.
	Outbox *machine.Outbox
	// Control is the fold to start from.
	Control *record.Control
	// OnEntry is called for each entry after it was applied.
	OnEntry func(now time.Time, entry record.Entry, change record.Change)
	// OnRestore is called when a snapshot has replaced the fold.
	OnRestore func(now time.Time, control *record.Control)
	// Members returns the known members, sorted by id.
	Members func() []membership.Member
	// Neighbours returns the members to exchange entries with.
	Neighbours func() []cluster.Node
	// Seed feeds the random choices.
	Seed uint64
}

// Machine follows the control log for one node.
type Machine struct {
	options Options
}

// New returns a machine that is not ready.
func New(options Options) *Machine { return &Machine{options: options} }

// Tick drives reads, pulls and time-outs.
func (m *Machine) Tick(now time.Time) {}

// HandleEntries takes the answer to a read of the control log.
func (m *Machine) HandleEntries(now time.Time, in machine.LogEntries) {}

// HandleMessage takes a peer's message and reports whether it was a message of
// this package.
func (m *Machine) HandleMessage(now time.Time, in machine.PeerMessage) bool { return false }

// Nudge asks for a read at once, since a record stands at offset.
func (m *Machine) Nudge(now time.Time, offset uint64) {}

// Ready reports whether the fold is fit to serve from.
func (m *Machine) Ready() bool { return false }

// StoreDown reports whether the log can't be read at present.
func (m *Machine) StoreDown() bool { return false }

// Control returns the fold in force; a restore replaces it.
func (m *Machine) Control() *record.Control { return m.options.Control }
