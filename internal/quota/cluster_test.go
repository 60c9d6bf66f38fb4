package quota

import (
	"encoding/gob"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"dalehook/internal/admission"
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/sim/kernel"
)

// testNode is a node of a testCluster, and the environment of its machine.
type testNode struct {
	cluster    *testCluster
	self       cluster.Node
	machine    *Machine
	outbox     *machine.Outbox
	controller *admission.Controller
	// demands is the traffic where no controller measures it.
	demands []Demand
	live    []cluster.Node
	// down nodes do nothing and lose messages; paused ones keep them.
	down, paused bool
	kept         []machine.PeerMessage
	encoders     map[cluster.NodeID]*gob.Encoder
	sent         int
	bytes        countingWriter
}

// countingWriter counts what a node has sent.
type countingWriter int

func (w *countingWriter) Write(p []byte) (int, error) {
	*w += countingWriter(len(p))
	return len(p), nil
}

func (n *testNode) Limits() []record.ClassLimit { return n.cluster.limits }
func (n *testNode) View() cluster.View          { return n.cluster.view }
func (n *testNode) LiveNodes() []cluster.Node   { return n.live }
func (n *testNode) Demands() []Demand {
	if n.controller == nil {
		return n.demands
	}
	var demands []Demand
	for _, demand := range n.controller.Demands() {
		demands = append(demands, Demand(demand))
	}
	return demands
}

// boot starts a new life of the node.
func (n *testNode) boot() {
	n.outbox = &machine.Outbox{}
	n.machine = New(Options{Self: n.self, Outbox: n.outbox, Environment: n})
	n.encoders = make(map[cluster.NodeID]*gob.Encoder)
	n.down, n.kept = false, nil
}

// testCluster runs machines on a virtual clock.
type testCluster struct {
	clock  *kernel.Kernel
	random *rand.Rand
	nodes  []*testNode
	view   cluster.View
	limits []record.ClassLimit
	// even divides the limits by the number of nodes instead.
	even bool
	// deliver says after which times a message arrives: once, never or often.
	deliver func(from, to *testNode) []time.Duration
	calls   machine.CallID
	good    int
	refused int
}

func newCluster(size int, seed uint64, limit record.ClassLimit) *testCluster {
	c := &testCluster{
		clock: kernel.New(seed, nil), random: rand.New(rand.NewPCG(seed, 1)),
		limits: []record.ClassLimit{limit}, view: cluster.View{Number: 1},
	}
	c.deliver = func(_, _ *testNode) []time.Duration {
		return []time.Duration{time.Millisecond + time.Duration(c.random.Int64N(int64(20*time.Millisecond)))}
	}
	for number := range size {
		c.view.Members = append(c.view.Members, cluster.Node{ID: cluster.NodeID(fmt.Sprintf("n%03d", number))})
	}
	for _, self := range c.view.Members {
		node := &testNode{cluster: c, self: self, live: c.view.Members}
		node.boot()
		c.nodes = append(c.nodes, node)
		c.clock.After(time.Duration(c.random.Int64N(int64(machine.TickInterval))), func() { c.tick(node) })
	}
	return c
}

func (c *testCluster) now() time.Time { return c.clock.Now() }

func (c *testCluster) run(length time.Duration) { c.clock.Run(c.clock.Elapsed() + length) }

func (c *testCluster) tick(node *testNode) {
	c.clock.After(machine.TickInterval, func() { c.tick(node) })
	if node.down || node.paused {
		return
	}
	if node.controller != nil {
		node.controller.SetShares(c.shares(node))
		node.controller.Tick(c.now())
		c.dispatch(node)
	}
	node.machine.Tick(c.now())
	c.flush(node)
}

func (c *testCluster) shares(node *testNode) []record.ClassLimit {
	if !c.even {
		return node.machine.Shares(c.now())
	}
	limit := c.limits[0]
	limit.Rate /= float64(len(c.nodes))
	limit.Concurrent = (limit.Concurrent + len(c.nodes) - 1) / len(c.nodes)
	return []record.ClassLimit{limit}
}

func (c *testCluster) flush(node *testNode) {
	for _, output := range node.outbox.Take() {
		message := output.(machine.SendPeer)
		index := slices.IndexFunc(c.nodes, func(n *testNode) bool { return n.self.ID == message.To })
		to := c.nodes[index]
		node.count(message)
		for _, wait := range c.deliver(node, to) {
			c.clock.After(wait, func() { c.receive(to, machine.PeerMessage{From: node.self.ID, Message: message.Message}) })
		}
	}
}

// count encodes a message as internal/peer does, one encoder a connection.
func (n *testNode) count(message machine.SendPeer) {
	n.sent++
	encoder := n.encoders[message.To]
	if encoder == nil {
		encoder = gob.NewEncoder(io.Writer(&n.bytes))
		n.encoders[message.To] = encoder
	}
	if err := encoder.Encode(struct{ Message any }{message.Message}); err != nil {
		panic(err)
	}
}

func (c *testCluster) receive(to *testNode, message machine.PeerMessage) {
	switch {
	case to.down:
	case to.paused:
		to.kept = append(to.kept, message)
	default:
		to.machine.HandleMessage(c.now(), message)
		c.flush(to)
	}
}

// offer sends calls to a node, each second as many as rate says, with a deadline
// of a second; the servers have room and take 20 ms.
func (c *testCluster) offer(node *testNode, rate float64, until time.Time) {
	if node.controller == nil {
		node.controller = admission.New(admission.Options{})
		node.controller.Register("lookup", "lookup")
		node.controller.SetShares(c.shares(node))
	}
	c.clock.After(time.Duration(c.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if !c.now().Before(until) {
			return
		}
		c.calls++
		node.controller.Offer(c.now(), admission.Item{
			Call: c.calls, Service: "lookup", Class: "lookup", Deadline: c.now().Add(time.Second),
		})
		c.dispatch(node)
		c.offer(node, rate, until)
	})
}

func (c *testCluster) dispatch(node *testNode) {
	const serviceTime = 20 * time.Millisecond
	node.controller.Dispatch(c.now(), func(item admission.Item) bool {
		c.clock.After(serviceTime, func() {
			node.controller.Ended(item, serviceTime)
			if !c.now().After(item.Deadline) {
				c.good++
			}
			c.dispatch(node)
		})
		return true
	})
	c.refused += len(node.controller.TakeRefused())
}
