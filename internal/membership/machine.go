// Package membership is the cluster's own failure detection: heartbeats over a
// bounded overlay of neighbours, suspicion with indirect confirmation and
// refutation, and the spread of facts on members and back ends.
package membership

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// Options configure a Machine.
type Options struct {
	// Self is this process.
	Self cluster.Node
	// SeedAddresses are peer addresses (host:port) to join by.
	SeedAddresses []string
	// Seed feeds the random choices.
	Seed uint64
	// Outbox takes the messages to send.
	Outbox *machine.Outbox
	// OnBackendRumor is called for each rumour on a back end that is news to
	// this node; nil for none.
	OnBackendRumor func(now time.Time, rumor BackendRumor)
}

// Machine is the membership state of one node.
type Machine struct {
	options Options
}

// New returns a machine that knows only itself.
func New(options Options) *Machine { return &Machine{options: options} }

// Tick drives heartbeats and time-outs.
func (m *Machine) Tick(now time.Time) {}

// HandleMessage takes a peer's message and reports whether it was a message of
// this package.
func (m *Machine) HandleMessage(now time.Time, in machine.PeerMessage) bool { return false }

// HandleMachines takes the platform's list; its nodes are contacted.
func (m *Machine) HandleMachines(now time.Time, machines []cluster.Machine) {}

// Members returns every known member, dead ones too, sorted by id.
func (m *Machine) Members() []Member { return []Member{{Node: m.options.Self}} }

// Alive reports whether a member is known and not dead.
func (m *Machine) Alive(id cluster.NodeID) bool { return id == m.options.Self.ID }

// Find returns the member with the given id.
func (m *Machine) Find(id cluster.NodeID) (Member, bool) { return Member{}, false }

// Neighbours returns the members that this node exchanges heartbeats with.
func (m *Machine) Neighbours() []cluster.Node { return nil }

// Leave announces that this node is about to stop.
func (m *Machine) Leave(now time.Time) {}

// SpreadBackend tells every node a fact about a back end.
func (m *Machine) SpreadBackend(rumor BackendRumor) {}
