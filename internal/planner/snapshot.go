// Package planner turns an operator's event into a plan. It is a pure function
// of the event and of a snapshot of the node's state, after the model of Nomad's
// schedulers: the plan names the revision that it was computed at, and the fold
// of the control log rejects it when another revision is in force by then.
package planner

import (
	"cmp"
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

// Snapshot is all that a plan depends on besides the event. The order of its
// lists does not matter.
type Snapshot struct {
	// Now is the time of planning; what would have to start earlier is missing.
	Now      time.Time
	Revision record.Revision
	// Events are the events in force.
	Events []record.ConfirmedEvent
	// Backends are the engines and service servers that are live.
	Backends []Backend
	// Versions are the newest versions of the models.
	Versions []record.ModelVersion
	// Parameters describe the machines; zero fields take the defaults.
	Parameters Parameters
}

// Backend is what the planner reads of one back end.
type Backend struct {
	ID   cluster.BackendID
	Kind cluster.BackendKind
	// Pool is an engine's pool or a server's service.
	Pool    string
	Zone    cluster.ZoneName
	Model   cluster.ModelName
	Version cluster.Version
	// Slots is the number of requests that run at once, zero when not reported.
	Slots int
}

// Parameters describe the machines. None of the defaults is measured on the
// users' machines; they follow the stand-ins.
type Parameters struct {
	// Utilization is the part of the capacity that a plan counts on. Queues grow
	// steeply beyond some 70% (M/M/c).
	Utilization float64
	// LimitUtilization is the part of the capacity up to which limits let
	// requests in.
	LimitUtilization float64
	// ServerSlots is the number of requests a server runs at once, where its
	// report does not say.
	ServerSlots int
	// ServiceTime is a server's time for one request, where the event does not say.
	ServiceTime time.Duration
	// SpareBackends are added to each pool so that the loss of so many is borne.
	SpareBackends int
	// EngineTokensPerSecond is an engine's output with a full batch,
	// StreamTokensPerSecond that of one stream which is alone.
	EngineTokensPerSecond float64
	StreamTokensPerSecond float64
	// LoadTime is the time of one load from the order to the end of the swap.
	LoadTime time.Duration
	// StoreLoadsPerSecond is the weight store's rate.
	StoreLoadsPerSecond float64
	// MaxSwapFraction is the part of a pool that may load at once.
	MaxSwapFraction float64
	// LoadMargin lies between the end of the last load and the event's start.
	LoadMargin time.Duration
	// WarmLead is how long before the start the first back ends are to be warm.
	WarmLead time.Duration
}

// The defaults of Parameters.
const (
	DefaultUtilization           = 0.7
	DefaultLimitUtilization      = 1.0
	DefaultServerSlots           = 16
	DefaultServiceTime           = 20 * time.Millisecond
	DefaultSpareBackends         = 1
	DefaultEngineTokensPerSecond = 900
	DefaultStreamTokensPerSecond = 100
	DefaultLoadTime              = 6 * time.Second
	DefaultStoreLoadsPerSecond   = 20
	DefaultMaxSwapFraction       = 0.25
	DefaultLoadMargin            = 30 * time.Second
	DefaultWarmLead              = 2 * time.Minute
)

func (p Parameters) withDefaults() Parameters {
	p.Utilization = cmp.Or(p.Utilization, DefaultUtilization)
	p.LimitUtilization = cmp.Or(p.LimitUtilization, DefaultLimitUtilization)
	p.ServerSlots = cmp.Or(p.ServerSlots, DefaultServerSlots)
	p.ServiceTime = cmp.Or(p.ServiceTime, DefaultServiceTime)
	p.SpareBackends = cmp.Or(p.SpareBackends, DefaultSpareBackends)
	p.EngineTokensPerSecond = cmp.Or(p.EngineTokensPerSecond, DefaultEngineTokensPerSecond)
	p.StreamTokensPerSecond = cmp.Or(p.StreamTokensPerSecond, DefaultStreamTokensPerSecond)
	p.LoadTime = cmp.Or(p.LoadTime, DefaultLoadTime)
	p.StoreLoadsPerSecond = cmp.Or(p.StoreLoadsPerSecond, DefaultStoreLoadsPerSecond)
	p.MaxSwapFraction = cmp.Or(p.MaxSwapFraction, DefaultMaxSwapFraction)
	p.LoadMargin = cmp.Or(p.LoadMargin, DefaultLoadMargin)
	p.WarmLead = cmp.Or(p.WarmLead, DefaultWarmLead)
	return p
}

// pool returns the live back ends of a kind and pool, sorted by id.
func (s Snapshot) pool(kind cluster.BackendKind, name string) []Backend {
	var members []Backend
	for _, backend := range s.Backends {
		if backend.Kind == kind && backend.Pool == name {
			members = append(members, backend)
		}
	}
	slices.SortFunc(members, func(a, b Backend) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// newest returns the newest version of a model, zero for none.
func (s Snapshot) newest(model cluster.ModelName) cluster.Version {
	for _, version := range s.Versions {
		if version.Model == model {
			return version.Version
		}
	}
	return 0
}
