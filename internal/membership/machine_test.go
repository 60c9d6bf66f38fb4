package membership

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	_ "dalehook/internal/fixedseed"

	"dalehook/internal/cluster"
)

// formed returns a cluster whose nodes all know each other.
func formed(t *testing.T, nodes int) *network {
	t.Helper()
	n := newNetwork(t)
	n.addMany(nodes)
	n.runUntil(time.Minute, "all joined", n.agree)
	n.run(5 * time.Second)
	return n
}

// deaths sums what all nodes saw die.
func (n *network) deaths() int {
	total := 0
	for _, node := range n.nodes {
		total += node.Stats().Died
	}
	return total
}

// backend returns a fact about a server.
func backend(state cluster.MachineState, sequence uint64) BackendRumor {
	return BackendRumor{
		Machine:  cluster.Machine{ID: "b1", Kind: cluster.KindService, Pool: "p", Address: "10.9.0.1:80", State: state},
		Sequence: sequence,
	}
}

// knownEverywhere reports whether all nodes but the source hold a fact.
func (n *network) knownEverywhere(source *testNode, rumor BackendRumor) bool {
	for _, node := range n.nodes {
		if node != source && node.rumors[rumor.Machine.ID] != rumor {
			return false
		}
	}
	return true
}

func TestLargeClusterStaysCheapAndSpreadsFast(t *testing.T) {
	n := newNetwork(t)
	n.measure = true
	n.addMany(340)
	joined := n.runUntil(time.Minute, "all joined", n.agree)
	t.Logf("joined after %s, %d bytes a node", joined, n.bytes/340)
	n.run(10 * time.Second)
	n.bytes, n.sent = 0, 0
	n.run(20 * time.Second)
	perNode := n.bytes / 20 / 340
	t.Logf("steady: %d bytes/s and %.1f messages/s a node", perNode, float64(n.sent)/20/340)
	if perNode > 1500 {
		t.Errorf("%d bytes/s a node, half of the allowance is 1,500", perNode)
	}
	for sequence, state := range []cluster.MachineState{cluster.StateLive, cluster.StateLeaving, cluster.StateDead} {
		rumor := backend(state, uint64(sequence)+1)
		n.nodes[17].SpreadBackend(rumor)
		took := n.runUntil(time.Second, "fact everywhere", func() bool { return n.knownEverywhere(n.nodes[17], rumor) })
		t.Logf("%s everywhere after %s", state, took)
	}
	n.nodes[200].down = true
	took := n.runUntil(8*time.Second, "death seen", n.agree)
	t.Logf("death seen after %s, largest message %d bytes", took, n.largest)
	if n.largest > 8<<10 {
		t.Errorf("largest message has %d bytes", n.largest)
	}
}

func TestOverlayMonitorsEveryMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 120).Draw(t, "nodes")
		zones := rapid.IntRange(1, 5).Draw(t, "zones")
		nodes := make([]cluster.Node, count)
		for i := range nodes {
			nodes[i] = identity(i, 1)
			nodes[i].Zone = cluster.ZoneName("z" + string(rune('a'+rapid.IntRange(0, zones-1).Draw(t, "zone"))))
			nodes[i].Region = ""
		}
		graph := newOverlay(nodes)
		for _, node := range nodes {
			neighbours := graph.neighbours(node.ID)
			if len(neighbours) < min(count-1, 2) || len(neighbours) > 2+2*globalRings {
				t.Fatalf("%s has %d neighbours of %d nodes", node.ID, len(neighbours), count)
			}
			for _, other := range neighbours {
				if other.ID == node.ID {
					t.Fatalf("%s is its own neighbour", node.ID)
				}
			}
		}
		if reached := reachable(graph, nodes[0].ID); reached != count {
			t.Fatalf("%d of %d nodes are reachable", reached, count)
		}
	})
}

// reachable counts the nodes that a rumour from one node reaches.
func reachable(graph *overlay, from cluster.NodeID) int {
	seen := map[cluster.NodeID]bool{from: true}
	for queue := []cluster.NodeID{from}; len(queue) > 0; queue = queue[1:] {
		for _, next := range graph.neighbours(queue[0]) {
			if !seen[next.ID] {
				seen[next.ID] = true
				queue = append(queue, next.ID)
			}
		}
	}
	return len(seen)
}

func TestPausedNodeDeclaresNobodyDead(t *testing.T) {
	n := formed(t, 30)
	paused := n.nodes[5]
	paused.pausedUntil = n.now.Add(30 * time.Second)
	n.run(29 * time.Second)
	if n.nodes[6].Alive(paused.self.ID) {
		t.Error("a node that was silent for 29 s is still alive to others")
	}
	n.runUntil(8*time.Second, "paused node back", n.agree)
	n.run(5 * time.Second)
	if died := paused.Stats().Died; died != 0 {
		t.Errorf("the paused node saw %d members die", died)
	}
	if len(paused.Live()) != 30 {
		t.Errorf("the paused node knows %d live nodes, want 30", len(paused.Live()))
	}
}

func TestShortPausesAndLossKillNobody(t *testing.T) {
	n := formed(t, 40)
	n.loss = 0.05
	for round := range 30 {
		n.nodes[round%40].pausedUntil = n.now.Add(1500 * time.Millisecond)
		n.run(2 * time.Second)
	}
	if died := n.deaths(); died != 0 {
		t.Errorf("%d deaths though no node stopped", died)
	}
	n.loss = 0
	n.runUntil(10*time.Second, "all agree", n.agree)
}

func TestOneBrokenPathIsNoDeath(t *testing.T) {
	n := formed(t, 20)
	one := n.nodes[3]
	other := n.byID[one.Neighbours()[0].ID]
	n.cut = func(a, b *testNode) bool { return a == one && b == other || a == other && b == one }
	n.run(time.Minute)
	if died := n.deaths(); died != 0 {
		t.Errorf("%d deaths though every node reaches most others", died)
	}
}

func TestPartitionHeals(t *testing.T) {
	n := formed(t, 40)
	n.cut = func(a, b *testNode) bool { return a.self.Region != b.self.Region }
	n.run(30 * time.Second)
	for _, node := range n.nodes {
		if len(node.Live()) != 20 {
			t.Fatalf("%s has %d live nodes in its part, want 20", node.self.ID, len(node.Live()))
		}
	}
	n.cut = nil
	took := n.runUntil(20*time.Second, "parts joined", n.agree)
	t.Logf("healed after %s", took)
}

func TestLoneNodeTakesBackItsVerdicts(t *testing.T) {
	n := formed(t, 30)
	alone := n.nodes[9]
	n.cut = func(a, b *testNode) bool { return a == alone || b == alone }
	n.run(40 * time.Second)
	if len(alone.Live()) != 1 {
		t.Fatalf("the lone node has %d live nodes", len(alone.Live()))
	}
	before := n.deaths()
	n.cut = nil
	n.runUntil(20*time.Second, "lone node back", n.agree)
	n.run(10 * time.Second)
	if after := n.deaths(); after != before {
		t.Errorf("%d deaths after the lone node came back", after-before)
	}
	refuted := 0
	for _, node := range n.nodes {
		refuted += node.Stats().Refuted
	}
	if refuted > 5 {
		t.Errorf("%d refutations, the lone node's old verdicts have spread", refuted)
	}
}

func TestLeavingNodeIsKnownAndThenGone(t *testing.T) {
	n := formed(t, 20)
	leaving := n.nodes[4]
	leaving.Leave(n.now)
	n.runUntil(time.Second, "leaving known", func() bool {
		for _, node := range n.nodes {
			if known, _ := node.Find(leaving.self.ID); known.State != StateLeaving || len(node.Live()) != 19 {
				return false
			}
		}
		return true
	})
	if !n.nodes[0].Alive(leaving.self.ID) {
		t.Error("a leaving node still answers and is alive")
	}
	leaving.down = true
	n.runUntil(5*time.Second, "leaving node gone", func() bool { return !n.nodes[0].Alive(leaving.self.ID) })
}

func TestReplacedMachinesKeepMemoryBounded(t *testing.T) {
	n := formed(t, 12)
	for life := range 1000 {
		number := 2 + life%10
		n.nodes[number].down = true
		replaced := n.add(identity(number, cluster.Incarnation(life+2)))
		n.nodes[number] = replaced
		n.nodes = n.nodes[:12]
		n.run(300 * time.Millisecond)
	}
	n.runUntil(20*time.Second, "all agree", n.agree)
	for _, node := range n.nodes {
		if len(node.Members()) > 12 {
			t.Errorf("%s knows %d members of 12", node.self.ID, len(node.Members()))
		}
	}
}

func TestDeadWithNewNamesAreForgotten(t *testing.T) {
	n := formed(t, 4)
	for number := 4; number < 300; number++ {
		gone := n.add(identity(number, 1))
		n.run(time.Second)
		gone.down = true
		n.nodes = n.nodes[:4]
	}
	n.run(30 * time.Second)
	if known := len(n.nodes[0].Members()); known > 4+minDeadKept {
		t.Errorf("%d members known, want at most %d", known, 4+minDeadKept)
	}
	n.run(defaultForgetAfter + time.Minute)
	if known := len(n.nodes[0].Members()); known != 4 {
		t.Errorf("%d members known after %s, want 4", known, defaultForgetAfter)
	}
}

func TestLostFactsAreFoundByDigests(t *testing.T) {
	n := formed(t, 20)
	n.loss = 1
	rumor := backend(cluster.StateLive, 1)
	n.nodes[0].SpreadBackend(rumor)
	n.run(200 * time.Millisecond)
	n.loss = 0
	n.runUntil(30*time.Second, "lost fact everywhere", func() bool { return n.knownEverywhere(n.nodes[0], rumor) })
}

func TestNodesFindEachOtherByTheMachineList(t *testing.T) {
	n := newNetwork(t)
	first, second := n.add(identity(7, 1)), n.add(identity(8, 1))
	n.run(10 * time.Second)
	if len(first.Live()) != 1 {
		t.Fatal("the nodes know each other without a list or a seed that runs")
	}
	listed := []cluster.Machine{
		{ID: cluster.BackendID(second.self.ID), Kind: cluster.KindNode, PeerAddress: second.self.PeerAddress, State: cluster.StateLive},
		{ID: "gone", Kind: cluster.KindNode, PeerAddress: "10.0.0.99:7000", State: cluster.StateLive},
	}
	first.HandleMachines(n.now, listed)
	n.runUntil(10*time.Second, "listed node joined", n.agree)
}

func TestSupersededProcessKnowsIt(t *testing.T) {
	n := formed(t, 5)
	old := n.nodes[4]
	n.add(identity(4, 9))
	n.run(2 * time.Second)
	for _, node := range n.nodes[:4] {
		if known, _ := node.Find(old.self.ID); known.Incarnation != 9 {
			t.Errorf("%s holds incarnation %d, want 9", node.self.ID, known.Incarnation)
		}
	}
	old.HandleMessage(n.now, factsAbout(identity(4, 9)))
	if !old.Superseded() {
		t.Error("the old process does not know that it was replaced")
	}
}

func TestTraceOfADeath(t *testing.T) {
	n := formed(t, 3)
	n.nodes[2].down = true
	n.trace = &bytes.Buffer{}
	n.run(6 * time.Second)
	goldie.New(t).Assert(t, "death", n.trace.Bytes())
}
