package sim

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/sim/fault"
)

// schedule puts the faults and the looks from the outside on the clock.
func (w *World) schedule() {
	for _, f := range w.options.Schedule {
		w.kernel.At(f.At, func() { w.begin(f) })
		w.kernel.At(f.At+f.For, func() { w.finish(f) })
	}
	w.kernel.Every(probeInterval, probeInterval, func() bool {
		w.look()
		return true
	})
}

// begin starts a fault. A fault of a process that does not exist does nothing.
func (w *World) begin(f fault.Fault) {
	w.kernel.Record("fault", f.Target, string(f.Name), 1)
	w.faults.Start(f)
	if n := w.node(cluster.NodeID(f.Target)); n != nil {
		n.suffer(f)
	}
	if e := w.engine(cluster.BackendID(f.Target)); e != nil {
		w.sufferBackend(f, e)
	}
	if s := w.service(cluster.BackendID(f.Target)); s != nil {
		w.sufferBackend(f, s)
	}
	for _, t := range w.trainers {
		if t.options.Name == f.Target && f.Name == fault.Crash {
			t.crash()
		}
	}
}

// finish ends a fault.
func (w *World) finish(f fault.Fault) {
	w.kernel.Record("fault", f.Target, string(f.Name), 0)
	w.faults.End(f)
	if n := w.node(cluster.NodeID(f.Target)); n != nil {
		n.recover(f)
	}
	if e := w.engine(cluster.BackendID(f.Target)); e != nil {
		w.recoverBackend(f, e)
	}
	if s := w.service(cluster.BackendID(f.Target)); s != nil {
		w.recoverBackend(f, s)
	}
	for _, t := range w.trainers {
		if t.options.Name == f.Target && f.Name == fault.Crash {
			t.restart()
		}
	}
}

func (n *Node) suffer(f fault.Fault) {
	switch f.Name {
	case fault.Crash:
		n.crash()
	case fault.Freeze:
		n.freeze()
	case fault.Stop:
		n.leave()
	case fault.Replace:
		n.leave()
		n.world.addNode()
	}
}

func (n *Node) recover(f fault.Fault) {
	switch f.Name {
	case fault.Crash:
		if !n.Up() && !n.left {
			n.start()
		}
	case fault.Freeze:
		n.thaw()
	case fault.Stop:
		if !n.Up() {
			n.start()
		}
	}
}

// outsideProcess is an engine or a service server.
type outsideProcess interface {
	ID() cluster.BackendID
	Up() bool
	Frozen() bool
	Deliver(func()) bool
	Crash()
	Restart()
	Freeze()
	Thaw()
	Leave()
	Idle() bool
}

func (w *World) sufferBackend(f fault.Fault, b outsideProcess) {
	if !b.Up() {
		return
	}
	switch f.Name {
	case fault.Crash:
		b.Crash()
		w.machines.SetState(b.ID(), cluster.StateDead)
	case fault.Freeze:
		b.Freeze()
	case fault.Leave:
		b.Deliver(b.Leave)
		w.machines.SetState(b.ID(), cluster.StateLeaving)
		w.kernel.Every(drainTime, time.Second, func() bool { return w.goWhenIdle(f, b) })
	}
}

// drainTime is how long a leaving back end goes on listening at least.
const drainTime = 20 * time.Second

// goWhenIdle ends a back end that leaves and has nothing left to finish.
func (w *World) goWhenIdle(f fault.Fault, b outsideProcess) bool {
	if !b.Up() || !w.faults.On(f.Name, f.Target) {
		return false
	}
	if !b.Idle() {
		return true
	}
	b.Crash()
	w.machines.SetState(b.ID(), cluster.StateDead)
	return false
}

func (w *World) recoverBackend(f fault.Fault, b outsideProcess) {
	switch f.Name {
	case fault.Crash, fault.Leave:
		if b.Up() && f.Name == fault.Leave {
			b.Crash()
		}
		if !b.Up() {
			b.Restart()
			w.machines.SetState(b.ID(), cluster.StateLive)
		}
	case fault.Freeze:
		if b.Up() && b.Frozen() {
			b.Thaw()
		}
	}
}

// Times of the looks from the outside.
const (
	probeInterval = 500 * time.Millisecond
	// clientListLag is how long callers go on using a node after its health
	// check has changed.
	clientListLag = 2 * time.Second
)

// look reads the status of every node and refreshes what callers know.
func (w *World) look() {
	for _, n := range w.nodes {
		if w.options.Probe && n.Up() && !n.Frozen() {
			n.probe()
		}
		n.refreshListed()
	}
}

// probe asks for the node's status from inside the machine's host, without a
// network.
func (n *Node) probe() {
	n.lastCall++
	id := n.lastCall
	n.calls[id] = &call{id: id, client: n.place(), node: n, what: "probe", local: true, done: func(r CallResult) {
		if report, ok := r.Body.(machine.StatusReport); ok {
			n.probes = append(n.probes, Probe{At: n.world.kernel.Elapsed(), Life: n.Life(), Ready: n.ready(), Status: report})
		}
	}}
	n.input(n.Life(), machine.GetStatus{Call: id})
}

func (n *Node) ready() bool {
	r, ok := n.machine.(readiness)
	return n.Up() && (!ok || r.Ready())
}

// refreshListed lets callers learn, late, whether the node takes requests.
func (n *Node) refreshListed() {
	ready, life := n.ready() && !n.Frozen() && !n.leaving, n.Life()
	n.world.kernel.After(clientListLag, func() { n.listed = ready && (n.Life() == life || n.listed) })
}

// pick returns a node that callers know, none when they know none.
func (w *World) pick(draw func(int) int) *Node {
	known := make([]*Node, 0, len(w.nodes))
	for _, n := range w.nodes {
		if n.listed {
			known = append(known, n)
		}
	}
	if len(known) == 0 {
		return nil
	}
	return known[draw(len(known))]
}
