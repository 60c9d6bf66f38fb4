package membership

import (
	"bytes"
	"container/heap"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// network runs machines on a virtual clock and carries their messages.
type network struct {
	t      *testing.T
	now    time.Time
	random *rand.Rand
	nodes  []*testNode
	byID   map[cluster.NodeID]*testNode
	byAddr map[string]*testNode
	queue  deliveries
	order  int
	// latency is the one-way delay, loss the share of messages that vanish.
	latency time.Duration
	loss    float64
	// cut reports whether the path between two nodes is broken; nil for never.
	cut func(a, b *testNode) bool
	// measure turns on real gob encoding with one encoder for each link.
	measure bool
	links   map[[2]cluster.NodeID]*link
	bytes   int
	sent    int
	largest int
	trace   *bytes.Buffer
}

// testNode is a machine with what the network does to it.
type testNode struct {
	*Machine
	self   cluster.Node
	outbox machine.Outbox
	down   bool
	// pausedUntil holds back ticks and messages.
	pausedUntil time.Time
	// heldUntil holds back messages only.
	heldUntil time.Time
	rumors    map[cluster.BackendID]BackendRumor
	rumorAt   map[cluster.BackendID]time.Time
}

// link is one directed connection with its gob stream.
type link struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

// wireFrame is what travels on a link.
type wireFrame struct {
	Message any
}

// delivery is a message on its way.
type delivery struct {
	at      time.Time
	order   int
	to      *testNode
	message machine.PeerMessage
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newNetwork(t *testing.T) *network {
	return &network{
		t:       t,
		now:     epoch,
		random:  rand.New(rand.NewPCG(1, 2)),
		byID:    map[cluster.NodeID]*testNode{},
		byAddr:  map[string]*testNode{},
		latency: 2 * time.Millisecond,
		links:   map[[2]cluster.NodeID]*link{},
	}
}

// identity returns the node with the given number: zones a to d, two a region.
func identity(number int, incarnation cluster.Incarnation) cluster.Node {
	zone := number % 4
	return cluster.Node{
		ID:            cluster.NodeID(fmt.Sprintf("n%03d", number)),
		Incarnation:   incarnation,
		Zone:          cluster.ZoneName("zone-" + string(rune('a'+zone))),
		Region:        cluster.RegionName(fmt.Sprintf("region-%d", zone/2)),
		PeerAddress:   fmt.Sprintf("10.0.%d.%d:7000", number/250, number%250),
		ClientAddress: fmt.Sprintf("10.0.%d.%d:8000", number/250, number%250),
	}
}

// add starts a node that joins by the first two nodes.
func (n *network) add(self cluster.Node) *testNode {
	node := &testNode{self: self, rumors: map[cluster.BackendID]BackendRumor{}, rumorAt: map[cluster.BackendID]time.Time{}}
	node.Machine = New(Options{
		Self:          self,
		SeedAddresses: []string{identity(0, 0).PeerAddress, identity(1, 0).PeerAddress},
		Seed:          uint64(len(n.nodes)),
		Outbox:        &node.outbox,
		OnBackendRumor: func(now time.Time, rumor BackendRumor) {
			node.rumors[rumor.Machine.ID] = rumor
			node.rumorAt[rumor.Machine.ID] = now
		},
	})
	n.nodes = append(n.nodes, node)
	n.byID[self.ID] = node
	n.byAddr[self.PeerAddress] = node
	return node
}

// addMany starts the nodes with numbers from 0 on.
func (n *network) addMany(count int) {
	for number := range count {
		n.add(identity(number, 1))
	}
}

// run advances virtual time.
func (n *network) run(duration time.Duration) {
	end := n.now.Add(duration)
	for n.now.Before(end) {
		n.now = n.now.Add(machine.TickInterval)
		n.deliver()
		for _, node := range n.nodes {
			if node.down || n.now.Before(node.pausedUntil) {
				continue
			}
			node.Tick(n.now)
			n.collect(node)
		}
	}
}

// deliver hands over the messages that are due, in order of time.
func (n *network) deliver() {
	for len(n.queue) > 0 && !n.queue[0].at.After(n.now) {
		next := heap.Pop(&n.queue).(delivery)
		node := next.to
		if node.down {
			continue
		}
		if next.at.Before(node.pausedUntil) {
			next.at = node.pausedUntil
			heap.Push(&n.queue, next)
			continue
		}
		if next.at.Before(node.heldUntil) {
			next.at = node.heldUntil
			heap.Push(&n.queue, next)
			continue
		}
		node.HandleMessage(next.at, next.message)
		n.collect(node)
	}
}

// collect sends what a node has left in its outbox.
func (n *network) collect(node *testNode) {
	for _, output := range node.outbox.Take() {
		send := output.(machine.SendPeer)
		to := n.byAddr[send.Address]
		n.count(node, send)
		if to == nil || to.down || send.To != "" && send.To != to.self.ID {
			continue
		}
		if n.cut != nil && n.cut(node, to) || n.loss > 0 && n.random.Float64() < n.loss {
			continue
		}
		n.order++
		heap.Push(&n.queue, delivery{
			at:      node.now.Add(n.latency),
			order:   n.order,
			to:      to,
			message: machine.PeerMessage{From: node.self.ID, FromIncarnation: node.self.Incarnation, Message: send.Message},
		})
	}
}

// count measures a message as one link's gob stream carries it.
func (n *network) count(from *testNode, send machine.SendPeer) {
	if n.trace != nil {
		fmt.Fprintf(n.trace, "%8.2fs %s -> %s %s %+v\n", n.now.Sub(epoch).Seconds(), from.self.ID, send.To, send.Address, send.Message)
	}
	if !n.measure {
		return
	}
	key := [2]cluster.NodeID{from.self.ID, send.To}
	if n.links[key] == nil {
		n.links[key] = &link{}
		n.links[key].encoder = gob.NewEncoder(&n.links[key].buffer)
	}
	l := n.links[key]
	if err := l.encoder.Encode(wireFrame{Message: send.Message}); err != nil {
		n.t.Fatalf("encode %T: %v", send.Message, err)
	}
	n.bytes += l.buffer.Len()
	n.sent++
	n.largest = max(n.largest, l.buffer.Len())
	l.buffer.Reset()
}

// agree reports whether every running node holds exactly the running nodes for
// live.
func (n *network) agree() bool {
	running := 0
	for _, node := range n.nodes {
		if !node.down {
			running++
		}
	}
	for _, node := range n.nodes {
		if node.down {
			continue
		}
		if len(node.Live()) != running {
			return false
		}
		for _, live := range node.Live() {
			if n.byID[live.ID].down || n.byID[live.ID].self != live {
				return false
			}
		}
	}
	return true
}

// runUntil advances time until the condition holds, and fails the test when it
// does not within the limit of virtual time.
func (n *network) runUntil(limit time.Duration, what string, condition func() bool) time.Duration {
	n.t.Helper()
	start := n.now
	for !condition() {
		if n.now.Sub(start) >= limit {
			n.t.Fatalf("not within %s of virtual time: %s", limit, what)
		}
		n.run(machine.TickInterval)
	}
	return n.now.Sub(start)
}

// factsAbout returns a message that tells of a node.
func factsAbout(subject cluster.Node) machine.PeerMessage {
	return machine.PeerMessage{From: "n000", FromIncarnation: 1, Message: facts{Members: []memberFact{{
		ID: subject.ID, Incarnation: subject.Incarnation, PeerAddress: subject.PeerAddress,
	}}}}
}
