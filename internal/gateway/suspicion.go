package gateway

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/crashwatch"
	"dalehook/internal/directory"
	"dalehook/internal/quarantine"
	"dalehook/internal/routetable"
)

// reasonHeld is the reason of requests that are refused because they crash servers.
const reasonHeld = "held: servers ended under it"

// fingerprint returns the request's fingerprint, which is computed on first use.
func (c *call) fingerprint() quarantine.Fingerprint {
	c.fingerprintOnce.Do(func() { c.fingerprintValue = c.request.Fingerprint() })
	return c.fingerprintValue
}

// suspicion returns the current suspicion of the request.
func (c *call) suspicion() quarantine.Suspicion {
	tracker := c.gateway.options.CrashTracker
	if c.internal || !tracker.Active() {
		return quarantine.Suspicion{}
	}
	return tracker.Suspicion(c.fingerprint())
}

// suspicionAfterProbes is suspicion, but waits for pending probes if one more end would have the
// request held. A wait of a fraction of a second saves one server.
func (c *call) suspicionAfterProbes(ctx context.Context) quarantine.Suspicion {
	suspicion := c.suspicion()
	if !suspicion.ProbePending {
		return suspicion
	}
	c.gateway.options.CrashTracker.AwaitProbes(ctx, c.fingerprint())
	return c.suspicion()
}

// beginTrial reports whether an ambiguous request may run now, and marks it as running.
func (c *call) beginTrial() bool {
	c.inTrial = c.gateway.options.CrashTracker.BeginTrial(c.fingerprint())
	return c.inTrial
}

// endTrial ends the trial of an ambiguous request.
func (c *call) endTrial() {
	if c.inTrial {
		c.inTrial = false
		c.gateway.options.CrashTracker.EndTrial(c.fingerprint())
	}
}

// chooseServer returns the server for the next attempt, or nil. All nodes choose the same server
// for a suspected request, so that attempts at several nodes crash one server rather than several.
func (c *call) chooseServer(now time.Time, servers []*directory.Server, suspicion quarantine.Suspicion) *directory.Server {
	from := candidates{
		service: c.service, servers: servers, tried: c.tried, warmUpRate: c.table.WarmUpRate(c.service),
		stream: c.route.Kind == routetable.KindStream, noTarget: c.route.LatencyTarget <= 0,
	}
	if suspicion.Ends == 0 {
		return c.gateway.balancer.choose(now, from)
	}
	from.servers = rankForSuspect(c.fingerprint(), suspicion.Ends, servers)
	return c.gateway.balancer.chooseInOrder(now, from)
}

// rankForSuspect orders servers for a suspected request by rendezvous hashing, equally at all
// nodes. The number of ends is part of the key: two requests that ran on the same crashed server
// get different servers next, so that the next end is unlikely to implicate both.
func rankForSuspect(fingerprint quarantine.Fingerprint, ends int, servers []*directory.Server) []*directory.Server {
	return rankByRendezvous(fingerprint.String()+strconv.Itoa(ends), servers)
}

// reportToTracker reports the end of an attempt to the tracker. breakErr is set if the server, and
// not this node or the caller, broke the connection after the request had been sent; progressed
// says that the server had produced events, answered that it returned a complete response.
func (c *call) reportToTracker(server *directory.Server, start time.Time, breakErr error, progressed, answered bool) {
	tracker := c.gateway.options.CrashTracker
	switch {
	case breakErr != nil && c.internal:
		c.logBreak(server, start, breakErr, zap.Skip())
	case breakErr != nil:
		tracker.RecordBreak(c.fingerprint(), *server, crashwatch.InFlightRequest{SentAt: start, Progressed: progressed})
		c.logBreak(server, start, breakErr, zap.String("fingerprint", c.fingerprint().Short()))
	case answered && c.internal:
		tracker.RecordAlive(server.Incarnation(), start)
	case answered && tracker.Active():
		tracker.RecordResponse(c.fingerprint(), server.Incarnation(), start)
	}
}

func (c *call) logBreak(server *directory.Server, start time.Time, breakErr error, fingerprint zap.Field) {
	c.gateway.options.Logger.Info("connection broken by server", zap.String("request", c.request.ID), fingerprint,
		zap.String("server", server.ID), zap.Int64("born", server.Born), zap.String("service", c.service),
		zap.Duration("took", clock.Since(start)), zap.Error(breakErr))
}
