package follower

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"dalehook/internal/membership"
)

// start runs a cluster before a log until every node is ready.
func start(t *testing.T, nodes, records int) *network {
	t.Helper()
	n := newNetwork(t)
	n.append(records, "")
	for range nodes {
		n.add()
	}
	n.runUntil(10*time.Second, "all ready and caught up", func() bool {
		return n.all(func(node *testNode) bool { return node.Ready() && n.caughtUp(node) })
	})
	return n
}

func TestNewEntriesReachEveryNodeAndFewRead(t *testing.T) {
	n := start(t, 20, 3)
	n.run(5 * time.Second)
	for _, node := range n.nodes {
		node.reads = 0
	}
	n.append(1, "")
	took := n.runUntil(2*time.Second, "entry everywhere", func() bool { return n.all(n.caughtUp) })
	n.run(5 * time.Second)
	readers := 0
	for _, node := range n.nodes {
		if node.reads > 0 {
			readers++
		}
	}
	if readers != 2*readersPerZone {
		t.Errorf("%d nodes read the log, want %d", readers, 2*readersPerZone)
	}
	t.Logf("everywhere after %s", took)
	n.checkForward()
}

func TestLargeEntryTravelsByOffer(t *testing.T) {
	n := start(t, 12, 1)
	n.append(1, strings.Repeat("x", 4*eagerBytes))
	n.runUntil(2*time.Second, "large entry everywhere", func() bool { return n.all(n.caughtUp) })
	n.checkForward()
}

func TestLostPushesAreHealedByOffers(t *testing.T) {
	n := start(t, 20, 1)
	n.loss = 0.5
	n.append(40, "")
	n.runUntil(20*time.Second, "entries everywhere in spite of loss", func() bool { return n.all(n.caughtUp) })
	n.checkForward()
}

func TestReaderThatCannotReadIsStoodInFor(t *testing.T) {
	n := start(t, 12, 1)
	for _, node := range n.nodes[:4] {
		node.readsFail = true
	}
	n.run(3 * time.Second)
	n.append(1, "")
	n.runUntil(time.Second, "entry everywhere by the next readers", func() bool { return n.all(n.caughtUp) })
	for _, node := range n.nodes[:4] {
		node.readsFail = false
	}
	n.run(6 * time.Second)
	for _, node := range n.nodes {
		if elected := node.self.ID < "n04"; node.reader.elected != elected {
			t.Errorf("%s elected: %v, want %v", node.self.ID, node.reader.elected, elected)
		}
	}
}

func TestStoreDownIsKnownEverywhereAndEnds(t *testing.T) {
	n := start(t, 20, 1)
	n.logDown = true
	n.runUntil(5*time.Second, "outage known", func() bool {
		return n.all(func(node *testNode) bool { return node.StoreDown() })
	})
	n.run(30 * time.Minute)
	if !n.all(func(node *testNode) bool { return node.StoreDown() && node.Ready() }) {
		t.Error("outage forgotten while it lasts")
	}
	n.logDown = false
	n.append(1, "")
	n.runUntil(4*time.Second, "end of the outage known", func() bool {
		return n.all(func(node *testNode) bool { return !node.StoreDown() && n.caughtUp(node) })
	})
}

// TestLeavingNodesOfAZoneKnowTheOutage lets all nodes of a zone leave while the
// log is down: nobody else of the zone reports on it.
func TestLeavingNodesOfAZoneKnowTheOutage(t *testing.T) {
	for _, size := range []int{1, 2, 4} {
		n := start(t, size, 1)
		for i := range n.members {
			if n.members[i].Zone == "a" {
				n.members[i].State = membership.StateLeaving
			}
		}
		n.logDown = true
		n.run(10 * time.Second)
		if !n.all(func(node *testNode) bool { return node.StoreDown() }) {
			t.Errorf("%d nodes: not all know that the log is down", size)
		}
		n.logDown = false
		n.append(1, "")
		n.runUntil(4*time.Second, "end of the outage known", func() bool {
			return n.all(func(node *testNode) bool { return !node.StoreDown() && n.caughtUp(node) })
		})
	}
}

func TestNodeStartsFromPeersWhileTheLogIsDown(t *testing.T) {
	n := start(t, 6, 400)
	n.logDown = true
	n.run(5 * time.Second)
	late := n.add()
	n.runUntil(3*time.Second, "late node ready", func() bool { return late.Ready() })
	if !n.caughtUp(late) || late.restores != 1 {
		t.Errorf("late node at offset %d after %d restores, want %d after 1", late.Control().Offset(), late.restores, len(n.log))
	}
	if n.largest > maxPushBytes {
		t.Errorf("largest message has %d bytes, the limit is %d", n.largest, maxPushBytes)
	}
}

func TestNodeWithoutPeersAndLogIsNotReady(t *testing.T) {
	n := newNetwork(t)
	n.append(5, "")
	n.logDown = true
	alone := n.add()
	n.run(30 * time.Second)
	if alone.Ready() || !alone.StoreDown() {
		t.Errorf("ready %v, store down %v, want not ready and down", alone.Ready(), alone.StoreDown())
	}
	n.logDown = false
	n.runUntil(3*time.Second, "ready from the log", func() bool { return alone.Ready() && n.caughtUp(alone) })
}

func TestNodeWithSilentPeersGoesOnTrying(t *testing.T) {
	n := start(t, 4, 5)
	n.logDown = true
	n.loss = 1
	late := n.add()
	n.run(30 * time.Second)
	if late.Ready() {
		t.Fatal("ready though no peer answered and the log is down")
	}
	n.loss = 0
	n.runUntil(3*time.Second, "late node ready", func() bool { return late.Ready() && n.caughtUp(late) })
}

func TestOwnAppendIsReadAtOnce(t *testing.T) {
	n := start(t, 12, 1)
	for _, node := range n.nodes[:8] {
		node.readsFail = true
	}
	n.run(3 * time.Second)
	n.append(1, "")
	writer := n.nodes[11]
	writer.Nudge(n.now, uint64(len(n.log)))
	n.collect(writer)
	n.runUntil(200*time.Millisecond, "writer caught up", func() bool { return n.caughtUp(writer) })
	n.runUntil(200*time.Millisecond, "others caught up", func() bool { return n.all(n.caughtUp) })
}

func TestOlderSnapshotIsIgnored(t *testing.T) {
	n := start(t, 2, 10)
	node := n.nodes[0]
	node.pulling.from = n.nodes[1].self.ID
	older := start(t, 1, 4).nodes[0]
	older.encodeSnapshot()
	node.restore(older.serving.data)
	if node.Control().Offset() != 10 || node.restores != 0 {
		t.Errorf("offset %d after %d restores, want 10 after 0", node.Control().Offset(), node.restores)
	}
}

func TestEveryNodeKnowsHowFreshItIs(t *testing.T) {
	n := start(t, 20, 3)
	n.run(10 * time.Second)
	paused := n.now
	for _, node := range n.nodes {
		if age := n.now.Sub(node.CaughtUpAt()); age < 0 || age > 10*time.Second {
			t.Errorf("%s was caught up %s ago", node.self.ID, age)
		}
	}
	n.runUntil(15*time.Second, "all caught up after a given time", func() bool {
		return n.all(func(node *testNode) bool { return node.CaughtUpAt().After(paused) })
	})
}

func TestOldOfferDoesNotProveFreshness(t *testing.T) {
	n := start(t, 4, 3)
	n.run(5 * time.Second)
	node := n.nodes[3]
	before := node.CaughtUpAt()
	node.now = node.now.Add(time.Minute)
	node.handleOffer(n.nodes[0].self.ID, offer{Offset: 3, Ready: true, FreshMillis: 1})
	if node.CaughtUpAt() != before {
		t.Errorf("an unasked offer moved the freshness from %s to %s", before, node.CaughtUpAt())
	}
}

func TestTraceOfAStartWhileTheLogIsDown(t *testing.T) {
	n := start(t, 3, 400)
	n.logDown = true
	n.run(5 * time.Second)
	n.trace = &bytes.Buffer{}
	n.add()
	n.run(time.Second)
	goldie.New(t).Assert(t, "start", n.trace.Bytes())
}
