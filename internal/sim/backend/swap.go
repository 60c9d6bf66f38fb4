package backend

import (
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/sim/fault"
)

// Order takes a fenced order to load a version. It answers at once; the load's
// end shows in the report.
func (e *Engine) Order(order machine.OrderEngine) machine.OrderResult {
	result := machine.OrderResult{Engine: order.Engine, Fence: order.Fence}
	if !e.fence.Less(order.Fence) {
		result.Stale = true
		result.Err = "a higher fence was seen"
		return result
	}
	e.fence = order.Fence
	e.loading, e.loadError = order.Version, ""
	result.Accepted = true
	life := e.Life()
	e.options.Weights.Fetch(order.Model, order.Version, func(reason string) {
		if e.Life() == life && e.fence == order.Fence {
			e.fetched(order, reason)
		}
	})
	return result
}

// fetched swaps to the version that arrived. Running requests stand still and go
// on under the new version.
func (e *Engine) fetched(order machine.OrderEngine, reason string) {
	e.loading = 0
	if reason == "" && e.options.Faults.On(fault.SwapFail, string(e.options.ID)) {
		reason = "out of memory while loading"
	}
	if reason != "" {
		e.loadError = reason
		return
	}
	e.advance()
	e.version, e.model = e.swapped(order.Version), order.Model
	e.counts.Swaps++
	e.prefix.clear()
	e.batch.stalledUntil = e.options.Kernel.Elapsed() + e.options.Profile.SwapTime
	e.options.Kernel.Record("swap", string(e.options.ID), "", uint64(e.version))
	e.reschedule()
}

// swapped returns the version that the engine ends on.
func (e *Engine) swapped(ordered cluster.Version) cluster.Version {
	if e.options.Faults.On(fault.SwapWrong, string(e.options.ID)) && ordered > 1 {
		return ordered - 1 - cluster.Version(e.random.Int64N(min(int64(ordered)-1, 2)))
	}
	return ordered
}
