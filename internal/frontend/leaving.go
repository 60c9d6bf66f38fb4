package frontend

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/drain"
	"dalehook/internal/gateway"
	"dalehook/internal/routetable"
)

const (
	// drainNotice is how long a node that shuts down still accepts connections after it reports
	// itself as not ready, so that new connections go to other nodes.
	drainNotice = 2700 * time.Millisecond
	// exitReserve is the part of the grace period that is kept for the exit of the process.
	exitReserve = 1200 * time.Millisecond
	// appendTime is the longest time that a call needs which appends records.
	appendTime = maxAppendAttempts * appendTimeout
)

// LateRetryAfter is the Retry-After of a request that comes too late: other nodes can serve it at once.
const LateRetryAfter = 10 * time.Millisecond

// departure is the schedule of a planned stop.
type departure struct {
	// lateFrom is when resting connections have been closed. Requests that are complete later are late.
	lateFrom time.Time
	// deadline is when the requests in progress are cancelled.
	deadline time.Time
}

// Leave begins a graceful shutdown and returns at once.
func (n *Node) Leave() {
	if n.leaving.CompareAndSwap(false, true) {
		n.logger.Info("leaving")
		n.coordinator.Resign()
		close(n.leave)
	}
}

// drainAll serves the requests in flight on all listeners until the grace period ends, then flushes
// the usage counts.
func (n *Node) drainAll(servers []boundServer) {
	now := time.Now()
	deadline := now.Add(time.Duration(n.options.Settings.GraceSeconds*float64(time.Second)) - exitReserve)
	n.departure.Store(&departure{lateFrom: now.Add(drainNotice + drain.IdleGracePeriod), deadline: deadline})
	for _, s := range servers {
		s.server.DisableKeepAlives()
	}
	time.Sleep(drainNotice)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	// The listeners drain in parallel: a slow one must not use up the others' time.
	var drains conc.WaitGroup
	for _, s := range servers {
		drains.Go(func() { n.drainServer(ctx, s) })
	}
	drains.Wait()
	if n.usageSender != nil {
		last, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		n.usageSender.Flush(last)
	}
}

// drainServer serves the requests in flight on one listener.
func (n *Node) drainServer(ctx context.Context, s boundServer) {
	began := clock.Now()
	late := s.server.Drain(ctx)
	n.logger.Info("drained", zap.String("address", s.address), zap.Duration("took", clock.Since(began)), zap.Int("late", late))
	if late > 0 {
		n.metrics.requestsPastGrace.Add(float64(late))
		n.logger.Warn("requests cancelled at the end of the grace period", zap.String("address", s.address), zap.Int("late", late))
	}
}

// mayTake reports whether a request that may need some time can be answered. It cannot if it comes late in a planned
// stop, when the node has less time left: its caller is refused while it can still go to another node, instead of being
// cut when the request may have been executed.
func (n *Node) mayTake(need time.Duration) bool {
	leaving := n.departure.Load()
	if leaving == nil {
		return true
	}
	now := time.Now()
	return now.Before(leaving.lateFrom) || need <= leaving.deadline.Sub(now)
}

// refuseLate answers a single request for which this node has no time, before it is sent to a server.
func (n *Node) refuseLate(w http.ResponseWriter, route *routetable.Route, request *gateway.Request) {
	n.metrics.lateRequestsRefused.Inc()
	n.logger.Info("late request refused", zap.String("request", request.ID), zap.String("route", route.Name))
	w.Header().Set("Connection", "close") // its head may have come before the stop
	gateway.Refuse(w, http.StatusServiceUnavailable, LateRetryAfter)
}
