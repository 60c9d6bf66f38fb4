package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

const (
	// starvedShare is the part of the nodes that starve: one of so many.
	starvedShare = 3
	// starvation is how long they do.
	starvation = 60 * time.Second
)

// starvedRun is a formed cluster of which a third is starved in seeded bursts.
type starvedRun struct {
	*network
	random *rand.Rand
	// starve begins a burst of one node.
	starve func(node *testNode, until time.Time)
	// awakeUntil holds when each starved node's next burst begins.
	awakeUntil map[*testNode]time.Time
}

// starveTicks stops a node altogether, as a lack of processor time does.
func starveTicks(node *testNode, until time.Time) { node.pausedUntil = until }

// starveInbox holds back a node's messages while its ticks run on, as a full
// queue or a starved reader does.
func starveInbox(node *testNode, until time.Time) { node.heldUntil = until }

// newStarvedRun forms a cluster whose every third node is going to starve.
func newStarvedRun(t *testing.T, nodes int, seed uint64, starve func(*testNode, time.Time)) *starvedRun {
	t.Helper()
	run := &starvedRun{
		network:    formed(t, nodes),
		random:     rand.New(rand.NewPCG(seed, 340)),
		starve:     starve,
		awakeUntil: map[*testNode]time.Time{},
	}
	for number := 0; number < nodes; number += starvedShare {
		run.awakeUntil[run.nodes[number]] = run.now.Add(run.between(0, 2*time.Second))
	}
	return run
}

// between returns a random duration.
func (r *starvedRun) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.random.Int64N(int64(high-low)))
}

// step advances by one tick; nodes whose time awake is over go into a burst of 1
// to 6 s and then are awake for 0.1 to 1 s.
func (r *starvedRun) step() {
	for _, node := range r.nodes {
		due, starved := r.awakeUntil[node]
		if !starved || node.down || r.now.Before(due) {
			continue
		}
		until := r.now.Add(r.between(time.Second, 6*time.Second))
		r.starve(node, until)
		r.awakeUntil[node] = until.Add(r.between(100*time.Millisecond, time.Second))
	}
	r.run(machine.TickInterval)
}

// starveFor runs bursts for a time.
func (r *starvedRun) starveFor(duration time.Duration) {
	for end := r.now.Add(duration); r.now.Before(end); {
		r.step()
	}
}

// deadToHealthy reports whether all nodes that don't starve hold a node for dead.
func (r *starvedRun) deadToHealthy(subject *testNode) bool {
	for _, node := range r.nodes {
		if _, starved := r.awakeUntil[node]; starved || node.down {
			continue
		}
		if node.Alive(subject.self.ID) {
			return false
		}
	}
	return true
}

// suspicions sums the suspicions of all nodes.
func (r *starvedRun) suspicions() int {
	total := 0
	for _, node := range r.nodes {
		total += node.Stats().Suspected
	}
	return total
}

func TestStarvedThirdIsNotTakenForDead(t *testing.T) {
	cases := []struct {
		name   string
		nodes  int
		seed   uint64
		starve func(*testNode, time.Time)
		// deaths bounds the verdicts of all nodes together, each of which is false.
		deaths int
	}{
		{name: "ticks 60 nodes", nodes: 60, seed: 1, starve: starveTicks},
		{name: "ticks 120 nodes", nodes: 120, seed: 2, starve: starveTicks},
		{name: "ticks 120 nodes again", nodes: 120, seed: 3, starve: starveTicks},
		{name: "inbox 60 nodes", nodes: 60, seed: 1, starve: starveInbox},
		{name: "inbox 120 nodes", nodes: 120, seed: 2, starve: starveInbox},
		{name: "inbox 120 nodes again", nodes: 120, seed: 3, starve: starveInbox},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newStarvedRun(t, c.nodes, c.seed, c.starve)
			r.starveFor(starvation)
			agreed := r.runUntil(time.Minute, "all agree after the starvation", r.agree)
			deaths := r.deaths()
			t.Logf("%d false deaths, %d suspicions, all agree %s after the starvation", deaths, r.suspicions(), agreed)
			if deaths > c.deaths {
				t.Errorf("%d false deaths, want at most %d", deaths, c.deaths)
			}
		})
	}
}

func TestTrueDeathIsSeenAmongTheStarved(t *testing.T) {
	for _, starve := range []func(*testNode, time.Time){starveTicks, starveInbox} {
		r := newStarvedRun(t, 90, 4, starve)
		r.starveFor(20 * time.Second)
		gone := r.nodes[31]
		gone.down = true
		start := r.now
		for !r.deadToHealthy(gone) && r.now.Sub(start) < time.Minute {
			r.step()
		}
		took := r.now.Sub(start)
		t.Logf("true death seen by all healthy nodes after %s", took)
		if took > 20*time.Second {
			t.Errorf("true death seen after %s, want at most 20s", took)
		}
	}
}

func TestLostZoneIsSeenInBoundedTime(t *testing.T) {
	n := formed(t, 120)
	for _, node := range n.nodes {
		node.down = node.self.Zone == "zone-b"
	}
	took := n.runUntil(30*time.Second, "lost zone seen", n.agree)
	t.Logf("lost zone seen by all after %s", took)
}

func TestLostZoneIsSeenAmongTheStarved(t *testing.T) {
	r := newStarvedRun(t, 120, 5, starveTicks)
	r.starveFor(20 * time.Second)
	for _, node := range r.nodes {
		node.down = node.self.Zone == "zone-b"
	}
	start := r.now
	for !r.zoneDeadToHealthy("zone-b") && r.now.Sub(start) < 2*time.Minute {
		r.step()
	}
	took := r.now.Sub(start)
	t.Logf("lost zone seen by all healthy nodes after %s", took)
	if took > 30*time.Second {
		t.Errorf("lost zone seen after %s, want at most 30s", took)
	}
}

// zoneDeadToHealthy reports whether the nodes that don't starve hold all members
// of a zone for dead.
func (r *starvedRun) zoneDeadToHealthy(zone cluster.ZoneName) bool {
	for _, node := range r.nodes {
		if node.self.Zone == zone && !r.deadToHealthy(node) {
			return false
		}
	}
	return true
}

func TestTimeoutsAreShortAgainAfterStarvation(t *testing.T) {
	r := newStarvedRun(t, 60, 6, starveTicks)
	r.starveFor(20 * time.Second)
	r.run(30 * time.Second)
	r.nodes[31].down = true
	took := r.runUntil(6*time.Second, "death seen as in a quiet cluster", r.agree)
	t.Logf("death seen after %s", took)
}

func TestLateTicksStretchTimeoutsAndRecover(t *testing.T) {
	n := formed(t, 6)
	node := n.nodes[3]
	if node.probeTimeout() != defaultProbeTimeout || node.suspicionTimeout(1) != defaultSuspicionTimeout {
		t.Fatal("the time-outs of a healthy node are stretched")
	}
	node.pausedUntil = n.now.Add(20 * time.Second)
	n.run(20 * time.Second)
	if got, want := node.probeTimeout(), stretch(defaultProbeTimeout, maxStretch); got != want {
		t.Errorf("probe time-out after a pause is %s, want %s", got, want)
	}
	if got, want := node.suspicionTimeout(6), stretch(defaultSuspicionTimeout, maxStretch); got != want {
		t.Errorf("suspicion time-out after a pause is %s, want %s", got, want)
	}
	n.run(20 * time.Second)
	if got := node.probeTimeout(); got != defaultProbeTimeout {
		t.Errorf("probe time-out 20 s after a pause is %s, want %s", got, defaultProbeTimeout)
	}
}
