package gateway

import (
	"fmt"
	"testing"
	"time"

	"dalehook/internal/directory"
)

// The size of a large fleet: a thousand nodes in six zones, each of which sends a request about
// once a minute, and hundreds of servers.
const (
	fleetNodes   = 985
	fleetServers = 468
	fleetZones   = 6
)

func zoneOf(number int) string { return fmt.Sprint("z", number%fleetZones) }

func fleetServersExcept(excluded func(number int) bool) []*directory.Server {
	var list []*directory.Server
	for number := range fleetServers {
		if !excluded(number) {
			list = append(list, &directory.Server{ID: fmt.Sprintf("i-%04d", number), Address: fmt.Sprintf("10.0.0.%d:80", number), Service: "s", Zone: zoneOf(number), Slots: 6})
		}
	}
	return list
}

// The busiest of 468 servers got 84 to 214 times the mean, since every node that had no
// observations chose the first server by id. With random choice the busiest of 468 gets about 4 to
// 5 times a mean of 4; the ratio falls with more requests.
func TestNodesSpreadLoadOverLargeService(t *testing.T) {
	none := func(int) bool { return false }
	now := time.Unix(1000, 0)
	list := fleetServersExcept(none)
	sent := make(map[string]int)
	const rounds = 2
	for node := range fleetNodes {
		b := newBalancer(fmt.Sprint("node-", node), zoneOf(node))
		for range rounds {
			server := b.choose(now, candidates{service: "s", servers: list})
			if server.Zone != zoneOf(node) {
				t.Fatalf("a node of zone %s sent to zone %s", zoneOf(node), server.Zone)
			}
			sent[server.ID]++
			b.recordResult(now, server, attemptEnd{chosenAt: now, answered: true, latency: 25 * time.Millisecond})
		}
	}
	mean := float64(rounds*fleetNodes) / fleetServers
	for id, count := range sent {
		if float64(count) > 5*mean {
			t.Errorf("server %s got %d requests, mean %.1f", id, count, mean)
		}
	}
}

// A node that sends repeatedly uses few servers, so that it reuses connections. Replacing 4% of the
// servers changes few of them, and losing the node's zone moves it to others at once.
func TestNodeUsesSmallStableSubset(t *testing.T) {
	used := func(b *balancer, list []*directory.Server) map[string]bool {
		ids := make(map[string]bool)
		now := time.Unix(1000, 0)
		for range 200 {
			now = now.Add(100 * time.Millisecond)
			server := b.choose(now, candidates{service: "s", servers: list})
			ids[server.ID] = true
			b.recordResult(now.Add(40*time.Millisecond), server, attemptEnd{chosenAt: now, answered: true, latency: 40 * time.Millisecond})
		}
		return ids
	}
	changed := 0
	for node := range 100 {
		b := newBalancer(fmt.Sprint("node-", node), zoneOf(node))
		before := used(b, fleetServersExcept(func(int) bool { return false }))
		if len(before) > subsetSize {
			t.Fatalf("node sends to %d servers", len(before))
		}
		after := used(b, fleetServersExcept(func(number int) bool { return number%25 == 0 }))
		for id := range after {
			if !before[id] {
				changed++
			}
		}
		lost := used(b, fleetServersExcept(func(number int) bool { return zoneOf(number) == zoneOf(node) }))
		if len(lost) > subsetSize {
			t.Errorf("node sends to %d servers after the loss of its zone", len(lost))
		}
	}
	if most := 100 * subsetSize / 10; changed > most {
		t.Errorf("%d of %d subset entries of 100 nodes changed after 4%% of the servers were removed", changed, 100*subsetSize)
	}
}

// Guards against a search of all servers of a service for each request while all servers of the subset
// are at their limits, and against a server at its limit that is chosen while another one of the subset
// is below its own.
func TestSubsetAtItsLimitsIsStillUsed(t *testing.T) {
	list := fleetServersExcept(func(int) bool { return false })
	now := time.Unix(1000, 0)
	b := newBalancer("n", "z0")
	preferred, _ := b.subsets.preferred("s", list)
	most := 0
	for _, server := range preferred {
		most += server.Slots
	}
	for range 2 * most {
		b.choose(now, candidates{service: "s", servers: list})
	}
	if len(b.states) != subsetSize {
		t.Errorf("%d servers were chosen", len(b.states))
	}
	for _, server := range preferred {
		if got := b.state(server).load.InFlight(); got != 2*server.Slots {
			t.Errorf("%d requests at %s", got, server.ID)
		}
	}
	below := preferred[subsetSize-1]
	for range below.Slots + 1 {
		b.recordResult(now, below, attemptEnd{chosenAt: now, answered: true, latency: 4 * initialLatency})
	}
	if got := b.choose(now, candidates{service: "s", servers: list}); got != below {
		t.Errorf("chose %s, not the server below its limit", got.ID)
	}
}

// If all servers of the subset are in backoff, another one is chosen.
func TestNodeFallsBackBeyondSubset(t *testing.T) {
	list := fleetServersExcept(func(int) bool { return false })
	now := time.Unix(1000, 0)
	b := newBalancer("n", "z0")
	failed := make(map[string]bool)
	for range subsetSize {
		server := b.choose(now, candidates{service: "s", servers: list})
		failed[server.ID] = true
		b.recordResult(now, server, attemptEnd{chosenAt: now, backoff: failureBackoff})
	}
	if next := b.choose(now, candidates{service: "s", servers: list}); failed[next.ID] || len(failed) != subsetSize {
		t.Errorf("chose server %s; %d servers are in backoff", next.ID, len(failed))
	}
}
