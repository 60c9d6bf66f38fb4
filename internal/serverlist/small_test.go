package serverlist

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// playSmall starts three nodes of a fleet of 30 servers, the first of which coordinates, and wants all to know
// them within two seconds.
func playSmall(t *testing.T, pageRecords int, prepare func(t *testing.T, log store.Log)) {
	synctest.Test(t, func(t *testing.T) {
		limits := fleetLimits
		limits.PageRecords = pageRecords
		ctx, cancel := context.WithCancel(context.Background())
		f := &virtualFleet{t: t, size: fleetSize{nodes: 3, servers: 30}, shared: storetest.NewShared(limits), ctx: ctx, states: make([]string, 30)}
		f.leader.Store(0)
		for number := range f.states {
			f.states[number] = "ready"
			f.put(number)
		}
		prepare(t, f.shared.Node(0))
		f.running.Go(f.beat)
		for number := range f.size.nodes {
			f.start(number)
		}
		f.within("a start", 2*time.Second)
		f.set(0, "draining")
		f.within("a server leaves", leaveWithin)
		if way := f.nodes[1].list.Way(); way != WayHeartbeats {
			t.Errorf("the list of a small fleet comes by way %d", way)
		}
		cancel()
		f.running.Wait()
	})
}

// Seen: in the soak, whose store has pages of one record. Nodes took a fleet of six servers for a large one.
func TestSmallPagesDoNotMakeAFleetLarge(t *testing.T) {
	for _, pageRecords := range []int{1, 7, 30} {
		playSmall(t, pageRecords, func(*testing.T, store.Log) {})
	}
}

// Seen: in the soak, after that: nodes that started in a small fleet, whose relay had spoken before, were never
// ready. They waited for a relay that nobody reads in a small fleet.
func TestASmallFleetGoesByARelayOfBefore(t *testing.T) {
	playSmall(t, 0, func(t *testing.T, log store.Log) {
		author := newRelay("before", time.Second, 0)
		list := newWire(t, entry("gone", false))
		payloads, err := encodeRelays(author.tell(time.Now(), list.source(0)))
		if err != nil {
			t.Fatal(err)
		}
		for _, record := range author.tell(time.Now(), list.source(0)) {
			author.handle(time.Now(), 0, record, false)
		}
		if _, err := log.Append(context.Background(), changesPartition, payloads); err != nil {
			t.Fatal(err)
		}
		snapshot, err := encodeRelays(author.snapshot(time.Now()))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(context.Background(), snapshotPartition, snapshot); err != nil {
			t.Fatal(err)
		}
	})
}
