package rollout

import (
	"cmp"
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/routing"
)

// priorityPerImportance is what one step of importance is worth against the
// policy's own priorities, so that important work goes before all other.
const priorityPerImportance = 1000

// priorityPerRank is what an older step of this node is worth.
const priorityPerRank = 200

// promptBytesPerToken is the assumed number of bytes of one prompt token.
const promptBytesPerToken = 4

// schedule places the samples that wait for an engine, those of important and of
// old steps first: a trainer waits for its oldest step.
func (m *Machine) schedule(now time.Time) {
	steps := slices.DeleteFunc(m.all(), func(s *step) bool { return s.phase != phaseOwning || s.handing })
	slices.SortStableFunc(steps, func(a, b *step) int {
		return cmp.Or(
			cmp.Compare(b.demand.Importance, a.demand.Importance),
			cmp.Compare(m.opened[a.id].offset, m.opened[b.id].offset),
		)
	})
	for rank, s := range steps {
		m.scheduleStep(now, s, rank)
	}
}

// scheduleStep places the waiting samples of one step. Inside an engine a step
// goes before those with a higher rank.
func (m *Machine) scheduleStep(now time.Time, s *step, rank int) {
	engines := m.engines(now, s)
	m.resumeAttempts(now, s, engines)
	if awaitsReports(m.environment.Engines(s.demand.Pool), now.Sub(s.ownedAt)) {
		return
	}
	room := m.classRoom(s)
	var work []routing.Work
	unfinished := 0
	for _, p := range s.samples {
		if p.ended() {
			continue
		}
		unfinished++
		if p.state == sampleWaiting && !p.resume && !now.Before(p.retryAt) {
			work = append(work, s.work(p))
		}
	}
	if len(work) == 0 || len(engines) == 0 || room <= 0 {
		return
	}
	placements := m.policy.Place(routing.PlaceRequest{
		Engines:    engines,
		Waiting:    work,
		Unfinished: unfinished,
		Newest:     m.newest(s),
		Bound:      s.bound(),
	})
	for _, placement := range placements[:min(room, len(placements))] {
		placement.Priority -= priorityPerRank * rank
		m.start(now, s, placement)
	}
}

// awaitsReports reports whether a new owner does not know the step's pool yet. A
// node knows a few engines of its own accord; the reports of the others come
// within a round trip after it has subscribed, and a step that is placed before
// that crowds the few.
func awaitsReports(engines []routing.Engine, owned time.Duration) bool {
	if owned >= reportGrace {
		return false
	}
	return slices.ContainsFunc(engines, func(e routing.Engine) bool {
		unknown := e.Unreported || e.Model == "" && e.Slots == 0
		return unknown && !e.Leaving
	})
}

// work describes a sample to the policy.
func (s *step) work(p *sample) routing.Work {
	posted := s.body.Samples[p.index]
	return routing.Work{
		Sample:   p.index,
		Group:    posted.Group,
		Prompt:   len(posted.Prompt) / promptBytesPerToken,
		Held:     p.tokens,
		Expected: s.lengths.remaining(posted, p.tokens),
	}
}

// engines returns the engines of the step's pool that may get work, with what
// this node has placed on them.
func (m *Machine) engines(now time.Time, s *step) []routing.Engine {
	engines := slices.Clone(m.environment.Engines(s.demand.Pool))
	engines = slices.DeleteFunc(engines, func(e routing.Engine) bool {
		return e.Leaving || e.Model != s.demand.Model || m.avoided(now, e.ID)
	})
	placed := m.placedLoad()
	for i := range engines {
		engines[i].Placed = placed[engines[i].ID]
	}
	return engines
}

// placedLoad sums up what this node runs on each engine.
func (m *Machine) placedLoad() map[cluster.BackendID]routing.Placed {
	load := map[cluster.BackendID]routing.Placed{}
	for _, s := range m.all() {
		if s.phase != phaseOwning {
			continue
		}
		for _, p := range s.samples {
			if p.state == sampleRunning {
				load[p.engine] = s.addLoad(load[p.engine], p)
			}
		}
	}
	return load
}

func (s *step) addLoad(placed routing.Placed, p *sample) routing.Placed {
	work := s.work(p)
	placed.Requests++
	placed.Tokens += work.Prompt + work.Held + work.Expected
	placed.Remaining += work.Expected
	placed.Longest = max(placed.Longest, work.Expected)
	if speed := p.speed; speed > 0 {
		placed.StreamSpeed = speed
	}
	if work.Group != "" && !slices.Contains(placed.Groups, work.Group) {
		placed.Groups = append(placed.Groups, work.Group)
	}
	return placed
}

// start sends an attempt to an engine.
func (m *Machine) start(now time.Time, s *step, placement routing.Placement) {
	p := s.samples[placement.Sample]
	engine, address := placement.Engine, placement.Address
	same := engine == p.engine && p.stay
	if p.attempt == 0 {
		p.attempt = 1
	}
	if !same {
		p.carried = p.tokens
	}
	posted := s.body.Samples[p.index]
	order := machine.StartAttempt{
		Engine:     engine,
		Address:    address,
		Model:      s.demand.Model,
		Prompt:     posted.Prompt,
		MaxTokens:  posted.MaxTokens,
		Group:      posted.Group,
		Priority:   placement.Priority + priorityPerImportance*s.demand.Importance,
		ResumeFrom: p.tokens,
	}
	if !same && p.tokens > 0 {
		order.ResumeText = p.text.String()
	}
	p.engine, p.address = engine, address
	order.ID = s.attemptID(p)
	m.begun(now, s, p)
	m.send(order)
}

// begun marks a sample as running on its engine.
func (m *Machine) begun(now time.Time, s *step, p *sample) {
	p.state = sampleRunning
	p.resume = false
	p.stay = false
	p.startedAt = now
	p.forgetSpeed()
	p.chunkAt = time.Time{}
	s.place(p)
}

// resumeAttempts goes back to the engines that run attempts: those of the last
// holder, and those whose stream was cut.
func (m *Machine) resumeAttempts(now time.Time, s *step, engines []routing.Engine) {
	for _, p := range s.samples {
		if p.state != sampleWaiting || !(p.resume || p.stay) || now.Before(p.retryAt) {
			continue
		}
		index := slices.IndexFunc(engines, func(e routing.Engine) bool { return e.ID == p.engine })
		switch {
		case index >= 0:
			m.resumeAt(now, s, p, engines[index])
		case p.stay:
			p.stay = false
		case now.Sub(s.ownedAt) >= engineGrace:
			m.restart(now, s, p)
		}
	}
}

// resumeAt streams an attempt again from the engine that knows its request. An
// attempt of the last holder comes from its start.
func (m *Machine) resumeAt(now time.Time, s *step, p *sample, engine routing.Engine) {
	p.stay = true
	placement := routing.Placement{Sample: p.index, Engine: engine.ID, Address: engine.Address}
	m.start(now, s, placement)
}

// moveStragglers moves the last samples of a step to engines that end them
// sooner. A moved attempt takes its text along.
func (m *Machine) moveStragglers(now time.Time, s *step) {
	if s.phase != phaseOwning || s.handing || now.Sub(s.movesAt) < moveInterval {
		return
	}
	s.movesAt = now
	var running []routing.Running
	waiting := 0
	for _, p := range s.samples {
		switch p.state {
		case sampleWaiting:
			waiting++
		case sampleRunning:
			running = append(running, routing.Running{Work: s.work(p), Engine: p.engine, Speed: p.speed, Moves: p.moves})
		}
	}
	if len(running) == 0 || waiting > 0 {
		return
	}
	moves := m.policy.Move(routing.MoveRequest{
		Engines: m.engines(now, s),
		Running: running,
		Waiting: waiting,
		Newest:  m.newest(s),
		Bound:   s.bound(),
	})
	for _, move := range moves {
		p := s.samples[move.Sample]
		m.cancel(s, p)
		p.moves++
		m.start(now, s, move)
	}
}

// checkStreams ends attempts that stall, miss the bound or miss the deadline.
func (m *Machine) checkStreams(now time.Time, s *step) {
	if s.phase != phaseOwning {
		return
	}
	if m.checkDeadline(now, s) {
		return
	}
	newest := m.newest(s)
	for _, p := range s.samples {
		if p.state == sampleWaiting && p.tokens > 0 && routing.TooOld(p.oldest(), newest, s.bound()) {
			m.restart(now, s, p)
		}
		if p.state != sampleRunning {
			continue
		}
		switch {
		case routing.TooOld(p.oldest(), newest, s.bound()):
			m.abandonAttempt(now, s, p)
		case p.stops < maxStops && routing.StopEarly(m.forecast(now, s, p)):
			p.stops++
			m.abandonAttempt(now, s, p)
		case now.Sub(m.lastSign(p)) >= m.limits.StallTimeout:
			m.cancel(s, p)
			m.avoid(now, p.engine, 0)
			m.retry(now, s, p)
		}
	}
}

// maxStops bounds how often one sample is stopped by a forecast alone.
const maxStops = 2

// forecast returns what is known of a running sample's chance to be within the
// bound at its end.
func (m *Machine) forecast(now time.Time, s *step, p *sample) routing.BoundForecast {
	speed := p.speed
	if speed <= 0 {
		return routing.BoundForecast{}
	}
	seconds := func(tokens int) time.Duration {
		return time.Duration(float64(tokens) / speed * float64(time.Second))
	}
	posted := s.body.Samples[p.index]
	versions := m.cadences[s.demand.Model]
	return routing.BoundForecast{
		Oldest:       p.oldest(),
		Newest:       m.newest(s),
		Bound:        s.bound(),
		VersionEvery: versions.every,
		SinceNewest:  max(now.Sub(versions.last), 0),
		Remaining:    seconds(s.lengths.remaining(posted, p.tokens)),
		Restart:      seconds(s.lengths.remaining(posted, 0)),
	}
}

// lastSign returns when an attempt last showed that it runs. Time in which this
// process was paused does not count.
func (m *Machine) lastSign(p *sample) time.Time {
	last := p.startedAt
	for _, at := range []time.Time{p.chunkAt, m.wokeAt} {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// checkDeadline ends the unfinished samples of a step that is out of time, or
// that has no demand to run by.
func (m *Machine) checkDeadline(now time.Time, s *step) bool {
	code, message := "", ""
	switch {
	case !s.body.Deadline.IsZero() && !now.Before(s.body.Deadline):
		code, message = codeDeadline, "the step's deadline has passed"
	case s.demand.Pool == "" && now.Sub(s.ownedAt) >= eventGrace:
		code, message = codeEvent, "the event "+s.body.Event+" is not in force"
	default:
		return false
	}
	for _, p := range s.samples {
		m.fail(now, s, p, code, message)
	}
	return true
}

// unfinished counts the samples that need more generation.
func (s *step) unfinished() int {
	count := 0
	for _, p := range s.samples {
		if !p.ended() {
			count++
		}
	}
	return count
}
