// Package routetable holds the configuration in force: routes by host and path
// prefix, the services they lead to, and the limits on callers.
package routetable

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/tenant"
)

// Kind says what may be done with a route's requests.
type Kind int

// The kinds of route.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = iota
	// KindUnsafe requests run at most once.
	KindUnsafe
	// KindStream requests are answered by a series of events.
	KindStream
	// KindBatch routes take batch jobs.
	KindBatch
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	return [...]string{"safe", "unsafe", "stream", "batch"}[k]
}

// Target is one part of a route's split.
type Target struct {
	Service string
	// Weight is relative to the other targets of the route.
	Weight float64
}

// Route leads requests to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Kind    Kind
	Targets []Target
	// Timeout is the longest that a request is held; 0 means no bound.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is on time.
	LatencyTarget time.Duration
	Priority      int
	// MaxAttempts is the largest number of servers one request is sent to.
	MaxAttempts int
	// Sticky routes keep requests with equal prompts together.
	Sticky bool
	// Resumable streams may be continued at another server.
	Resumable bool
	// SingleVersion asks for one weight version in each result.
	SingleVersion bool
	// ItemLifetime is the time after a batch job's acceptance at which its items
	// may be given up.
	ItemLifetime time.Duration
	// ResultDeadline is the time by which the results of a batch job are due.
	ResultDeadline time.Duration
	// Public routes ask for no API key.
	Public bool
}

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Pick chooses a target by weight; draw is uniform in [0, 1).
func (r *Route) Pick(draw float64) (Target, bool) {
	total := 0.0
	for _, target := range r.Targets {
		total += max(target.Weight, 0)
	}
	if total <= 0 {
		return Target{}, false
	}
	left := draw * total
	for _, target := range r.Targets {
		if target.Weight <= 0 {
			continue
		}
		if left < target.Weight {
			return target, true
		}
		left -= target.Weight
	}
	return r.Targets[len(r.Targets)-1], true
}

// PickFor chooses the target of whatever has an id, by weight and the same at every node.
func (r *Route) PickFor(id string) (Target, bool) {
	const mantissaBits = 53
	return r.Pick(float64(xxhash.Sum64String(id)>>(64-mantissaBits)) / (1 << mantissaBits))
}

// Service is a group of servers that do the same work.
type Service struct {
	Name string
	// MaxConnections is what each server takes from all callers together.
	MaxConnections int
	// Models are the models that an engine pool serves; empty for other services.
	Models []string
	// Slots is the number of requests an engine runs at once; 0 for other services.
	Slots int
	// WarmUpRate is how many requests a second a server bears while it warms up; 0 means that it
	// is not bounded.
	WarmUpRate float64
	// Scaling is nil where the number of servers can not be chosen.
	Scaling *Scaling
}

// Scaling bounds the choice of a service's number of servers.
type Scaling struct {
	// Minimum and Maximum bound the servers of each zone.
	Minimum, Maximum int
	// BootTime is from an order until a new server serves.
	BootTime time.Duration
	// ZonePrices holds what a second of a server costs in each zone, relative to others.
	ZonePrices map[string]float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It is not changed once built.
type Table struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Tenants are those whose keys callers must bear; nil where no keys are asked for.
	Tenants *tenant.Set

	byHost map[string][]*Route
	// single are the services that routes lead single requests to.
	single map[string]bool
}

// NewTable builds a table with its index by host.
func NewTable(version int64, routes []Route, services []Service, limits Limits) *Table {
	table := &Table{
		Version:  version,
		Routes:   routes,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]*Route),
		single:   make(map[string]bool),
	}
	for _, service := range services {
		table.Services[service.Name] = service
	}
	for i := range routes {
		host := canonicalHost(routes[i].Host)
		table.byHost[host] = append(table.byHost[host], &routes[i])
		if routes[i].Kind == KindBatch {
			continue
		}
		for _, target := range routes[i].Targets {
			table.single[target.Service] = true
		}
	}
	return table
}

// Match returns the route with the longest prefix of path, or nil.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, route := range t.byHost[canonicalHost(host)] {
		if !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best == nil || len(route.Prefix) > len(best.Prefix) {
			best = route
		}
	}
	return best
}

// MatchTarget is Match for a path that may have a query.
func (t *Table) MatchTarget(host, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	return t.Match(host, path)
}

func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// WarmUpRate returns how many requests a second a server of a service bears while it warms up; 0
// where that is not bounded, or no configuration is known.
func (t *Table) WarmUpRate(service string) float64 {
	if t == nil {
		return 0
	}
	return t.Services[service].WarmUpRate
}

// ServesSingle says whether single requests, and not only batch jobs, may be led to a service: a route
// does so, or the next version may, as the service is no pool of engines.
func (t *Table) ServesSingle(service string) bool {
	return t.single[service] || len(t.Services[service].Models) == 0
}
