package idempotency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// describe writes a message in a line.
func describe(message any) string {
	switch m := message.(type) {
	case Prepare:
		return fmt.Sprintf("Prepare view %d %s by %s/%d", m.View, m.Key, m.Attempt.Node, m.Attempt.Sequence)
	case PrepareReply:
		return fmt.Sprintf("PrepareReply view %d %s verdict %d markers %d", m.ReplicaView, m.Key, m.Verdict, len(m.Markers))
	case Release:
		return fmt.Sprintf("Release %s by %s/%d", m.Key, m.Attempt.Node, m.Attempt.Sequence)
	case Record:
		return fmt.Sprintf("Record view %d %s state %d", m.View, m.Key, m.Marker.State)
	case Ask:
		return fmt.Sprintf("Ask %s of %s/%d", m.Key, m.Attempt.Node, m.Attempt.Sequence)
	case AskReply:
		return fmt.Sprintf("AskReply %s progress %d", m.Key, m.Progress)
	case TransferRequest:
		return fmt.Sprintf("TransferRequest %d to %d, %d slots", m.Source, m.Target, len(m.Slots))
	case TransferReply:
		return fmt.Sprintf("TransferReply %d to %d, %d slots", m.Source, m.Target, len(m.Pieces))
	default:
		return fmt.Sprintf("%T", message)
	}
}

// holders returns the nodes of a key's group in the newest view.
func (c *testCluster) holders(key string) []*testNode {
	var nodes []*testNode
	for _, member := range groupOf(c.views[len(c.views)-1], slotOf(key)) {
		nodes = append(nodes, c.find(member.ID))
	}
	return nodes
}

// other returns a node that is not a holder of the key.
func (c *testCluster) other(key string) *testNode {
	holders := c.holders(key)
	index := slices.IndexFunc(c.nodes, func(n *testNode) bool { return !n.dead && !slices.Contains(holders, n) })
	return c.nodes[index]
}

// result calls a key and waits for what comes of it.
func (c *testCluster) result(node *testNode, key string, within time.Duration) string {
	call := c.call(node, key, within)
	c.advance(within)
	return c.results[call]
}

func (c *testCluster) check(t *testing.T) {
	t.Helper()
	if len(c.violations) > 0 || t.Failed() {
		t.Fatalf("violations %v\n%s", c.violations, c.trace.String())
	}
}

func expect(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

const outcomeIsUnknown = string(machine.CodeOutcomeUnknown) + " false"

// runKeys runs keys one after another at changing nodes.
func (c *testCluster) runKeys(t *testing.T, name string, count int) {
	t.Helper()
	for i := range count {
		key := fmt.Sprintf("%s-%d", name, i)
		expect(t, key, c.result(c.nodes[i%len(c.nodes)], key, 400*time.Millisecond), key+" run 1")
	}
}

func TestRollingReplacementKeepsKeys(t *testing.T) {
	for _, planned := range []bool{true, false} {
		t.Run(fmt.Sprintf("planned %t", planned), func(t *testing.T) {
			c := newTestCluster(1, 6, ablation{})
			c.runKeys(t, "before", 30)
			for i := range c.nodes {
				old := c.nodes[i]
				if planned {
					old.machine.Leave()
					c.publish(500*time.Millisecond, old.self.ID)
					for range 100 {
						c.advance(50 * time.Millisecond)
						if !old.machine.Busy() {
							break
						}
					}
					if old.machine.Busy() {
						t.Errorf("%s was not handed over", old.self.ID)
					}
				}
				c.startNode(old.self.ID, old.self.Zone)
				c.publish(500 * time.Millisecond)
				c.advance(2 * time.Second)
				c.runKeys(t, fmt.Sprintf("after-%d", i), 2)
			}
			c.runKeys(t, "before", 30)
			c.check(t)
		})
	}
}

func TestTwoNodesLeaveTogether(t *testing.T) {
	c := newTestCluster(2, 6, ablation{})
	c.runKeys(t, "k", 40)
	c.nodes[0].machine.Leave()
	c.nodes[1].machine.Leave()
	c.publish(300*time.Millisecond, "n0", "n1")
	c.advance(2 * time.Second)
	for _, node := range c.nodes[:2] {
		if node.machine.Busy() {
			t.Errorf("%s was not handed over", node.self.ID)
		}
		node.dead = true
	}
	c.nodes = c.nodes[2:]
	c.runKeys(t, "k", 40)
	c.check(t)
}

func TestTwoHoldersDie(t *testing.T) {
	c := newTestCluster(3, 9, ablation{})
	expect(t, "first", c.result(c.other("k"), "k", time.Second), "k run 1")
	for _, holder := range c.holders("k")[:2] {
		holder.dead = true
	}
	expect(t, "in the old view", c.result(c.other("k"), "k", time.Second), "k run 1")
	expect(t, "a new key in the old view", c.result(c.other("k"), sameSlot("k"), time.Second), "no_quorum false")
	c.publish(0)
	c.advance(time.Second)
	expect(t, "in the new view, where one holder is left", c.result(c.other("k"), "k", time.Second), "k run 1")
	expect(t, "a new key in the new view", c.result(c.other("k"), sameSlot("k"), time.Second), outcomeIsUnknown)
	c.advance(DefaultLifetime)
	expect(t, "a new key a lifetime later", c.result(c.other("k"), sameSlot("k"), time.Second), sameSlot("k")+" run 1")
	c.check(t)
}

// sameSlot returns another key in a key's slot.
func sameSlot(key string) string {
	for i := 0; ; i++ {
		other := fmt.Sprintf("%s-%d", key, i)
		if slotOf(other) == slotOf(key) {
			return other
		}
	}
}

func TestRestartedReplicaDoesNotVote(t *testing.T) {
	c := newTestCluster(4, 6, ablation{})
	holders := c.holders("k")
	expect(t, "first", c.result(c.other("k"), "k", time.Second), "k run 1")
	for _, holder := range holders[:2] {
		c.startNode(holder.self.ID, holder.self.Zone)
	}
	expect(t, "a new key", c.result(c.other("k"), sameSlot("k"), time.Second), "no_quorum false")
	holders[2].dead = true
	expect(t, "with no holder left", c.result(c.other("k"), "k", time.Second), "no_quorum false")
	c.check(t)
}

func TestCoordinatorDies(t *testing.T) {
	c := newTestCluster(5, 6, ablation{})
	c.runTime = time.Minute
	coordinator := c.other("k")
	c.call(coordinator, "k", time.Minute)
	c.advance(100 * time.Millisecond)
	expect(t, "while it lives", c.result(c.holders("k")[0], "k", 300*time.Millisecond), "in_progress false")
	coordinator.dead = true
	expect(t, "when it is dead", c.result(c.holders("k")[0], "k", 300*time.Millisecond), outcomeIsUnknown)
	c.check(t)
}

func TestRepeatWaitsForAnswer(t *testing.T) {
	c := newTestCluster(6, 6, ablation{})
	c.runTime = 2 * time.Second
	c.call(c.nodes[0], "k", time.Minute)
	c.advance(50 * time.Millisecond)
	same := c.call(c.nodes[0], "k", 5*time.Second)
	expect(t, "at another node", c.result(c.nodes[1], "k", 5*time.Second), "k run 1")
	expect(t, "at the same node", c.results[same], "k run 1")
	c.check(t)
}

// TestRepeatWaitsWhileItsCoordinatorLeaves ends the coordinator as soon as it has
// recorded the outcome, between two questions of the repeat that waits for it.
func TestRepeatWaitsWhileItsCoordinatorLeaves(t *testing.T) {
	for seed := range uint64(20) {
		c := newTestCluster(seed, 6, ablation{})
		leaving, elsewhere := c.nodes[0], c.nodes[1]
		c.call(leaving, "k", time.Second)
		c.advance(5 * time.Millisecond)
		repeat := c.call(elsewhere, "k", 2*time.Second)
		for leaving.machine.Busy() {
			c.advance(time.Millisecond)
		}
		c.kill(leaving)
		c.advance(2 * time.Second)
		expect(t, fmt.Sprintf("seed %d", seed), c.results[repeat], "k run 1")
		c.check(t)
	}
}

// TestSplitVotes begins a key at several nodes at once: all get the one answer.
func TestSplitVotes(t *testing.T) {
	for seed := range uint64(40) {
		c := newTestCluster(seed, 6, ablation{})
		var calls []machine.CallID
		for i := range 2 + int(seed%4) {
			calls = append(calls, c.call(c.nodes[i], "k", 3*time.Second))
		}
		c.advance(3 * time.Second)
		for _, call := range calls {
			expect(t, fmt.Sprintf("seed %d call %d", seed, call), c.results[call], "k run 1")
		}
		c.check(t)
	}
}

// TestRefusalEndsWaitingCalls refuses a granted call while others of its key wait:
// they must not run the key after its caller was told that it did not run.
func TestRefusalEndsWaitingCalls(t *testing.T) {
	c := newTestCluster(11, 6, ablation{})
	c.notSent = 1
	first := c.call(c.nodes[0], "k", time.Second)
	c.advance(4 * time.Millisecond)
	same := c.call(c.nodes[0], "k", time.Second)
	other := c.call(c.nodes[1], "k", time.Second)
	c.advance(time.Second)
	expect(t, "refused call", c.results[first], "not sent")
	expect(t, "at the same node", c.results[same], "backend_failed true")
	expect(t, "at another node", c.results[other], "overloaded false")
	c.notSent = 0
	expect(t, "later call", c.result(c.nodes[2], "k", time.Second), "k run 1")
	c.check(t)
}

func TestStoreDownLeavesMajority(t *testing.T) {
	c := newTestCluster(7, 6, ablation{})
	c.nodes[0].dead = true
	c.nodes = c.nodes[1:]
	for range 3 {
		c.runKeys(t, "k", 20)
		c.advance(time.Minute)
	}
	c.check(t)
}

func TestMemoryFullRefusesAsNotRun(t *testing.T) {
	c := newTestClusterWith(8, 3, Options{MostKeys: 2})
	c.runKeys(t, "k", 2)
	expect(t, "third key", c.result(c.nodes[0], "k-2", time.Second), "overloaded true")
	expect(t, "first key", c.result(c.nodes[0], "k-0", time.Second), "k-0 run 1")
	c.check(t)
}

func TestSkippedView(t *testing.T) {
	c := newTestCluster(9, 9, ablation{})
	c.runKeys(t, "k", 40)
	late := c.nodes[0]
	c.blind[late.self.ID] = true
	for _, without := range []cluster.NodeID{"n1", "n2"} {
		c.publish(0, without)
		c.advance(time.Second)
	}
	delete(c.blind, late.self.ID)
	c.showView(late, len(c.views)-1)
	c.advance(2 * time.Second)
	if stats := late.machine.Stats(); stats.Waiting > 0 {
		t.Errorf("%d slots still wait for markers", stats.Waiting)
	}
	c.runKeys(t, "k", 40)
	c.check(t)
}

// TestFirstViewThatNobodySaw replaces the first view before its members see it.
func TestFirstViewThatNobodySaw(t *testing.T) {
	c := newTestCluster(12, 3, ablation{})
	for _, node := range c.nodes {
		node.machine = New(Options{Self: node.self, Outbox: &node.outbox, Environment: node})
		node.view = cluster.View{}
	}
	c.publish(0)
	c.advance(time.Second)
	c.runKeys(t, "k", 10)
	c.check(t)
}

// TestTrace shows the messages of a save, its repeat at another node, and its
// repeat after one of the holders was replaced.
func TestTrace(t *testing.T) {
	c := newTestCluster(10, 3, ablation{})
	c.logMessages = true
	c.result(c.nodes[0], "k", 400*time.Millisecond)
	c.result(c.nodes[1], "k", 400*time.Millisecond)
	c.startNode("n2", "z2")
	c.publish(0)
	c.advance(200 * time.Millisecond)
	c.result(c.nodes[2], "k", 400*time.Millisecond)
	c.check(t)
	goldie.New(t).Assert(t, "trace", []byte(c.trace.String()))
}
