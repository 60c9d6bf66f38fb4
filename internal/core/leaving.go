package core

import (
	"net/http"
	"time"

	"dalehook/internal/machine"
)

// startingRetryAfter is what a caller is told while the node has no state yet.
const startingRetryAfter = time.Second

// leaving is the state of a planned stop.
type leaving struct {
	since time.Time
	done  bool
}

func (l leaving) started() bool { return !l.since.IsZero() }

// beginLeave starts the planned stop; a second Leave changes nothing.
func (c *Core) beginLeave(now time.Time) {
	if c.leave.started() {
		return
	}
	c.leave.since = now
	c.membership.Leave(now)
	c.rollout.Leave(now)
	c.request.Leave(now)
}

// tickLeave ends the planned stop when callers' lists had time to follow and
// nothing is left to finish.
func (c *Core) tickLeave(now time.Time) {
	if !c.leave.started() || c.leave.done || now.Sub(c.leave.since) < c.options.leaveGrace() {
		return
	}
	if c.rollout.Busy() || c.request.Busy() || c.operator.Busy() {
		return
	}
	c.leave.done = true
	c.outbox.Add(machine.Left{})
}

// refuseStarting answers a call that came before the node has state.
func (c *Core) refuseStarting(in machine.Input) {
	call, ok := callOf(in)
	if !ok {
		return
	}
	c.outbox.Add(machine.Reply{Call: call, Body: machine.Failure{
		Status: http.StatusServiceUnavailable, Code: machine.CodeStarting, Step: "start", Peer: string(c.options.Self.ID),
		Message: "this node has no state yet, neither from its peers nor from the log", NotRun: true, RetryAfter: startingRetryAfter,
	}})
}

func callOf(in machine.Input) (machine.CallID, bool) {
	switch in := in.(type) {
	case machine.PostStep:
		return in.Call, true
	case machine.ReadSamples:
		return in.Call, true
	case machine.ServiceCall:
		return in.Call, true
	case machine.PostPlan:
		return in.Call, true
	case machine.GetPlan:
		return in.Call, true
	case machine.ConfirmPlan:
		return in.Call, true
	case machine.WithdrawEvent:
		return in.Call, true
	}
	return 0, false
}
