// Package pool is what one node knows of back ends: model engines and service
// servers, their state and their load.
package pool

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/membership"
)

// Options configure a Machine.
type Options struct {
	// Self is this process.
	Self cluster.Node
	// Outbox takes polls and messages.
	Outbox *machine.Outbox
	// Seed feeds the random choices.
	Seed uint64
	// Members returns the known members, sorted by id.
	Members func() []membership.Member
	// SpreadBackend tells every node a fact about a back end.
	SpreadBackend func(rumor membership.BackendRumor)
}

// Backend is a back end as this node knows it.
type Backend struct {
	cluster.Machine
	// Report is the newest report, zero when there is none.
	Report machine.BackendReport
	// ReportAt is when Report came in.
	ReportAt time.Time
	// Load is the number of requests the back end last stated on an answer.
	Load int
	// InFlight counts this node's own requests there; see ObserveStart.
	InFlight int
	// Usable is set when new work may go there.
	Usable bool
}

// Machine is one node's knowledge of back ends.
type Machine struct {
	options Options
}

// New returns a machine that knows no back end.
func New(options Options) *Machine { return &Machine{options: options} }

// Tick polls back ends and asks for the machine list.
func (m *Machine) Tick(now time.Time) {}

// HandleMachines takes the platform's lagging list.
func (m *Machine) HandleMachines(now time.Time, machines []cluster.Machine) {}

// HandleReport takes the answer to a poll.
func (m *Machine) HandleReport(now time.Time, report machine.BackendReport) {}

// HandleRumor takes a fact that other nodes spread.
func (m *Machine) HandleRumor(now time.Time, rumor membership.BackendRumor) {}

// HandleMessage takes a peer's message and reports whether it was a message of
// this package.
func (m *Machine) HandleMessage(now time.Time, in machine.PeerMessage) bool { return false }

// ObserveStart counts a request that this node sends to a back end.
func (m *Machine) ObserveStart(backend cluster.BackendID) {}

// ObserveAnswer takes what a back end said of itself on an answer; a negative
// load means that it said nothing.
func (m *Machine) ObserveAnswer(now time.Time, backend cluster.BackendID, load int, leaving bool) {}

// ObserveFailure takes a request that failed on its way to a back end.
func (m *Machine) ObserveFailure(now time.Time, backend cluster.BackendID, err string) {}

// Engines returns the known engines of a pool, sorted by id.
func (m *Machine) Engines(pool string) []Backend { return nil }

// Services returns this node's share of the servers of a service.
func (m *Machine) Services(name string) []Backend { return nil }

// All returns every known back end, sorted by id.
func (m *Machine) All() []Backend { return nil }

// Known reports whether any back end of the pool or service was ever listed.
func (m *Machine) Known(name string) bool { return false }

// Pools returns the names of the pools of engines, sorted.
func (m *Machine) Pools() []string { return nil }

// Find returns one back end.
func (m *Machine) Find(id cluster.BackendID) (Backend, bool) { return Backend{}, false }

// Subscribe turns polling of all engines of a pool on or off.
func (m *Machine) Subscribe(pool string, on bool) {}
