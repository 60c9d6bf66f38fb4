package bench

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/follower"
	"dalehook/internal/lease"
	"dalehook/internal/logwriter"
	"dalehook/internal/machine"
	"dalehook/internal/membership"
	"dalehook/internal/pool"
	"dalehook/internal/record"
)

// hollowNode is a node with all of its control machines and none of its work.
type hollowNode struct {
	self   cluster.Node
	outbox machine.Outbox
	now    time.Time

	writer     *logwriter.Writer
	membership *membership.Machine
	pool       *pool.Machine
	follower   *follower.Machine
	leases     *lease.Manager
	views      *lease.ViewPublisher

	lastContact time.Time
	down        bool
	pausedUntil time.Time
	usage       usage
}

// usage counts what a node has cost.
type usage struct {
	sentMessages     int
	sentBytes        int
	receivedMessages int
	receivedBytes    int
	polls            int
	logReads         int
	listReads        int
	// busy is processor time spent in the machines and in gob.
	busy time.Duration
}

// minus returns the usage since an earlier state.
func (u usage) minus(earlier usage) usage {
	return usage{
		sentMessages:     u.sentMessages - earlier.sentMessages,
		sentBytes:        u.sentBytes - earlier.sentBytes,
		receivedMessages: u.receivedMessages - earlier.receivedMessages,
		receivedBytes:    u.receivedBytes - earlier.receivedBytes,
		polls:            u.polls - earlier.polls,
		logReads:         u.logReads - earlier.logReads,
		listReads:        u.listReads - earlier.listReads,
		busy:             u.busy - earlier.busy,
	}
}

// newHollowNode composes the control machines in the way of internal/core.
func newHollowNode(self cluster.Node, seeds []string, seed uint64) *hollowNode {
	n := &hollowNode{self: self}
	n.writer = logwriter.New(logwriter.Options{Outbox: &n.outbox, Self: self, Seed: seed})
	n.membership = membership.New(membership.Options{
		Self: self, SeedAddresses: seeds, Seed: seed, Outbox: &n.outbox,
		OnBackendRumor: func(now time.Time, rumor membership.BackendRumor) { n.pool.HandleRumor(now, rumor) },
	})
	n.pool = pool.New(pool.Options{
		Self: self, Outbox: &n.outbox, Seed: seed,
		Members: n.membership.Members, SpreadBackend: n.membership.SpreadBackend,
	})
	n.follower = follower.New(follower.Options{
		Self: self, Outbox: &n.outbox, Seed: seed, OnEntry: n.handleEntry,
		Members: n.membership.Members, Neighbours: n.membership.Neighbours,
	})
	n.leases = lease.New(lease.Options{Self: self, Writer: n.writer, Environment: n})
	n.views = lease.NewViewPublisher(lease.ViewOptions{Writer: n.writer, Environment: n, Leases: n.leases})
	return n
}

// Control implements lease.Environment.
func (n *hollowNode) Control() *record.Control { return n.follower.Control() }

// LiveNodes implements lease.Environment.
func (n *hollowNode) LiveNodes() []cluster.Node { return n.membership.Live() }

// Leaving implements lease.Environment; no node of a measurement leaves.
func (n *hollowNode) Leaving(cluster.NodeID) bool { return false }

// StoreDown implements lease.Environment.
func (n *hollowNode) StoreDown() bool { return n.follower.StoreDown() }

// LastContact implements lease.Environment.
func (n *hollowNode) LastContact() time.Time { return n.lastContact }

// CaughtUpAt implements lease.Environment.
func (n *hollowNode) CaughtUpAt() time.Time { return n.follower.CaughtUpAt() }

// tick drives all machines in the order of internal/core.
func (n *hollowNode) tick(now time.Time) {
	n.now = now
	n.membership.Tick(now)
	n.follower.Tick(now)
	n.pool.Tick(now)
	n.wantDuties()
	n.leases.Tick(now)
	n.views.Tick(now)
	n.writer.Tick(now)
}

// wantDuties is ready to hold every duty once the node has state.
func (n *hollowNode) wantDuties() {
	ready := n.follower.Ready()
	n.leases.Want(record.DutyView, ready)
	for _, name := range n.pool.Pools() {
		n.leases.Want(record.DutyPool(name), ready)
	}
}

// directs reports whether the node holds the lease of any pool.
func (n *hollowNode) directs() bool {
	for _, name := range n.pool.Pools() {
		if _, holds := n.leases.Holds(n.now, record.DutyPool(name)); holds {
			return true
		}
	}
	return false
}

// holdsView reports whether the node holds the lease of the placement view.
func (n *hollowNode) holdsView() bool {
	_, holds := n.leases.Holds(n.now, record.DutyView)
	return holds
}

// handle passes an input to the machine that owns it.
func (n *hollowNode) handle(now time.Time, input machine.Input) {
	n.now = now
	switch input := input.(type) {
	case machine.Tick:
		n.tick(now)
	case machine.PeerMessage:
		n.lastContact = now
		_ = n.membership.HandleMessage(now, input) ||
			n.follower.HandleMessage(now, input) ||
			n.pool.HandleMessage(now, input)
	case machine.LogEntries:
		if input.Err == "" {
			n.lastContact = now
		}
		n.follower.HandleEntries(now, input)
	case machine.AppendResult:
		n.writer.HandleResult(now, input)
		if input.Outcome == machine.AppendDone {
			n.follower.Nudge(now, input.Offset)
		}
	case machine.MachineList:
		n.membership.HandleMachines(now, input.Machines)
		n.pool.HandleMachines(now, input.Machines)
	case machine.BackendReport:
		n.pool.HandleReport(now, input)
	}
}

// handleEntry passes a folded entry on.
func (n *hollowNode) handleEntry(now time.Time, entry record.Entry, change record.Change) {
	n.writer.HandleEntry(now, record.ControlLog, entry)
	n.leases.HandleChange(now, entry, change)
}
