package node

import (
	"fmt"

	"go.uber.org/zap"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// unknownLoad is the load of a back end that said nothing.
const unknownLoad = -1

// perform carries out one output. It does not block.
func (n *Node) perform(output machine.Output) {
	switch out := output.(type) {
	case machine.SendPeer:
		n.transport.Send(out.To, out.Address, out.Message)
	case machine.Reply:
		n.api.Reply(out)
	case machine.SendService:
		n.sendService(out)
	case machine.StartAttempt:
		n.startAttempt(out)
	case machine.CancelAttempt:
		n.cancelAttempt(out)
	case machine.OrderEngine:
		n.group.Go(func() { n.inbox.put(n.options.Engines.Order(n.work, out)) })
	case machine.PollBackend:
		n.group.Go(func() { n.inbox.put(n.options.Engines.Report(n.work, out)) })
	case machine.AppendLog:
		n.appendLog(out)
	case machine.ReadLog:
		n.readLog(out)
	case machine.ReadMachines:
		n.readMachines()
	case machine.Left:
		n.beginShutdown()
	default:
		n.log.Error("node: Unknown output.", zap.String("type", fmt.Sprintf("%T", output)))
	}
}

// sendService sends a kept request to a back end in a goroutine of its own.
func (n *Node) sendService(send machine.SendService) {
	attempt, ok := n.api.NewAttempt(send)
	if !ok {
		n.inbox.put(machine.ServiceResult{
			Call:    send.Call,
			Attempt: send.Attempt,
			Backend: send.Backend,
			Outcome: machine.SendNotSent,
			Load:    unknownLoad,
			Err:     "the caller is gone",
		})
		return
	}
	n.group.Go(func() {
		ctx := attempt.Context(n.work)
		result := n.options.Services.Send(ctx, attempt.Request)
		n.inbox.put(attempt.End(result))
	})
}

// readMachines reads the machine list, unless a read is running: its answer
// will do for both.
func (n *Node) readMachines() {
	if !n.listing.CompareAndSwap(false, true) {
		return
	}
	n.group.Go(func() {
		machines, err := n.options.Machines.Machines(n.work)
		list := machine.MachineList{Machines: machines}
		if err != nil {
			list.Err = err.Error()
		}
		n.listing.Store(false)
		n.inbox.put(list)
	})
}

// logAttempt logs an error with the step and the peer at which it arose.
func (n *Node) logAttempt(message string, id machine.AttemptID, engine cluster.BackendID, err error) {
	n.log.Info(message,
		zap.String("step", id.Step),
		zap.String("attempt", id.String()),
		zap.String("peer", string(engine)),
		zap.Error(err))
}
