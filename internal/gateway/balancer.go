package gateway

import (
	"maps"
	"sync"
	"time"

	"dalehook/internal/directory"
	"dalehook/internal/overload"
	"dalehook/internal/slowstart"
)

// Parameters of server selection.
const (
	// failureBackoff is how long a server is avoided after an attempt failed. A longer one leaves a
	// recovered server unused; a shorter one costs requests attempts at a server that still fails.
	failureBackoff = 700 * time.Millisecond
	// overloadBackoff is how long a server is avoided after it rejected an attempt or answered with
	// a 5xx status. A longer one shifts more load to the other servers.
	overloadBackoff = 30 * time.Millisecond
	// initialLatency is assumed for a server that has no latency sample yet.
	initialLatency = 25 * time.Millisecond
	// crossZoneFactor raises the cost of servers in other zones: these are used once the servers of this
	// zone cost 1.3 times as much.
	crossZoneFactor = 1.3
	// backoffFactor makes servers in backoff the last choice.
	backoffFactor = 1000
	// atLimitFactor makes servers at this node's limit the last choice among those that respond.
	atLimitFactor = 10
	// rejectingFactor keeps requests off servers that reject them while the others answer. Such a server
	// would be chosen first, since it has no load and answers at once.
	rejectingFactor = 10
	// warmingFactor keeps requests off warming servers while a warm one is available: all nodes
	// share the rate that a warming server sustains, without coordination.
	warmingFactor = 100
)

// serverState holds this node's observations of a server.
type serverState struct {
	load         *overload.Server
	backoffUntil time.Time
	// recentSends are the requests that this node sent within the last second.
	recentSends slowstart.Window
}

// candidates are the servers that a request may be sent to.
type candidates struct {
	service string
	// servers are ordered by id, or by preference for chooseInOrder.
	servers []*directory.Server
	// tried are excluded.
	tried map[directory.Incarnation]bool
	// warmUpRate is the requests per second that each server sustains while it warms up; 0 means
	// unlimited.
	warmUpRate float64
	// stream says that the request is for a stream, whose age in flight does not show how
	// slow the server is.
	stream bool
	// noTarget says that the route has no latency target. Its requests may take any time, so neither
	// their number counts towards a limit nor their age in flight towards the service time.
	noTarget bool
}

// attemptEnd is the end of an attempt at a server.
type attemptEnd struct {
	// chosenAt is when the server was chosen.
	chosenAt time.Time
	// answered says that the server answered, with neither a rejection nor a 5xx status; latency is the
	// time that it took.
	answered bool
	latency  time.Duration
	// load is what the server stated at loadAt; nil if it stated none.
	load   *Load
	loadAt time.Time
	// backoff is how long the server is avoided.
	backoff time.Duration
	// rejected says that the server rejected the request, stream that it was for a stream.
	rejected, stream bool
	// noTarget says that the route has no latency target, as in candidates.
	noTarget bool
}

// balancer selects servers by load and observed latency. It is safe for concurrent use.
type balancer struct {
	zone string
	// unprotected says that the protection from overload is off. The cost of a server then depends on its
	// average latency and its load, not on limits, ages in flight and rejections.
	unprotected bool

	mutex   sync.Mutex
	subsets subsets
	states  map[directory.Incarnation]*serverState
}

// newBalancer returns the balancer of a node in the given zone.
func newBalancer(node, zone string) *balancer {
	return &balancer{zone: zone, subsets: subsets{node: node, zone: zone}, states: make(map[directory.Incarnation]*serverState)}
}

// choose returns the cheapest untried server and records a send to it; nil if there is none.
// Servers outside the subset are considered if the subset has no warm server that is out of
// backoff, but not if all of its servers are at this node's limit: each request would then search all
// servers of the service.
func (b *balancer) choose(now time.Time, from candidates) *directory.Server {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	preferred, all := b.subsets.preferred(from.service, from.servers)
	best := b.cheapest(now, from, preferred)
	if best == nil || now.Before(b.state(best).backoffUntil) || now.Before(best.WarmAt) {
		best = b.cheapest(now, from, all)
	}
	b.recordSend(now, from, best)
	return best
}

// cheapest returns the untried server of lowest cost; on ties, the first.
func (b *balancer) cheapest(now time.Time, from candidates, servers []*directory.Server) *directory.Server {
	var best *directory.Server
	bestCost := 0.0
	for _, server := range servers {
		if from.tried[server.Incarnation()] || b.isRateLimited(now, server, from.warmUpRate) {
			continue
		}
		cost := b.cost(now, server)
		if best == nil || cost < bestCost {
			best, bestCost = server, cost
		}
	}
	return best
}

// recordSend counts an attempt at a server, which may be nil.
func (b *balancer) recordSend(now time.Time, from candidates, server *directory.Server) {
	if server == nil {
		return
	}
	state := b.state(server)
	state.load.Limiter.SetBound(server.Slots)
	switch {
	case from.noTarget:
		state.load.StartOutsideLimit()
	case from.stream || b.unprotected:
		state.load.Limiter.Acquire()
	default:
		state.load.Limiter.Acquire()
		state.load.Start(now)
	}
	state.recentSends.Record(now)
}

// isRateLimited reports whether this node has sent a server as many requests within the last second
// as slowstart.Limit allows.
func (b *balancer) isRateLimited(now time.Time, server *directory.Server, warmUpRate float64) bool {
	state := b.states[server.Incarnation()]
	return state != nil && state.recentSends.Full(now, slowstart.Limit(warmUpRate, server.Slots, now.Before(server.WarmAt)))
}

// chooseInOrder returns the first untried server that is not in backoff, else the first untried
// one, and records a send to it.
func (b *balancer) chooseInOrder(now time.Time, from candidates) *directory.Server {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var chosen *directory.Server
	for _, server := range from.servers {
		if from.tried[server.Incarnation()] || b.isRateLimited(now, server, from.warmUpRate) {
			continue
		}
		avoided := now.Before(b.state(server).backoffUntil)
		if chosen == nil || !avoided {
			chosen = server
		}
		if !avoided {
			break
		}
	}
	b.recordSend(now, from, chosen)
	return chosen
}

func (b *balancer) cost(now time.Time, server *directory.Server) float64 {
	slots := float64(max(server.Slots, 1))
	serviceTime, inFlight, stated := initialLatency, 0, overload.Load{}
	state := b.states[server.Incarnation()]
	if state != nil {
		serviceTime = state.load.ServiceTime(now, initialLatency)
		inFlight = state.load.InFlight()
		stated = state.load.LastLoad()
	}
	load := float64(max(inFlight, stated.Running+stated.Waiting) + 1)
	cost := (1 + load/slots) * serviceTime.Seconds()
	if server.Zone != b.zone {
		cost *= crossZoneFactor
	}
	if state != nil && now.Before(state.backoffUntil) {
		cost *= backoffFactor
	}
	if state != nil && b.isAtLimit(now, state) {
		cost *= atLimitFactor
	}
	if state != nil && !b.unprotected && state.load.IsRejecting(now) {
		cost *= rejectingFactor
	}
	if now.Before(server.WarmAt) {
		cost *= warmingFactor
	}
	return cost
}

// isAtLimit reports whether this node has as many requests at a server as its limit allows.
func (b *balancer) isAtLimit(now time.Time, state *serverState) bool {
	return !b.unprotected && !state.load.Limiter.HasRoom(now)
}

func (b *balancer) state(server *directory.Server) *serverState {
	id := server.Incarnation()
	state := b.states[id]
	if state == nil {
		state = &serverState{load: overload.NewServer(server.Slots)}
		b.states[id] = state
	}
	return state
}

// recordLoad records the load that a server stated in a response, which may be a rejection. It returns
// the time for which the next request there is predicted to wait for a slot; 0 if unknown.
func (b *balancer) recordLoad(now time.Time, server *directory.Server, load Load, rejected bool) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	state := b.state(server)
	state.load.ObserveLoad(now, overload.Load(load))
	state.load.ObserveResponse(now, rejected)
	return state.load.PredictedWait(overload.Load(load))
}

// recordResult records the end of an attempt. It returns the latency that the next request at the
// server is predicted to have; 0 if unknown.
func (b *balancer) recordResult(now time.Time, server *directory.Server, end attemptEnd) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	state := b.state(server)
	state.closeRequest(now, end)
	var load overload.Load
	if end.load != nil {
		load = overload.Load(*end.load)
		state.load.ObserveLoad(end.loadAt, load)
	}
	if end.rejected || end.answered && !end.stream {
		state.load.ObserveResponse(now, end.rejected)
	}
	switch {
	case end.answered && (b.unprotected || end.stream || end.noTarget):
		// The length of a stream, or of a request without a latency target, must not replace the average
		// of the others, however old that is.
		state.load.ObserveTotalLatency(end.latency)
	case end.answered:
		state.load.ObserveLatency(now, end.latency, load)
	}
	if end.backoff > 0 {
		state.backoffUntil = now.Add(end.backoff)
	}
	return state.load.PredictedLatency(load)
}

// closeRequest ends the request that recordSend opened.
func (s *serverState) closeRequest(now time.Time, end attemptEnd) {
	if end.noTarget {
		s.load.EndOutsideLimit()
		return
	}
	s.load.End(end.chosenAt)
	switch {
	case end.rejected:
		s.load.Limiter.Failed(now)
	case end.answered && !end.stream:
		s.load.Limiter.Answered(now, end.latency)
	default:
		s.load.Limiter.Dropped()
	}
}

// hasFreeSlot reports whether one of the untried servers is known to have a free slot, and whether
// there is an untried server.
func (b *balancer) hasFreeSlot(now time.Time, servers []*directory.Server, tried map[directory.Incarnation]bool) (free, untried bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, server := range servers {
		id := server.Incarnation()
		if tried[id] {
			continue
		}
		untried = true
		state := b.states[id]
		if state != nil && !now.Before(state.backoffUntil) && state.load.HasFreeSlot(now) {
			return true, true
		}
	}
	return false, untried
}

// prune drops the state of servers that are no longer listed.
func (b *balancer) prune(listed *directory.Snapshot) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	gone := maps.Clone(b.states)
	listed.All(func(server *directory.Server) { delete(gone, server.Incarnation()) })
	for id, state := range gone {
		if state.load.InFlight() == 0 {
			delete(b.states, id)
		}
	}
}
