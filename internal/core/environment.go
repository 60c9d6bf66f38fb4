package core

import (
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/membership"
	"dalehook/internal/placement"
	"dalehook/internal/planner"
	"dalehook/internal/pool"
	"dalehook/internal/quota"
	"dalehook/internal/record"
	"dalehook/internal/request"
	"dalehook/internal/routing"
)

// environment answers what the parts ask of the rest of the node. Each part has
// its own view of it below, since their interfaces differ.
type environment struct {
	core        *Core
	now         time.Time
	lastContact time.Time
}

// Control returns the fold of the control log.
func (e *environment) Control() *record.Control { return e.core.follower.Control() }

// StoreDown reports whether the platform's log cannot be reached.
func (e *environment) StoreDown() bool { return e.core.follower.StoreDown() }

// Alive reports whether a node is taken for alive; it is true for this node.
func (e *environment) Alive(id cluster.NodeID) bool {
	return id == e.core.options.Self.ID || e.core.membership.Alive(id)
}

// LiveNodes lists the nodes that are alive and not leaving, sorted by id. The
// slice is shared and must not be changed.
func (e *environment) LiveNodes() []cluster.Node { return e.core.membership.Live() }

// leaseEnvironment shows the node to internal/lease.
type leaseEnvironment struct{ *environment }

// Leaving reports whether a node has announced a planned stop and still runs.
func (e leaseEnvironment) Leaving(id cluster.NodeID) bool {
	if id == e.core.options.Self.ID {
		return e.core.leave.started()
	}
	member, known := e.core.membership.Find(id)
	return known && member.State == membership.StateLeaving
}

// LastContact is the last time at which a peer or the log was heard.
func (e leaseEnvironment) LastContact() time.Time { return e.lastContact }

// CaughtUpAt is the last time at which the fold held everything on the log.
func (e leaseEnvironment) CaughtUpAt() time.Time { return e.core.follower.CaughtUpAt() }

// rolloutEnvironment shows the node to internal/rollout.
type rolloutEnvironment struct{ *environment }

// Node returns a member by its id, alive or not.
func (e rolloutEnvironment) Node(id cluster.NodeID) (cluster.Node, bool) { return e.core.nodeOf(id) }

// Engines lists the engines of a pool, sorted by id.
func (e rolloutEnvironment) Engines(name string) []routing.Engine {
	backends := e.core.pool.Engines(name)
	engines := make([]routing.Engine, 0, len(backends))
	for _, backend := range backends {
		engine := toRoutingEngine(backend)
		engine.Unreported = backend.ReportAt.IsZero() || e.now.Sub(backend.ReportAt) > reportRecent
		engines = append(engines, engine)
	}
	return engines
}

// reportRecent is the age up to which an engine's report says how it stands.
const reportRecent = 5 * time.Second

func toRoutingEngine(backend pool.Backend) routing.Engine {
	report := backend.Report
	return routing.Engine{
		ID: backend.ID, Address: backend.Address, Zone: backend.Zone,
		Model: report.Model, Version: report.Version, Loading: report.Loading, Leaving: !backend.Usable,
		Running: report.Running, Waiting: report.Waiting, Slots: report.Slots,
		KVTokens: report.KVTokens, KVCapacity: report.KVCapacity,
		TokensPerSecond: report.TokensPerSecond, Groups: report.Groups,
	}
}

// Subscribe asks for fresh reports of a whole pool, or no longer.
func (e rolloutEnvironment) Subscribe(name string, on bool) { e.core.subscriptions.setOwner(name, on) }

// ClassLimit returns the number of samples of a class that may run at once.
func (e rolloutEnvironment) ClassLimit(class string) int {
	limit := 0
	for _, candidate := range classLimits(e.Control()) {
		if candidate.Class == class {
			limit = candidate.Concurrent
		}
	}
	return limit
}

// requestEnvironment shows the node to internal/request.
type requestEnvironment struct{ *environment }

// View returns the placement view in force.
func (e requestEnvironment) View() cluster.View { return e.Control().View() }

// PreviousView returns the view before the one in force.
func (e requestEnvironment) PreviousView() cluster.View { return e.Control().PreviousView() }

// FirstView returns the number of the first view ever, zero for none.
func (e requestEnvironment) FirstView() uint64 { return e.Control().FirstView() }

// Nodes counts the live nodes.
func (e requestEnvironment) Nodes() int { return len(e.LiveNodes()) }

// Servers lists this node's share of the servers of a service.
func (e requestEnvironment) Servers(service string) []request.Server {
	backends := e.core.pool.Services(service)
	servers := make([]request.Server, 0, len(backends))
	for _, backend := range backends {
		servers = append(servers, request.Server{
			ID: backend.ID, Address: backend.Address, Zone: backend.Zone,
			Load: backend.Load, Usable: backend.Usable,
		})
	}
	return servers
}

// KnownService reports whether the service exists at all.
func (e requestEnvironment) KnownService(service string) bool { return e.core.pool.Known(service) }

// ClassOf returns the class under which a service is limited and shed.
func (e requestEnvironment) ClassOf(service string) string {
	for _, event := range e.Control().Events() {
		for _, demand := range event.Plan.Event.Services {
			if demand.Service == service && demand.Class != "" {
				return demand.Class
			}
		}
	}
	return service
}

// Limits returns the class limits of the plans in force, for the whole cluster.
func (e requestEnvironment) Limits() []record.ClassLimit { return classLimits(e.Control()) }

// Shares returns what this node may use of the limits now.
func (e requestEnvironment) Shares(now time.Time) []record.ClassLimit {
	return e.core.quota.Shares(now)
}

// ShedOrder names classes, the first to be shed first.
func (e requestEnvironment) ShedOrder() []string {
	limits := classLimits(e.Control())
	slices.SortStableFunc(limits, func(a, b record.ClassLimit) int { return a.Importance - b.Importance })
	order := make([]string, 0, len(limits))
	for _, limit := range limits {
		order = append(order, limit.Class)
	}
	return order
}

// ObserveAnswer passes on what a back end said of itself.
func (e requestEnvironment) ObserveAnswer(now time.Time, backend cluster.BackendID, load int, leaving bool) {
	e.core.pool.ObserveAnswer(now, backend, load, leaving)
}

// ObserveFailure passes on that a back end could not be used.
func (e requestEnvironment) ObserveFailure(now time.Time, backend cluster.BackendID, err string) {
	e.core.pool.ObserveFailure(now, backend, err)
}

// quotaEnvironment shows the node to internal/quota.
type quotaEnvironment struct{ requestEnvironment }

// Demands returns the traffic of the classes that this node has seen.
func (e quotaEnvironment) Demands() []quota.Demand {
	known := e.core.request.Demands()
	demands := make([]quota.Demand, 0, len(known))
	for _, demand := range known {
		demands = append(demands, quota.Demand(demand))
	}
	return demands
}

// operatorEnvironment shows the node to internal/operator.
type operatorEnvironment struct{ *environment }

// PlannerSnapshot returns what a plan made now depends on.
func (e operatorEnvironment) PlannerSnapshot(now time.Time) planner.Snapshot {
	control := e.Control()
	snapshot := planner.Snapshot{
		Now: now, Revision: control.Revision(), Events: control.Events(), Parameters: e.core.options.Planner,
	}
	for _, backend := range e.core.pool.All() {
		if !backend.Usable {
			continue
		}
		snapshot.Backends = append(snapshot.Backends, planner.Backend{
			ID: backend.ID, Kind: backend.Kind, Pool: backend.Pool, Zone: backend.Zone,
			Model: backend.Report.Model, Version: backend.Report.Version, Slots: backend.Report.Slots,
		})
	}
	for _, model := range control.Models() {
		version := record.ModelVersion{Model: model, Version: control.Newest(model), At: control.NewestAt(model)}
		snapshot.Versions = append(snapshot.Versions, version)
	}
	return snapshot
}

// PlanKeepers returns the replica group of a plan's digest without this node.
func (e operatorEnvironment) PlanKeepers(digest string) []cluster.Node {
	group := placement.Group(e.Control().View(), digest)
	return slices.DeleteFunc(group, func(n cluster.Node) bool { return n.ID == e.core.options.Self.ID })
}
