package sim

import (
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/sim/fault"
	"dalehook/internal/sim/process"
)

// Node is one simulated dalehook process with its driver.
type Node struct {
	process.Process
	world    *World
	identity cluster.Node
	machine  machine.Machine
	random   *rand.Rand
	calls    map[machine.CallID]*call
	lastCall machine.CallID
	links    map[cluster.NodeID]*link
	streams  []*attemptStream
	// believed is the time that a process which wakes takes for the present.
	believed time.Time
	frozenAt time.Time
	held     []machine.Output
	// busyUntil is when a slow process has worked off its inputs.
	busyUntil time.Duration
	leaving   bool
	leavingAt time.Duration
	// left is set when the node has ended for good.
	left bool
	// listed is whether callers' health checks last found the node ready.
	listed bool
	probes []Probe
	// peerBytes counts what the node sent to other nodes.
	peerBytes uint64
}

// Probe is one look at a node's status from the outside.
type Probe struct {
	At    time.Duration
	Life  int
	Ready bool
	// Frozen is set when the node stood still within the last seconds.
	Frozen bool
	Status machine.StatusReport
}

// readiness is what a machine has when it can say whether it takes requests.
type readiness interface{ Ready() bool }

func newNode(w *World, identity cluster.Node) *Node {
	return &Node{
		world: w, identity: identity, random: w.kernel.Rand("node/" + string(identity.ID)),
		links: make(map[cluster.NodeID]*link),
	}
}

func (n *Node) place() fault.Place { return place(n.identity.ID, n.identity.Zone) }

// start begins a new life with a new incarnation and an empty memory.
func (n *Node) start() {
	w := n.world
	n.Process.Start()
	n.identity.Incarnation = cluster.Incarnation(w.kernel.Now().UnixMilli())
	n.calls = make(map[machine.CallID]*call)
	n.links = make(map[cluster.NodeID]*link)
	n.streams, n.held, n.believed, n.busyUntil = nil, nil, time.Time{}, 0
	n.leaving, n.left, n.listed = false, false, false
	w.kernel.Record("start", string(n.identity.ID), "", uint64(n.identity.Incarnation))
	n.machine = w.options.Factory(n.identity, w.seedAddresses(), n.random.Uint64())
	w.machines.Set(cluster.Machine{
		ID: cluster.BackendID(n.identity.ID), Kind: cluster.KindNode, Zone: n.identity.Zone, Region: n.identity.Region,
		Address: n.identity.ClientAddress, PeerAddress: n.identity.PeerAddress,
		State: cluster.StateLive, Incarnation: n.identity.Incarnation,
	})
	life := n.Life()
	offset := time.Duration(n.random.Int64N(int64(machine.TickInterval)))
	w.kernel.Every(offset, machine.TickInterval, func() bool { return n.tick(life) })
}

// tick steps a Tick; a process that stands still or lags behind skips it.
func (n *Node) tick(life int) bool {
	if n.Life() != life {
		return false
	}
	if !n.Frozen() && n.busyUntil < n.world.kernel.Elapsed()+machine.TickInterval {
		n.input(life, machine.Tick{})
	}
	return true
}

// slowInput is how long a slow process takes for one input.
const slowInput = 8 * time.Millisecond

// input hands an input to the machine if the process still lives the given life.
func (n *Node) input(life int, in machine.Input) {
	if n.Life() != life {
		return
	}
	now := n.world.kernel.Elapsed()
	if !n.world.faults.On(fault.Slow, string(n.identity.ID)) && n.busyUntil <= now {
		n.Deliver(func() { n.step(in) })
		return
	}
	n.busyUntil = max(n.busyUntil, now) + slowInput
	n.world.kernel.At(n.busyUntil, func() {
		if n.Life() == life {
			n.Deliver(func() { n.step(in) })
		}
	})
}

func (n *Node) step(in machine.Input) {
	now := n.world.kernel.Now()
	if !n.believed.IsZero() {
		now, n.believed = n.believed, time.Time{}
	}
	if _, tick := in.(machine.Tick); !tick {
		n.world.kernel.Record("input", string(n.identity.ID), reflect.TypeOf(in).String(), inputNumber(in))
		if n.world.kernel.Tracing() {
			n.world.kernel.Note("%s", traceText(in))
		}
	}
	if result, ok := in.(machine.ServiceResult); ok {
		in = n.relay(result)
	}
	n.machine.Step(now, in)
	n.carryOut(n.machine.Take())
}

// traceText writes a value for the trace. JSON shows what pointers point to.
func traceText(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// inputNumber adds the detail of a frequent input to the trace's hash.
func inputNumber(in machine.Input) uint64 {
	switch in := in.(type) {
	case machine.AttemptChunk:
		return uint64(in.FromToken)<<32 | uint64(in.Tokens)
	case machine.AppendResult:
		return in.Offset
	case machine.LogEntries:
		return in.End
	case machine.ServiceResult:
		return uint64(in.Call)
	}
	return 0
}

// freeze makes the process stand still. Half of the time it does so between a
// step and the carrying out of its outputs.
func (n *Node) freeze() {
	if n.Up() && !n.Frozen() {
		n.frozenAt = n.world.kernel.Now()
		if n.random.IntN(2) == 0 {
			n.machine.Step(n.frozenAt, machine.Tick{})
			n.held = n.machine.Take()
		}
		n.Process.Freeze()
	}
}

// thaw lets the process go on: it carries out what it had decided, and steps
// its next input with the time that it read before it stood still.
func (n *Node) thaw() {
	if !n.Up() || !n.Frozen() {
		return
	}
	held := n.held
	n.held = nil
	n.believed = n.frozenAt
	n.carryOut(held)
	n.Process.Thaw()
}

// crash ends the process with the loss of its memory; its connections break.
func (n *Node) crash() {
	if !n.Up() {
		return
	}
	n.world.kernel.Record("crash", string(n.identity.ID), "", 0)
	n.end()
}

// end ends the process and breaks its connections.
func (n *Node) end() {
	n.Process.End()
	streams, calls := n.streams, n.openCalls()
	n.streams = nil
	for _, s := range streams {
		s.engine.Detach(s.id, s)
	}
	for _, c := range calls {
		n.world.network.answer(n.place(), c.client, func() { c.end(CallResult{Outcome: CallLost}) })
	}
	n.world.machines.SetState(cluster.BackendID(n.identity.ID), cluster.StateDead)
}

// leave begins a planned stop.
func (n *Node) leave() {
	if !n.Up() || n.leaving {
		return
	}
	n.leaving = true
	n.leavingAt = n.world.kernel.Elapsed()
	n.world.kernel.Record("leave", string(n.identity.ID), "", 0)
	n.world.machines.SetState(cluster.BackendID(n.identity.ID), cluster.StateLeaving)
	n.input(n.Life(), machine.Leave{})
}

// finishLeaving ends a process that said that nothing is left to finish. An open
// call then is a request that a planned stop has cut.
func (n *Node) finishLeaving() {
	if !n.leaving {
		n.world.violate("%s left without being asked to", n.identity.ID)
	}
	for _, c := range n.openCalls() {
		if !c.settled {
			n.world.violate("%s left with call %d (%s) open", n.identity.ID, c.id, c.what)
		}
	}
	n.world.kernel.Record("left", string(n.identity.ID), "", 0)
	n.left = true
	n.end()
}

// Identity returns the node as its peers know it.
func (n *Node) Identity() cluster.Node { return n.identity }

// Probes returns what was seen of the node's status.
func (n *Node) Probes() []Probe { return n.probes }
