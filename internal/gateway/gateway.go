package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
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
	// Quarantine knows the requests that crash servers; nil for none.
	Quarantine *crashwatch.Tracker
	Logger     *zap.Logger
	// Observe is told of each request that was answered.
	Observe func(Outcome)
	// Began is told of each request that began to run at a server, of which tenant and when.
	Began func(tenantName string, at time.Time)
}

// Outcome is how a request ended, for metrics.
type Outcome struct {
	Kind routetable.Kind
	// Status is 0 when the connection was closed without a whole answer.
	Status   int
	Reason   string
	Attempts int
	Took     time.Duration
}

// Gateway serves single requests. It may be used by several goroutines.
type Gateway struct {
	options  Options
	balancer *balancer
}

// NewGateway returns a gateway.
func NewGateway(options Options) *Gateway {
	if options.Observe == nil {
		options.Observe = func(Outcome) {}
	}
	if options.Began == nil {
		options.Began = func(string, time.Time) {}
	}
	if options.Quarantine == nil {
		options.Quarantine = crashwatch.NewTracker(crashwatch.Options{})
	}
	return &Gateway{options: options, balancer: newBalancer(options.Node, options.Zone)}
}

// Forget drops what was seen of servers that are no longer listed.
func (g *Gateway) Forget() { g.balancer.forget(g.options.Directory.Snapshot()) }

// The timing of attempts.
const (
	// defaultDeadline bounds requests that name none.
	defaultDeadline = 30 * time.Second
	// hedgeShare is the share of the latency target after which a repeatable
	// request is sent to a second server as well.
	hedgeShare = 0.4
	// loserGrace is how long an attempt whose answer is no longer needed may
	// still run, so that its connection is kept.
	loserGrace = 300 * time.Millisecond
	// retryAfter is what refused callers are told.
	retryAfter = 50 * time.Millisecond
	// mostUnreached bounds the servers that a call fails to get to before it is given up. The
	// list still has a crashed server for some seconds, and each costs a refused connection.
	mostUnreached = 8
	// heldRetryAfter is what the caller of a held request is told at the least.
	heldRetryAfter = time.Second
	// bufferLimit is the largest answer that is read whole before it is passed on.
	bufferLimit = 1 << 20
)

// call is one request under way.
type call struct {
	gateway  *Gateway
	request  *Request
	route    *routetable.Route
	table    *routetable.Table
	service  string
	deadline time.Time
	tried    map[directory.Incarnation]bool
	// attempts counts the servers that may have run the request, or run it now; unreached those
	// that it did not get to, which are none.
	attempts  int
	unreached int
	// servers holds the ids of the servers tried, in order.
	servers []string
	// reason says why the last attempt brought nothing.
	reason string
	// unrun is true while no server may have run the request.
	unrun bool
	// repeatable requests may run more than once.
	repeatable bool
	// failures counts the servers that answered that the request failed.
	failures int
	// alone says that this node runs no other try of the request, which is unclear.
	alone bool
	// held says that the request was not sent on since servers ended under it.
	held bool

	fingerprintOnce sync.Once
	fingerprintMade quarantine.Fingerprint
}

// Serve answers a request of a route.
func (g *Gateway) Serve(ctx context.Context, w http.ResponseWriter, table *routetable.Table, route *routetable.Route, request *Request) {
	target, ok := route.Pick(rand.Float64())
	if !ok {
		Refuse(w, http.StatusServiceUnavailable, retryAfter)
		return
	}
	c := &call{
		gateway: g, request: request, route: route, table: table, service: target.Service,
		deadline: deadlineOf(route, request), tried: make(map[directory.Incarnation]bool), unrun: true, repeatable: route.Repeatable(),
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Until(c.deadline))
	defer cancel()
	var status int
	if route.Kind == routetable.KindStream {
		status = c.stream(ctx, w)
	} else {
		status = c.single(ctx, w)
	}
	c.log(status)
}

func deadlineOf(route *routetable.Route, request *Request) time.Time {
	deadline := request.Received.Add(defaultDeadline)
	if !request.Deadline.IsZero() {
		deadline = request.Deadline
	}
	if bound := request.Received.Add(route.Timeout); route.Timeout > 0 && bound.Before(deadline) {
		deadline = bound
	}
	return deadline
}

func (c *call) log(status int) {
	took := clock.Since(c.request.Received)
	fingerprint := zap.Skip()
	if c.held {
		fingerprint = zap.String("fingerprint", c.fingerprint().Short())
	}
	c.gateway.options.Observe(Outcome{Kind: c.route.Kind, Status: status, Reason: c.reason, Attempts: len(c.servers), Took: took})
	c.gateway.options.Logger.Info("request answered",
		zap.String("request", c.request.ID), zap.Int("status", status), zap.String("route", c.route.Name),
		zap.String("service", c.service), zap.Int64("configuration", c.table.Version),
		zap.Int("attempts", len(c.servers)), zap.Duration("list_age", c.gateway.options.Directory.Age(clock.Now())),
		zap.Strings("servers", c.servers), zap.String("reason", c.reason), zap.Duration("took", took), fingerprint)
}

// Refuse answers that a request has not run, and when to come back.
func Refuse(w http.ResponseWriter, status int, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// fail gives the final answer of a request that no server served.
func (c *call) fail(w http.ResponseWriter) int {
	status := http.StatusBadGateway
	switch {
	case c.unrun:
		status = http.StatusServiceUnavailable
	case !clock.Now().Before(c.deadline):
		status = http.StatusGatewayTimeout
	}
	if status == http.StatusServiceUnavailable {
		Refuse(w, status, c.comeBackAfter())
		return status
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	return status
}

// comeBackAfter is when a refused caller may come back. A held request is refused until its hold
// ends, at the other nodes as well: an earlier try costs the caller, and brings nothing.
func (c *call) comeBackAfter() time.Duration {
	if !c.held {
		return retryAfter
	}
	left := clock.Until(c.gateway.options.Quarantine.HoldEnds(c.fingerprint()))
	return max(left.Truncate(time.Millisecond), heldRetryAfter)
}

// single serves a request whose answer is one body.
func (c *call) single(ctx context.Context, w http.ResponseWriter) int {
	got, ok := c.await(ctx)
	if !ok {
		return c.fail(w)
	}
	return c.relay(w, got)
}

// await makes attempts until one brings the final answer; ok is false when none did.
func (c *call) await(ctx context.Context) (got attempt, ok bool) {
	results := make(chan attempt, max(c.route.MaxAttempts, 1)+mostUnreached)
	pending := 0
	var hedge <-chan time.Time
	for {
		if pending == 0 {
			if !c.launch(ctx, results) {
				return attempt{}, false
			}
			pending++
			hedge = c.hedgeTimer()
		}
		select {
		case <-ctx.Done():
			c.reason = endReason(ctx)
			c.unrun = false
			return attempt{}, false
		case <-hedge:
			hedge = nil
			// A request that may crash its server runs at one at a time.
			if c.suspicion().Ends == 0 && c.launch(ctx, results) {
				pending++
			}
		case got := <-results:
			pending--
			if !c.usable(got, pending) {
				got.drop()
				continue
			}
			return got, true
		}
	}
}

// endReason says why a request's context has ended.
func endReason(ctx context.Context) string {
	switch cause := context.Cause(ctx); {
	case ctx.Err() != context.Canceled:
		return "deadline"
	case cause != context.Canceled:
		return "ended: " + cause.Error()
	default:
		return "caller left"
	}
}

func (c *call) hedgeTimer() <-chan time.Time {
	if !c.repeatable || c.route.LatencyTarget <= 0 {
		return nil
	}
	return time.After(time.Duration(hedgeShare * float64(c.route.LatencyTarget)))
}

// launch begins an attempt at another server; it returns false when there is none.
func (c *call) launch(ctx context.Context, results chan<- attempt) bool {
	server := c.nextServer(ctx)
	if server == nil {
		return false
	}
	go func() { results <- c.attempt(ctx, server, "") }()
	return true
}

// nextServer returns the server for the next attempt, or nil where there is to be none.
func (c *call) nextServer(ctx context.Context) *directory.Server {
	if c.attempts >= max(c.route.MaxAttempts, 1) || c.unreached >= mostUnreached || !c.unrun && !c.repeatable {
		return nil
	}
	if !clock.Now().Before(c.deadline) {
		c.reason = "deadline"
		return nil
	}
	known := c.settledSuspicion(ctx)
	if known.Held || known.Unclear && !c.tryAlone() {
		c.held = true
		c.reason = reasonHeld
		return nil
	}
	server := c.choose(c.gateway.options.Directory.Snapshot().Ready(c.service), known)
	if server == nil {
		c.endTry()
		if c.reason == "" {
			c.reason = "no server"
		}
		return nil
	}
	c.attempts++
	c.tried[server.Incarnation()] = true
	c.servers = append(c.servers, server.ID)
	return server
}

func (g *Gateway) observe(began time.Time, server *directory.Server, got attempt) {
	now := clock.Now()
	switch {
	case got.failed != nil:
		g.balancer.ended(now, server.Incarnation(), 0, nil, brokenPause)
	case got.answer.NotExecuted:
		g.balancer.ended(now, server.Incarnation(), 0, got.answer.Load, fullPause)
	case got.answer.Status >= http.StatusInternalServerError:
		g.balancer.ended(now, server.Incarnation(), 0, got.answer.Load, fullPause)
	default:
		g.balancer.ended(now, server.Incarnation(), now.Sub(began), got.answer.Load, 0)
	}
}

// usable says whether an attempt's answer is the final one. Others may be pending.
func (c *call) usable(got attempt, pending int) bool {
	switch {
	case got.failed != nil:
		c.noteFailed(got.failed)
		return false
	case got.answer.NotExecuted:
		c.reason = "refused by the server"
		return false
	case got.answer.Status >= http.StatusInternalServerError && c.repeatable:
		c.reason = "failed at the server: " + strconv.Itoa(got.answer.Status)
		c.unrun = false
		if got.answer.Status == http.StatusInternalServerError {
			c.failures++
		}
		return pending == 0 && c.attempts >= max(c.route.MaxAttempts, 1)
	}
	return true
}

// noteFailed takes that an attempt brought no answer.
func (c *call) noteFailed(failed *SendError) {
	c.reason = "broken: " + failed.Error()
	c.unrun = c.unrun && !failed.Sent
	if !failed.Sent {
		c.attempts--
		c.unreached++
	}
}

// relay passes an answer on.
func (c *call) relay(w http.ResponseWriter, got attempt) int {
	defer got.drop()
	copyHeader(w.Header(), got.answer.Header)
	if got.answer.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(got.answer.Length, 10))
	} else if got.whole {
		w.Header().Set("Content-Length", strconv.Itoa(len(got.head)))
	}
	w.WriteHeader(got.answer.Status)
	if _, err := w.Write(got.head); err != nil {
		c.reason = "caller left"
		return 0
	}
	if got.whole {
		return got.answer.Status
	}
	if _, err := io.Copy(w, got.answer.Body); err != nil {
		// The caller must not take the part for the whole.
		c.reason = "cut: " + err.Error()
		c.log(0)
		panic(http.ErrAbortHandler)
	}
	return got.answer.Status
}

func copyHeader(target, source http.Header) {
	for name, values := range source {
		target[name] = values
	}
}
