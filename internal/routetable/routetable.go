// Package routetable holds the active configuration: routes by host and path prefix, the services
// they target, and the limits on callers.
package routetable

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/tenant"
)

// Kind determines how requests of a route may be executed.
type Kind int

// Kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = iota
	// KindUnsafe requests run at most once.
	KindUnsafe
	// KindStream requests are answered with an event stream.
	KindStream
	// KindBatch routes accept batch jobs.
	KindBatch
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	return [...]string{"safe", "unsafe", "stream", "batch"}[k]
}

// Target is one weighted target of a route.
type Target struct {
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight float64
}

// Route directs requests to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Kind    Kind
	Targets []Target
	// Timeout is the longest time a request may take; 0 means no limit.
	Timeout time.Duration
	// LatencyTarget is the target latency of a response.
	LatencyTarget time.Duration
	Priority      int
	// MaxAttempts is the largest number of servers that a request is sent to.
	MaxAttempts int
	// Sticky routes send requests with equal prompts to the same servers.
	Sticky bool
	// Resumable streams may be continued at another server.
	Resumable bool
	// SingleVersion requires each result to come from a single weight version.
	SingleVersion bool
	// ItemLifetime is the time after the acceptance of a batch job after which its items may be
	// given up.
	ItemLifetime time.Duration
	// ResultDeadline is the time within which the results of a batch job are due.
	ResultDeadline time.Duration
	// Public routes require no API key.
	Public bool
}

// Repeatable reports whether a request of the route may run more than once.
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
	remaining := draw * total
	for _, target := range r.Targets {
		if target.Weight <= 0 {
			continue
		}
		if remaining < target.Weight {
			return target, true
		}
		remaining -= target.Weight
	}
	return r.Targets[len(r.Targets)-1], true
}

// PickByHash chooses a target by weight and the hash of an id, so that all nodes choose the same
// one.
func (r *Route) PickByHash(id string) (Target, bool) {
	const mantissaBits = 53
	return r.Pick(float64(xxhash.Sum64String(id)>>(64-mantissaBits)) / (1 << mantissaBits))
}

// Service is a group of servers that do the same work.
type Service struct {
	Name string
	// MaxConnections is the number of connections that each server accepts from all callers
	// together.
	MaxConnections int
	// Models are the models that an engine pool serves; empty for other services.
	Models []string
	// Slots is the number of requests that an engine runs at once; 0 for other services.
	Slots int
	// WarmUpRate is the requests per second that a server sustains while it warms up; 0 means
	// unlimited.
	WarmUpRate float64
	// MemoryTokens is the number of tokens that the memory of an engine holds, of all its requests
	// together; 0 if unknown.
	MemoryTokens int
	// TokensPerEvent is the number of tokens that one event of an engine's stream holds; 0 if unknown.
	TokensPerEvent int
	// Scaling is nil if the number of servers is not managed.
	Scaling *Scaling
}

// Scaling bounds the number of servers of a service.
type Scaling struct {
	// Minimum and Maximum bound the servers of each zone.
	Minimum, Maximum int
	// BootTime is the time from ordering a server until it accepts requests.
	BootTime time.Duration
	// ZonePrices holds the price per second of a server in each zone, relative to the other zones.
	ZonePrices map[string]float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It is immutable once built.
type Table struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Tenants are the tenants whose keys are accepted; nil disables API keys.
	Tenants *tenant.Set

	byHost map[string][]*Route
	// singleServices are the services that routes for single requests target.
	singleServices map[string]bool
}

// NewTable builds a table and its index by host.
func NewTable(version int64, routes []Route, services []Service, limits Limits) *Table {
	table := &Table{
		Version:        version,
		Routes:         routes,
		Services:       make(map[string]Service, len(services)),
		Limits:         limits,
		byHost:         make(map[string][]*Route),
		singleServices: make(map[string]bool),
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
			table.singleServices[target.Service] = true
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

// MatchTarget is Match for a path that may include a query.
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

// WarmUpRate returns the requests per second that a server of a service sustains while it warms up;
// 0 if unlimited or if there is no configuration.
func (t *Table) WarmUpRate(service string) float64 {
	if t == nil {
		return 0
	}
	return t.Services[service].WarmUpRate
}

// Memory returns the capacity of an engine's memory in tokens, and the number of tokens per event. Both
// are 0 if one of them is unknown or if there is no configuration.
func (t *Table) Memory(service string) (tokens, tokensPerEvent int) {
	if t == nil {
		return 0, 0
	}
	configured := t.Services[service]
	if configured.MemoryTokens <= 0 || configured.TokensPerEvent <= 0 {
		return 0, 0
	}
	return configured.MemoryTokens, configured.TokensPerEvent
}

// ServesSingleRequests reports whether single requests, and not only batch jobs, may reach a
// service: either a route targets it, or the next configuration may, since it is not an engine
// pool.
func (t *Table) ServesSingleRequests(service string) bool {
	return t.singleServices[service] || len(t.Services[service].Models) == 0
}
