package gateway

import (
	"cmp"
	"maps"
	"sync"
	"time"

	"dalehook/internal/directory"
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
	// latencySmoothing is the weight of the newest sample in the moving average of latencies. A larger
	// one notices slow servers sooner, but avoids a server after a single slow response.
	latencySmoothing = 0.15
	// initialLatency is assumed for a server that has no latency sample yet.
	initialLatency = 25 * time.Millisecond
	// crossZoneFactor raises the cost of servers in other zones: these are used once the servers of this
	// zone cost 1.3 times as much.
	crossZoneFactor = 1.3
	// backoffFactor makes servers in backoff the last choice.
	backoffFactor = 1000
	// warmingFactor keeps requests off warming servers while a warm one is available: all nodes
	// share the rate that a warming server sustains, without coordination.
	warmingFactor = 100
)

// serverState holds this node's observations of a server.
type serverState struct {
	inFlight     int
	latency      time.Duration
	reportedLoad Load
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
}

// balancer selects servers by load and observed latency. It is safe for concurrent use.
type balancer struct {
	zone    string
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
// backoff.
func (b *balancer) choose(now time.Time, from candidates) *directory.Server {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	preferred, all := b.subsets.preferred(from.service, from.servers)
	best := b.cheapest(now, from, preferred)
	if best == nil || now.Before(b.state(best.Incarnation()).backoffUntil) || now.Before(best.WarmAt) {
		best = b.cheapest(now, from, all)
	}
	b.recordSend(now, best)
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
func (b *balancer) recordSend(now time.Time, server *directory.Server) {
	if server == nil {
		return
	}
	state := b.state(server.Incarnation())
	state.inFlight++
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
		avoided := now.Before(b.state(server.Incarnation()).backoffUntil)
		if chosen == nil || !avoided {
			chosen = server
		}
		if !avoided {
			break
		}
	}
	b.recordSend(now, chosen)
	return chosen
}

func (b *balancer) cost(now time.Time, server *directory.Server) float64 {
	state := b.states[server.Incarnation()]
	if state == nil {
		state = &serverState{}
	}
	slots := float64(max(server.Slots, 1))
	load := float64(max(state.inFlight, state.reportedLoad.Running+state.reportedLoad.Waiting) + 1)
	cost := (1 + load/slots) * cmp.Or(state.latency, initialLatency).Seconds()
	if server.Zone != b.zone {
		cost *= crossZoneFactor
	}
	if now.Before(state.backoffUntil) {
		cost *= backoffFactor
	}
	if now.Before(server.WarmAt) {
		cost *= warmingFactor
	}
	return cost
}

func (b *balancer) state(id directory.Incarnation) *serverState {
	state := b.states[id]
	if state == nil {
		state = &serverState{}
		b.states[id] = state
	}
	return state
}

// recordResult records the end of an attempt; latency is 0 if there was no complete response.
func (b *balancer) recordResult(now time.Time, id directory.Incarnation, latency time.Duration, load *Load, backoff time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	state := b.state(id)
	state.inFlight--
	if load != nil {
		state.reportedLoad = *load
	}
	if latency > 0 {
		previous := cmp.Or(state.latency, latency)
		state.latency = previous + time.Duration(latencySmoothing*float64(latency-previous))
	}
	if backoff > 0 {
		state.backoffUntil = now.Add(backoff)
	}
}

// prune drops the state of servers that are no longer listed.
func (b *balancer) prune(listed *directory.Snapshot) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	gone := maps.Clone(b.states)
	listed.All(func(server *directory.Server) { delete(gone, server.Incarnation()) })
	for id, state := range gone {
		if state.inFlight == 0 {
			delete(b.states, id)
		}
	}
}
