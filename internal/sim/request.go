package sim

import (
	"time"

	"dalehook/internal/machine"
	"dalehook/internal/sim/backend"
)

// okStatus is the status of every answer of a service server.
const okStatus = 200

// sendService sends a kept request to a back end.
func (n *Node) sendService(out machine.SendService) {
	w := n.world
	c, service := n.calls[out.Call], w.service(out.Backend)
	if c == nil || service == nil {
		w.violate("%s sent call %d to %q: no such call or back end", n.identity.ID, out.Call, out.Backend)
		return
	}
	began := w.kernel.Elapsed()
	result := machine.ServiceResult{Call: out.Call, Attempt: out.Attempt, Backend: out.Backend, Load: -1}
	w.kernel.Record("send", c.what, string(out.Backend), uint64(out.Attempt))
	n.exchange(exchange{
		to: place(out.Backend, w.backendZone(out.Backend)), process: &service.Process,
		timeout: out.Deadline.Sub(w.kernel.Now()),
		work: func(answer func(machine.Input)) {
			service.Handle(c.request, func(reply backend.ServiceReply) {
				answer(n.serviceResult(result, out, c, reply, began))
			})
		},
		failed: func(reason string, sent bool) machine.Input {
			result.Outcome, result.Err = machine.SendNotSent, reason
			if sent {
				result.Outcome = machine.SendUnknown
			}
			result.Took = w.kernel.Elapsed() - began
			return result
		},
	})
}

// serviceResult turns a server's reply into what the driver tells the machine.
func (n *Node) serviceResult(result machine.ServiceResult, out machine.SendService, c *call, reply backend.ServiceReply, began time.Duration) machine.Input {
	result.Load, result.Leaving = reply.Load, reply.Leaving
	result.Took = n.world.kernel.Elapsed() - began
	switch {
	case reply.Dropped:
		result.Load = -1
		result.Outcome, result.Err = machine.SendUnknown, "connection reset"
	case reply.Refused:
		result.Outcome, result.Err = machine.SendRefused, "503"
	case reply.Truncated:
		result.Load = -1
		result.Outcome, result.Err = machine.SendCut, "unexpected end"
		result.Relayed = out.Relay && n.random.IntN(2) == 0
	default:
		result.Outcome = machine.SendAnswered
		result.Relayed = out.Relay
	}
	if result.Outcome == machine.SendAnswered {
		result.Response = &machine.Response{Status: okStatus, Body: []byte(reply.Body)}
	}
	return result
}

// relay passes a relayed answer on to the caller, which ends the call. It runs
// when the answer has reached the node, just before the machine hears of it.
func (n *Node) relay(result machine.ServiceResult) machine.ServiceResult {
	if !result.Relayed {
		return result
	}
	response := result.Response
	result.Response = nil
	c := n.calls[result.Call]
	if c == nil {
		return result
	}
	delete(n.calls, result.Call)
	c.replied = true
	seen := CallResult{Outcome: CallLost}
	if result.Outcome == machine.SendAnswered {
		seen = CallResult{Outcome: CallAnswered, Body: machine.ServiceResponse{Response: *response}}
	}
	n.world.network.answer(n.place(), c.client, func() { c.end(seen) })
	return result
}
