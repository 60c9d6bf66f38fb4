// Package core composes the state machines of one node into a single
// machine.Machine. It holds no logic of its own beyond passing inputs to the
// part that they belong to, and showing each part what it needs of the others.
package core

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/follower"
	"dalehook/internal/lease"
	"dalehook/internal/logwriter"
	"dalehook/internal/machine"
	"dalehook/internal/membership"
	"dalehook/internal/operator"
	"dalehook/internal/pool"
	"dalehook/internal/quota"
	"dalehook/internal/record"
	"dalehook/internal/request"
	"dalehook/internal/rollout"
	"dalehook/internal/weights"
)

// Core is the state of one node.
type Core struct {
	options Options
	outbox  machine.Outbox

	writer     *logwriter.Writer
	membership *membership.Machine
	follower   *follower.Machine
	pool       *pool.Machine
	leases     *lease.Manager
	views      *lease.ViewPublisher
	weights    *weights.Director
	rollout    *rollout.Machine
	request    *request.Machine
	quota      *quota.Machine
	operator   *operator.Machine

	environment   *environment
	subscriptions *subscriptions
	leave         leaving
}

// New returns a node that has just started and knows nothing.
func New(options Options) *Core {
	c := &Core{options: options}
	c.environment = &environment{core: c}
	c.buildControl()
	c.buildWork()
	return c
}

// buildControl makes the parts that nodes agree by.
func (c *Core) buildControl() {
	self, seed := c.options.Self, c.options.Seed
	c.writer = logwriter.New(logwriter.Options{Outbox: &c.outbox, Self: self, Seed: seed})
	c.membership = membership.New(membership.Options{
		Self: self, SeedAddresses: c.options.SeedAddresses, Seed: seed, Outbox: &c.outbox,
		OnBackendRumor: func(now time.Time, rumor membership.BackendRumor) { c.pool.HandleRumor(now, rumor) },
	})
	c.pool = pool.New(pool.Options{
		Self: self, Outbox: &c.outbox, Seed: seed,
		Members: c.membership.Members, SpreadBackend: c.membership.SpreadBackend,
	})
	c.subscriptions = newSubscriptions(c.pool.Subscribe)
	c.follower = follower.New(follower.Options{
		Self: self, Outbox: &c.outbox, Control: record.NewControl(), Seed: seed,
		OnEntry: c.handleControl, OnRestore: c.handleRestore,
		Members: c.membership.Members, Neighbours: c.membership.Neighbours,
	})
	c.leases = lease.New(lease.Options{Self: self, Writer: c.writer, Environment: leaseEnvironment{c.environment}})
	c.views = lease.NewViewPublisher(lease.ViewOptions{
		Writer: c.writer, Environment: leaseEnvironment{c.environment}, Leases: c.leases,
	})
}

// buildWork makes the parts that serve callers.
func (c *Core) buildWork() {
	self, seed := c.options.Self, c.options.Seed
	c.weights = weights.New(weights.Options{
		Outbox: &c.outbox, Environment: weightsEnvironment{c.environment}, Parameters: c.options.Weights,
	})
	c.rollout = rollout.New(rollout.Options{
		Self: self, Outbox: &c.outbox, Writer: c.writer, Environment: rolloutEnvironment{c.environment},
		Policy: c.options.EnginePolicy, Seed: seed, Limits: c.options.Rollout,
	})
	c.request = request.New(c.options.requestOptions(&c.outbox, requestEnvironment{c.environment}))
	c.quota = quota.New(quota.Options{
		Self: self, Outbox: &c.outbox, Environment: quotaEnvironment{requestEnvironment{c.environment}},
	})
	c.operator = operator.New(operator.Options{
		Self: self, Outbox: &c.outbox, Writer: c.writer, Environment: operatorEnvironment{c.environment},
	})
}

// Take implements machine.Machine. A message to a node named without an address,
// such as an answer, gets the address that membership knows; one to a node that
// it does not know is dropped.
func (c *Core) Take() []machine.Output {
	outputs := c.outbox.Take()
	kept := outputs[:0]
	for _, output := range outputs {
		if message, ok := output.(machine.SendPeer); ok && message.Address == "" {
			node, known := c.nodeOf(message.To)
			if !known {
				continue
			}
			message.Address = node.PeerAddress
			output = message
		}
		kept = append(kept, output)
	}
	return kept
}

// Ready reports whether the node may take callers' requests: it has state from
// its peers or from the log, and it is not leaving.
func (c *Core) Ready() bool { return c.serving() && !c.leave.started() }

// serving reports whether the node has state to serve from.
func (c *Core) serving() bool {
	return c.follower.Ready() && c.follower.Control().View().Number != 0
}

// Step implements machine.Machine.
func (c *Core) Step(now time.Time, in machine.Input) {
	switch in := in.(type) {
	case machine.Tick:
		c.tick(now)
	case machine.PeerMessage:
		c.handleMessage(now, in)
	case machine.Leave:
		c.beginLeave(now)
	default:
		if !c.handlePlatform(now, in) && !c.handleBackend(now, in) {
			c.handleCall(now, in)
		}
	}
}

// tick drives every part, those first whose state the others read.
func (c *Core) tick(now time.Time) {
	c.environment.now = now
	c.membership.Tick(now)
	c.follower.Tick(now)
	c.pool.Tick(now)
	c.wantDuties()
	c.leases.Tick(now)
	c.views.Tick(now)
	c.writer.Tick(now)
	c.subscribeDirected(now)
	c.weights.Tick(now)
	c.rollout.Tick(now)
	c.request.Tick(now)
	c.quota.Tick(now)
	c.operator.Tick(now)
	c.tickLeave(now)
}

// wantDuties says which duties this node is ready to hold.
func (c *Core) wantDuties() {
	wanted := c.follower.Ready() && !c.leave.started()
	c.leases.Want(record.DutyView, wanted)
	for _, name := range c.pool.Pools() {
		c.leases.Want(record.DutyPool(name), wanted)
	}
}

// handleMessage passes a peer's message to the part that owns its type.
func (c *Core) handleMessage(now time.Time, in machine.PeerMessage) {
	c.environment.lastContact = now
	_ = c.membership.HandleMessage(now, in) ||
		c.follower.HandleMessage(now, in) ||
		c.pool.HandleMessage(now, in) ||
		c.rollout.HandleMessage(now, in) ||
		c.request.HandleMessage(now, in) ||
		c.quota.HandleMessage(now, in) ||
		c.operator.HandleMessage(now, in)
}

// handlePlatform takes what the platform answered.
func (c *Core) handlePlatform(now time.Time, in machine.Input) bool {
	switch in := in.(type) {
	case machine.AppendResult:
		c.writer.HandleResult(now, in)
		if in.Outcome == machine.AppendDone && in.Log == record.ControlLog {
			c.follower.Nudge(now, in.Offset)
		}
	case machine.LogEntries:
		c.handleEntries(now, in)
	case machine.MachineList:
		if in.Err == "" {
			c.membership.HandleMachines(now, in.Machines)
			c.pool.HandleMachines(now, in.Machines)
		}
	default:
		return false
	}
	return true
}

// handleEntries passes what was read from a log to its reader. Entries of the
// control log reach the writer when they are folded.
func (c *Core) handleEntries(now time.Time, in machine.LogEntries) {
	if in.Err == "" {
		c.environment.lastContact = now
	}
	if in.Log == record.ControlLog {
		c.follower.HandleEntries(now, in)
		return
	}
	c.rollout.HandleEntries(now, in)
	for _, entry := range in.Entries {
		c.writer.HandleEntry(now, in.Log, entry)
	}
}

// handleBackend takes what back ends answered.
func (c *Core) handleBackend(now time.Time, in machine.Input) bool {
	switch in := in.(type) {
	case machine.AttemptChunk:
		c.rollout.HandleChunk(now, in)
	case machine.AttemptEnded:
		c.handleEnded(now, in)
	case machine.OrderResult:
		c.weights.HandleOrderResult(now, in)
		c.pool.Refresh(now, in.Engine)
	case machine.BackendReport:
		c.pool.HandleReport(now, in)
	case machine.ServiceResult:
		c.request.HandleResult(now, in)
	default:
		return false
	}
	return true
}

// handleEnded lets the pool learn from a stream that could not be opened.
func (c *Core) handleEnded(now time.Time, in machine.AttemptEnded) {
	if in.Reason == machine.EndUnreachable {
		c.pool.ObserveFailure(now, in.Engine, in.Err)
	}
	c.rollout.HandleEnded(now, in)
}

// handleCall takes what callers and operators ask.
func (c *Core) handleCall(now time.Time, in machine.Input) {
	switch in := in.(type) {
	case machine.CallGone:
		_ = c.rollout.HandleGone(now, in) || c.request.HandleGone(now, in) || c.operator.HandleGone(in)
	case machine.GetStatus:
		c.outbox.Add(machine.Reply{Call: in.Call, Body: c.status()})
	default:
		if !c.serving() {
			c.refuseStarting(in)
			return
		}
		c.handleWork(now, in)
	}
}

// handleWork takes calls that need the node's state.
func (c *Core) handleWork(now time.Time, in machine.Input) {
	switch in := in.(type) {
	case machine.PostStep:
		c.rollout.HandlePost(now, in)
	case machine.ReadSamples:
		c.rollout.HandleRead(now, in)
	case machine.ServiceCall:
		c.request.HandleCall(now, in)
	case machine.PostPlan:
		c.operator.HandlePost(now, in)
	case machine.GetPlan:
		c.operator.HandleGet(now, in)
	case machine.ConfirmPlan:
		c.operator.HandleConfirm(now, in)
	case machine.WithdrawEvent:
		c.operator.HandleWithdraw(now, in)
	}
}

// handleControl tells every part that the fold of the control log took an entry.
func (c *Core) handleControl(now time.Time, entry record.Entry, change record.Change) {
	c.writer.HandleEntry(now, record.ControlLog, entry)
	c.leases.HandleChange(now, entry, change)
	c.operator.HandleChange(entry, change)
	c.rollout.HandleChange(now, entry, change)
	if _, ok := change.Body.(record.ViewPublished); ok && change.Valid {
		c.passView(now)
	}
}

// handleRestore tells every part that a peer's snapshot replaced the fold.
func (c *Core) handleRestore(now time.Time, _ *record.Control) {
	c.operator.HandleRestore()
	c.rollout.HandleRestore(now)
	if c.follower.Control().View().Number != 0 {
		c.passView(now)
	}
}

func (c *Core) passView(now time.Time) {
	control := c.follower.Control()
	view := control.View()
	c.request.HandleView(now, view, view.Number == control.FirstView())
}

// nodeOf returns a member by its id, alive or not; this node is one.
func (c *Core) nodeOf(id cluster.NodeID) (cluster.Node, bool) {
	if id == c.options.Self.ID {
		return c.options.Self, true
	}
	member, ok := c.membership.Find(id)
	return member.Node, ok
}
