package follower

import (
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/membership"
	"dalehook/internal/record"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// network runs followers before one control log on a virtual clock. Every node
// knows the same members; neighbours are the next and previous three by id.
type network struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	nodes   []*testNode
	members []membership.Member
	waiting []delivery
	log     []record.Entry
	logDown bool
	loss    float64
	largest int
	// trace takes a line for each message; nil for none.
	trace *bytes.Buffer
}

// testNode is a follower with what its network does to it.
type testNode struct {
	*Machine
	self    cluster.Node
	outbox  machine.Outbox
	applied []uint64
	// readsFail cuts this node off from the log.
	readsFail bool
	reads     int
	restores  int
}

// delivery is a message, or an answer of the log, on its way.
type delivery struct {
	at    time.Time
	to    *testNode
	input machine.Input
	// held is a read that the log holds back; input is nil then.
	held *machine.ReadLog
}

func newNetwork(t *testing.T) *network {
	return &network{t: t, now: epoch, random: rand.New(rand.NewPCG(3, 4))}
}

// add starts a node in one of two zones.
func (n *network) add() *testNode {
	number := len(n.nodes)
	self := cluster.Node{
		ID:          cluster.NodeID(fmt.Sprintf("n%02d", number)),
		Incarnation: 1,
		Zone:        cluster.ZoneName([]string{"a", "b"}[number%2]),
		PeerAddress: fmt.Sprintf("10.0.0.%d:7000", number),
	}
	node := &testNode{self: self}
	node.Machine = New(Options{
		Self:       self,
		Outbox:     &node.outbox,
		Members:    func() []membership.Member { return n.members },
		Neighbours: func() []cluster.Node { return n.neighbours(number) },
		Seed:       uint64(number),
		OnEntry: func(_ time.Time, entry record.Entry, _ record.Change) {
			node.applied = append(node.applied, entry.Offset)
		},
		OnRestore: func(_ time.Time, control *record.Control) {
			node.restores++
			node.applied = append(node.applied, control.Offset())
		},
	})
	n.nodes = append(n.nodes, node)
	n.members = append(n.members, membership.Member{Node: self})
	return node
}

// neighbours returns the nodes around a number that run.
func (n *network) neighbours(number int) []cluster.Node {
	var found []cluster.Node
	for distance := 1; distance <= 3; distance++ {
		for _, other := range []int{number + distance, number - distance + 3*len(n.nodes)} {
			node := n.nodes[other%len(n.nodes)]
			if node.self.ID != n.nodes[number].self.ID && !slices.Contains(found, node.self) {
				found = append(found, node.self)
			}
		}
	}
	return found
}

// append puts records on the log.
func (n *network) append(count int, text string) {
	for range count {
		offset := uint64(len(n.log) + 1)
		n.log = append(n.log, record.Entry{Offset: offset, Record: record.Record{
			ID:   record.ID(fmt.Sprintf("r%d", offset)),
			Body: record.VersionAnnounced{Model: cluster.ModelName("m" + text), Version: cluster.Version(offset)},
		}})
	}
}

// run advances virtual time.
func (n *network) run(duration time.Duration) {
	end := n.now.Add(duration)
	for n.now.Before(end) {
		n.now = n.now.Add(10 * time.Millisecond)
		n.deliver()
		for _, node := range n.nodes {
			if n.now.Sub(epoch)%machine.TickInterval != 0 {
				continue
			}
			node.Tick(n.now)
			n.collect(node)
		}
	}
}

// deliver hands over what is due, in the order in which it was sent.
func (n *network) deliver() {
	var later []delivery
	due := n.waiting
	n.waiting = nil
	for _, next := range due {
		if next.at.After(n.now) {
			later = append(later, next)
			continue
		}
		switch input := next.input.(type) {
		case machine.PeerMessage:
			next.to.HandleMessage(n.now, input)
		case machine.LogEntries:
			next.to.HandleEntries(n.now, input)
		default:
			n.readLater(next.to, *next.held, n.now)
		}
		n.collect(next.to)
	}
	n.waiting = append(later, n.waiting...)
}

// collect carries out what a node left in its outbox.
func (n *network) collect(node *testNode) {
	for _, output := range node.outbox.Take() {
		switch output := output.(type) {
		case machine.ReadLog:
			node.reads++
			n.readLater(node, output, n.now)
		case machine.SendPeer:
			n.send(node, output)
		}
	}
}

// send puts a message on its way.
func (n *network) send(from *testNode, output machine.SendPeer) {
	if n.random.Float64() < n.loss {
		return
	}
	if n.trace != nil {
		fmt.Fprintf(n.trace, "%6.2fs %s -> %s %T %s\n", n.now.Sub(epoch).Seconds(), from.self.ID, output.To, output.Message, summary(output.Message))
	}
	at := slices.IndexFunc(n.nodes, func(node *testNode) bool { return node.self.ID == output.To })
	message := machine.PeerMessage{From: from.self.ID, FromIncarnation: from.self.Incarnation, Message: output.Message}
	n.waiting = append(n.waiting, delivery{at: n.now.Add(10 * time.Millisecond), to: n.nodes[at], input: message})
	switch sent := output.Message.(type) {
	case push:
		size := 0
		for _, entry := range sent.Entries {
			size += entrySize(entry)
		}
		n.largest = max(n.largest, size)
	case piece:
		n.largest = max(n.largest, len(sent.Data))
	}
}

// summary prints a message without the bodies of entries and pieces.
func summary(message any) string {
	switch message := message.(type) {
	case push:
		return fmt.Sprintf("%d entries up to %d", len(message.Entries), message.Offset)
	case piece:
		return fmt.Sprintf("piece %d of %d at %d", message.Number+1, message.Count, message.Offset)
	default:
		return fmt.Sprintf("%+v", message)
	}
}

// readLater answers a read, or looks again until its wait is over.
func (n *network) readLater(node *testNode, read machine.ReadLog, now time.Time) {
	answer := machine.LogEntries{Log: read.Log, From: read.From, End: uint64(len(n.log))}
	if n.logDown || node.readsFail {
		answer.Err = "connection refused"
		answer.End = 0
	} else if read.From <= uint64(len(n.log)) {
		answer.Entries = slices.Clone(n.log[read.From-1 : min(len(n.log), int(read.From)+99)])
	} else if read.Wait > 0 {
		read.Wait -= 10 * time.Millisecond
		n.waiting = append(n.waiting, delivery{at: now.Add(10 * time.Millisecond), to: node, held: &read})
		return
	}
	n.waiting = append(n.waiting, delivery{at: now.Add(10 * time.Millisecond), to: node, input: answer})
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

// all reports whether a condition holds for each node.
func (n *network) all(condition func(node *testNode) bool) bool {
	for _, node := range n.nodes {
		if !condition(node) {
			return false
		}
	}
	return true
}

// caughtUp reports whether a node has folded the whole log.
func (n *network) caughtUp(node *testNode) bool { return node.Control().Offset() == uint64(len(n.log)) }

// checkForward fails when a node's offsets went back.
func (n *network) checkForward() {
	n.t.Helper()
	for _, node := range n.nodes {
		if !slices.IsSortedFunc(node.applied, cmp.Compare[uint64]) {
			n.t.Errorf("%s applied offsets out of order: %v", node.self.ID, node.applied)
		}
	}
}
