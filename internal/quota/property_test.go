package quota

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dalehook/internal/fixedseed"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// faults draws faults for a testCluster and checks its shares.
type faults struct {
	*testCluster
	rapid *rapid.T
	// side is the part of a cut cluster in which each node is.
	side map[*testNode]int
	// loss and doubled are the shares of lost and of doubled messages.
	loss, doubled float64
}

// latest is the longest delay of a doubled message.
const latest = 20 * time.Second

// reaches reports whether messages pass between two nodes.
func (f *faults) reaches(a, b *testNode) bool { return f.side[a] == f.side[b] }

// deliverBadly loses, delays and doubles messages.
func (f *faults) deliverBadly(from, to *testNode) []time.Duration {
	if !f.reaches(from, to) || f.random.Float64() < f.loss {
		return nil
	}
	waits := []time.Duration{time.Duration(f.random.Int64N(int64(30 * time.Millisecond)))}
	if f.random.Float64() < f.doubled {
		waits = append(waits, time.Duration(f.random.Int64N(int64(latest))))
	}
	if f.random.IntN(10) == 0 {
		waits[0] += time.Duration(f.random.Int64N(int64(3 * time.Second)))
	}
	return waits
}

// changed lets each node learn of a change within listLag, or so long after it
// has woken.
func (f *faults) changed() {
	for _, node := range f.nodes {
		f.clock.After(time.Duration(f.random.Int64N(int64(listLag))), func() { f.learn(node) })
	}
}

func (f *faults) learn(node *testNode) {
	if node.paused {
		return
	}
	node.live = nil
	for _, other := range f.nodes {
		if !other.down && !other.paused && f.reaches(node, other) {
			node.live = append(node.live, other.self)
		}
	}
}

func (f *faults) draw(name string, most int) int { return rapid.IntRange(0, most).Draw(f.rapid, name) }

func (f *faults) drawNode() *testNode { return f.nodes[f.draw("node", len(f.nodes)-1)] }

func (f *faults) step() {
	switch f.draw("step", 7) {
	case 0, 1, 2:
		load := []int{0, 10, 100, 1000, 4000}[f.draw("load", 4)]
		f.drawNode().demands = []Demand{{Class: "lookup", Rate: float64(load), InFlight: 0, Queued: load / 10}}
	case 3:
		sides := 1 + f.draw("sides", 2)
		for _, node := range f.nodes {
			f.side[node] = f.draw("side", sides-1)
		}
		f.changed()
	case 4:
		clear(f.side)
		f.changed()
	case 5:
		node := f.drawNode()
		if node.down {
			node.boot()
			f.learn(node)
		} else if !node.paused {
			node.down = true
		}
		f.changed()
	case 6:
		f.togglePause(f.drawNode())
	case 7:
		f.loss = []float64{0, 0.1, 0.5, 0.9}[f.draw("loss", 3)]
	}
	for range 1 + f.draw("wait", 80) {
		f.run(250 * time.Millisecond)
		f.check()
	}
}

func (f *faults) togglePause(node *testNode) {
	if node.down {
		return
	}
	node.paused = !node.paused
	f.changed()
	kept := node.kept
	node.kept = nil
	for _, message := range kept {
		f.receive(node, message)
	}
}

// check compares the shares in force with the limit. A node that is down has none.
func (f *faults) check() {
	limit := f.limits[0]
	rate, concurrent := 0.0, 0
	for _, node := range f.nodes {
		if !node.down {
			share := node.machine.Shares(f.now())
			if len(share) > 0 {
				rate += share[0].Rate
				concurrent += share[0].Concurrent
			}
		}
	}
	mostConcurrent := float64(limit.Concurrent)*(1+reserveShare) + float64(len(f.nodes))
	if rate > limit.Rate*(1+reserveShare)+1e-6 || float64(concurrent) > mostConcurrent {
		f.rapid.Fatalf("shares of %.1f/s and %d in flight at %s, limits %+v", rate, concurrent, f.now(), limit)
	}
}

// TestSharesStayWithinBound checks under drawn demand, losses, delays, doubled
// messages, cuts, deaths, restarts and pauses that the shares in force stay within
// the stated bound, and that afterwards the whole limit can be had again.
func TestSharesStayWithinBound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := record.ClassLimit{Class: "lookup", Rate: 3000, Concurrent: 200}
		c := newCluster(rapid.IntRange(2, 9).Draw(r, "nodes"), rapid.Uint64().Draw(r, "seed"), limit)
		f := &faults{testCluster: c, rapid: r, side: make(map[*testNode]int), doubled: 0.1}
		c.deliver = f.deliverBadly
		f.run(time.Second)
		for range rapid.IntRange(1, 25).Draw(r, "steps") {
			f.step()
		}
		f.heal()
		f.run(latest + 2*leaseTime + 2*listLag)
		f.check()
		if got := f.nodes[0].machine.Shares(f.now())[0].Rate; got < 0.95*limit.Rate {
			r.Fatalf("the only busy node has a share of %.0f/s of %.0f/s after the faults", got, limit.Rate)
		}
	})
}

// heal ends all faults and leaves one node with traffic.
func (f *faults) heal() {
	clear(f.side)
	f.loss, f.doubled = 0, 0
	for _, node := range f.nodes {
		if node.paused {
			f.togglePause(node)
		}
		if node.down {
			node.boot()
		}
		node.demands = nil
	}
	for _, node := range f.nodes {
		f.learn(node)
		node.demands = []Demand{{Class: "lookup"}}
	}
	f.nodes[0].demands[0].Rate = 4000
}

// TestPausedAllocatorBeginsANewTerm pauses a busy allocator until another has
// leased the whole limit, and then wakes it.
func TestPausedAllocatorBeginsANewTerm(t *testing.T) {
	limit := record.ClassLimit{Class: "lookup", Rate: 3000}
	c := newCluster(5, 1, limit)
	c.run(2 * time.Second)
	index := slices.IndexFunc(c.nodes, func(n *testNode) bool { return n.machine.classes[0].allocator != nil })
	allocator, busy := c.nodes[index], c.nodes[(index+1)%len(c.nodes)]
	f := &faults{testCluster: c, side: make(map[*testNode]int)}
	allocator.demands = []Demand{{Class: "lookup", Rate: 4000}}
	f.togglePause(allocator)
	c.run(listLag)
	busy.demands = []Demand{{Class: "lookup", Rate: 4000}}
	c.run(leaseTime + 2*listLag)
	f.togglePause(allocator)
	for range 200 {
		c.run(machine.TickInterval)
		sum := 0.0
		for _, node := range c.nodes {
			sum += node.machine.Shares(c.now())[0].Rate
		}
		if sum > limit.Rate*(1+reserveShare) {
			t.Fatalf("shares of %.0f/s at %s, limit %.0f/s", sum, c.now(), limit.Rate)
		}
	}
}

// TestHolderTakesOnlyGrantsThatAreCounted covers a grant of another node, one for
// an earlier Ask, and one that comes when its lease is over.
func TestHolderTakesOnlyGrantsThatAreCounted(t *testing.T) {
	const reserve = 6.25
	now := time.Unix(1000, 0)
	h := newHolder(now, "lookup")
	h.setLimit(record.ClassLimit{Class: "lookup", Rate: 100}, 4)
	h.setDemand(now, Demand{Rate: 80})
	first := h.ask(now, "a")
	second := h.ask(now.Add(answerTimeout), "a")
	for _, test := range []struct {
		from     cluster.NodeID
		sequence uint64
		after    time.Duration
		want     float64
	}{
		{"a", first.Sequence, 0, reserve},
		{"b", second.Sequence, 0, reserve},
		{"a", second.Sequence, leaseTime, reserve},
		{"a", second.Sequence, leaseTime - time.Second, 90},
	} {
		at := now.Add(answerTimeout + test.after)
		h.accept(at, test.from, Grant{Sequence: test.sequence, Share: Amount{Rate: 90}})
		if got := h.share(at).Rate; got != test.want {
			t.Errorf("share %.2f after the grant %d of %s, want %.2f", got, test.sequence, test.from, test.want)
		}
	}
}
