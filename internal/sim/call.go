package sim

import (
	"slices"
	"time"

	"dalehook/internal/machine"
	"dalehook/internal/sim/fault"
)

// CallOutcome says how a client's call ended.
type CallOutcome int

const (
	// CallAnswered means that a whole answer came.
	CallAnswered CallOutcome = iota + 1
	// CallNotConnected means that no connection was made.
	CallNotConnected
	// CallLost means that the connection broke or the client gave up waiting.
	CallLost
)

// CallResult is what a client sees of its call.
type CallResult struct {
	Outcome CallOutcome
	// Body is a reply of package machine when Outcome is CallAnswered.
	Body any
}

// call is one client's call at one node.
type call struct {
	id     machine.CallID
	client fault.Place
	node   *Node
	what   string
	// request is the body of a service request, which the driver keeps.
	request string
	// local is set for a look from inside the process, without a network.
	local bool
	done  func(CallResult)
	// settled is set when the client has its result, replied when the machine
	// has ended the call.
	settled bool
	replied bool
}

// end gives the client its result, once.
func (c *call) end(result CallResult) {
	if c.settled {
		return
	}
	c.settled = true
	c.done(result)
}

// callSpec is what a client asks.
type callSpec struct {
	client  fault.Place
	node    *Node
	what    string
	request string
	// timeout is how long the client waits.
	timeout time.Duration
	input   func(machine.CallID) machine.Input
	done    func(CallResult)
}

// call opens a client's call at a node.
func (w *World) call(spec callSpec) {
	c := &call{client: spec.client, node: spec.node, what: spec.what, request: spec.request, done: spec.done}
	n := spec.node
	w.kernel.Record("call", spec.what, string(n.identity.ID), 0)
	w.network.connect(spec.client, n.place(), func() {
		if !n.Up() {
			w.network.answer(n.place(), spec.client, func() { c.end(CallResult{Outcome: CallNotConnected}) })
			return
		}
		n.lastCall++
		c.id = n.lastCall
		n.calls[c.id] = c
		n.input(n.Life(), spec.input(c.id))
	}, func() { c.end(CallResult{Outcome: CallNotConnected}) })
	w.kernel.After(spec.timeout, func() { c.abandon() })
}

// abandon closes the client's side of a call that took too long.
func (c *call) abandon() {
	if c.settled {
		return
	}
	n, life := c.node, c.node.Life()
	if c.id != 0 && n.calls[c.id] == c && !c.replied {
		n.world.network.answer(c.client, n.place(), func() {
			if !c.replied {
				n.input(life, machine.CallGone{Call: c.id})
			}
		})
	}
	c.end(CallResult{Outcome: CallLost})
}

// reply carries the machine's answer to the client.
func (n *Node) reply(out machine.Reply) {
	c, ok := n.calls[out.Call]
	if !ok {
		n.world.violate("%s replied %T to call %d, which it does not have", n.identity.ID, out.Body, out.Call)
		return
	}
	if c.replied {
		n.world.violate("%s ended call %d (%s) twice, with %T", n.identity.ID, out.Call, c.what, out.Body)
		return
	}
	c.replied = true
	delete(n.calls, out.Call)
	n.world.kernel.Record("reply", c.what, string(n.identity.ID), 0)
	if n.world.kernel.Tracing() {
		n.world.kernel.Note("%T %s", out.Body, traceText(out.Body))
	}
	deliver := func() { c.end(CallResult{Outcome: CallAnswered, Body: out.Body}) }
	if c.local {
		deliver()
		return
	}
	n.world.network.answer(n.place(), c.client, deliver)
}

// openCalls returns the calls without an answer, in the order in which they came.
func (n *Node) openCalls() []*call {
	open := make([]*call, 0, len(n.calls))
	for _, c := range n.calls {
		open = append(open, c)
	}
	slices.SortFunc(open, func(a, b *call) int { return int(a.id) - int(b.id) })
	return open
}
