package lease_test

import (
	"testing"
	"time"

	"dalehook/internal/lease"
	"dalehook/internal/record"

	"pgregory.net/rapid"

	_ "dalehook/internal/fixedseed"
)

func onlyHolder(t *testing.T, c *testCluster) *testNode {
	t.Helper()
	holders := c.holders()
	if len(holders) != 1 {
		t.Fatalf("%d holders at %v", len(holders), c.now.Sub(start))
	}
	return holders[0]
}

func TestFirstClaimNeedsOneRecord(t *testing.T) {
	c := newTestCluster(12)
	c.advance(lease.DefaultStartGrace + time.Second)
	onlyHolder(t, c)
	c.advance(time.Minute)
	if c.claims() != 1 {
		t.Errorf("%d claims", c.claims())
	}
}

func TestSlowFoldDoesNotRepeatTheClaim(t *testing.T) {
	c := newTestCluster(1)
	c.readLag = 5 * time.Second
	c.advance(30 * time.Second)
	onlyHolder(t, c)
	if c.claims() != 1 {
		t.Errorf("%d claims", c.claims())
	}
}

func TestDeadHolderIsReplacedByFewClaims(t *testing.T) {
	c := newTestCluster(12)
	c.advance(5 * time.Second)
	first := onlyHolder(t, c)
	first.dead = true
	c.advance(detection + lease.DefaultVacantWait + time.Second)
	if second := onlyHolder(t, c); second == first {
		t.Error("the dead node holds")
	}
	if c.claims() != 2 {
		t.Errorf("%d claims", c.claims())
	}
}

// TestPartitionWithTheLogInReach covers two regions that lose each other while
// both reach the log: each holds the other's holder for dead.
func TestPartitionWithTheLogInReach(t *testing.T) {
	const hour, mostClaims = time.Hour, 100
	c := newTestCluster(8)
	for i, node := range c.nodes {
		node.side = i%2 == 0
	}
	c.advance(5 * time.Second)
	before := c.claims()
	c.split = true
	c.advance(hour)
	claims := c.claims() - before
	t.Logf("%d claims in an hour of partition", claims)
	if claims > mostClaims {
		t.Errorf("want at most %d", mostClaims)
	}
	c.split = false
	c.advance(time.Minute)
	holder := onlyHolder(t, c)
	holder.dead = true
	c.advance(detection + 2*lease.DefaultContestLimit + time.Minute)
	onlyHolder(t, c)
}

func TestReplacedHolderLosesAtOnce(t *testing.T) {
	c := newTestCluster(3)
	c.advance(5 * time.Second)
	first := onlyHolder(t, c)
	c.replace(first)
	c.advance(2*lease.DefaultStandIn + lease.DefaultVacantWait + time.Second)
	if second := onlyHolder(t, c); second == first {
		t.Error("the old life holds")
	}
}

func TestLeavingHolderHandsOver(t *testing.T) {
	c := newTestCluster(3)
	c.advance(5 * time.Second)
	first := onlyHolder(t, c)
	first.leaving = true
	first.leases.Want(record.DutyView, false)
	c.advance(2*lease.DefaultStandIn + lease.DefaultVacantWait + time.Second)
	if second := onlyHolder(t, c); second == first {
		t.Error("the leaving node holds")
	}
}

func TestPausedHolderIsNotSureUntilItHasReadTheLog(t *testing.T) {
	c := newTestCluster(3)
	c.advance(5 * time.Second)
	first := onlyHolder(t, c)
	first.paused = true
	c.advance(20 * time.Second)
	if _, holds := first.leases.Holds(c.now, record.DutyView); holds {
		t.Error("holds before its first tick")
	}
	first.leases.Tick(c.now)
	if _, holds := first.leases.Holds(c.now, record.DutyView); holds {
		t.Error("holds after a tick and before it has read the log")
	}
	first.paused = false
	c.advance(time.Second)
	if second := onlyHolder(t, c); second == first {
		t.Error("the paused node holds again")
	}
}

func TestShortPauseOfTheHolderChangesNothing(t *testing.T) {
	c := newTestCluster(3)
	c.advance(5 * time.Second)
	first := onlyHolder(t, c)
	first.paused = true
	c.advance(3 * time.Second)
	first.paused = false
	c.advance(time.Second)
	if onlyHolder(t, c) != first || c.claims() != 1 {
		t.Errorf("%d claims", c.claims())
	}
}

func TestStoreDownKeepsTheHolderAndStopsClaims(t *testing.T) {
	c := newTestCluster(3)
	c.advance(10 * time.Second)
	first := onlyHolder(t, c)
	c.down = true
	c.advance(30 * time.Minute)
	if onlyHolder(t, c) != first {
		t.Error("another node holds")
	}
	first.dead = true
	tried := c.calls
	c.advance(time.Minute)
	if len(c.holders()) != 0 || c.calls != tried {
		t.Errorf("%d holders, %d appends", len(c.holders()), c.calls-tried)
	}
	c.down = false
	c.advance(lease.DefaultClaimTimeout + 2*lease.DefaultStandIn)
	onlyHolder(t, c)
}

func TestCutOffHolderIsNotSure(t *testing.T) {
	c := newTestCluster(3)
	c.advance(10 * time.Second)
	first := onlyHolder(t, c)
	first.cut = true
	c.advance(lease.DefaultContactLimit + time.Second)
	if _, holds := first.leases.Holds(c.now, record.DutyView); holds {
		t.Error("holds without contact")
	}
	if second := onlyHolder(t, c); second == first {
		t.Error("nobody took over")
	}
}

func TestLoneNodeHoldsThroughAnOutage(t *testing.T) {
	c := newTestCluster(1)
	c.advance(10 * time.Second)
	onlyHolder(t, c)
	c.down = true
	c.advance(30 * time.Minute)
	onlyHolder(t, c)
}

func TestLoneNodeIsSureAgainAfterAPauseInAnOutage(t *testing.T) {
	c := newTestCluster(1)
	c.advance(10 * time.Second)
	node := onlyHolder(t, c)
	c.down, node.paused = true, true
	node.heardAt = c.now
	c.advance(time.Minute)
	node.paused, node.deaf = false, true
	c.advance(time.Second)
	onlyHolder(t, c)
}

// TestLeaseSafety runs random faults. An epoch has one holder, what a node takes
// for its epoch is a valid claim of its own life, and once the faults end one
// node holds the duty.
func TestLeaseSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(rapid.IntRange(2, 6).Draw(t, "nodes"))
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			index := rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")
			node := c.nodes[index]
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				node.paused = !node.paused
			case 1:
				node.cut = !node.cut
			case 2:
				c.down = !c.down
			case 3:
				c.replace(node)
			case 4:
				node.dead = true
			default:
			}
			c.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ticks")) * 50 * time.Millisecond)
			checkSafety(t, c)
		}
		c.down = false
		for i, node := range c.nodes {
			node.paused, node.cut = false, false
			if node.dead {
				c.nodes[i] = c.startNode(string(node.self.ID), node.self.Incarnation+1)
			}
		}
		c.advance(time.Minute)
		checkSafety(t, c)
		if len(c.holders()) != 1 {
			t.Fatalf("%d holders after the faults", len(c.holders()))
		}
		if members := c.truth().View().Members; len(members) != len(c.nodes) {
			t.Fatalf("the view has %d of %d nodes", len(members), len(c.nodes))
		}
	})
}

func checkSafety(t *rapid.T, c *testCluster) {
	epochs := map[record.Epoch]bool{}
	for _, node := range c.holders() {
		epoch, _ := node.leases.Holds(c.now, record.DutyView)
		if epochs[epoch] {
			t.Fatalf("epoch %d has two holders", epoch)
		}
		epochs[epoch] = true
		claim, ok := c.log[epoch-1].Body.(record.LeaseClaimed)
		if !ok || claim.Holder != node.self.ID || claim.Incarnation != node.self.Incarnation {
			t.Fatalf("epoch %d is not a claim of %s: %+v", epoch, node.self.ID, c.log[epoch-1])
		}
	}
}
