package lease_test

import (
	"fmt"
	"testing"
	"time"

	"dalehook/internal/lease"
	"dalehook/internal/record"
)

func TestFirstViewHoldsAllNodes(t *testing.T) {
	c := newTestCluster(12)
	c.advance(lease.DefaultStartGrace + lease.DefaultVacantWait + lease.DefaultSettle + time.Second)
	if view := c.truth().View(); len(view.Members) != 12 || c.views() != 1 {
		t.Errorf("%d members after %d views", len(view.Members), c.views())
	}
}

func TestSlowFoldDoesNotRepeatTheView(t *testing.T) {
	c := newTestCluster(3)
	c.readLag = 8 * time.Second
	c.advance(time.Minute)
	if c.views() != 1 {
		t.Errorf("%d views", c.views())
	}
}

func TestChangesAreBatched(t *testing.T) {
	c := newTestCluster(12)
	c.advance(20 * time.Second)
	holder := onlyHolder(t, c)
	changed := 0
	for _, node := range c.nodes {
		if node != holder && changed < 3 {
			node.dead = true
			changed++
		}
		c.advance(300 * time.Millisecond)
	}
	c.advance(20 * time.Second)
	if view := c.truth().View(); len(view.Members) != 9 || c.views() != 2 {
		t.Errorf("%d members after %d views", len(view.Members), c.views())
	}
}

func TestSteadyReplacementIsDamped(t *testing.T) {
	const nodes = 60
	cases := []struct {
		name     string
		replaced int
		every    time.Duration
		least    int
	}{
		{"faster than the nodes settle", 40, time.Second, 3},
		{"slower than the nodes settle", 20, 3 * time.Second, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { testDamping(t, newTestCluster(nodes), c.replaced, c.every, c.least) })
	}
}

func testDamping(t *testing.T, c *testCluster, replaced int, every time.Duration, least int) {
	c.advance(20 * time.Second)
	holder := onlyHolder(t, c)
	before, began := c.views(), c.now
	for i := range replaced {
		if c.nodes[i] != holder {
			c.replace(c.nodes[i])
		}
		c.advance(every)
	}
	views := c.views() - before
	interval := lease.DefaultMinInterval + time.Duration(len(c.nodes))*lease.DefaultIntervalPerMember
	if limit := int(c.now.Sub(began)/interval) + 1; views < least || views > limit {
		t.Errorf("%d views in %v, want %d to %d", views, c.now.Sub(began), least, limit)
	}
	c.advance(20 * time.Second)
	if got, want := fmt.Sprint(c.truth().View().Members), fmt.Sprint(holder.LiveNodes()); got != want {
		t.Errorf("view\n%s\nwant\n%s", got, want)
	}
}

func TestMassLossIsPublishedLate(t *testing.T) {
	c := newTestCluster(9)
	c.advance(20 * time.Second)
	holder := onlyHolder(t, c)
	lost := 0
	for _, node := range c.nodes {
		if node != holder && lost < 4 {
			node.dead = true
			lost++
		}
	}
	c.advance(detection + lease.DefaultMassLossWait - time.Second)
	if members := c.truth().View().Members; len(members) != 9 {
		t.Errorf("%d members before the wait is over", len(members))
	}
	c.advance(3 * time.Second)
	if members := c.truth().View().Members; len(members) != 5 {
		t.Errorf("%d members after the wait", len(members))
	}
}

func TestViewStandsStillWhileTheStoreIsDown(t *testing.T) {
	c := newTestCluster(4)
	c.advance(20 * time.Second)
	holder := onlyHolder(t, c)
	c.down = true
	for _, node := range c.nodes {
		if node != holder {
			node.dead = true
			break
		}
	}
	tried := c.calls
	c.advance(10 * time.Minute)
	if c.calls != tried {
		t.Errorf("%d appends", c.calls-tried)
	}
	c.down = false
	c.advance(10 * time.Second)
	if members := c.truth().View().Members; len(members) != 3 {
		t.Errorf("%d members", len(members))
	}
}

func TestLateHolderPublishesNothingThatCounts(t *testing.T) {
	c := newTestCluster(3)
	c.advance(20 * time.Second)
	first := onlyHolder(t, c)
	old, _ := first.leases.Holds(c.now, record.DutyView)
	first.paused = true
	c.advance(30 * time.Second)
	view := c.truth().View()
	// What the paused process had on its way lands now.
	c.write(record.Record{ID: "late", Body: record.ViewPublished{Epoch: old, Members: first.LiveNodes()}})
	if c.truth().View().Number != view.Number {
		t.Error("a view under an old epoch counts")
	}
}

// TestPlannedStopsAreNoMassLoss lets nearly half the nodes leave together. They
// said so themselves, so no cut network is to be ruled out first.
func TestPlannedStopsAreNoMassLoss(t *testing.T) {
	c := newTestCluster(9)
	c.advance(20 * time.Second)
	holder := onlyHolder(t, c)
	left := 0
	for _, node := range c.nodes {
		if node != holder && left < 4 {
			node.leaving = true
			left++
		}
	}
	c.advance(lease.DefaultSettle + time.Second)
	if members := c.truth().View().Members; len(members) != 5 {
		t.Errorf("%d members after the nodes have settled", len(members))
	}
}
