package serverlist

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// runSmallFleet starts three nodes, the first of which is the coordinator, with 30 servers, and requires
// all nodes to know the servers within two seconds.
func runSmallFleet(t *testing.T, pageRecords int, prepare func(t *testing.T, log store.Log)) {
	synctest.Test(t, func(t *testing.T) {
		limits := fleetLimits
		limits.MaxPageRecords = pageRecords
		ctx, cancel := context.WithCancel(context.Background())
		f := &simulatedFleet{t: t, size: fleetSize{nodes: 3, servers: 30}, shared: storetest.NewShared(limits), ctx: ctx, states: make([]string, 30)}
		f.leader.Store(0)
		for number := range f.states {
			f.states[number] = "ready"
			f.writeEntry(number)
		}
		prepare(t, f.shared.Node(0))
		f.running.Go(f.writeHeartbeats)
		for number := range f.size.nodes {
			f.start(number)
		}
		f.awaitAll("a start", 2*time.Second)
		f.setState(0, "draining")
		f.awaitAll("a server leaves", leaveBound)
		if mode := f.nodes[1].list.Mode(); mode != ModeHeartbeats {
			t.Errorf("the list of a small fleet is in mode %d", mode)
		}
		cancel()
		f.running.Wait()
	})
}

// Guards against nodes taking a fleet of six servers for a large one: this happened in the soak test, whose
// store has pages of one record.
func TestSmallPagesDoNotMakeFleetLarge(t *testing.T) {
	for _, pageRecords := range []int{1, 7, 30} {
		runSmallFleet(t, pageRecords, func(*testing.T, store.Log) {})
	}
}

// Guards against nodes that start in a small fleet never becoming ready if the fleet had a relay before:
// they waited for that relay, which nobody reads in a small fleet. This happened in the soak test.
func TestSmallFleetIgnoresEarlierRelay(t *testing.T) {
	runSmallFleet(t, 0, func(t *testing.T, log store.Log) {
		author := newRelay("before", time.Second, 0)
		list := newRelayLog(t, testServer("gone", false))
		payloads, err := encodeRecords(author.nextRecords(time.Now(), list.state(0)))
		if err != nil {
			t.Fatal(err)
		}
		for _, record := range author.nextRecords(time.Now(), list.state(0)) {
			author.handleRecord(time.Now(), 0, record, false)
		}
		if _, err := log.Append(context.Background(), changesPartition, payloads); err != nil {
			t.Fatal(err)
		}
		snapshot, err := encodeRecords(author.snapshotRecords(time.Now()))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(context.Background(), snapshotPartition, snapshot); err != nil {
			t.Fatal(err)
		}
	})
}
