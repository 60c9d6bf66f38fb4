package lease_test

import (
	"fmt"
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/lease"
	"dalehook/internal/logwriter"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// detection is the time that the modelled failure detector takes.
const detection = 5 * time.Second

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// testCluster is a set of nodes on one virtual clock before one log.
type testCluster struct {
	now time.Time
	log []record.Record
	// writtenAt is the time of each record; readers see it readLag later.
	writtenAt []time.Time
	readLag   time.Duration
	down      bool
	nodes     []*testNode
	// split cuts the nodes of side false off from those of side true; both reach
	// the log.
	split bool
	// calls counts the appends that were tried.
	calls int
}

// testNode is a process with its own fold; it implements lease.Environment.
type testNode struct {
	cluster   *testCluster
	self      cluster.Node
	outbox    machine.Outbox
	writer    *logwriter.Writer
	leases    *lease.Manager
	publisher *lease.ViewPublisher
	control   *record.Control
	dead      bool
	paused    bool
	cut       bool
	// deaf is set when no peer is there to be heard.
	deaf    bool
	leaving bool
	side    bool
	// quietSince is when peers last heard of it.
	quietSince time.Time
	heardAt    time.Time
	caughtUpAt time.Time
}

func newTestCluster(size int) *testCluster {
	c := &testCluster{now: start}
	for i := range size {
		c.nodes = append(c.nodes, c.startNode(fmt.Sprintf("n%03d", i), 1))
	}
	return c
}

func (c *testCluster) startNode(id string, incarnation cluster.Incarnation) *testNode {
	node := &testNode{
		cluster:    c,
		self:       cluster.Node{ID: cluster.NodeID(id), Incarnation: incarnation, Zone: "cercado"},
		control:    record.NewControl(),
		quietSince: c.now,
	}
	node.writer = logwriter.New(logwriter.Options{Outbox: &node.outbox, Self: node.self, Seed: uint64(incarnation)})
	node.leases = lease.New(lease.Options{Self: node.self, Writer: node.writer, Environment: node})
	node.publisher = lease.NewViewPublisher(lease.ViewOptions{Writer: node.writer, Environment: node, Leases: node.leases})
	node.leases.Want(record.DutyView, true)
	return node
}

func (n *testNode) Control() *record.Control { return n.control }

func (n *testNode) StoreDown() bool { return n.cluster.down || n.cut }

func (n *testNode) LastContact() time.Time { return n.heardAt }

func (n *testNode) CaughtUpAt() time.Time { return n.caughtUpAt }

func (n *testNode) LiveNodes() []cluster.Node {
	var live []cluster.Node
	for _, other := range n.cluster.nodes {
		heard := !n.cut && n.cluster.now.Sub(other.quietSince) < detection && (!n.cluster.split || n.side == other.side)
		if (other == n || heard) && !other.leaving {
			live = append(live, other.self)
		}
	}
	return live
}

func (n *testNode) Leaving(id cluster.NodeID) bool {
	return slices.ContainsFunc(n.cluster.nodes, func(other *testNode) bool {
		return other.self.ID == id && other.leaving && !other.dead
	})
}

// advance runs the cluster for a time.
func (c *testCluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(machine.TickInterval) {
		for _, node := range c.nodes {
			if !node.dead && !node.paused {
				node.tick()
			}
		}
	}
}

func (n *testNode) tick() {
	now := n.cluster.now
	if !n.cut {
		n.quietSince = now
	}
	n.writer.Tick(now)
	n.leases.Tick(now)
	n.publisher.Tick(now)
	n.exchange(now)
}

// exchange does the driver's work: appends, reads, and the peers' messages. A
// process that comes back from a pause ticks before it reads.
func (n *testNode) exchange(now time.Time) {
	for _, output := range n.outbox.Take() {
		n.append(now, output.(machine.AppendLog))
	}
	if n.cut {
		return
	}
	if n.StoreDown() {
		if !n.deaf {
			n.heardAt = now
		}
		return
	}
	n.heardAt = now
	for offset := n.control.Offset() + 1; offset <= uint64(len(n.cluster.log)); offset++ {
		if now.Sub(n.cluster.writtenAt[offset-1]) < n.cluster.readLag {
			return
		}
		entry := record.Entry{Offset: offset, Record: n.cluster.log[offset-1]}
		change := n.control.Apply(entry)
		n.writer.HandleEntry(now, record.ControlLog, entry)
		n.leases.HandleChange(now, entry, change)
	}
	n.caughtUpAt = now
}

func (n *testNode) append(now time.Time, in machine.AppendLog) {
	n.cluster.calls++
	result := machine.AppendResult{Log: in.Log, ID: in.Record.ID, Outcome: machine.AppendNotDone}
	if !n.StoreDown() {
		n.cluster.write(in.Record)
		result.Outcome = machine.AppendDone
		result.Offset = uint64(len(n.cluster.log))
	}
	n.writer.HandleResult(now, result)
}

// write puts a record on the log.
func (c *testCluster) write(r record.Record) {
	c.log = append(c.log, r)
	c.writtenAt = append(c.writtenAt, c.now)
}

// truth folds the whole log, as somebody who sees all would.
func (c *testCluster) truth() *record.Control {
	control := record.NewControl()
	for i, r := range c.log {
		control.Apply(record.Entry{Offset: uint64(i + 1), Record: r})
	}
	return control
}

// holders returns the running nodes that say that they hold the view's duty.
func (c *testCluster) holders() []*testNode {
	var holders []*testNode
	for _, node := range c.nodes {
		if _, holds := node.leases.Holds(c.now, record.DutyView); holds && !node.dead && !node.paused {
			holders = append(holders, node)
		}
	}
	return holders
}

// claims counts the claims on the log.
func (c *testCluster) claims() int {
	claims := 0
	for _, r := range c.log {
		if _, ok := r.Body.(record.LeaseClaimed); ok {
			claims++
		}
	}
	return claims
}

// views counts the published views on the log.
func (c *testCluster) views() int {
	views := 0
	for _, r := range c.log {
		if _, ok := r.Body.(record.ViewPublished); ok {
			views++
		}
	}
	return views
}

// replace ends a node and starts a new life under its name.
func (c *testCluster) replace(old *testNode) *testNode {
	old.dead = true
	next := c.startNode(string(old.self.ID), old.self.Incarnation+1)
	c.nodes[slices.Index(c.nodes, old)] = next
	return next
}
