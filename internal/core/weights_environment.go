package core

import (
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
	"dalehook/internal/weights"
)

// weightsEnvironment shows the node to internal/weights.
type weightsEnvironment struct{ *environment }

// Pools returns the pools of engines, sorted.
func (e weightsEnvironment) Pools() []string { return e.core.pool.Pools() }

// Holds reports whether this node directs the pool, and its epoch.
func (e weightsEnvironment) Holds(now time.Time, name string) (record.Epoch, bool) {
	return e.core.leases.Holds(now, record.DutyPool(name))
}

// Engines returns the engines of a pool, sorted by id.
func (e weightsEnvironment) Engines(name string) []weights.Engine {
	backends := e.core.pool.Engines(name)
	engines := make([]weights.Engine, 0, len(backends))
	for _, backend := range backends {
		engines = append(engines, weights.Engine{
			ID: backend.ID, Address: backend.Address, Zone: backend.Zone, State: backend.State,
			Report: backend.Report, ReportedAt: backend.ReportAt,
		})
	}
	return engines
}

// Newest returns the newest announced version of a model.
func (e weightsEnvironment) Newest(model cluster.ModelName) cluster.Version {
	return e.Control().Newest(model)
}

// PlannedLoads returns the loads of the plans in force for a pool, and one for
// each further engine of a pool that serves a single model: an engine without
// weights can take no sample. The loads of an event with open steps are due at
// once, since its trainers wait for them already.
func (e weightsEnvironment) PlannedLoads(name string) []record.LoadVersion {
	var loads []record.LoadVersion
	for _, event := range e.Control().Events() {
		waited := e.hasOpenStep(event.Plan.Event.Name)
		for _, load := range event.Plan.Loads {
			if load.Pool != name {
				continue
			}
			if waited {
				load.At = time.Time{}
			}
			loads = append(loads, load)
		}
	}
	return append(loads, e.spareLoads(name, loads)...)
}

// hasOpenStep reports whether a step of an event is open.
func (e weightsEnvironment) hasOpenStep(event string) bool {
	return slices.ContainsFunc(e.Control().Steps(), func(step record.StepOpened) bool { return step.Event == event })
}

// spareLoads returns loads for the engines of a pool that no plan loads.
func (e weightsEnvironment) spareLoads(name string, planned []record.LoadVersion) []record.LoadVersion {
	model, ok := e.onlyModel(name)
	if !ok {
		return nil
	}
	var from time.Time
	taken := make(map[cluster.BackendID]bool, len(planned))
	for i, load := range planned {
		taken[load.Engine] = true
		if i == 0 || load.At.Before(from) {
			from = load.At
		}
	}
	var spare []record.LoadVersion
	for _, engine := range e.core.pool.Engines(name) {
		if !taken[engine.ID] && engine.Report.Model == "" {
			spare = append(spare, record.LoadVersion{Engine: engine.ID, Pool: name, Zone: engine.Zone, Model: model, At: from})
		}
	}
	return spare
}

// onlyModel returns the model that all events in force want in a pool.
func (e weightsEnvironment) onlyModel(name string) (cluster.ModelName, bool) {
	var model cluster.ModelName
	for _, event := range e.Control().Events() {
		for _, demand := range event.Plan.Event.Rollouts {
			if demand.Pool != name {
				continue
			}
			if model != "" && model != demand.Model {
				return "", false
			}
			model = demand.Model
		}
	}
	return model, model != ""
}

// Needed returns the number of engines that events under way were planned with.
func (e weightsEnvironment) Needed(now time.Time, name string) int {
	needed := 0
	for _, event := range e.Control().Events() {
		end := event.Plan.Event.Start.Add(event.Plan.Event.Duration.Std())
		if now.Before(event.Plan.Event.Start) || now.After(end) {
			continue
		}
		for _, warm := range event.Plan.Warm {
			if warm.Pool == name {
				needed++
			}
		}
	}
	return needed
}

// Demand returns what the running samples of an engine ask for, as the owners of
// their steps say. A swap is of no use to a sample that has begun, whatever its
// bound, so none is urgent for that.
func (e weightsEnvironment) Demand(engine cluster.BackendID) weights.Demand {
	return weights.Demand{Tail: e.core.rollout.RunsTail(e.now, engine)}
}
