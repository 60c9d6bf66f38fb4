package gateway

import (
	"fmt"
	"testing"
	"time"

	"dalehook/internal/directory"
)

// Warming servers get requests only if no warm one is left, and no more per second than their rate.
func TestWarmingServersAreChosenLast(t *testing.T) {
	const rate = 5.0
	now := time.Unix(1000, 0)
	warming := &directory.Server{ID: "a", Service: "s", Zone: "z", Slots: 4, WarmAt: now.Add(3 * time.Second)}
	warm := &directory.Server{ID: "b", Service: "s", Zone: "elsewhere", Slots: 4}
	b := newBalancer("n", "z")
	for range 9 {
		if got := b.choose(now, candidates{servers: []*directory.Server{warming, warm}, warmUpRate: rate}); got != warm {
			t.Fatalf("chose %v although a warm server is available", got)
		}
	}
	sent := 0
	for i := range 100 {
		at := now.Add(time.Duration(i) * 9 * time.Millisecond)
		if b.choose(at, candidates{servers: []*directory.Server{warming}, warmUpRate: rate}) != nil {
			sent++
		}
	}
	if sent != int(rate) {
		t.Errorf("%d requests within 0.9 s at a rate of %v per second", sent, rate)
	}
	if b.chooseInOrder(now, candidates{servers: []*directory.Server{warming}, warmUpRate: rate}) != nil {
		t.Error("a suspected request exceeded the rate")
	}
}

// After a release all servers of a service warm up at once: they take their combined rate.
func TestWarmingServiceTakesCombinedRateOfServers(t *testing.T) {
	const rate = 5.0
	now := time.Unix(1000, 0)
	var servers []*directory.Server
	for i := range 4 {
		servers = append(servers, &directory.Server{ID: fmt.Sprint(i), Service: "s", Zone: "z", Slots: 4, WarmAt: now.Add(3 * time.Second)})
	}
	b := newBalancer("n", "z")
	sent := 0
	for i := range 200 {
		if b.choose(now.Add(time.Duration(i)*4*time.Millisecond), candidates{servers: servers, warmUpRate: rate}) != nil {
			sent++
		}
	}
	if sent != 4*int(rate) {
		t.Errorf("%d requests within 0.8 s at a rate of %v per second", sent, 4*rate)
	}
}
