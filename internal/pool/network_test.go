package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/membership"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// network runs pools before hollow back ends on a virtual clock. Rumours take
// spreadTime to every node.
type network struct {
	t       *testing.T
	now     time.Time
	nodes   []*testNode
	members []membership.Member
	waiting []delivery
	servers map[cluster.BackendID]*testServer
	// reached reports whether a node reaches a server; nil for always.
	reached func(node *testNode, server *testServer) bool
	polls   int
}

const spreadTime = 300 * time.Millisecond

// testNode is a pool machine with its outbox.
type testNode struct {
	*Machine
	self   cluster.Node
	outbox machine.Outbox
	lists  int
}

// testServer is a back end that answers polls.
type testServer struct {
	machine cluster.Machine
	dead    bool
	leaving bool
}

// delivery is an input on its way.
type delivery struct {
	at    time.Time
	to    *testNode
	input machine.Input
	rumor *membership.BackendRumor
}

// newNetwork returns nodes in three zones that know one list of servers, which
// stand in the same zones in turn.
func newNetwork(t *testing.T, nodes, servers int) *network {
	n := &network{t: t, now: epoch, servers: map[cluster.BackendID]*testServer{}}
	for number := range nodes {
		n.add(number)
	}
	for number := range servers {
		id := cluster.BackendID(fmt.Sprintf("s%03d", number))
		n.servers[id] = &testServer{machine: cluster.Machine{
			ID: id, Kind: cluster.KindService, Pool: "lookup", Zone: zone(number),
			Address: fmt.Sprintf("10.1.0.%d:80", number), State: cluster.StateLive,
		}}
	}
	for _, node := range n.nodes {
		node.HandleMachines(n.now, n.list())
	}
	return n
}

func zone(number int) cluster.ZoneName { return cluster.ZoneName(fmt.Sprintf("z%d", number%3)) }

// add starts a node.
func (n *network) add(number int) {
	self := cluster.Node{
		ID: cluster.NodeID(fmt.Sprintf("n%03d", number)), Incarnation: 1, Zone: zone(number),
		PeerAddress: fmt.Sprintf("10.0.0.%d:7000", number),
	}
	node := &testNode{self: self}
	node.Machine = New(Options{
		Self:    self,
		Outbox:  &node.outbox,
		Seed:    uint64(number),
		Members: func() []membership.Member { return n.members },
		SpreadBackend: func(rumor membership.BackendRumor) {
			if rumor.Sequence > 0 {
				n.spread(node, rumor)
			}
		},
	})
	n.nodes = append(n.nodes, node)
	n.members = append(slices.Clone(n.members), membership.Member{Node: self})
}

// spread carries a rumour to all other nodes.
func (n *network) spread(from *testNode, rumor membership.BackendRumor) {
	for _, node := range n.nodes {
		if node != from {
			n.waiting = append(n.waiting, delivery{at: n.now.Add(spreadTime), to: node, rumor: &rumor})
		}
	}
}

// list returns the machine list, sorted.
func (n *network) list() []cluster.Machine {
	var machines []cluster.Machine
	for _, server := range n.servers {
		machines = append(machines, server.machine)
	}
	slices.SortFunc(machines, func(a, b cluster.Machine) int { return cmpID(a.ID, b.ID) })
	return machines
}

func cmpID(a, b cluster.BackendID) int {
	if a < b {
		return -1
	}
	return 1
}

// run advances virtual time.
func (n *network) run(duration time.Duration) {
	for end := n.now.Add(duration); n.now.Before(end); {
		n.now = n.now.Add(10 * time.Millisecond)
		due := n.waiting
		n.waiting = nil
		for _, next := range due {
			if next.at.After(n.now) {
				n.waiting = append(n.waiting, next)
				continue
			}
			n.deliver(next)
		}
		if n.now.Sub(epoch)%machine.TickInterval != 0 {
			continue
		}
		for _, node := range n.nodes {
			node.Tick(n.now)
			n.collect(node)
		}
	}
}

// deliver hands one input over.
func (n *network) deliver(next delivery) {
	switch input := next.input.(type) {
	case machine.PeerMessage:
		next.to.HandleMessage(n.now, input)
	case machine.BackendReport:
		next.to.HandleReport(n.now, input)
	default:
		next.to.HandleRumor(n.now, *next.rumor)
	}
	n.collect(next.to)
}

// collect carries out what a node left in its outbox.
func (n *network) collect(node *testNode) {
	for _, output := range node.outbox.Take() {
		switch output := output.(type) {
		case machine.PollBackend:
			n.poll(node, output)
		case machine.ReadMachines:
			node.lists++
		case machine.SendPeer:
			at := slices.IndexFunc(n.nodes, func(other *testNode) bool { return other.self.ID == output.To })
			n.waiting = append(n.waiting, delivery{
				at: n.now.Add(10 * time.Millisecond), to: n.nodes[at],
				input: machine.PeerMessage{From: node.self.ID, FromIncarnation: 1, Message: output.Message},
			})
		}
	}
}

// poll answers for a server; a dead one does not answer.
func (n *network) poll(node *testNode, output machine.PollBackend) {
	n.polls++
	server := n.servers[output.Backend]
	if server.dead || n.reached != nil && !n.reached(node, server) {
		return
	}
	n.waiting = append(n.waiting, delivery{
		at: n.now.Add(10 * time.Millisecond), to: node,
		input: machine.BackendReport{Backend: output.Backend, Leaving: server.leaving, Running: 3},
	})
}

// runUntil advances time until the condition holds.
func (n *network) runUntil(limit time.Duration, what string, condition func() bool) time.Duration {
	n.t.Helper()
	start := n.now
	for !condition() {
		if n.now.Sub(start) >= limit {
			n.t.Fatalf("not within %s of virtual time: %s", limit, what)
		}
		n.run(10 * time.Millisecond)
	}
	return n.now.Sub(start)
}

// everywhere reports whether all nodes hold a server in a state.
func (n *network) everywhere(id cluster.BackendID, state cluster.MachineState) bool {
	return !slices.ContainsFunc(n.nodes, func(node *testNode) bool {
		known, found := node.Find(id)
		return !found || known.State != state || known.Usable != (state == cluster.StateLive)
	})
}
