package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/crashwatch"
	"dalehook/internal/directory"
	"dalehook/internal/quarantine"
	"dalehook/internal/routetable"
)

// Options configure a Gateway.
type Options struct {
	Backend   Backend
	Directory *directory.Directory
	// Node names this node; nodes of different names send to different servers of a large service.
	Node string
	// Zone is this node's zone; its servers are preferred.
	Zone string
	// Overload configures the protection of loaded services.
	Overload OverloadOptions
	// CrashTracker identifies requests that crash servers; nil disables it.
	CrashTracker *crashwatch.Tracker
	Logger       *zap.Logger
	// Observe is called with the outcome of each request.
	Observe func(Outcome)
	// OnMayHaveStarted is called for each attempt that a server executed or may have executed, with the
	// request's tenant and the time.
	OnMayHaveStarted func(tenantName string, at time.Time)
}

// Outcome describes how a request ended, for metrics.
type Outcome struct {
	Kind routetable.Kind
	// Status is 0 if the connection was closed without a complete response.
	Status   int
	Reason   string
	Attempts int
	Duration time.Duration
	// Service is the service that the request was for.
	Service string
	// Hedges counts the second copies that were sent, DeniedHedges those that a budget or an overload
	// denied; Retries and DeniedRetries are the same for attempts after a rejection.
	Hedges, DeniedHedges, Retries, DeniedRetries int
}

// Gateway serves single requests. It is safe for concurrent use.
type Gateway struct {
	options  Options
	balancer *balancer
	services *guardedServices
}

// NewGateway returns a gateway.
func NewGateway(options Options) *Gateway {
	if options.Observe == nil {
		options.Observe = func(Outcome) {}
	}
	if options.OnMayHaveStarted == nil {
		options.OnMayHaveStarted = func(string, time.Time) {}
	}
	if options.CrashTracker == nil {
		options.CrashTracker = crashwatch.NewTracker(crashwatch.Options{})
	}
	serverBalancer := newBalancer(options.Node, options.Zone)
	serverBalancer.unprotected = options.Overload.Off
	return &Gateway{options: options, balancer: serverBalancer, services: newGuardedServices(options.Overload)}
}

// Prune drops the state of servers and services that are no longer listed.
func (g *Gateway) Prune() {
	listed := g.options.Directory.Snapshot()
	g.balancer.prune(listed)
	g.services.prune(listed)
}

// Timing and limits of attempts.
const (
	// defaultDeadline bounds requests that state no deadline.
	defaultDeadline = 30 * time.Second
	// hedgeFraction is the fraction of the latency target after which a repeatable request is also
	// sent to a second server. A larger one leaves that server less time to meet the target; a smaller
	// one sends more requests twice.
	hedgeFraction = 0.4
	// cancelGrace is how long an attempt whose response is no longer needed may go on, so that its
	// connection can be reused.
	cancelGrace = 300 * time.Millisecond
	// defaultRetryAfter is the Retry-After of refused requests.
	defaultRetryAfter = 50 * time.Millisecond
	// maxUnreachable bounds the unreachable servers per call. A crashed server stays listed for
	// some seconds, and each costs a refused connection.
	maxUnreachable = 8
	// minHeldRetryAfter is the smallest Retry-After of a held request.
	minHeldRetryAfter = time.Second
	// maxBufferedBytes is the largest response that is buffered before it is passed on.
	maxBufferedBytes = 1 << 20
)

// call is the state of one request in progress.
type call struct {
	gateway  *Gateway
	request  *Request
	route    *routetable.Route
	table    *routetable.Table
	service  string
	deadline time.Time
	tried    map[directory.Incarnation]bool
	// attempts counts the servers that run or may have run the request; unreachable counts failed
	// connections, which are not attempts.
	attempts    int
	unreachable int
	// servers holds the ids of the servers tried, in order.
	servers []string
	// reason says why the last attempt gave no response.
	reason string
	// notExecuted is true as long as no server may have executed the request.
	notExecuted bool
	// repeatable requests may run more than once.
	repeatable bool
	// internal requests are made by this system for accepted batch jobs. They never crash servers by
	// themselves, so that no end of a server is held against them.
	internal bool
	// failures counts the servers that answered with status 500.
	failures int
	// inTrial says that this call holds the node's only trial of an ambiguous request.
	inTrial bool
	// held says that the request was refused because servers ended under it.
	held bool
	// rejected says that the last attempt ended with a rejection.
	rejected bool
	// serverStatus is the status of the last response of a server; 0 if there was none.
	serverStatus int
	// refusedShare is the share of the service's requests that were refused when this one arrived.
	refusedShare float64
	// overloadRetryAfter is the Retry-After of a request that was refused under overload; 0 for
	// others. retryAfterSent is the Retry-After of the response; 0 if it had none.
	overloadRetryAfter, retryAfterSent time.Duration
	// hedges and retries count the second copies and the attempts after a rejection that were sent;
	// deniedHedges and deniedRetries count those that were denied.
	hedges, deniedHedges, retries, deniedRetries int

	fingerprintOnce  sync.Once
	fingerprintValue quarantine.Fingerprint
}

// Serve handles a request that matched a route.
func (g *Gateway) Serve(ctx context.Context, w http.ResponseWriter, table *routetable.Table, route *routetable.Route, request *Request) {
	target, ok := route.Pick(rand.Float64())
	if !ok {
		Refuse(w, http.StatusServiceUnavailable, defaultRetryAfter)
		return
	}
	c := &call{
		gateway: g, request: request, route: route, table: table, service: target.Service,
		deadline: Deadline(route, request), tried: make(map[directory.Incarnation]bool), notExecuted: true, repeatable: route.Repeatable(),
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Until(c.deadline))
	defer cancel()
	var status int
	if route.Kind == routetable.KindStream {
		status = c.serveStream(ctx, w)
	} else {
		status = c.serveSingle(ctx, w)
	}
	c.recordOutcome(status)
}

// Deadline returns when a request is given up: the earlier of its caller's deadline and the time-out of its route.
func Deadline(route *routetable.Route, request *Request) time.Time {
	deadline := request.Received.Add(defaultDeadline)
	if !request.Deadline.IsZero() {
		deadline = request.Deadline
	}
	if bound := request.Received.Add(route.Timeout); route.Timeout > 0 && bound.Before(deadline) {
		deadline = bound
	}
	return deadline
}

func (c *call) recordOutcome(status int) {
	took := clock.Since(c.request.Received)
	fingerprint := zap.Skip()
	if c.held {
		fingerprint = zap.String("fingerprint", c.fingerprint().Short())
	}
	c.gateway.options.Observe(Outcome{
		Kind: c.route.Kind, Status: status, Reason: c.reason, Attempts: len(c.servers), Duration: took, Service: c.service,
		Hedges: c.hedges, DeniedHedges: c.deniedHedges, Retries: c.retries, DeniedRetries: c.deniedRetries,
	})
	refusedShare, retryAfter := zap.Skip(), zap.Skip()
	if c.refusedShare > 0 {
		refusedShare = zap.Float64("refused_share", c.refusedShare)
	}
	if c.retryAfterSent > 0 {
		retryAfter = zap.Int64("retry_after", c.retryAfterSent.Milliseconds())
	}
	c.gateway.options.Logger.Info("request answered",
		zap.String("request", c.request.ID), zap.Int("status", status),
		zap.Int("server_status", c.serverStatus), zap.String("route", c.route.Name),
		zap.String("service", c.service), zap.Int64("configuration", c.table.Version),
		zap.Int("attempts", len(c.servers)), zap.Duration("list_age", c.gateway.options.Directory.Age(clock.Now())),
		zap.Strings("servers", c.servers), zap.String("reason", c.reason), zap.Duration("took", took), refusedShare, retryAfter, fingerprint)
}

// Refuse responds that a request was not executed, and when to retry.
func Refuse(w http.ResponseWriter, status int, retryAfter time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// writeFailure writes the final response of a request that no server answered.
func (c *call) writeFailure(w http.ResponseWriter) int {
	status := http.StatusBadGateway
	switch {
	case c.notExecuted:
		status = http.StatusServiceUnavailable
	case !clock.Now().Before(c.deadline):
		status = http.StatusGatewayTimeout
	}
	if status == http.StatusServiceUnavailable {
		c.retryAfterSent = c.retryAfter()
		Refuse(w, status, c.retryAfterSent)
		return status
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	return status
}

// retryAfter returns when a refused caller should retry. A held request is refused by every node
// until its hold ends, so retrying earlier is useless.
func (c *call) retryAfter() time.Duration {
	switch {
	case c.held:
	case c.overloadRetryAfter > 0:
		return c.overloadRetryAfter
	case c.rejected && c.isGuarded():
		return c.retryAfterRejection()
	default:
		return defaultRetryAfter
	}
	remaining := clock.Until(c.gateway.options.CrashTracker.HoldExpiry(c.fingerprint()))
	return max(remaining.Truncate(time.Millisecond), minHeldRetryAfter)
}

// startedAttempt is an attempt at a server.
type startedAttempt struct {
	server *directory.Server
	// chosenAt is when the server was chosen, sentAt when the request was sent.
	chosenAt, sentAt time.Time
}

// hasAttemptsLeft reports whether the request may be sent to a server, given the attempts so far.
func (c *call) hasAttemptsLeft() bool {
	return c.attempts < max(c.route.MaxAttempts, 1) && c.unreachable < maxUnreachable && (c.notExecuted || c.repeatable)
}

// nextServer chooses the server for the next attempt; ok is false if there must be no other attempt.
func (c *call) nextServer(ctx context.Context) (started startedAttempt, ok bool) {
	if !c.hasAttemptsLeft() {
		return startedAttempt{}, false
	}
	if !clock.Now().Before(c.deadline) {
		c.reason = reasonDeadline
		return startedAttempt{}, false
	}
	suspicion := c.suspicionAfterProbes(ctx)
	if suspicion.Held || suspicion.Ambiguous && !c.beginTrial() {
		c.held = true
		c.reason = reasonHeld
		return startedAttempt{}, false
	}
	chosenAt := clock.Now()
	server := c.chooseServer(chosenAt, c.readyServers(), suspicion)
	if server == nil {
		c.endTrial()
		if c.reason == "" {
			c.reason = reasonNoServer
		}
		return startedAttempt{}, false
	}
	c.attempts++
	c.tried[server.Incarnation()] = true
	c.servers = append(c.servers, server.ID)
	return startedAttempt{server: server, chosenAt: chosenAt}, true
}

// hasUntriedServer reports whether there is a server that the request was not sent to.
func (c *call) hasUntriedServer() bool {
	return slices.ContainsFunc(c.readyServers(), func(server *directory.Server) bool { return !c.tried[server.Incarnation()] })
}

// readyServers returns the listed servers of the request's service that accept work.
func (c *call) readyServers() []*directory.Server {
	return c.gateway.options.Directory.Snapshot().Ready(c.service)
}

// noteResponse records the status of a server's response, and whether it rejected the request.
func (c *call) noteResponse(response *Response, sendErr *SendError) {
	c.rejected = sendErr == nil && response.NotExecuted
	if sendErr == nil {
		c.serverStatus = response.Status
	}
}

// recordSendError records an attempt that gave no response.
func (c *call) recordSendError(sendErr *SendError) {
	c.reason = "broken: " + sendErr.Error()
	c.notExecuted = c.notExecuted && !sendErr.Sent
	if !sendErr.Sent {
		c.attempts--
		c.unreachable++
	}
}

func copyHeader(target, source http.Header) {
	for name, values := range source {
		target[name] = values
	}
}
