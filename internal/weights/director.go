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
)

// Options configure a Director.
type Options struct {
	Outbox      *machine.Outbox
	Environment Environment
	// Parameters holds pace and limits; zero fields take the defaults.
	Parameters Parameters
}

// Director gives load orders for the pools whose lease its node holds.
type Director struct {
	outbox      *machine.Outbox
	environment Environment
	parameters  Parameters
	pace        *pace
	pools       map[string]*poolDirector
	// given holds the last fence of each pool. A lease that was lost and regained
	// under its epoch goes on from there: no engine may have seen that fence yet.
	given map[string]machine.Fence
}

// New returns a Director that has given no order.
func New(options Options) *Director {
	parameters := options.Parameters.withDefaults()
	return &Director{
		outbox:      options.Outbox,
		environment: options.Environment,
		parameters:  parameters,
		pace:        newPace(parameters),
		pools:       map[string]*poolDirector{},
		given:       map[string]machine.Fence{},
	}
}

// Tick gives the orders that are due.
func (d *Director) Tick(now time.Time) {
	for _, name := range d.environment.Pools() {
		epoch, holds := d.environment.Holds(now, name)
		if !holds {
			delete(d.pools, name)
			continue
		}
		pool := d.pools[name]
		if pool == nil || pool.epoch != uint64(epoch) {
			pool = newPoolDirector(d, name, uint64(epoch), now)
			d.pools[name] = pool
		}
		pool.tick(now)
	}
}

// HandleOrderResult takes an engine's answer to an order.
func (d *Director) HandleOrderResult(now time.Time, result machine.OrderResult) {
	for _, name := range d.environment.Pools() {
		pool := d.pools[name]
		if pool == nil {
			continue
		}
		if engine := pool.engines[result.Engine]; engine != nil && engine.awaits(result.Fence) {
			engine.answered(now, d.parameters, result)
			if isRateLimit(result.Err) {
				d.pace.refused(now)
			}
		}
	}
}

// Ordered returns the version that this node has ordered an engine to load and
// whose load is not over yet, zero for none.
func (d *Director) Ordered(pool string, engine cluster.BackendID) cluster.Version {
	director := d.pools[pool]
	if director == nil || director.engines[engine] == nil {
		return 0
	}
	return director.engines[engine].pendingVersion()
}
