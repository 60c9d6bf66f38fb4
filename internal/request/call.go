package request

import (
	"slices"
	"time"

	"dalehook/internal/admission"
	"dalehook/internal/cluster"
	"dalehook/internal/idempotency"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// phase is where a call stands.
type phase int

const (
	// phaseVoting waits for the right to run an unrepeatable request.
	phaseVoting phase = iota + 1
	// phaseQueued waits for a server.
	phaseQueued
	// phaseSent waits for a server's answer.
	phaseSent
)

// call is one open call.
type call struct {
	id           machine.CallID
	service      string
	class        string
	key          string
	digest       string
	unrepeatable bool
	deadline     time.Time
	item         admission.Item
	phase        phase
	// attempt numbers the last one sent, from 1.
	attempt int
	// tried holds the servers that the request was sent to.
	tried []cluster.BackendID
	// mayHaveRun is set once an attempt of a repeatable request has ended
	// without a word on whether it ran.
	mayHaveRun bool
	// refusal is the answer to an unrepeatable request that won't be sent, once
	// the replicas have said whether its key ran before.
	refusal *machine.Failure
	// gone is set when the caller has closed its connection.
	gone bool
}

// attemptKey names one attempt of one call.
type attemptKey struct {
	call    machine.CallID
	attempt int
}

// sentAttempt is an attempt without a result.
type sentAttempt struct {
	backend  cluster.BackendID
	item     admission.Item
	at       time.Time
	deadline time.Time
}

// newCall checks nothing; it fills in the deadline. The right to run an
// unrepeatable request lapses, so its deadline has a bound.
func newCall(now time.Time, input machine.ServiceCall, options Options, keyLifetime time.Duration) *call {
	deadline := input.Deadline
	if deadline.IsZero() {
		deadline = now.Add(options.Deadline)
	}
	if limit := now.Add(keyLifetime / 4); input.Unrepeatable && limit.Before(deadline) {
		deadline = limit
	}
	return &call{
		id:           input.Call,
		service:      input.Service,
		class:        input.Class,
		key:          input.Key,
		digest:       input.Digest,
		unrepeatable: input.Unrepeatable,
		deadline:     deadline,
	}
}

// refusalTime bounds the question whether the key of a refused request ran.
const refusalTime = 500 * time.Millisecond

// accept takes a new call in or refuses it.
func (m *Machine) accept(now time.Time, c *call) {
	m.calls[c.id] = c
	switch {
	case c.unrepeatable && c.key == "":
		m.reply(c, missingKey())
		return
	case !m.options.Environment.KnownService(c.service):
		m.refuse(now, c, unknownService(c.service))
		return
	case m.leaving(now):
		m.refuse(now, c, leaving())
		return
	case !now.Before(c.deadline):
		m.refuse(now, c, deadlineExceeded())
		return
	}
	if !c.unrepeatable {
		m.admit(now, c)
		return
	}
	m.beginKey(now, c, c.deadline)
}

func (m *Machine) beginKey(now time.Time, c *call, deadline time.Time) {
	c.phase = phaseVoting
	m.keys.Begin(now, idempotency.Request{Call: c.id, Key: c.key, Digest: c.digest, Deadline: deadline})
}

// handleKeyEvent takes what has come of an unrepeatable request's key.
func (m *Machine) handleKeyEvent(now time.Time, event idempotency.Event) {
	switch event := event.(type) {
	case idempotency.Granted:
		if c := m.calls[event.Call]; c != nil {
			m.granted(now, c)
		}
	case idempotency.Answered:
		if c := m.calls[event.Call]; c != nil {
			m.stats.Replayed++
			m.reply(c, machine.ServiceResponse{Response: event.Response, Replayed: true})
		}
	case idempotency.Refused:
		if c := m.calls[event.Call]; c != nil {
			m.reply(c, m.keyRefusal(c, event.Failure))
		}
	}
}

// keyRefusal prefers the reason for which the call was to be refused anyway.
func (m *Machine) keyRefusal(c *call, failure machine.Failure) machine.Failure {
	if c.refusal == nil || failure.Code != machine.CodeNoQuorum {
		return failure
	}
	refusal := *c.refusal
	refusal.NotRun = failure.NotRun
	return refusal
}

// granted goes on with a request that has the right to run.
func (m *Machine) granted(now time.Time, c *call) {
	if c.refusal != nil {
		m.refuse(now, c, *c.refusal)
		return
	}
	m.admit(now, c)
}

// admit queues a call for a server.
func (m *Machine) admit(now time.Time, c *call) {
	class := m.classOf(c)
	if m.admission.Register(c.service, class) {
		m.readShedOrder()
		m.readShares()
	}
	if !slices.Contains(m.services, c.service) {
		m.services = append(m.services, c.service)
	}
	if !m.hasUsableServer(c.service) {
		m.refuse(now, c, noBackend(c.service))
		return
	}
	c.phase = phaseQueued
	c.item = admission.Item{Call: c.id, Service: c.service, Class: class, Deadline: c.deadline}
	m.admission.Offer(now, c.item)
}

// classOf returns the class that the caller names, when a plan in force limits it,
// and that of the service otherwise.
func (m *Machine) classOf(c *call) string {
	named := func(l record.ClassLimit) bool { return l.Class == c.class }
	if c.class != "" && slices.ContainsFunc(m.options.Environment.Limits(), named) {
		return c.class
	}
	return m.options.Environment.ClassOf(c.service)
}

func (m *Machine) hasUsableServer(service string) bool {
	usable := func(s Server) bool { return s.Usable }
	return slices.ContainsFunc(m.options.Environment.Servers(service), usable)
}

// refuseQueued answers a call that its queue has refused.
func (m *Machine) refuseQueued(now time.Time, refusal admission.Refusal) {
	c := m.calls[refusal.Item.Call]
	if c == nil {
		return
	}
	if refusal.Code == machine.CodeShed {
		m.stats.Shed++
	}
	m.refuse(now, c, overloaded(refusal.Code, refusal.RetryAfter))
}

// refuse answers a call that isn't sent, or not again. "Not run" is said of a
// repeatable request when each of its attempts said so, and of an unrepeatable
// one when the replicas show that its key never ran.
func (m *Machine) refuse(now time.Time, c *call, failure machine.Failure) {
	if !c.unrepeatable {
		failure.NotRun = !c.mayHaveRun
		m.reply(c, failure)
		return
	}
	if c.phase == 0 {
		c.refusal = &failure
		m.beginKey(now, c, now.Add(refusalTime))
		return
	}
	failure.NotRun = m.keys.Refuse(now, c.id, failure)
	m.reply(c, failure)
}

// reply ends a call.
func (m *Machine) reply(c *call, body any) {
	delete(m.calls, c.id)
	if c.gone {
		return
	}
	failure, failed := body.(machine.Failure)
	if failed {
		m.stats.Refused++
		if failure.Code == machine.CodeOutcomeUnknown {
			m.stats.Unknown++
		}
		if failure.Peer == "" {
			failure.Peer = string(m.options.Self.ID)
		}
		body = failure
	} else {
		m.stats.Answered++
	}
	m.options.Outbox.Add(machine.Reply{Call: c.id, Body: body})
}

// callerGone ends what still can be ended. An unrepeatable request that was sent
// runs on, so that its answer is recorded for a repeat.
func (m *Machine) callerGone(now time.Time, c *call) {
	c.gone = true
	if c.phase == phaseSent && c.unrepeatable {
		return
	}
	if c.phase == phaseQueued {
		m.admission.Remove(c.item)
	}
	if c.unrepeatable {
		m.keys.Abandon(now, c.id)
	}
	delete(m.calls, c.id)
}
