// Package weights puts new weight versions on the engines of a pool. The node
// that holds the pool's lease gives fenced load orders in waves, within the rate
// of the weight store and above a floor of capacity in service. What an engine
// has loaded is known from its own report alone. The package does no I/O; see
// internal/machine for the contract.
package weights

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// Engine is an engine of a pool as this node knows it.
type Engine struct {
	ID      cluster.BackendID
	Address string
	Zone    cluster.ZoneName
	State   cluster.MachineState
	// Report is the engine's last report, which came in at ReportedAt. The zero
	// time means that none came.
	Report     machine.BackendReport
	ReportedAt time.Time
}

// Environment is what a Director reads of the rest of the node.
type Environment interface {
	// Pools returns the pools of engines, sorted.
	Pools() []string
	// Holds reports whether this node directs the pool now, and its epoch.
	Holds(now time.Time, pool string) (record.Epoch, bool)
	// Engines returns the engines of a pool, sorted by id.
	Engines(pool string) []Engine
	// Newest returns the newest announced version of a model, zero for none.
	Newest(model cluster.ModelName) cluster.Version
	// PlannedLoads returns the loads of the plans in force for a pool.
	PlannedLoads(pool string) []record.LoadVersion
	// Needed returns the number of engines that the events under way need in
	// service, zero for no demand beyond the floor.
	Needed(now time.Time, pool string) int
	// Demand returns what the running samples of an engine ask for.
	Demand(engine cluster.BackendID) Demand
}

// Demand is what the running samples of one engine ask for.
type Demand struct {
	// Bounded is set when samples with a staleness bound run on the engine, or
	// are due to.
	Bounded bool
	// Slack is the number of further versions until the first of these samples
	// misses its bound; zero or less means that it is about to.
	Slack int64
	// Tail is set when the engine runs the last samples of a step, which should
	// not be disturbed.
	Tail bool
}

// Options configure a Director.
type Options struct {
	Outbox      *machine.Outbox
	Self        cluster.Node
	Environment Environment
	// Parameters holds pace and limits; zero fields take the defaults.
	Parameters Parameters
}

// Parameters holds the pace and the limits of a Director.
type Parameters struct{}

// Director gives load orders for the pools whose lease its node holds.
type Director struct{ options Options }

// New returns a Director that has given no order.
func New(options Options) *Director { return &Director{options: options} }

// Tick gives the orders that are due.
func (d *Director) Tick(now time.Time) {}

// HandleOrderResult takes an engine's answer to an order.
func (d *Director) HandleOrderResult(now time.Time, result machine.OrderResult) {}
