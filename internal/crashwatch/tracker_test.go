package crashwatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/quarantine"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// testNode is a tracker on a virtual clock, whose probes return probeResult.
type testNode struct {
	*Tracker
	list        *directory.Directory
	probeResult atomic.Int32
	probes      atomic.Int32
	// probeDuration is how long a probe takes.
	probeDuration atomic.Int64
	// suspension is how long the machine is suspended during a probe.
	suspension atomic.Int64
	// clockOffset is how far the machine's time of day is ahead of the true one.
	clockOffset atomic.Int64
}

func newTestNode(ctx context.Context, log store.Log) *testNode {
	node := &testNode{list: directory.NewDirectory()}
	node.probeResult.Store(int32(ProbeRefused))
	node.Tracker = NewTracker(Options{
		Node: "n", Log: log, Directory: node.list, RemovesExpired: func() bool { return true },
		TimeOfDay: func() time.Time { return clock.TimeOfDay().Add(time.Duration(node.clockOffset.Load())) },
		Probe: func(context.Context, string) ProbeResult {
			node.probes.Add(1)
			time.Sleep(time.Duration(node.probeDuration.Load()))
			clock.AddSuspension(time.Duration(node.suspension.Load()))
			return ProbeResult(node.probeResult.Load())
		},
	})
	go node.Run(ctx)
	return node
}

// put lists an incarnation of the server and returns its entry.
func (node *testNode) put(number int) directory.Server {
	server := directory.Server{ID: "i", Born: int64(number), Service: "s", Address: "a:1"}
	node.list.Apply([]directory.Change{{ID: server.ID, Server: &server}})
	node.ObserveServers()
	return server
}

// withNode runs a test with a node on a virtual clock.
func withNode(t *testing.T, test func(t *testing.T, node *testNode)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(t, newTestNode(ctx, nil))
		cancel()
		synctest.Wait()
	})
}

// withSharedStore runs a test with nodes that share a store, on a virtual clock.
func withSharedStore(t *testing.T, test func(t *testing.T, log *storetest.Memory, newNode func() *testNode)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := storetest.NewMemory()
		test(t, log, func() *testNode { return newTestNode(ctx, log) })
		cancel()
		synctest.Wait()
	})
}

const probeTime = 400 * time.Millisecond

func TestServerRefusingConnectionsHasEnded(t *testing.T) {
	withNode(t, func(t *testing.T, node *testNode) {
		for number := range 3 {
			server := node.put(number)
			node.RecordBreak(fingerprintNamed("d"), server, InFlightRequest{})
			if number == 2 && !node.Suspicion(fingerprintNamed("d")).ProbePending {
				t.Error("no probe is pending for the third end")
			}
			node.AwaitProbes(t.Context(), fingerprintNamed("d"))
			if got := node.Suspicion(fingerprintNamed("d")); got.Ends != number+1 || got.Held != (number == 2) {
				t.Errorf("after %d ends: %+v", number+1, got)
			}
		}
	})
}

func TestBrokenConnectionAloneIsNotAnEnd(t *testing.T) {
	cases := []struct {
		name string
		set  func(node *testNode)
	}{
		{"the server accepts connections", func(node *testNode) { node.probeResult.Store(int32(ProbeOpen)) }},
		{"the server is unreachable", func(node *testNode) { node.probeResult.Store(int32(ProbeUnknown)) }},
		{"the node was delayed meanwhile", func(node *testNode) { node.probeDuration.Store(int64(2 * time.Second)) }},
		{"the machine was suspended meanwhile", func(node *testNode) { node.suspension.Store(int64(2 * time.Second)) }},
		{"the server was draining", func(node *testNode) {
			draining := directory.Server{ID: "i", Service: "s", Address: "a:1", Draining: true}
			node.list.Apply([]directory.Change{{ID: "i", Server: &draining}})
		}},
		{"the server was no longer listed", func(node *testNode) { node.list.Apply([]directory.Change{{ID: "i"}}) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withNode(t, func(t *testing.T, node *testNode) {
				server := node.put(0)
				c.set(node)
				node.RecordBreak(fingerprintNamed("d"), server, InFlightRequest{})
				time.Sleep(5 * time.Second)
				if got := node.Suspicion(fingerprintNamed("d")); got != (quarantine.Suspicion{}) {
					t.Errorf("%+v", got)
				}
				time.Sleep(2 * replacementTimeout)
				if node.Active() {
					t.Error("tracker is still active")
				}
			})
		})
	}
}

// The end of an incarnation that is not listed yet counts as a separate end. A restarted server is
// listed again only when the list is read; breaks there were counted as the end already known or
// ignored, so that another node sent the request on once more.
func TestEndOfUnlistedIncarnationCounts(t *testing.T) {
	withNode(t, func(t *testing.T, node *testNode) {
		server := node.put(0)
		began := clock.Now()
		node.RecordBreak(fingerprintNamed("d"), server, InFlightRequest{SentAt: began})
		time.Sleep(probeTime)
		node.RecordBreak(fingerprintNamed("late"), server, InFlightRequest{SentAt: began})
		time.Sleep(3 * time.Second)
		node.RecordBreak(fingerprintNamed("d"), server, InFlightRequest{SentAt: clock.Now()})
		time.Sleep(probeTime)
		if got := node.Suspicion(fingerprintNamed("d")); got.Ends != 2 {
			t.Errorf("after the end of an unlisted incarnation: %+v", got)
		}
		if got := node.Suspicion(fingerprintNamed("late")); got.Ends != 1 {
			t.Errorf("request broken late by the first end: %+v", got)
		}
		cases := node.Cases()
		if len(cases) != 2 || cases[0].Ends[0].Server == cases[0].Ends[1].Server {
			t.Errorf("two incarnations have the same name: %+v", cases)
		}
		time.Sleep(3 * time.Second)
		node.probeResult.Store(int32(ProbeOpen))
		node.RecordBreak(fingerprintNamed("d"), server, InFlightRequest{SentAt: clock.Now()})
		time.Sleep(probeTime)
		if got := node.Suspicion(fingerprintNamed("d")); got.Ends != 2 {
			t.Errorf("after a broken connection to a running incarnation: %+v", got)
		}
	})
}

// A machine that does not respond after a crash refuses no probes; the list shows when the server
// is back. The next incarnation must also be recognized if another node found the end of the listed
// one. Otherwise its end was attributed to the incarnation that had already ended under another
// request and counted for neither, and a request that a node without the store had found was sent
// on once more (half of the runs of TestQuarantineIsSharedWithoutStore under the race detector).
func TestNextIncarnationAfterEndFoundByAnotherNode(t *testing.T) {
	cases := []struct {
		name string
		// delay is how long after the first end the next request began.
		delay time.Duration
		// onNext says that the request ran on the next incarnation. The times of day of two nodes may
		// differ: a request that began right after the end may have run on the incarnation that
		// ended.
		onNext bool
	}{
		{"right after the end", 0, false},
		{"after the server may have restarted", 3 * time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withSharedStore(t, func(t *testing.T, log *storetest.Memory, newNode func() *testNode) {
				finder, other := newNode(), newNode()
				server := finder.put(1)
				other.put(1)
				finder.RecordBreak(fingerprintNamed("first"), server, InFlightRequest{SentAt: clock.Now()})
				time.Sleep(probeTime)
				time.Sleep(c.delay)
				other.RecordBreak(fingerprintNamed("second"), server, InFlightRequest{SentAt: clock.Now()})
				time.Sleep(probeTime)
				for number, node := range []*testNode{finder, other} {
					ends := make(map[quarantine.Fingerprint]directory.Incarnation)
					for _, known := range node.Cases() {
						ends[known.Fingerprint] = known.Ends[0].Server
					}
					if len(ends) != 2 || ends[fingerprintNamed("first")] != server.Incarnation() {
						t.Errorf("node %d: ends %+v", number, ends)
					}
					if onNext := ends[fingerprintNamed("second")] != server.Incarnation(); onNext != c.onNext {
						t.Errorf("node %d: second end counts against the next incarnation: %v", number, onNext)
					}
				}
			})
		})
	}
}

func TestReplacedServerHasEnded(t *testing.T) {
	replacements := map[string]directory.Server{
		"a later incarnation":           {ID: "i", Born: 9, Service: "s", Address: "a:1"},
		"another server at its address": {ID: "j", Born: 9, Service: "s", Address: "a:1"},
	}
	for name, replacement := range replacements {
		t.Run(name, func(t *testing.T) {
			withNode(t, func(t *testing.T, node *testNode) {
				node.probeResult.Store(int32(ProbeUnknown))
				server := node.put(1)
				node.RecordBreak(fingerprintNamed("d"), server, InFlightRequest{})
				time.Sleep(3 * time.Second)
				node.list.Apply([]directory.Change{{ID: replacement.ID, Server: &replacement}})
				node.ObserveServers()
				if got := node.Suspicion(fingerprintNamed("d")); got.Ends != 1 {
					t.Errorf("%+v", got)
				}
			})
		})
	}
}

// A server may run a harmless request many times a second; a response to it arrives before the
// probes of the crashed server are done.
func TestAnsweredRequestIsNotSuspected(t *testing.T) {
	withNode(t, func(t *testing.T, node *testNode) {
		server := node.put(0)
		node.RecordBreak(fingerprintNamed("a"), server, InFlightRequest{})
		node.RecordBreak(fingerprintNamed("d"), server, InFlightRequest{})
		node.RecordResponse(fingerprintNamed("a"), directory.Incarnation{ID: "other"}, clock.Now())
		time.Sleep(probeTime)
		if got := node.Suspicion(fingerprintNamed("a")); got != (quarantine.Suspicion{}) {
			t.Errorf("answered request: %+v", got)
		}
		if got := node.Suspicion(fingerprintNamed("d")); got.Ends != 1 {
			t.Errorf("other request: %+v", got)
		}
	})
}

// A response to a request sent after a broken connection shows that the server has not ended.
func TestResponseShowsThatServerIsAlive(t *testing.T) {
	withNode(t, func(t *testing.T, node *testNode) {
		server := node.put(0)
		node.RecordBreak(fingerprintNamed("d"), server, InFlightRequest{})
		time.Sleep(time.Millisecond)
		node.RecordResponse(fingerprintNamed("b"), server.Incarnation(), clock.Now())
		time.Sleep(probeTime)
		if got := node.Suspicion(fingerprintNamed("d")); got != (quarantine.Suspicion{}) {
			t.Errorf("%+v", got)
		}
	})
}

// Findings are known to all nodes, including one that starts later, and a response or a release at
// one node clears the request at all of them.
func TestNodesShareFindings(t *testing.T) {
	withSharedStore(t, func(t *testing.T, log *storetest.Memory, newNode func() *testNode) {
		first, second := newNode(), newNode()
		for number := range 3 {
			seenBy := []*testNode{first, second, first}[number]
			server := seenBy.put(number)
			seenBy.RecordBreak(fingerprintNamed("d"), server, InFlightRequest{})
			seenBy.RecordBreak(fingerprintNamed("a"), server, InFlightRequest{})
			time.Sleep(probeTime)
		}
		second.RecordResponse(fingerprintNamed("a"), directory.Incarnation{ID: "other"}, clock.Now())
		time.Sleep(probeTime)
		third := newNode()
		time.Sleep(probeTime)
		for number, node := range []*testNode{first, second, third} {
			if got := node.Suspicion(fingerprintNamed("d")); !got.Held || got.Ends != 3 {
				t.Errorf("node %d: crashing request: %+v", number, got)
			}
			if got := node.Suspicion(fingerprintNamed("a")); got.Ends != 0 {
				t.Errorf("node %d: harmless request: %+v", number, got)
			}
		}
		if !third.Release(fingerprintNamed("d")) || third.Release(fingerprintNamed("d")) {
			t.Error("release did not succeed exactly once")
		}
		time.Sleep(probeTime)
		for number, node := range []*testNode{first, second, third} {
			if node.Suspicion(fingerprintNamed("d")).Held {
				t.Errorf("node %d holds the released request", number)
			}
		}
	})
}

// Guards against batch items that take part in verdicts on callers' requests: their runs only show that a
// server is alive, and leave no records.
func TestRunOfItemShowsOnlyThatServerIsAlive(t *testing.T) {
	withSharedStore(t, func(t *testing.T, log *storetest.Memory, newNode func() *testNode) {
		node := newNode()
		node.probeResult.Store(int32(ProbeOpen))
		server := node.put(1)
		node.RecordBreak(fingerprintNamed("d"), server, InFlightRequest{})
		time.Sleep(probeTime)
		node.RecordAlive(server.Incarnation(), clock.Now())
		node.put(2)
		time.Sleep(probeTime)
		if got := node.Suspicion(fingerprintNamed("d")); got.Ends != 0 {
			t.Errorf("a server that ended after the break was recovered from counts: %+v", got)
		}
		next := node.put(3)
		node.RecordBreak(fingerprintNamed("d"), next, InFlightRequest{})
		node.RecordAlive(next.Incarnation(), clock.Now().Add(-time.Second))
		node.put(4)
		time.Sleep(probeTime)
		if got := node.Suspicion(fingerprintNamed("d")); got.Ends != 1 {
			t.Errorf("a run that began before the break hides the end: %+v", got)
		}
		if appends := log.Appends(); appends != 1 {
			t.Errorf("%d writes, want that of the one end", appends)
		}
	})
}

// A node that starts holds the requests that others have confirmed, even if the ends alone no
// longer prove it.
func TestStartingNodeLoadsConfirmations(t *testing.T) {
	withSharedStore(t, func(t *testing.T, log *storetest.Memory, newNode func() *testNode) {
		first := newNode()
		for number := range 4 {
			server := first.put(number)
			first.RecordBreak(fingerprintNamed("d"), server, InFlightRequest{})
			if number < 3 {
				first.RecordBreak(fingerprintNamed("e"), server, InFlightRequest{})
			}
			time.Sleep(probeTime)
		}
		time.Sleep(3 * time.Second)
		first.RecordBreak(fingerprintNamed("e"), first.put(4), InFlightRequest{})
		time.Sleep(probeTime)
		second := newNode()
		time.Sleep(probeTime)
		for number, node := range []*testNode{first, second} {
			if !node.Suspicion(fingerprintNamed("d")).Proven {
				t.Errorf("node %d does not hold the proven request", number)
			}
		}
		second.Release(fingerprintNamed("d"))
		time.Sleep(probeTime)
		if kept, _, _ := log.Newest(t.Context(), store.TopicQuarantine); len(kept) != 4 {
			t.Errorf("%d records after the release, want the four ends of the other request", len(kept))
		}
	})
}

// Findings that could not be written during a store outage are written afterwards.
func TestFindingsSurviveStoreOutage(t *testing.T) {
	withSharedStore(t, func(t *testing.T, log *storetest.Memory, newNode func() *testNode) {
		first, second := newNode(), newNode()
		time.Sleep(probeTime)
		log.SetFault(storetest.FaultRefuse)
		for number := range 3 {
			server := first.put(number)
			first.RecordBreak(fingerprintNamed("d"), server, InFlightRequest{})
			time.Sleep(probeTime)
		}
		if !first.Suspicion(fingerprintNamed("d")).Held || second.Suspicion(fingerprintNamed("d")).Held {
			t.Error("during the outage, the request is not held by exactly the node that found it")
		}
		log.SetFault(storetest.FaultNone)
		time.Sleep(3 * time.Second)
		if !second.Suspicion(fingerprintNamed("d")).Held {
			t.Error("the other node does not hold the request after the outage")
		}
	})
}

func fingerprintNamed(name string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.Identity{Target: name})
}

// Ends evicted from memory must be removed from the store, where every starting node would read
// them; only expired ends used to be.
func TestEvictedEndsAreRemovedFromStore(t *testing.T) {
	withSharedStore(t, func(t *testing.T, log *storetest.Memory, newNode func() *testNode) {
		node := newNode()
		for number := range 36 {
			server := node.put(number)
			for request := range maxRequestsPerEnd {
				node.RecordBreak(fingerprintNamed(fmt.Sprint(number, " ", request)), server, InFlightRequest{})
			}
			time.Sleep(probeTime)
		}
		time.Sleep(10 * time.Second)
		kept, _, err := log.Newest(t.Context(), store.TopicQuarantine)
		if err != nil || len(kept) != node.ledger.Len() {
			t.Errorf("%d records in the store, %d ends in memory, %v", len(kept), node.ledger.Len(), err)
		}
	})
}
