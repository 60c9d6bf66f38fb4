package idempotency

import (
	"time"

	"dalehook/internal/machine"
)

// finish takes what a started request has come to, answers the calls that wait
// for it at this node, and records it.
func (c *coordinator) finish(now time.Time, call machine.CallID, response *machine.Response) {
	op := c.byCall[call]
	if op == nil || op.phase != phaseStarted || op.request.Call != call {
		return
	}
	op.outcome = Marker{Attempt: op.attempt, Digest: op.request.Digest, State: StateUnknown}
	if response != nil {
		op.outcome.State = StateAnswered
		if responseSize(*response) <= c.options.MostAnswer {
			op.outcome.Response = response
		}
	}
	op.phase = phaseRecording
	op.recordUntil = now.Add(recordTime)
	delete(c.byCall, call)
	c.ledger.put(now, op.attempt, ProgressEnded)
	c.deliverFollowers(op, op.outcome)
	c.sendRecords(now, op, true)
}

// sendRecords sends the outcome to the replicas that have not acknowledged it;
// with restart to all of the group of the view in force.
func (c *coordinator) sendRecords(now time.Time, op *operation, restart bool) {
	if restart {
		view := c.options.Environment.View()
		op.view = view.Number
		op.group = c.groups.group(view, slotOf(op.request.Key))
		op.acknowledged = make([]bool, len(op.group))
	}
	op.nextSend = now.Add(resendEvery)
	for i, replica := range op.group {
		if !op.acknowledged[i] {
			c.transport.send(replica, Record{View: op.view, Key: op.request.Key, Marker: op.outcome})
		}
	}
}

// handleRecordReply closes an operation once a majority holds its outcome.
func (c *coordinator) handleRecordReply(from sender, reply RecordReply) {
	op := c.byKey[reply.Key]
	if op == nil || op.phase != phaseRecording || op.attempt != reply.Attempt || op.view != reply.View {
		return
	}
	index := indexOf(op.group, from.id, from.incarnation)
	if index < 0 {
		return
	}
	op.acknowledged[index] = true
}

// tickRecording repeats records until a majority has acknowledged them. The
// outcome stays for a moment after that, for the replicas that are slower.
func (c *coordinator) tickRecording(now time.Time, op *operation) {
	if op.recorded() || !now.Before(op.recordUntil) {
		c.close(now, op)
		return
	}
	if !now.Before(op.nextSend) {
		c.sendRecords(now, op, op.view != c.options.Environment.View().Number)
	}
}

// recorded reports whether a majority holds the outcome.
func (o *operation) recorded() bool {
	count := 0
	for _, acknowledged := range o.acknowledged {
		if acknowledged {
			count++
		}
	}
	return count >= majority(o.group)
}
