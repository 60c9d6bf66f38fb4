package rollout

import (
	"strings"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// sampleState says where a sample stands at its owner.
type sampleState int

const (
	// sampleWaiting means that the sample waits for an engine.
	sampleWaiting sampleState = iota
	// sampleRunning means that an engine streams its attempt.
	sampleRunning
	// sampleJournaled means that its result or error is written, and not yet
	// safe.
	sampleJournaled
	// sampleCommitted means that its result is safe and may be handed over.
	sampleCommitted
	// sampleFailed means that its final error is safe.
	sampleFailed
)

// sample is one sample at the step's owner.
type sample struct {
	index int
	state sampleState
	// attempt is the number of the attempt that runs or ran last, zero for none.
	attempt int
	// engine and address say where the attempt runs or ran last.
	engine  cluster.BackendID
	address string
	// resume is set when the attempt may still run on engine and is to be
	// streamed again from its start.
	resume bool
	// stay is set when a cut stream is to be resumed on the same engine.
	stay bool
	// startedAt is when the attempt went to its engine, chunkAt when its last
	// chunk came.
	startedAt time.Time
	chunkAt   time.Time
	// speed is the measured speed of the stream in tokens a second, zero while
	// it is too early to say; unmeasured counts the tokens since measuredAt.
	speed      float64
	measuredAt time.Time
	unmeasured int
	// text, tokens and segments are what the attempt has produced.
	text     strings.Builder
	tokens   int
	segments []record.Segment
	// carried is the number of tokens that came from another engine.
	carried int
	moves   int
	// stops counts how often a forecast ended an attempt early.
	stops    int
	failures int
	retryAt  time.Time
	// revoking is set while the record that takes the result back is written.
	revoking bool
	result   record.Result
	failure  record.SampleFailure
}

// ended reports whether the sample needs no more generation.
func (p *sample) ended() bool { return p.state >= sampleJournaled }

// oldest returns the lowest version of the tokens so far, zero for none.
func (p *sample) oldest() cluster.Version {
	return record.Result{Segments: p.segments}.Oldest()
}

// clear forgets what the attempt produced.
func (p *sample) clear() {
	p.text.Reset()
	p.tokens = 0
	p.segments = nil
	p.carried = 0
}

// restart makes the sample wait for a new attempt from nothing.
func (p *sample) restart() {
	p.clear()
	p.state = sampleWaiting
	p.resume = false
	p.stay = false
	p.attempt++
	p.moves = 0
}

// add takes a chunk's tokens. Adjacent chunks of one version share a segment.
func (p *sample) add(tokens int, text string, version cluster.Version) {
	p.text.WriteString(text)
	from := p.tokens
	p.tokens += tokens
	last := len(p.segments) - 1
	if last >= 0 && p.segments[last].Version == version {
		p.segments[last].ToToken = p.tokens
		return
	}
	p.segments = append(p.segments, record.Segment{Version: version, FromToken: from, ToToken: p.tokens})
}

// minSpeedTime is the shortest time over which a stream's speed is measured.
const minSpeedTime = 200 * time.Millisecond

// measure takes a chunk's tokens into the speed of the stream. The last stretch
// counts for half, since the speed follows the engine's batch. The tokens of the
// first chunk may be old ones that are streamed again.
func (p *sample) measure(now time.Time, tokens int) {
	p.chunkAt = now
	if p.measuredAt.IsZero() {
		p.measuredAt = now
		return
	}
	p.unmeasured += tokens
	elapsed := now.Sub(p.measuredAt)
	if elapsed < minSpeedTime {
		return
	}
	last := float64(p.unmeasured) / elapsed.Seconds()
	if p.speed == 0 {
		p.speed = last
	}
	p.speed = (p.speed + last) / 2
	p.unmeasured = 0
	p.measuredAt = now
}

// forgetSpeed begins to measure anew, after a stream was cut or moved.
func (p *sample) forgetSpeed() {
	p.measuredAt = time.Time{}
	p.unmeasured = 0
	p.speed = 0
}

// take finishes the attempt and returns its result.
func (p *sample) take() record.Result {
	result := record.Result{Sample: p.index, Attempt: p.attempt, Text: p.text.String(), Segments: p.segments}
	p.clear()
	return result
}

// HandleChunk takes a piece of an attempt's stream. A chunk of an attempt or an
// engine other than the one in charge is ignored.
func (m *Machine) HandleChunk(now time.Time, in machine.AttemptChunk) {
	m.observe(now)
	s, p := m.running(in.ID, in.Engine)
	if p == nil {
		return
	}
	switch {
	case in.FromToken+in.Tokens <= p.tokens && in.Tokens > 0:
		return // a copy of what is here already
	case in.FromToken != p.tokens:
		m.cutStream(now, s, p, "")
		return
	case in.Version <= 0:
		m.abandonAttempt(now, s, p) // nobody could name the version of these tokens
		return
	}
	p.measure(now, in.Tokens)
	p.failures = 0
	p.add(in.Tokens, in.Text, in.Version)
}

// HandleEnded takes the end of an attempt's stream.
func (m *Machine) HandleEnded(now time.Time, in machine.AttemptEnded) {
	m.observe(now)
	s, p := m.running(in.ID, in.Engine)
	if p == nil {
		return
	}
	switch in.Reason {
	case machine.EndComplete:
		m.completeAttempt(now, s, p)
	case machine.EndRefused, machine.EndUnreachable:
		m.avoid(now, in.Engine, in.RetryAfter)
		m.retry(now, s, p)
	case machine.EndUnknownRequest:
		m.forgotten(now, s, p)
	default:
		m.cutStream(now, s, p, in.Err)
	}
	m.schedule(now)
}

// running finds the sample whose attempt runs on the engine at this owner.
func (m *Machine) running(id machine.AttemptID, engine cluster.BackendID) (*step, *sample) {
	s := m.steps[id.Step]
	if s == nil || s.phase != phaseOwning || id.Sample < 0 || id.Sample >= len(s.samples) {
		return nil, nil
	}
	p := s.samples[id.Sample]
	if p.state != sampleRunning || p.attempt != id.Attempt || p.engine != engine {
		return nil, nil
	}
	return s, p
}

// completeAttempt writes the result of an attempt whose stream ended whole.
func (m *Machine) completeAttempt(now time.Time, s *step, p *sample) {
	if p.tokens == 0 {
		m.avoid(now, p.engine, 0)
		m.restart(now, s, p)
		return
	}
	m.forgive(p.engine)
	s.lengths.add(s.body.Samples[p.index].Group, p.tokens)
	p.state = sampleJournaled
	s.finished = append(s.finished, p.take())
	if s.unfinished() == 0 {
		m.flushFinished(now, s)
	}
}

// cutStream goes on with an attempt whose stream broke: first on its own engine,
// which knows the request, then on any.
func (m *Machine) cutStream(now time.Time, s *step, p *sample, _ string) {
	p.stay = p.failures == 0 && p.tokens > 0
	if !p.stay {
		m.avoid(now, p.engine, 0)
	}
	m.retry(now, s, p)
}

// retry lets the attempt wait for an engine, with the tokens that it has.
func (m *Machine) retry(now time.Time, s *step, p *sample) {
	p.state = sampleWaiting
	p.resume = false
	p.failures++
	p.retryAt = now.Add(m.backoff(p.failures - 1))
	if !m.budget.take(now) {
		p.retryAt = p.retryAt.Add(budgetPause)
	}
	p.forgetSpeed()
}

// abandonAttempt stops an attempt whose tokens can't be used and runs the sample
// again from nothing.
func (m *Machine) abandonAttempt(now time.Time, s *step, p *sample) {
	m.cancel(s, p)
	m.restart(now, s, p)
}

// forgotten goes on with an attempt that its engine can't resume: with the tokens
// that are here, or, when the engine lacks its beginning and so does this node,
// as a new attempt.
func (m *Machine) forgotten(now time.Time, s *step, p *sample) {
	if p.tokens == 0 {
		m.restart(now, s, p)
		return
	}
	m.retry(now, s, p)
}

// restart makes the sample wait for a new attempt, or ends it with an error when
// it has had too many.
func (m *Machine) restart(now time.Time, s *step, p *sample) {
	if p.attempt >= m.limits.MaxAttempts+s.revisions(p) {
		m.fail(now, s, p, codeAttempts, "no attempt could be completed within the staleness bound")
		return
	}
	p.restart()
	p.failures++
	p.forgetSpeed()
	p.retryAt = now.Add(m.backoff(p.failures - 2))
}

// revisions returns how many attempts of the sample were completed and revoked:
// those do not count as failures of the sample.
func (s *step) revisions(p *sample) int {
	attempt, _ := s.fold.Revoked(p.index)
	return attempt
}

// The codes of samples' final errors.
const (
	codeDeadline = "deadline_exceeded"
	codeAttempts = "attempts_exhausted"
	codeEvent    = "unknown_event"
)

// fail ends a sample with a final error.
func (m *Machine) fail(now time.Time, s *step, p *sample, code, message string) {
	if p.ended() {
		return
	}
	if p.state == sampleRunning {
		m.cancel(s, p)
	}
	p.clear()
	p.state = sampleJournaled
	s.failed = append(s.failed, record.SampleFailure{Sample: p.index, Code: code, Message: message})
}

// cancel ends the attempt on its engine.
func (m *Machine) cancel(s *step, p *sample) {
	m.send(machine.CancelAttempt{ID: s.attemptID(p), Engine: p.engine, Address: p.address})
}

// attemptID names the sample's attempt; its string is the engine's request id.
func (s *step) attemptID(p *sample) machine.AttemptID {
	return machine.AttemptID{Step: s.id, Sample: p.index, Attempt: p.attempt}
}
