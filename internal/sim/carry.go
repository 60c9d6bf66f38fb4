package sim

import (
	"time"

	"dalehook/internal/machine"
	"dalehook/internal/sim/fault"
	"dalehook/internal/sim/process"
)

// Times after which the driver gives up waiting for an answer.
const (
	pollTimeout  = 2 * time.Second
	orderTimeout = 2 * time.Second
	storeTimeout = 3 * time.Second
)

// carryOut does what the machine asked its driver to do.
func (n *Node) carryOut(outputs []machine.Output) {
	life := n.Life()
	for _, out := range outputs {
		if n.Life() != life {
			return
		}
		n.carryOutOne(out)
	}
}

func (n *Node) carryOutOne(out machine.Output) {
	if n.world.kernel.Tracing() {
		n.world.kernel.Note("%s -> %T %s", n.identity.ID, out, traceText(out))
	}
	switch out := out.(type) {
	case machine.SendPeer:
		n.sendPeer(out)
	case machine.Reply:
		n.reply(out)
	case machine.SendService:
		n.sendService(out)
	case machine.StartAttempt:
		n.startAttempt(out)
	case machine.CancelAttempt:
		n.cancelAttempt(out)
	case machine.OrderEngine:
		n.orderEngine(out)
	case machine.PollBackend:
		n.pollBackend(out)
	case machine.AppendLog:
		n.appendLog(out)
	case machine.ReadLog:
		n.readLog(out)
	case machine.ReadMachines:
		n.readMachines()
	case machine.Left:
		n.finishLeaving()
	default:
		n.world.violate("%s left an output of unknown type %T", n.identity.ID, out)
	}
}

// exchange is one request to a process outside and its one answer.
type exchange struct {
	to      fault.Place
	process *process.Process
	timeout time.Duration
	// work runs at the far side and answers with an input for the machine.
	work func(answer func(machine.Input))
	// failed makes the input for an exchange without an answer. Sent is false
	// when no byte left.
	failed func(reason string, sent bool) machine.Input
}

// exchange carries out one request over a connection of its own. The machine
// hears of it exactly once.
func (n *Node) exchange(e exchange) {
	w, life, settled := n.world, n.Life(), false
	settle := func(in machine.Input) {
		if !settled {
			settled = true
			n.input(life, in)
		}
	}
	back := func(in machine.Input) {
		w.network.answer(e.to, n.place(), func() { settle(in) })
	}
	w.network.connect(n.place(), e.to, func() {
		run := func() { e.work(back) }
		if e.process == nil {
			run()
		} else if !e.process.Deliver(run) {
			back(e.failed("connection refused", false))
		}
	}, func() { settle(e.failed("connect timeout", false)) })
	w.kernel.After(max(e.timeout, connectTimeout+time.Millisecond), func() { settle(e.failed("timeout", true)) })
}

func (w *World) platformPlace() fault.Place {
	return fault.Place{Name: fault.Platform, Zone: fault.Platform}
}

func (n *Node) appendLog(out machine.AppendLog) {
	n.exchange(exchange{
		to: n.world.platformPlace(), timeout: storeTimeout,
		work: func(answer func(machine.Input)) {
			n.world.log.Append(out.Log, out.Record, func(r machine.AppendResult) { answer(r) })
		},
		failed: func(reason string, sent bool) machine.Input {
			outcome := machine.AppendNotDone
			if sent {
				outcome = machine.AppendUnknown
			}
			return machine.AppendResult{Log: out.Log, ID: out.Record.ID, Outcome: outcome, Err: reason}
		},
	})
}

func (n *Node) readLog(out machine.ReadLog) {
	n.exchange(exchange{
		to: n.world.platformPlace(), timeout: out.Wait + storeTimeout,
		work: func(answer func(machine.Input)) {
			n.world.log.Read(out.Log, out.From, out.Wait, func(r machine.LogEntries) { answer(r) })
		},
		failed: func(reason string, _ bool) machine.Input {
			return machine.LogEntries{Log: out.Log, From: out.From, Err: reason}
		},
	})
}

func (n *Node) readMachines() {
	n.exchange(exchange{
		to: n.world.platformPlace(), timeout: storeTimeout,
		work: func(answer func(machine.Input)) {
			if n.world.faults.On(fault.StoreDown, fault.Platform) {
				answer(machine.MachineList{Err: "connection refused"})
				return
			}
			answer(machine.MachineList{Machines: n.world.machines.Read()})
		},
		failed: func(reason string, _ bool) machine.Input { return machine.MachineList{Err: reason} },
	})
}

func (n *Node) pollBackend(out machine.PollBackend) {
	e := exchange{
		to: place(out.Backend, n.world.backendZone(out.Backend)), timeout: pollTimeout,
		failed: func(reason string, _ bool) machine.Input {
			return machine.BackendReport{Backend: out.Backend, Err: reason}
		},
	}
	if engine := n.world.engine(out.Backend); engine != nil {
		e.process = &engine.Process
		e.work = func(answer func(machine.Input)) { answer(engine.Report()) }
	} else if service := n.world.service(out.Backend); service != nil {
		e.process = &service.Process
		e.work = func(answer func(machine.Input)) { answer(service.Report()) }
	} else {
		n.world.violate("%s polled %q, which does not exist", n.identity.ID, out.Backend)
		return
	}
	n.exchange(e)
}

func (n *Node) orderEngine(out machine.OrderEngine) {
	engine := n.world.engine(out.Engine)
	if engine == nil {
		n.world.violate("%s ordered %q, which does not exist", n.identity.ID, out.Engine)
		return
	}
	n.world.kernel.Record("order", string(n.identity.ID), string(out.Engine), uint64(out.Version))
	n.exchange(exchange{
		to: place(out.Engine, n.world.backendZone(out.Engine)), process: &engine.Process, timeout: orderTimeout,
		work: func(answer func(machine.Input)) { answer(engine.Order(out)) },
		failed: func(reason string, _ bool) machine.Input {
			return machine.OrderResult{Engine: out.Engine, Fence: out.Fence, Err: reason}
		},
	})
}
