package rollout

import (
	"net/http"
	"time"

	"dalehook/internal/logwriter"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// Any node accepts a step: the body goes to the step's own log, where the first
// one wins, and StepOpened to the control log, by which the preferred owner
// learns of it. Two nodes that accept the same step at once do no harm.

// post is a step that is being accepted at this node.
type post struct {
	body      record.StepBody
	calls     []machine.CallID
	startedAt time.Time
	// offset is where the body stands on the step's log, zero before that.
	offset uint64
	// appended is set once anything may have reached a log.
	appended bool
	// registered is set once the body is known to be the step's, so that the
	// step may be opened; opening while that is on its way.
	registered bool
	opening    bool
	retryAt    time.Time
	failures   int
}

// HandlePost takes a trainer's step.
func (m *Machine) HandlePost(now time.Time, in machine.PostStep) {
	m.observe(now)
	id := in.Body.Step
	if open, ok := m.environment.Control().Step(id); ok {
		m.answerKnown(in, open.Digest, open.Samples)
		return
	}
	if p := m.posts[id]; p != nil {
		m.joinPost(in, p)
		return
	}
	demand, failure := m.admit(in.Body)
	if failure != nil {
		m.reply(in.Call, *failure)
		return
	}
	body := in.Body
	body.Demand = &demand
	p := &post{body: body, calls: []machine.CallID{in.Call}, startedAt: now}
	m.posts[id] = p
	m.postOrder.insert(id)
	m.appendBody(now, p)
}

// answerKnown answers a post of a step that was accepted before.
func (m *Machine) answerKnown(in machine.PostStep, digest string, samples int) {
	if in.Body.Digest == digest {
		m.reply(in.Call, machine.StepAccepted{Step: in.Body.Step, Accepted: samples})
		return
	}
	m.reply(in.Call, m.conflict(in.Body.Step))
}

func (m *Machine) conflict(step string) machine.Failure {
	failure := m.failure(http.StatusConflict, machine.CodeStepConflict, step, "another body was posted under this step id")
	failure.Field = "step"
	failure.NotRun = true
	return failure
}

// joinPost lets a repeated post wait for the first one.
func (m *Machine) joinPost(in machine.PostStep, p *post) {
	if p.body.Digest != in.Body.Digest {
		m.reply(in.Call, m.conflict(in.Body.Step))
		return
	}
	p.calls = append(p.calls, in.Call)
}

// admit checks whether the step may be accepted now, and returns its demand.
func (m *Machine) admit(body record.StepBody) (record.RolloutDemand, *machine.Failure) {
	control := m.environment.Control()
	demand, found := demandOf(control, body)
	refuse := func(status int, code machine.Code, message string, retryAfter time.Duration) (record.RolloutDemand, *machine.Failure) {
		failure := m.failure(status, code, body.Step, message)
		failure.NotRun = true
		failure.RetryAfter = retryAfter
		return demand, &failure
	}
	if _, known := control.Event(body.Event); !known {
		return refuse(http.StatusNotFound, machine.CodeUnknownEvent, "no event "+body.Event+" is in force", 0)
	}
	if !found {
		return refuse(http.StatusNotFound, machine.CodeUnknownEvent, "event "+body.Event+" has no rollouts of trainer "+body.Trainer, 0)
	}
	if m.environment.StoreDown() {
		return refuse(http.StatusServiceUnavailable, machine.CodeStoreDown, "the log can't be reached", storeRetryAfter)
	}
	open := control.Steps()
	ofTrainer := 0
	for _, step := range open {
		if step.Trainer == body.Trainer && step.Event == body.Event {
			ofTrainer++
		}
	}
	full := len(open) >= m.limits.MaxOpenSteps || len(m.posts) >= m.limits.MaxPosts
	if full || ofTrainer >= m.limits.MaxTrainerSteps {
		return refuse(http.StatusServiceUnavailable, machine.CodeOverloaded, "too many steps are open", storeRetryAfter)
	}
	return demand, nil
}

// demandOf returns the demand of a step's trainer by the event in force.
func demandOf(control *record.Control, body record.StepBody) (record.RolloutDemand, bool) {
	event, ok := control.Event(body.Event)
	if !ok {
		return record.RolloutDemand{}, false
	}
	for _, demand := range event.Plan.Event.Rollouts {
		if demand.Trainer == body.Trainer {
			return demand, true
		}
	}
	return record.RolloutDemand{}, false
}

// loadDemand sets the demand that a step runs by: the one in force, or, when its
// event was withdrawn, the one under which it was accepted.
func (m *Machine) loadDemand(s *step) {
	if demand, ok := demandOf(m.environment.Control(), s.body); ok {
		s.demand = demand
		return
	}
	if s.body.Demand != nil {
		s.demand = *s.body.Demand
	}
}

// appendBody writes the body to the step's log.
func (m *Machine) appendBody(now time.Time, p *post) {
	p.appended = true
	m.writer.Append(now, record.StepLog(p.body.Step), p.body, func(now time.Time, result logwriter.Result) {
		if m.posts[p.body.Step] != p {
			return
		}
		switch result.Outcome {
		case logwriter.Done:
			p.offset = result.Offset
			if p.offset == 1 && !result.OffsetUncertain {
				m.open(now, p) // no other body can come before it
				return
			}
			s := m.find(now, p.body.Step)
			s.read.caughtUp = false
			m.advance(now, s)
		case logwriter.NotDone:
			p.appended = false
			m.endPost(p, m.storeFailure(p))
		default:
			m.endPost(p, m.storeFailure(p))
		}
	}, logwriter.ReportNotDone(), logwriter.GiveUpAfter(m.limits.PostTimeout))
}

// storeFailure answers a post that the log did not take.
func (m *Machine) storeFailure(p *post) machine.Failure {
	if p.appended {
		failure := m.failure(http.StatusServiceUnavailable, machine.CodeOutcomeUnknown, p.body.Step,
			"the log did not say whether it took the step; post it again under the same id")
		failure.RetryAfter = shortRetryAfter
		return failure
	}
	failure := m.failure(http.StatusServiceUnavailable, machine.CodeStoreDown, p.body.Step, "the log can't be reached")
	failure.NotRun = true
	failure.RetryAfter = storeRetryAfter
	return failure
}

// advancePost goes on with a post once the fold of its step's log has its body.
func (m *Machine) advancePost(now time.Time, s *step) {
	p := m.posts[s.id]
	if p == nil || p.offset == 0 {
		return
	}
	if s.fold.Offset() < p.offset {
		m.readLog(now, s, 0)
		return
	}
	body, ok := s.fold.Body()
	switch {
	case !ok:
		m.endPost(p, m.storeFailure(p))
	case body.Digest != p.body.Digest:
		m.endPost(p, m.conflict(s.id))
	case m.environment.Control().StepClosed(s.id):
		m.endPost(p, accepted(p)) // it ran to its end before
	default:
		m.open(now, p)
	}
}

func accepted(p *post) machine.StepAccepted {
	return machine.StepAccepted{Step: p.body.Step, Accepted: len(p.body.Samples)}
}

// open registers the step on the control log.
func (m *Machine) open(now time.Time, p *post) {
	p.registered = true
	if p.opening || now.Before(p.retryAt) {
		return
	}
	p.opening = true
	body := record.StepOpened{
		Step:     p.body.Step,
		Event:    p.body.Event,
		Trainer:  p.body.Trainer,
		Samples:  len(p.body.Samples),
		Digest:   p.body.Digest,
		Deadline: p.body.Deadline,
	}
	m.writer.Append(now, record.ControlLog, body, func(now time.Time, result logwriter.Result) {
		if m.posts[p.body.Step] != p {
			return
		}
		p.opening = false
		switch result.Outcome {
		case logwriter.Done:
			m.endPost(p, accepted(p))
		case logwriter.NotDone:
			p.failures++
			p.retryAt = now.Add(m.backoff(p.failures))
		default:
			m.endPost(p, m.storeFailure(p))
		}
	}, logwriter.GiveUpAfter(m.limits.PostTimeout))
}

// endPost answers all callers of a post.
func (m *Machine) endPost(p *post, body any) {
	for _, call := range p.calls {
		m.reply(call, body)
	}
	delete(m.posts, p.body.Step)
	m.postOrder.remove(p.body.Step)
}

// tickPosts retries and times out posts.
func (m *Machine) tickPosts(now time.Time) {
	for _, id := range m.postOrder.clone() {
		p := m.posts[id]
		switch {
		case now.Sub(p.startedAt) >= m.limits.PostTimeout:
			m.endPost(p, m.storeFailure(p))
		case p.registered:
			m.open(now, p)
		case p.offset != 0:
			m.advance(now, m.find(now, id))
		}
	}
}

// postOpened answers a post whose step another node has opened meanwhile.
func (m *Machine) postOpened(opened record.StepOpened) {
	p := m.posts[opened.Step]
	if p == nil {
		return
	}
	if p.body.Digest == opened.Digest {
		m.endPost(p, accepted(p))
		return
	}
	m.endPost(p, m.conflict(opened.Step))
}

// gonePost drops a caller that has gone. The step is accepted all the same.
func (m *Machine) gonePost(call machine.CallID) bool {
	for _, id := range m.postOrder.names {
		p := m.posts[id]
		for i, waiting := range p.calls {
			if waiting == call {
				p.calls = append(p.calls[:i], p.calls[i+1:]...)
				return true
			}
		}
	}
	return false
}
