package request

import (
	"slices"
	"time"

	"dalehook/internal/admission"
	"dalehook/internal/machine"
)

// resultGrace is how long after a request's deadline its result may still come.
const resultGrace = time.Second

// place sends a queued request to a server with room. It returns false when
// there is none.
func (m *Machine) place(now time.Time, item admission.Item) bool {
	c := m.calls[item.Call]
	server, ok := m.chooseServer(now, c)
	if !ok {
		return false
	}
	if c.unrepeatable && !m.keys.Start(now, c.id) {
		m.lapsed = append(m.lapsed, c)
		return true
	}
	m.send(now, c, server)
	return true
}

// chooseServer picks a server with room that the request has not tried yet, or
// any with room when all were tried.
func (m *Machine) chooseServer(now time.Time, c *call) (Server, bool) {
	servers := slices.Clone(m.options.Environment.Servers(c.service))
	untried := false
	for i := range servers {
		servers[i].InFlight = m.admission.Limiter(servers[i].ID).InFlight()
		untried = untried || servers[i].Usable && !slices.Contains(c.tried, servers[i].ID)
	}
	return m.chooser.Choose(now, servers, func(s Server) bool {
		if untried && slices.Contains(c.tried, s.ID) {
			return false
		}
		return m.admission.Limiter(s.ID).HasRoom(now)
	})
}

// send gives the order to send.
func (m *Machine) send(now time.Time, c *call, server Server) {
	c.phase = phaseSent
	c.attempt++
	if c.attempt > 1 {
		m.stats.Retries++
	}
	c.tried = append(c.tried, server.ID)
	m.admission.Limiter(server.ID).Acquire()
	m.sent[attemptKey{c.id, c.attempt}] = sentAttempt{
		backend: server.ID, item: c.item, at: now, deadline: c.deadline,
	}
	m.options.Outbox.Add(machine.SendService{
		Call:     c.id,
		Attempt:  c.attempt,
		Backend:  server.ID,
		Address:  server.Address,
		Deadline: c.deadline,
		Relay:    !c.unrepeatable,
	})
}

// takeLapsed refuses the calls whose right to be sent has lapsed.
func (m *Machine) takeLapsed(now time.Time) int {
	lapsed := m.lapsed
	m.lapsed = nil
	for _, c := range lapsed {
		m.admission.Ended(c.item, 0)
		m.refuse(now, c, deadlineExceeded())
	}
	return len(lapsed)
}

// endAttempt takes an attempt's result.
func (m *Machine) endAttempt(now time.Time, result machine.ServiceResult) {
	key := attemptKey{result.Call, result.Attempt}
	attempt, known := m.sent[key]
	if !known {
		return
	}
	delete(m.sent, key)
	c := m.calls[result.Call]
	current := c != nil && c.phase == phaseSent && c.attempt == result.Attempt
	m.observe(now, attempt, result, current && !c.gone)
	if !current {
		return
	}
	if c.unrepeatable {
		m.endUnrepeatable(now, c, result)
	} else {
		m.endRepeatable(now, c, result)
	}
}

// observe passes on what a result says of its server. An attempt that nobody
// waits for any more may have been cut by the driver and says nothing.
func (m *Machine) observe(now time.Time, attempt sentAttempt, result machine.ServiceResult, awaited bool) {
	limiter := m.admission.Limiter(attempt.backend)
	env := m.options.Environment
	took := result.Took
	if took <= 0 {
		took = max(now.Sub(attempt.at), 1)
	}
	if result.Outcome != machine.SendAnswered {
		m.admission.Ended(attempt.item, 0)
	}
	switch {
	case result.Outcome == machine.SendAnswered:
		limiter.Answered(now, took)
		m.admission.Ended(attempt.item, took)
		m.chooser.Succeeded(attempt.backend)
		env.ObserveAnswer(now, attempt.backend, result.Load, result.Leaving)
	case result.Outcome == machine.SendRefused:
		limiter.Failed(now)
		env.ObserveAnswer(now, attempt.backend, result.Load, result.Leaving)
	case !awaited:
		limiter.Dropped()
	case result.Outcome == machine.SendUnknown:
		limiter.Failed(now)
		m.chooser.Failed(now, attempt.backend)
		env.ObserveFailure(now, attempt.backend, result.Err)
	default:
		limiter.Dropped()
		m.chooser.Failed(now, attempt.backend)
		env.ObserveFailure(now, attempt.backend, result.Err)
	}
}

// endRepeatable ends a repeatable request or tries it again.
func (m *Machine) endRepeatable(now time.Time, c *call, result machine.ServiceResult) {
	switch {
	case result.Outcome == machine.SendAnswered && result.Response != nil:
		m.reply(c, machine.ServiceResponse{Response: *result.Response})
		return
	case result.Outcome == machine.SendAnswered:
		m.stats.Answered++
		delete(m.calls, c.id)
		return
	case result.Relayed:
		// The driver has cut the caller's connection: half an answer must not
		// look like a whole one.
		delete(m.calls, c.id)
		return
	case result.Outcome == machine.SendUnknown || result.Outcome == machine.SendCut:
		c.mayHaveRun = true
	}
	m.tryAgain(now, c, result)
}

// endUnrepeatable ends an unrepeatable request. It is sent again only when the
// last attempt surely did not run.
func (m *Machine) endUnrepeatable(now time.Time, c *call, result machine.ServiceResult) {
	switch result.Outcome {
	case machine.SendAnswered:
		m.keys.Finish(now, c.id, result.Response)
		if result.Response == nil {
			m.reply(c, outcomeUnknown(result.Backend, "the driver kept no answer"))
			return
		}
		m.reply(c, machine.ServiceResponse{Response: *result.Response})
	case machine.SendNotSent, machine.SendRefused:
		m.keys.Unsent(c.id)
		if c.gone {
			m.keys.Abandon(now, c.id)
			delete(m.calls, c.id)
			return
		}
		m.tryAgain(now, c, result)
	default:
		m.keys.Finish(now, c.id, nil)
		m.reply(c, outcomeUnknown(result.Backend, result.Err))
	}
}

// tryAgain queues a request once more, or gives it up with its final answer.
func (m *Machine) tryAgain(now time.Time, c *call, result machine.ServiceResult) {
	switch {
	case !now.Before(c.deadline):
		m.refuse(now, c, deadlineExceeded())
	case !m.hasUsableServer(c.service):
		m.refuse(now, c, noBackend(c.service))
	case c.attempt >= m.options.MostAttempts || !m.mayRetry(now, result):
		m.refuse(now, c, backendFailed(result.Backend, result.Err))
	default:
		c.phase = phaseQueued
		m.admission.OfferAgain(c.item)
	}
}

// mayRetry takes a retry out of the budget. A server that leaves is no sign of
// overload, and its planned stop must not fail requests: that retry is free.
func (m *Machine) mayRetry(now time.Time, result machine.ServiceResult) bool {
	if result.Outcome == machine.SendRefused && result.Leaving {
		return true
	}
	return m.admission.AllowRetry(now)
}

// expireAttempts ends attempts whose result never came.
func (m *Machine) expireAttempts(now time.Time) {
	var late []attemptKey
	for key, attempt := range m.sent {
		if now.After(attempt.deadline.Add(resultGrace)) {
			late = append(late, key)
		}
	}
	slices.SortFunc(late, compareAttempts)
	for _, key := range late {
		m.endAttempt(now, machine.ServiceResult{
			Call:    key.call,
			Attempt: key.attempt,
			Backend: m.sent[key].backend,
			Outcome: machine.SendUnknown,
			Load:    -1,
			Err:     "no result came by the deadline",
		})
	}
}

func compareAttempts(a, b attemptKey) int {
	if a.call != b.call {
		if a.call < b.call {
			return -1
		}
		return 1
	}
	return a.attempt - b.attempt
}

// drainWithoutBackend refuses the queues of services without a usable server.
func (m *Machine) drainWithoutBackend(now time.Time) {
	for _, service := range m.services {
		if m.hasUsableServer(service) {
			continue
		}
		for _, item := range m.admission.Drain(service) {
			m.refuse(now, m.calls[item.Call], noBackend(service))
		}
	}
}
