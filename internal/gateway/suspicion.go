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
)

// reasonHeld is why a request that crashes servers is not sent to any.
const reasonHeld = "held: servers ended under it"

// fingerprint returns the request's, which is made once, and only where it is needed.
func (c *call) fingerprint() quarantine.Fingerprint {
	c.fingerprintOnce.Do(func() { c.fingerprintMade = c.request.Fingerprint() })
	return c.fingerprintMade
}

// suspicion returns what is known against the request.
func (c *call) suspicion() quarantine.Suspicion {
	tracker := c.gateway.options.Quarantine
	if !tracker.Active() {
		return quarantine.Suspicion{}
	}
	return tracker.Suspicion(c.fingerprint())
}

// settledSuspicion is suspicion once it is known whether a server has just ended, where one more
// would have the request held. It protects one server, for a wait of a fraction of a second.
func (c *call) settledSuspicion(ctx context.Context) quarantine.Suspicion {
	known := c.suspicion()
	if !known.Settling {
		return known
	}
	c.gateway.options.Quarantine.Settle(ctx, c.fingerprint())
	return c.suspicion()
}

// tryAlone says whether an unclear request may run now, and notes that it does.
func (c *call) tryAlone() bool {
	c.alone = c.gateway.options.Quarantine.TryAlone(c.fingerprint())
	return c.alone
}

// endTry ends the run of an unclear request.
func (c *call) endTry() {
	if c.alone {
		c.alone = false
		c.gateway.options.Quarantine.EndTry(c.fingerprint())
	}
}

// choose returns the server for the next attempt, or nil. A request under which servers ended goes to the one
// that all nodes choose for it, so that tries at several nodes end one server and not several.
func (c *call) choose(servers []*directory.Server, known quarantine.Suspicion) *directory.Server {
	from := candidates{service: c.service, servers: servers, tried: c.tried, warmUpRate: c.table.WarmUpRate(c.service)}
	if known.Ends == 0 {
		return c.gateway.balancer.choose(clock.Now(), from)
	}
	from.servers = rank(c.fingerprint(), known.Ends, servers)
	return c.gateway.balancer.chooseFirst(clock.Now(), from)
}

// rank orders servers for a suspected request by rendezvous hashing, in the same way at all nodes. Two
// requests that one server ended under are ranked apart by chance, and anew after each end: what
// ends the next server is hardly both of them.
func rank(fingerprint quarantine.Fingerprint, ends int, servers []*directory.Server) []*directory.Server {
	return rendezvous(fingerprint.String()+strconv.Itoa(ends), servers)
}

// noteEnd tells the quarantine how an attempt ended. Broken says that the server, and not this
// node or the caller, broke it off after it had been sent, progressed that it had made events.
func (c *call) noteEnd(server *directory.Server, began time.Time, broken error, progressed, answered bool) {
	tracker := c.gateway.options.Quarantine
	switch {
	case broken != nil:
		tracker.Broke(c.fingerprint(), *server, crashwatch.UnderWay{Began: began, Progressed: progressed})
		c.gateway.options.Logger.Info("attempt broken", zap.String("request", c.request.ID),
			zap.String("fingerprint", c.fingerprint().Short()), zap.String("server", server.ID), zap.Int64("born", server.Born),
			zap.String("service", c.service), zap.Duration("took", clock.Since(began)), zap.Error(broken))
	case answered && tracker.Active():
		tracker.Answered(c.fingerprint(), server.Incarnation(), began)
	}
}
