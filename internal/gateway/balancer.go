package gateway

import (
	"cmp"
	"maps"
	"sync"
	"time"

	"dalehook/internal/directory"
	"dalehook/internal/slowstart"
)

// Timing of the choice of servers.
const (
	// brokenPause is how long a server is avoided after an attempt broke.
	brokenPause = 700 * time.Millisecond
	// fullPause is how long a server is avoided after it refused an attempt.
	fullPause = 30 * time.Millisecond
	// latencySmoothing is the weight of the newest time of an answer.
	latencySmoothing = 0.15
	// initialLatency stands for the time of a server that has not answered yet.
	initialLatency = 25 * time.Millisecond
	// otherZoneFactor makes servers of other zones dearer.
	otherZoneFactor = 1.3
	// pausedFactor makes avoided servers the last choice.
	pausedFactor = 1000
	// warmingFactor makes servers that have just started the choice where no warm one is free: they
	// bear a rate that all nodes share without knowing of each other.
	warmingFactor = 100
)

// serverState is what this node has seen of a server.
type serverState struct {
	inFlight    int
	latency     time.Duration
	reported    Load
	pausedUntil time.Time
	// sends are those of this node within the last second.
	sends slowstart.Window
}

// candidates are the servers that a request may go to.
type candidates struct {
	service string
	// servers are in the order of their ids, or of preference.
	servers []*directory.Server
	// tried are left out.
	tried map[directory.Incarnation]bool
	// warmUpRate is what each bears a second while it warms up; 0 for any rate.
	warmUpRate float64
}

// balancer chooses servers by load and by what was seen of them. It may be used
// by several goroutines.
type balancer struct {
	zone    string
	mutex   sync.Mutex
	subsets subsets
	seen    map[directory.Incarnation]*serverState
}

// newBalancer returns the balancer of a node in a zone.
func newBalancer(node, zone string) *balancer {
	return &balancer{zone: zone, subsets: subsets{node: node, zone: zone}, seen: make(map[directory.Incarnation]*serverState)}
}

// choose returns the best server that was not tried, and counts an attempt at it.
func (b *balancer) choose(now time.Time, from candidates) *directory.Server {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	first, all := b.subsets.of(from.service, from.servers)
	best := b.cheapest(now, from, first)
	if best == nil || now.Before(b.state(best.Incarnation()).pausedUntil) || now.Before(best.WarmAt) {
		best = b.cheapest(now, from, all)
	}
	b.noteSend(now, best)
	return best
}

// cheapest returns the best of some of the candidates that was not tried; the first of equals.
func (b *balancer) cheapest(now time.Time, from candidates, servers []*directory.Server) *directory.Server {
	var best *directory.Server
	bestCost := 0.0
	for _, server := range servers {
		if from.tried[server.Incarnation()] || b.isSaturated(now, server, from.warmUpRate) {
			continue
		}
		cost := b.cost(now, server)
		if best == nil || cost < bestCost {
			best, bestCost = server, cost
		}
	}
	return best
}

// noteSend counts an attempt at a server; nil for none.
func (b *balancer) noteSend(now time.Time, server *directory.Server) {
	if server == nil {
		return
	}
	state := b.state(server.Incarnation())
	state.inFlight++
	state.sends.Record(now)
}

// isSaturated says whether this node has sent a server as much within the last second as it may be
// sent while it warms up.
func (b *balancer) isSaturated(now time.Time, server *directory.Server, warmUpRate float64) bool {
	state := b.seen[server.Incarnation()]
	return state != nil && state.sends.Full(now, slowstart.Limit(warmUpRate, server.Slots, now.Before(server.WarmAt)))
}

// chooseFirst returns the first server that was not tried and is not avoided, else the first that
// was not tried, and counts an attempt at it.
func (b *balancer) chooseFirst(now time.Time, from candidates) *directory.Server {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var chosen *directory.Server
	for _, server := range from.servers {
		if from.tried[server.Incarnation()] || b.isSaturated(now, server, from.warmUpRate) {
			continue
		}
		avoided := now.Before(b.state(server.Incarnation()).pausedUntil)
		if chosen == nil || !avoided {
			chosen = server
		}
		if !avoided {
			break
		}
	}
	b.noteSend(now, chosen)
	return chosen
}

func (b *balancer) cost(now time.Time, server *directory.Server) float64 {
	state := b.seen[server.Incarnation()]
	if state == nil {
		state = &serverState{}
	}
	slots := float64(max(server.Slots, 1))
	load := float64(max(state.inFlight, state.reported.Running+state.reported.Waiting) + 1)
	cost := (1 + load/slots) * cmp.Or(state.latency, initialLatency).Seconds()
	if server.Zone != b.zone {
		cost *= otherZoneFactor
	}
	if now.Before(state.pausedUntil) {
		cost *= pausedFactor
	}
	if now.Before(server.WarmAt) {
		cost *= warmingFactor
	}
	return cost
}

func (b *balancer) state(id directory.Incarnation) *serverState {
	state := b.seen[id]
	if state == nil {
		state = &serverState{}
		b.seen[id] = state
	}
	return state
}

// ended counts the end of an attempt; took is 0 when there was no whole answer.
func (b *balancer) ended(now time.Time, id directory.Incarnation, took time.Duration, load *Load, pause time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	state := b.state(id)
	state.inFlight--
	if load != nil {
		state.reported = *load
	}
	if took > 0 {
		previous := cmp.Or(state.latency, took)
		state.latency = previous + time.Duration(latencySmoothing*float64(took-previous))
	}
	if pause > 0 {
		state.pausedUntil = now.Add(pause)
	}
}

// forget drops what was seen of servers that are gone.
func (b *balancer) forget(listed *directory.Snapshot) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	gone := maps.Clone(b.seen)
	listed.All(func(server *directory.Server) { delete(gone, server.Incarnation()) })
	for id, state := range gone {
		if state.inFlight == 0 {
			delete(b.seen, id)
		}
	}
}
