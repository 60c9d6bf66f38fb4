package idempotency

import (
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// Times of the coordinator.
const (
	// prepareTime bounds the gathering of votes.
	prepareTime = 5 * time.Second
	// resendEvery is the time after which unanswered messages are repeated.
	resendEvery = 100 * time.Millisecond
	// silentAfter is when a replica that hasn't answered no longer counts as one
	// that might still vote for the attempt.
	silentAfter = 150 * time.Millisecond
	// recordTime bounds the recording of an outcome.
	recordTime = 30 * time.Second
	// answerMargin is the time before the deadline at which a call is answered
	// that has nothing to wait for any more.
	answerMargin = machine.TickInterval
	// retryAfter is what callers are told when a call may be repeated.
	retryAfter = time.Second
)

// coordinator runs the keys of this node's own calls.
type coordinator struct {
	options   Options
	transport *transport
	groups    *groupCache
	sequence  uint64
	// operations holds the open operations, the oldest first; it is what is
	// ranged over. byKey and byCall find them.
	operations []*operation
	byKey      map[string]*operation
	byCall     map[machine.CallID]*operation
	ledger     *ledger
	events     []Event
}

func newCoordinator(options Options, transport *transport, groups *groupCache) *coordinator {
	return &coordinator{
		options:   options,
		transport: transport,
		groups:    groups,
		byKey:     make(map[string]*operation),
		byCall:    make(map[machine.CallID]*operation),
		ledger:    newLedger(options.Lifetime),
	}
}

func (c *coordinator) takeEvents() []Event {
	events := c.events
	c.events = nil
	return events
}

// begin takes a call. A call whose key is open at this node follows the one that
// has it.
func (c *coordinator) begin(now time.Time, request Request) {
	op := c.byKey[request.Key]
	switch {
	case op == nil:
		c.open(now, request)
	case op.request.Digest != request.Digest:
		c.refuse(request.Call, conflict())
	case op.phase == phaseRecording:
		c.deliver(request.Call, op.outcome)
	default:
		op.followers = append(op.followers, request)
		c.byCall[request.Call] = op
	}
}

// open starts an operation that a call leads.
func (c *coordinator) open(now time.Time, request Request) {
	op := &operation{request: request, giveUp: now.Add(prepareTime)}
	if limit := request.Deadline.Add(-answerMargin); limit.Before(op.giveUp) {
		op.giveUp = limit
	}
	c.operations = append(c.operations, op)
	c.byKey[request.Key] = op
	c.byCall[request.Call] = op
	c.newAttempt(now, op)
}

// close forgets an operation; its followers begin again, the first one leading.
func (c *coordinator) close(now time.Time, op *operation) {
	index := slices.Index(c.operations, op)
	c.operations = slices.Delete(c.operations, index, index+1)
	delete(c.byKey, op.request.Key)
	delete(c.byCall, op.request.Call)
	for _, follower := range op.followers {
		delete(c.byCall, follower.Call)
		c.begin(now, follower)
	}
}

// newAttempt gathers votes under a new attempt.
func (c *coordinator) newAttempt(now time.Time, op *operation) {
	c.sequence++
	op.attempt = AttemptID{
		Node: c.options.Self.ID, Incarnation: c.options.Self.Incarnation, Sequence: c.sequence,
	}
	op.phase = phasePreparing
	op.rivals = nil
	op.begun = now
	c.ledger.put(now, op.attempt, ProgressPreparing)
	c.joinView(now, op)
}

// joinView asks the group of the view in force for its votes.
func (c *coordinator) joinView(now time.Time, op *operation) {
	view := c.options.Environment.View()
	op.view = view.Number
	op.group = nil
	if view.Number > 0 {
		op.group = c.groups.group(view, slotOf(op.request.Key))
	}
	op.votes = make([]vote, len(op.group))
	c.sendPrepares(now, op)
}

// sendPrepares asks the replicas that have not granted the attempt.
func (c *coordinator) sendPrepares(now time.Time, op *operation) {
	op.nextSend = now.Add(resendEvery)
	for i, replica := range op.group {
		if op.votes[i].verdict == VerdictGranted {
			continue
		}
		c.transport.send(replica, Prepare{
			View: op.view, Key: op.request.Key, Digest: op.request.Digest, Attempt: op.attempt,
		})
	}
}

// handlePrepareReply takes a vote.
func (c *coordinator) handlePrepareReply(now time.Time, from sender, reply PrepareReply) {
	op := c.byKey[reply.Key]
	if op == nil || op.phase != phasePreparing || op.attempt != reply.Attempt || op.view != reply.View {
		return
	}
	index := indexOf(op.group, from.id, from.incarnation)
	if index < 0 || op.votes[index].verdict == VerdictGranted {
		return
	}
	op.votes[index] = vote{verdict: reply.Verdict, markers: reply.Markers}
	c.decide(now, op)
}

// decide draws what follows from the votes.
func (c *coordinator) decide(now time.Time, op *operation) {
	t := op.count()
	for _, rival := range t.rivals {
		if rival.Digest != op.request.Digest {
			c.fail(now, op, conflict())
			return
		}
		if rival.definite() {
			c.settle(now, op, rival)
			return
		}
	}
	needed := majority(op.group)
	if len(op.group) > 0 && t.granted >= needed {
		c.grant(now, op)
		return
	}
	possible := t.granted + t.waiting
	if now.Before(op.begun.Add(silentAfter)) {
		possible += t.silent
	}
	if len(op.group) == 0 || possible >= needed {
		return
	}
	switch {
	case len(t.rivals) > 0:
		c.yieldTo(now, op, t)
	case t.lost > 0 && t.lost > len(op.group)-needed:
		c.fail(now, op, outcomeUnknown("the key's markers are lost with their replicas"))
	case t.full > 0 && t.full > len(op.group)-needed:
		c.fail(now, op, memoryFull())
	}
}

// grant gives the call the right to be sent.
func (c *coordinator) grant(now time.Time, op *operation) {
	op.phase = phaseGranted
	op.grantedAt = now
	c.ledger.put(now, op.attempt, ProgressGranted)
	c.events = append(c.events, Granted{Call: op.request.Call})
}

// start marks a granted operation as sent. The right lapses well before the
// markers that stand for it do, and at the deadline: after it the caller may have
// asked elsewhere.
func (c *coordinator) start(now time.Time, call machine.CallID) bool {
	op := c.byCall[call]
	if op == nil || op.phase != phaseGranted || op.request.Call != call {
		return false
	}
	if now.After(op.grantedAt.Add(c.options.Lifetime/2)) || now.After(op.request.Deadline) {
		return false
	}
	op.phase = phaseStarted
	return true
}

// unsent takes a start back.
func (c *coordinator) unsent(call machine.CallID) {
	if op := c.byCall[call]; op != nil && op.phase == phaseStarted && op.request.Call == call {
		op.phase = phaseGranted
	}
}

// abandon gives up a call that was not sent; its followers begin again.
func (c *coordinator) abandon(now time.Time, call machine.CallID) {
	op := c.unsentOperation(call)
	if op == nil {
		return
	}
	c.release(now, op, ProgressAbandoned)
	c.close(now, op)
}

// refuseCall gives up a call that was not sent, and its followers with it when it
// surely did not run.
func (c *coordinator) refuseCall(now time.Time, call machine.CallID, failure machine.Failure) (notRun bool) {
	op := c.unsentOperation(call)
	if op == nil {
		return false
	}
	failure.NotRun = op.phase != phaseWaiting && op.notRun()
	c.giveUp(now, op, failure)
	return failure.NotRun
}

// giveUp ends an operation whose leader is answered with a failure.
func (c *coordinator) giveUp(now time.Time, op *operation, failure machine.Failure) {
	if !failure.NotRun {
		c.release(now, op, ProgressAbandoned)
		c.close(now, op)
		return
	}
	c.release(now, op, ProgressRefused)
	for _, follower := range op.followers {
		delete(c.byCall, follower.Call)
		c.refuse(follower.Call, failure)
	}
	op.followers = nil
	c.close(now, op)
}

// unsentOperation returns the operation that a call leads when it was not sent. A
// call that follows leaves its operation.
func (c *coordinator) unsentOperation(call machine.CallID) *operation {
	op := c.byCall[call]
	switch {
	case op == nil:
		return nil
	case op.request.Call != call:
		c.unfollow(op, call)
		return nil
	case op.phase == phaseStarted || op.phase == phaseRecording:
		return nil
	}
	return op
}

func (c *coordinator) unfollow(op *operation, call machine.CallID) {
	delete(c.byCall, call)
	op.followers = slices.DeleteFunc(op.followers, func(f Request) bool { return f.Call == call })
}

// release takes the markers of an attempt back that was not sent. From here on
// the attempt is dead: a vote for it that comes late counts for nothing.
func (c *coordinator) release(now time.Time, op *operation, progress Progress) {
	if op.phase != phasePreparing && op.phase != phaseGranted {
		return
	}
	c.ledger.put(now, op.attempt, progress)
	c.sendRelease(op.group, op.request.Key, op.attempt)
}

func (c *coordinator) sendRelease(group []cluster.Node, key string, attempt AttemptID) {
	for _, replica := range group {
		c.transport.send(replica, Release{Key: key, Attempt: attempt})
	}
}

// settle ends an operation with what another attempt of the key has come to.
func (c *coordinator) settle(now time.Time, op *operation, outcome Marker) {
	if outcome.Digest != op.request.Digest {
		c.fail(now, op, conflict())
		return
	}
	c.release(now, op, ProgressAbandoned)
	c.deliverAll(op, outcome)
	c.close(now, op)
}

// deliverAll answers an operation's leader and followers.
func (c *coordinator) deliverAll(op *operation, outcome Marker) {
	c.deliver(op.request.Call, outcome)
	c.deliverFollowers(op, outcome)
}

func (c *coordinator) deliverFollowers(op *operation, outcome Marker) {
	for _, follower := range op.followers {
		delete(c.byCall, follower.Call)
		c.deliver(follower.Call, outcome)
	}
	op.followers = nil
}

// deliver answers one call with what an attempt has come to.
func (c *coordinator) deliver(call machine.CallID, outcome Marker) {
	switch {
	case outcome.State != StateAnswered:
		c.refuse(call, outcomeUnknown("the request was sent and no answer came"))
	case outcome.Response == nil:
		c.refuse(call, answerNotKept())
	default:
		c.events = append(c.events, Answered{Call: call, Response: *outcome.Response})
	}
}

// fail ends an operation's leader with an error.
func (c *coordinator) fail(now time.Time, op *operation, failure machine.Failure) {
	if failure.NotRun {
		failure.NotRun = op.phase == phasePreparing && op.notRun()
	}
	c.refuse(op.request.Call, failure)
	c.giveUp(now, op, failure)
}

func (c *coordinator) refuse(call machine.CallID, failure machine.Failure) {
	failure.Peer = string(c.options.Self.ID)
	c.events = append(c.events, Refused{Call: call, Failure: failure})
}

// handleView asks the new group where votes or records are still open.
func (c *coordinator) handleView(now time.Time) {
	for _, op := range c.operations {
		switch op.phase {
		case phasePreparing:
			c.joinView(now, op)
		case phaseRecording:
			c.sendRecords(now, op, true)
		}
	}
}

// tick repeats what was not answered and ends what is out of time.
func (c *coordinator) tick(now time.Time) {
	c.ledger.expire(now)
	for _, op := range slices.Clone(c.operations) {
		c.expireFollowers(now, op)
		c.tickOperation(now, op)
	}
}

func (c *coordinator) tickOperation(now time.Time, op *operation) {
	switch op.phase {
	case phasePreparing:
		if !now.Before(op.giveUp) {
			c.fail(now, op, noQuorum())
			return
		}
		if !now.Before(op.nextSend) {
			c.joinOrResend(now, op)
		}
		c.decide(now, op)
	case phaseWaiting:
		c.tickWaiting(now, op)
	case phaseRecording:
		c.tickRecording(now, op)
	}
}

func (c *coordinator) joinOrResend(now time.Time, op *operation) {
	if op.view != c.options.Environment.View().Number {
		c.joinView(now, op)
		return
	}
	c.sendPrepares(now, op)
}

// expireFollowers answers the followers whose deadline has come.
func (c *coordinator) expireFollowers(now time.Time, op *operation) {
	op.followers = slices.DeleteFunc(op.followers, func(f Request) bool {
		if now.Before(f.Deadline.Add(-answerMargin)) {
			return false
		}
		delete(c.byCall, f.Call)
		c.refuse(f.Call, inProgress())
		return true
	})
}

// busy reports whether an outcome is not recorded yet.
func (c *coordinator) busy() bool { return len(c.operations) > 0 }
