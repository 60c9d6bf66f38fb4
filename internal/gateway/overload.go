package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/overload"
)

// OverloadOptions configure how a Gateway protects loaded services.
type OverloadOptions struct {
	// Off disables refusals, limits and budgets under overload. Servers are then chosen by load and
	// average latency alone.
	Off bool
	// HedgeShare and RetryShare are the hedges, and the retries after a rejection, for each admitted
	// request of a loaded service; 0 means overload.DefaultBudgetShare, and NoBudget none.
	HedgeShare, RetryShare float64
	// TenantWeights holds the weights of tenants whose share under overload is not 1.
	TenantWeights map[string]float64
}

// NoBudget is the share of a service without hedges, or without retries after a rejection, while it is
// loaded.
const NoBudget = overload.NoBudget

// ServiceOverload is the state of one service at this node, for operators.
type ServiceOverload struct {
	Service string
	// RefusedShare is the share of requests that is refused, from 0 to 1.
	RefusedShare float64
	// Offered and Accepted are the recent requests per second, and those answered without evidence of
	// overload.
	Offered, Accepted float64
	// Utilization is the mean of what servers stated recently, (running + waiting) / slots; 0 if
	// unknown.
	Utilization float64
	// EvidenceAge is the time since the last evidence of overload; negative if there was none.
	EvidenceAge time.Duration
}

// Reasons of requests that are refused under overload. They are values of a metric's label
// and are logged.
const (
	ReasonOverloaded  = "overloaded"
	ReasonTooLate     = "too late"
	ReasonRetryBudget = "retry budget"
)

// refusalLogInterval is the shortest time between two log lines about the refusals of a service.
const refusalLogInterval = time.Second

// guardedService is the overload state of one service.
type guardedService struct {
	mutex    sync.Mutex
	state    *overload.Service
	loggedAt time.Time
}

// guardedServices holds the overload state of the services that this node has sent requests to. It is
// safe for concurrent use.
type guardedServices struct {
	options OverloadOptions
	mutex   sync.RWMutex
	byName  map[string]*guardedService
}

func newGuardedServices(options OverloadOptions) *guardedServices {
	return &guardedServices{options: options, byName: make(map[string]*guardedService)}
}

// get returns the state of a service.
func (g *guardedServices) get(name string) *guardedService {
	g.mutex.RLock()
	known := g.byName[name]
	g.mutex.RUnlock()
	if known != nil {
		return known
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if known := g.byName[name]; known != nil {
		return known
	}
	added := &guardedService{state: overload.NewService(overload.ServiceOptions{
		HedgeShare: g.options.HedgeShare, RetryShare: g.options.RetryShare, TenantWeights: g.options.TenantWeights,
	})}
	g.byName[name] = added
	return added
}

// prune drops the state of services that have no listed server.
func (g *guardedServices) prune(listed *directory.Snapshot) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	gone := make(map[string]bool, len(g.byName))
	for name := range g.byName {
		gone[name] = true
	}
	listed.Services(func(service string, _ []*directory.Server) { delete(gone, service) })
	for name := range gone {
		delete(g.byName, name)
	}
}

// Overload returns the state of the services that this node has sent requests to, by name.
func (g *Gateway) Overload(now time.Time) []ServiceOverload {
	g.services.mutex.RLock()
	defer g.services.mutex.RUnlock()
	states := make([]ServiceOverload, 0, len(g.services.byName))
	for name, service := range g.services.byName {
		states = append(states, service.describe(now, name))
	}
	slices.SortFunc(states, func(a, b ServiceOverload) int { return cmp.Compare(a.Service, b.Service) })
	return states
}

func (s *guardedService) describe(now time.Time, name string) ServiceOverload {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	throttle := s.state.Throttle
	described := ServiceOverload{Service: name, RefusedShare: throttle.RefusedShare(now)}
	described.Offered, described.Accepted, _ = throttle.Rates(now)
	described.Utilization, _ = throttle.Utilization(now)
	_, described.EvidenceAge = throttle.LastEvidence(now)
	return described
}

// isGuarded reports whether refusals and budgets apply to the request: its route has a latency
// target.
func (c *call) isGuarded() bool {
	return !c.gateway.options.Overload.Off && c.route.LatencyTarget > 0
}

// admit reports whether the request may be sent to a server.
func (c *call) admit() bool {
	if !c.isGuarded() {
		return true
	}
	now := clock.Now()
	remaining := c.deadline.Sub(now)
	service := c.gateway.services.get(c.service)
	tooLate, refusing := service.assess(now, c.route.Name, remaining)
	if tooLate {
		c.reason = ReasonTooLate
		return false
	}
	request := overload.Request{
		Priority: c.request.Caller.Priority, Tenant: c.request.Caller.Tenant, Route: c.route.Name, Remaining: remaining,
	}
	if refusing {
		request.HasFreeSlot, _ = c.gateway.balancer.hasFreeSlot(now, c.readyServers(), nil)
	}
	decision, logFields := service.admit(now, request)
	c.refusedShare = decision.RefusedShare
	if logFields != nil {
		logFields = append(logFields, zap.String("service", c.service))
		c.gateway.options.Logger.Info("requests refused under overload", logFields...)
	}
	if !decision.Admitted {
		c.reason = ReasonOverloaded
		c.overloadRetryAfter = decision.RetryAfter
	}
	return decision.Admitted
}

// assess reports whether a request of a route with the given remaining time is too late, and whether the
// service refuses requests.
func (s *guardedService) assess(now time.Time, route string, remaining time.Duration) (tooLate, refusing bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.IsTooLate(now, route, remaining), s.state.Throttle.RefusedShare(now) > 0
}

// admit decides about a request. For a refusal it returns the fields of a log line; nil if a line was
// written within refusalLogInterval.
func (s *guardedService) admit(now time.Time, request overload.Request) (decision overload.Decision, logFields []zap.Field) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	decision = s.state.Admit(now, request, rand.Float64())
	if decision.Admitted || now.Sub(s.loggedAt) < refusalLogInterval {
		return decision, nil
	}
	s.loggedAt = now
	offered, accepted, refused := s.state.Throttle.Rates(now)
	utilization, known := s.state.Throttle.Utilization(now)
	if !known {
		utilization = -1
	}
	evidence, age := s.state.Throttle.LastEvidence(now)
	return decision, []zap.Field{
		zap.Float64("offered", offered), zap.Float64("accepted", accepted), zap.Float64("refused", refused),
		zap.Float64("refused_share", decision.RefusedShare), zap.Float64("utilization", utilization),
		zap.String("evidence", string(evidence)), zap.Duration("evidence_age", age),
	}
}

// admitInternal counts an internal request, which is never refused.
func (c *call) admitInternal() {
	if !c.isGuarded() {
		return
	}
	service := c.gateway.services.get(c.service)
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.state.Earn()
}

// allowHedge reports whether a second copy of the request may be sent.
func (c *call) allowHedge() bool {
	if !c.isGuarded() {
		return true
	}
	service := c.gateway.services.get(c.service)
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.state.AllowHedge(clock.Now()) {
		return true
	}
	c.deniedHedges++
	return false
}

// allowRetry reports whether the request, which a server has rejected, may be sent to another one.
// If all servers were tried, nothing is taken from the budget.
func (c *call) allowRetry() bool {
	if !c.isGuarded() || !c.hasAttemptsLeft() {
		return true
	}
	now := clock.Now()
	hasFreeSlot, hasUntried := c.gateway.balancer.hasFreeSlot(now, c.readyServers(), c.tried)
	if !hasUntried {
		return true
	}
	service := c.gateway.services.get(c.service)
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.state.AllowRetry(now, hasFreeSlot) {
		return true
	}
	c.deniedRetries++
	c.reason = ReasonRetryBudget
	return false
}

// retryAfterRejection returns the Retry-After of a request that servers have rejected.
func (c *call) retryAfterRejection() time.Duration {
	now := clock.Now()
	service := c.gateway.services.get(c.service)
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.state.Throttle.RetryAfter(now, c.deadline.Sub(now), rand.Float64())
}

// observe records the response of a server as evidence for the throttle of its service. predicted is
// the predicted latency of the next request there; latency is that of a complete response, 0 for others.
func (c *call) observe(now time.Time, server *directory.Server, response *Response, predicted, latency time.Duration) {
	if c.gateway.options.Overload.Off {
		return
	}
	sample := overload.Sample{
		Server: server.ID, Rejected: response.NotExecuted, Predicted: predicted, Target: c.route.LatencyTarget, Utilization: -1,
	}
	if response.Load != nil {
		sample.Utilization = overload.Load(*response.Load).Utilization()
	}
	if sample.Target <= 0 && sample.Utilization < 0 {
		return
	}
	service := c.gateway.services.get(c.service)
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.state.Throttle.Observe(now, sample)
	if sample.Target > 0 && latency > 0 {
		service.state.ObserveAnswer(now, c.route.Name, latency)
	}
}

// recordAttempt records the end of an attempt of a request for a single response.
func (c *call) recordAttempt(started startedAttempt, result attemptResult) {
	now := clock.Now()
	end := c.endOf(started, result)
	end.loadAt = now
	if end.answered {
		end.latency = now.Sub(started.sentAt)
	}
	predicted := c.gateway.balancer.recordResult(now, started.server, end)
	if result.sendErr == nil {
		c.observe(now, started.server, result.response, predicted, end.latency)
	}
}

// recordStreamStart records the header of a server's response to a request for a stream.
func (c *call) recordStreamStart(now time.Time, server *directory.Server, response *Response) {
	if response == nil {
		return
	}
	wait := time.Duration(0)
	if response.Load != nil {
		wait = c.gateway.balancer.recordLoad(now, server, *response.Load, response.NotExecuted)
	}
	c.observe(now, server, response, wait, 0)
}

// recordStreamEnd records the end of an attempt of a request for a stream, whose server answered at
// the given time.
func (c *call) recordStreamEnd(started startedAttempt, answeredAt time.Time, result attemptResult) {
	now := clock.Now()
	end := c.endOf(started, result)
	end.loadAt, end.stream = answeredAt, true
	if end.answered {
		end.latency = now.Sub(c.request.Received)
	}
	c.gateway.balancer.recordResult(now, started.server, end)
}

// endOf returns the end of an attempt without latency and load time.
func (c *call) endOf(started startedAttempt, result attemptResult) attemptEnd {
	end := attemptEnd{chosenAt: started.chosenAt, noTarget: c.route.LatencyTarget <= 0}
	switch {
	case result.sendErr != nil:
		end.backoff = failureBackoff
	case result.response.NotExecuted, result.response.failed():
		end.backoff = overloadBackoff
	default:
		end.answered = true
	}
	if result.sendErr == nil {
		end.load, end.rejected = result.response.Load, result.response.NotExecuted
	}
	return end
}
