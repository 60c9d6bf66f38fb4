package idempotency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dalehook/internal/fixedseed"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// draw returns a number from 0 to n-1, from a seed or from rapid.
type draw func(n int) int

func seeded(seed uint64) draw {
	random := rand.New(rand.NewPCG(seed, 2))
	return func(n int) int { return random.IntN(n) }
}

// runSchedule drives a cluster of six nodes through drawn faults while callers
// repeat a few keys, and returns it.
func runSchedule(seed uint64, draw draw, off ablation) *testCluster {
	c := newTestCluster(seed, 6, off)
	c.loss = []float64{0, 0.02, 0.2}[draw(3)]
	c.loseAnswer = []float64{0, 0.2}[draw(2)]
	c.notSent = []float64{0, 0.3}[draw(2)]
	for range 40 {
		c.step(draw)
		c.advance([]time.Duration{0, time.Millisecond, 3 * time.Millisecond, 60 * time.Millisecond, 700 * time.Millisecond}[draw(5)])
	}
	c.recover()
	for key := range c.newest + 2 {
		c.call(c.nodes[draw(len(c.nodes))], testKey(key), 2*time.Second)
	}
	c.advance(2 * time.Second)
	for call := machine.CallID(1); call <= c.calls; call++ {
		if c.results[call] == "" && c.expects[call] {
			c.violate("call %d has no end", call)
		}
	}
	return c
}

// recover ends all faults and puts a view of all live nodes in force.
func (c *testCluster) recover() {
	clear(c.cuts)
	clear(c.paused)
	c.loss = 0
	c.publish(10 * time.Millisecond)
	c.advance(3 * time.Second)
	for _, node := range c.nodes {
		if stats := node.machine.Stats(); !node.dead && stats.Waiting > stats.Lost {
			c.violate("%s waits for markers that are not lost", node.self.ID)
		}
	}
}

func testKey(n int) string { return fmt.Sprintf("key-%d", n) }

// step draws one thing that happens.
func (c *testCluster) step(draw draw) {
	node := c.nodes[draw(len(c.nodes))]
	other := c.nodes[draw(len(c.nodes))]
	switch draw(18) {
	case 0:
		c.log("crash %s", node.self.ID)
		c.kill(node)
	case 1, 2:
		c.log("replace %s", node.self.ID)
		c.startNode(node.self.ID, node.self.Zone)
	case 3, 4:
		c.log("publish")
		spread := []time.Duration{time.Millisecond, 100 * time.Millisecond, 2 * time.Second}[draw(3)]
		if draw(2) == 0 {
			// Live nodes leave the view too: by a planned stop or by mistake.
			c.publish(spread, node.self.ID, other.self.ID)
		} else {
			c.publish(spread)
		}
	case 5:
		c.log("cut %s from %s", node.self.ID, other.self.ID)
		c.cuts[[2]cluster.NodeID{node.self.ID, other.self.ID}] = true
		if draw(2) == 0 {
			c.cuts[[2]cluster.NodeID{other.self.ID, node.self.ID}] = true
		}
	case 6:
		c.log("heal")
		clear(c.cuts)
		clear(c.paused)
	case 7:
		c.log("pause %s", node.self.ID)
		c.paused[node.self.ID] = true
	case 8:
		if call := machine.CallID(draw(int(c.calls) + 1)); node.keys[call] != "" && !node.dead {
			c.log("gone %d", call)
			delete(c.expects, call)
			node.machine.Abandon(c.now, call)
			c.drain(node)
		}
	default:
		if draw(2) == 0 {
			c.newest++
		}
		within := []time.Duration{300 * time.Millisecond, 3 * time.Second}[draw(2)]
		c.call(node, testKey(max(0, c.newest-draw(2))), within)
	}
}

// TestAtMostOnce checks, over drawn schedules of loss, cuts, pauses, crashes,
// replacements and view changes, that each key runs at most once, that "not run"
// is true, and that a key has one answer.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		numbers := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
		if c := runSchedule(seed, numbers, ablation{}); len(c.violations) > 0 {
			t.Fatalf("%v\n%s", c.violations, c.trace.String())
		}
	})
}

func TestAtMostOnceSeeds(t *testing.T) {
	for seed := range uint64(30) {
		if c := runSchedule(seed, seeded(seed), ablation{}); len(c.violations) > 0 {
			t.Fatalf("seed %d: %v\n%s", seed, c.violations, c.trace.String())
		}
	}
}

// TestPropertySeesVotesWithoutMarkers shows that the property breaks when replicas
// vote before they have taken over the markers of the view before.
func TestPropertySeesVotesWithoutMarkers(t *testing.T) {
	for seed := range uint64(60) {
		if c := runSchedule(seed, seeded(seed), ablation{noFull: true}); len(c.violations) > 0 {
			t.Logf("seed %d: %v", seed, c.violations)
			return
		}
	}
	t.Error("no violation with the mechanism off")
}

// sealingSchedule lets two holders and a coordinator miss a view in which the
// holders' successors have taken over, and calls a key on both sides.
func sealingSchedule(off ablation) *testCluster {
	c := newTestCluster(1, 9, off)
	c.runTime = time.Minute
	holders := c.holders("k")
	late := c.other("k")
	for _, node := range []*testNode{holders[0], holders[1], late} {
		c.blind[node.self.ID] = true
	}
	c.publish(0, holders[0].self.ID, holders[1].self.ID)
	c.advance(time.Second)
	c.call(late, "k", time.Second)
	c.advance(time.Second)
	c.call(c.holders("k")[0], "k", time.Second)
	c.advance(time.Second)
	return c
}

func TestSealing(t *testing.T) {
	if c := sealingSchedule(ablation{noSeal: true}); len(c.violations) == 0 {
		t.Error("no violation with the mechanism off")
	}
	c := sealingSchedule(ablation{})
	if len(c.violations) > 0 || c.runs["k"] != 1 {
		t.Errorf("violations %v, %d runs\n%s", c.violations, c.runs["k"], c.trace.String())
	}
}
