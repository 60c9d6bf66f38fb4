package idempotency

import (
	"slices"
	"time"
)

// askEvery is the time between two questions to a rival's coordinator.
const askEvery = 100 * time.Millisecond

// yieldTo deals with attempts of other coordinators that stand in the way of a
// majority. The lowest attempt keeps its markers and goes on gathering, all
// others release theirs; both ask how the rivals stand.
func (c *coordinator) yieldTo(now time.Time, op *operation, t tally) {
	if len(op.rivals) == 0 {
		op.nextAsk = now
	}
	op.rivals = t.rivals
	if !op.lowest() || heldByMajority(op, t) {
		c.wait(now, op)
	}
	c.askRivals(now, op)
}

// heldByMajority reports whether a rival has its majority.
func heldByMajority(op *operation, t tally) bool {
	return slices.ContainsFunc(t.seen, func(seen int) bool { return seen >= majority(op.group) })
}

// wait releases the operation's own markers and waits for its rivals.
func (c *coordinator) wait(now time.Time, op *operation) {
	c.release(now, op, ProgressAbandoned)
	op.phase = phaseWaiting
	op.nextAsk = now
}

// askRivals asks the coordinators of the rivals. When none of them lives, only
// the replicas can say what the request has come to.
func (c *coordinator) askRivals(now time.Time, op *operation) {
	if now.Before(op.nextAsk) {
		return
	}
	op.nextAsk = now.Add(askEvery)
	asked := 0
	for _, rival := range op.rivals {
		id := rival.Attempt.Node
		if id != c.options.Self.ID && !c.options.Environment.Alive(id) {
			continue
		}
		asked++
		c.transport.reply(
			sender{id: id, incarnation: rival.Attempt.Incarnation},
			Ask{Key: op.request.Key, Attempt: rival.Attempt},
		)
	}
	if asked == 0 || c.onlyOwnPast(op) {
		c.rivalsGone(now, op)
	}
}

// rivalsGone asks the replicas once more: a coordinator may have recorded its
// outcome and left since they last voted. A majority of them has that record.
func (c *coordinator) rivalsGone(now time.Time, op *operation) {
	if op.askedReplicas {
		c.fail(now, op, outcomeUnknown("the node that started the request is gone"))
		return
	}
	op.askedReplicas = true
	c.release(now, op, ProgressAbandoned)
	op.giveUp = minTime(now.Add(prepareTime), op.request.Deadline.Add(-answerMargin))
	c.newAttempt(now, op)
}

// onlyOwnPast reports whether all rivals are of earlier lives of this node, which
// nobody can be asked about.
func (c *coordinator) onlyOwnPast(op *operation) bool {
	return !slices.ContainsFunc(op.rivals, func(rival Marker) bool {
		past := rival.Attempt.Node == c.options.Self.ID &&
			rival.Attempt.Incarnation != c.options.Self.Incarnation
		return !past
	})
}

// tickWaiting asks again, or ends the wait at the deadline.
func (c *coordinator) tickWaiting(now time.Time, op *operation) {
	if !now.Before(op.request.Deadline.Add(-answerMargin)) {
		c.fail(now, op, inProgress())
		return
	}
	c.askRivals(now, op)
}

// handleAsk says how an attempt of this node stands.
func (c *coordinator) handleAsk(from sender, ask Ask) {
	reply := AskReply{Key: ask.Key, Attempt: ask.Attempt}
	if ask.Attempt.Node == c.options.Self.ID && ask.Attempt.Incarnation == c.options.Self.Incarnation {
		reply.Progress = c.ledger.progress(ask.Attempt)
	}
	if op := c.byKey[ask.Key]; op != nil && op.phase == phaseRecording && op.attempt == ask.Attempt {
		reply.Marker = op.outcome
	}
	c.transport.reply(from, reply)
}

// handleAskReply takes a coordinator's word on an attempt.
func (c *coordinator) handleAskReply(now time.Time, reply AskReply) {
	op := c.byKey[reply.Key]
	if op == nil || op.phase != phaseWaiting && op.phase != phasePreparing {
		return
	}
	index := slices.IndexFunc(op.rivals, func(m Marker) bool { return m.Attempt == reply.Attempt })
	if index < 0 {
		return
	}
	switch reply.Progress {
	case ProgressGranted:
		if op.phase == phasePreparing {
			c.wait(now, op)
		}
	case ProgressEnded:
		c.rivalEnded(now, op, reply.Marker)
	case ProgressAbandoned:
		c.rivalAbandoned(now, op, index)
	case ProgressRefused:
		c.sendRelease(op.group, op.request.Key, reply.Attempt)
		c.fail(now, op, refusedElsewhere())
	case ProgressForgotten:
		c.fail(now, op, outcomeUnknown("the node that started the request doesn't know it any more"))
	}
}

// rivalEnded takes a rival's outcome. Once it is recorded the coordinator has
// forgotten it, and the replicas have it.
func (c *coordinator) rivalEnded(now time.Time, op *operation, outcome Marker) {
	if outcome.State != 0 {
		c.settle(now, op, outcome)
		return
	}
	if op.phase != phaseWaiting {
		return
	}
	if op.askedReplicas {
		c.fail(now, op, outcomeUnknown("the request ended and its answer was not recorded"))
		return
	}
	op.askedReplicas = true
	op.giveUp = minTime(now.Add(prepareTime), op.request.Deadline.Add(-answerMargin))
	c.newAttempt(now, op)
}

// rivalAbandoned drops the markers of an attempt that never will be sent, on its
// coordinator's behalf.
func (c *coordinator) rivalAbandoned(now time.Time, op *operation, index int) {
	c.sendRelease(op.group, op.request.Key, op.rivals[index].Attempt)
	op.rivals = slices.Delete(slices.Clone(op.rivals), index, index+1)
	if op.phase == phasePreparing {
		c.joinView(now, op)
		return
	}
	if len(op.rivals) == 0 {
		op.giveUp = minTime(now.Add(prepareTime), op.request.Deadline.Add(-answerMargin))
		c.newAttempt(now, op)
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
