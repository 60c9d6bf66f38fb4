package pool

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dalehook/internal/fixedseed"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/membership"
)

// limit is the time within which leaving and death must be in force everywhere.
const limit = 3 * time.Second

func TestLeavingServerIsKnownEverywhere(t *testing.T) {
	n := newNetwork(t, 12, 30)
	n.run(5 * time.Second)
	n.servers["s007"].leaving = true
	n.runUntil(limit, "leaving known", func() bool { return n.everywhere("s007", cluster.StateLeaving) })
	for _, node := range n.nodes {
		node.HandleMachines(n.now, n.list())
	}
	n.run(5 * time.Second)
	if !n.everywhere("s007", cluster.StateLeaving) {
		t.Error("a late list that says live has brought a leaving server back")
	}
}

func TestDeadServerIsKnownEverywhereAtAnyTime(t *testing.T) {
	n := newNetwork(t, 12, 30)
	for number, id := range []cluster.BackendID{"s001", "s002", "s003", "s004", "s005", "s006", "s007", "s008"} {
		n.run(5*time.Second + time.Duration(number)*170*time.Millisecond)
		n.servers[id].dead = true
		took := n.runUntil(limit, "death known", func() bool { return n.everywhere(id, cluster.StateDead) })
		t.Logf("%s dead everywhere after %s", id, took)
	}
	for _, node := range n.nodes {
		node.HandleMachines(n.now, n.list())
	}
	n.run(10 * time.Second)
	if !n.everywhere("s003", cluster.StateDead) {
		t.Error("a late list that says live has brought a dead server back")
	}
}

func TestServerComesBackWhenItsWatchersHearIt(t *testing.T) {
	n := newNetwork(t, 12, 30)
	n.run(5 * time.Second)
	n.servers["s010"].dead = true
	n.runUntil(limit, "death known", func() bool { return n.everywhere("s010", cluster.StateDead) })
	n.servers["s010"].dead = false
	n.runUntil(deadInterval+3*time.Second, "server back", func() bool { return n.everywhere("s010", cluster.StateLive) })
}

func TestWatcherThatIsCutOffKillsNothing(t *testing.T) {
	n := newNetwork(t, 12, 30)
	n.run(5 * time.Second)
	n.reached = func(node *testNode, _ *testServer) bool { return node != n.nodes[4] }
	n.run(30 * time.Second)
	for id := range n.servers {
		known, _ := n.nodes[0].Find(id)
		if known.State != cluster.StateLive {
			t.Errorf("%s is %s though all but one node reach it", id, known.State)
		}
	}
	usable := slices.ContainsFunc(n.nodes[4].All(), func(b Backend) bool {
		return b.Usable && n.nodes[4].index[b.ID].watched() && n.nodes[4].index[b.ID].rank < pollingWatchers
	})
	if usable {
		t.Error("the node that is cut off still uses servers whose polls fail")
	}
}

func TestListedLeavingStays(t *testing.T) {
	n := newNetwork(t, 6, 6)
	n.run(3 * time.Second)
	n.servers["s002"].machine.State = cluster.StateLeaving
	n.nodes[0].HandleMachines(n.now, n.list())
	n.runUntil(limit, "listed leaving known", func() bool { return n.everywhere("s002", cluster.StateLeaving) })
	n.servers["s002"].machine.State = cluster.StateLive
	n.nodes[1].HandleMachines(n.now, n.list())
	n.run(10 * time.Second)
	if !n.everywhere("s002", cluster.StateLeaving) {
		t.Error("an older list has taken back that the machine is leaving")
	}
}

func TestNewLifeReplacesADeadOne(t *testing.T) {
	n := newNetwork(t, 6, 6)
	n.run(3 * time.Second)
	n.servers["s002"].dead = true
	n.runUntil(limit, "death known", func() bool { return n.everywhere("s002", cluster.StateDead) })
	n.servers["s002"] = &testServer{machine: n.servers["s002"].machine}
	n.servers["s002"].machine.Incarnation = 7
	n.nodes[3].HandleMachines(n.now, n.list())
	n.runUntil(time.Second, "new life known", func() bool { return n.everywhere("s002", cluster.StateLive) })
}

func TestRequestsTellOfLoadLeavingAndFailure(t *testing.T) {
	n := newNetwork(t, 6, 6)
	n.run(3 * time.Second)
	node := n.nodes[0]
	node.ObserveAnswer(n.now, "s001", 17, false)
	if known, _ := node.Find("s001"); known.Load != 17 {
		t.Errorf("load %d, want 17", known.Load)
	}
	node.ObserveFailure(n.now, "s003", "connection reset")
	if known, _ := node.Find("s003"); known.Usable {
		t.Error("a server that has just failed is usable")
	}
	n.collect(node)
	n.run(3 * time.Second)
	if known, _ := node.Find("s003"); !known.Usable || known.State != cluster.StateLive {
		t.Errorf("after one failure the server is %s, usable %v", known.State, known.Usable)
	}
	node.ObserveAnswer(n.now, "s001", -1, true)
	n.runUntil(time.Second, "leaving known", func() bool { return n.everywhere("s001", cluster.StateLeaving) })
}

func TestSubscriberPollsItsPoolAtABoundedRate(t *testing.T) {
	n := newNetwork(t, 6, 0)
	for number := range 100 {
		subject := cluster.Machine{ID: cluster.BackendID(rune('A'+number%26)) + cluster.BackendID(rune('a'+number/26)),
			Kind: cluster.KindEngine, Pool: "essay", Zone: zone(number), State: cluster.StateLive}
		n.servers[subject.ID] = &testServer{machine: subject}
	}
	for _, node := range n.nodes {
		node.HandleMachines(n.now, n.list())
	}
	n.run(2 * time.Second)
	n.polls = 0
	n.run(30 * time.Second)
	watching := n.polls
	n.nodes[2].Subscribe("essay", true)
	n.polls = 0
	n.run(30 * time.Second)
	extra := float64(n.polls-watching) / 30
	if extra < 1 || extra > subscribedRate+1 {
		t.Errorf("%.1f polls a second more with a subscription, want up to %d", extra, subscribedRate)
	}
	for _, engine := range n.nodes[2].Engines("essay") {
		if n.now.Sub(engine.ReportAt) > 40*time.Second {
			t.Errorf("the report of %s is %s old", engine.ID, n.now.Sub(engine.ReportAt))
		}
	}
	if !slices.Equal(n.nodes[2].Pools(), []string{"essay"}) || !n.nodes[2].Known("essay") || n.nodes[2].Known("other") {
		t.Errorf("pools %v", n.nodes[2].Pools())
	}
}

func TestFewNodesReadTheList(t *testing.T) {
	n := newNetwork(t, 30, 6)
	n.run(10 * time.Minute)
	readers, lists := 0, 0
	for _, node := range n.nodes {
		lists += node.lists
		if node.lists > 3 {
			readers++
		}
	}
	if readers != 3 {
		t.Errorf("%d nodes read the list again and again, want one a zone", readers)
	}
	t.Logf("%d readings by 30 nodes in 10 minutes", lists)
}

func TestEveryBackendHasThreeWatchersInThreeZones(t *testing.T) {
	n := newNetwork(t, 30, 200)
	n.run(100 * time.Millisecond)
	watching := map[cluster.NodeID]int{}
	for _, e := range n.nodes[0].entries {
		zones := map[cluster.ZoneName]bool{}
		for _, node := range e.watchers {
			zones[node.Zone] = true
			watching[node.ID]++
		}
		if len(e.watchers) != watcherCount || len(zones) != 3 {
			t.Fatalf("%s has %d watchers in %d zones", e.id(), len(e.watchers), len(zones))
		}
	}
	for _, node := range n.nodes {
		if count := watching[node.self.ID]; count < 5 || count > 45 {
			t.Errorf("%s watches %d back ends, the mean is 20", node.self.ID, count)
		}
	}
}

func TestSubsetsAreEvenAtAnySize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 60).Draw(t, "nodes")
		servers := rapid.IntRange(1, 80).Draw(t, "servers")
		var members []membership.Member
		for number := range nodes {
			members = append(members, membership.Member{Node: cluster.Node{
				ID: cluster.NodeID(rune('0' + number)), Zone: zone(rapid.IntRange(0, 2).Draw(t, "zone")),
			}})
		}
		slices.SortFunc(members, func(a, b membership.Member) int { return cmpID(cluster.BackendID(a.ID), cluster.BackendID(b.ID)) })
		var list []cluster.Machine
		for number := range servers {
			list = append(list, cluster.Machine{
				ID: cluster.BackendID(rune('0' + number)), Kind: cluster.KindService, Pool: "p",
				Zone: zone(rapid.IntRange(0, 2).Draw(t, "zone")), State: cluster.StateLive,
			})
		}
		users := map[cluster.BackendID]int{}
		for _, member := range members {
			pool := New(Options{
				Self: member.Node, Outbox: &machine.Outbox{},
				Members:       func() []membership.Member { return members },
				SpreadBackend: func(membership.BackendRumor) {},
			})
			pool.HandleMachines(epoch, list)
			for _, server := range pool.Services("p") {
				users[server.ID]++
			}
		}
		least, most := nodes, 0
		for _, listed := range list {
			least, most = min(least, users[listed.ID]), max(most, users[listed.ID])
		}
		if least == 0 || most-least > 2 {
			t.Fatalf("%d nodes, %d servers: a server has from %d to %d users", nodes, servers, least, most)
		}
	})
}

func TestWatchersFollowTheMembersAsIfChosenAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := map[int]bool{}
		var list []cluster.Machine
		for number := range 40 {
			list = append(list, cluster.Machine{ID: cluster.BackendID(rune('0' + number)), Kind: cluster.KindService, Pool: "p", State: cluster.StateLive})
		}
		var members []membership.Member
		build := func() *Machine {
			made := New(Options{
				Self: cluster.Node{ID: "n00"}, Outbox: &machine.Outbox{},
				Members:       func() []membership.Member { return members },
				SpreadBackend: func(membership.BackendRumor) {},
			})
			made.HandleMachines(epoch, list)
			return made
		}
		followed := build()
		now := epoch
		for range 12 {
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				number := rapid.IntRange(0, 20).Draw(t, "node")
				live[number] = !live[number]
			}
			members = nil
			for number := range 21 {
				if live[number] {
					members = append(members, membership.Member{Node: cluster.Node{
						ID: cluster.NodeID([]byte{'n', byte('0' + number/10), byte('0' + number%10)}), Zone: cluster.ZoneName(rune('a' + number%4)),
					}})
				}
			}
			now = now.Add(time.Second)
			followed.Tick(now)
			anew := build()
			anew.Tick(now)
			for i, e := range followed.entries {
				if !slices.Equal(e.watchers, anew.entries[i].watchers) {
					t.Fatalf("watchers of %s are %v, chosen anew %v", e.id(), e.watchers, anew.entries[i].watchers)
				}
			}
		}
	})
}

func TestSharesPreferTheOwnZone(t *testing.T) {
	n := newNetwork(t, 30, 90)
	n.run(100 * time.Millisecond)
	own, all := 0, 0
	for _, node := range n.nodes {
		shares := node.Services("lookup")
		for i, server := range shares {
			all++
			if server.Zone == node.self.Zone {
				own++
			}
			if i > 0 && server.Zone == node.self.Zone && shares[i-1].Zone != node.self.Zone {
				t.Fatalf("%s: a server of its own zone comes after others", node.self.ID)
			}
		}
	}
	if 10*own < 7*all {
		t.Errorf("%d of %d servers stand in the zone of their node", own, all)
	}
}
