package scheduler

import "time"

// Conditions for moving runs to faster engines.
const (
	// minMoveInterval is the shortest time between two moves of an item, which bounds the share of
	// its time that moves cost.
	minMoveInterval = 1200 * time.Millisecond
	// minEventsBeforeMove is the number of events that a run produces before it may move.
	minEventsBeforeMove = 3
	// maxMovesPerTick limits the moves in one tick; the others follow in later ticks.
	maxMovesPerTick = 8
	// moveSeconds is the time of a move without reading: until the run has ended, its item is queued,
	// and a new connection is made.
	moveSeconds = 0.15
	// minMoveGain is the smallest predicted gain in seconds that is worth a move, and minMoveGainShare
	// the smallest one as a share of the time that the run would need without it. The cost of the move
	// is deducted before. Larger ones leave the last items of a step on engines that are slightly slower.
	minMoveGain      = 0.2
	minMoveGainShare = 0.22
)

// moveToFaster moves runs of needed items to engines with free slots where they are predicted to end much
// sooner, when no items of their model wait. A run resumes after its last event, which costs a new
// connection and reading its prompt and text again.
func (m *Machine) moveToFaster(now time.Time) {
	waiting := make(map[string]bool)
	for _, job := range m.jobs {
		if len(job.queue) > 0 {
			waiting[job.model] = true
		}
	}
	free := m.freeEnginesByService(now)
	if len(free) == 0 {
		return
	}
	attempts := m.sortedAttempts()
	movable := m.movableRuns(now, attempts, waiting, free)
	if len(movable) == 0 {
		return
	}
	typicalGaps := typicalGapsOf(m.sortedEngines())
	ends := m.predictGroupEnds(now, attempts, typicalGaps)
	moves := 0
	taken := make(map[*engine]bool)
	for _, running := range movable {
		if moves >= maxMovesPerTick {
			return
		}
		owner := running.item
		others := ends[groupOf(owner)].without(owner)
		target, gain := m.worthwhileMove(now, running, free[owner.service], others, typicalGaps[owner.service])
		if target == nil || taken[target] {
			continue
		}
		taken[target] = true
		m.move(now, running, target, gain)
		moves++
	}
}

// movableRuns returns the runs that may move and for which a free engine is much faster than their own.
func (m *Machine) movableRuns(
	now time.Time, attempts []*attempt, waiting map[string]bool, free map[string]*freeEngines,
) []*attempt {
	var movable []*attempt
	for _, running := range attempts {
		if waiting[running.item.job.model] || !isMovable(now, running) {
			continue
		}
		if runsOnSlower(running, free[running.item.service]) {
			m.predictLength(running) // other items have ended since its last event
			movable = append(movable, running)
		}
	}
	return movable
}

// worthwhileMove returns the engine to which a run should move and by how many seconds that ends its group
// sooner, or nil if no move is worth its cost. others is when the other items of the group end.
func (m *Machine) worthwhileMove(
	now time.Time, running *attempt, available *freeEngines, others, typicalGap float64,
) (target *engine, gain float64) {
	stay := m.predictEnd(now, running, typicalGap)
	enough := max(minMoveGain, minMoveGainShare*stay)
	// The lowest gap bounds the gain. Checking it first avoids choosing a target in vain.
	if stay-max(moveSeconds+float64(running.memory.expected)*available.lowestGap, others) < enough {
		return nil, 0
	}
	target = m.moveTarget(now, running, available.engines, typicalGap)
	if target == nil {
		return nil, 0
	}
	gain = stay - max(moveEnd(running, target, typicalGap), others)
	if gain < enough {
		return nil, 0
	}
	return target, gain
}

// move cancels a run so that its item resumes on another engine. gain is in seconds.
func (m *Machine) move(now time.Time, running *attempt, target *engine, gain float64) {
	owner := running.item
	owner.movedAt = now
	m.cancel(running)
	m.output.Moves = append(m.output.Moves, Move{
		Attempt: running.id, JobID: owner.job.id, ItemID: owner.source.ID,
		From: running.engine.server, To: target.server,
		PredictedEvents: running.memory.expected, Gain: seconds(gain),
	})
}

func isMovable(now time.Time, running *attempt) bool {
	owner := running.item
	if running.cancelled || owner.finished || owner.retained || owner.job.route == nil || !owner.job.route.Resumable {
		return false
	}
	return owner.isNeeded() && running.events >= minEventsBeforeMove && !running.engine.loading &&
		now.Sub(owner.movedAt) >= minMoveInterval
}

// runsOnSlower reports whether a run's engine is slower than a free one by enough for a move to gain
// minMoveGainShare of the time that the run needs.
func runsOnSlower(running *attempt, free *freeEngines) bool {
	eng := running.engine
	return free != nil && free.lowestGap <= (1-minMoveGainShare)*eng.gapAt(len(eng.attempts), 0)
}

// groupKey identifies a group of items of a job.
type groupKey struct {
	job   *job
	group string
}

func groupOf(member *item) groupKey { return groupKey{job: member.job, group: member.source.Group} }

// groupEnd holds the predicted ends of the two items of a group that end last, in seconds from now. A
// trainer can use a group only when it is complete, so that only a move of the last item gains time.
type groupEnd struct {
	// last is the item that ends last, at lastEnd.
	last    *item
	lastEnd float64
	// otherEnd is the latest end of the other items.
	otherEnd float64
}

// without returns the predicted end of the group's items except one.
func (e *groupEnd) without(member *item) float64 {
	switch {
	case e == nil:
		return 0
	case e.last == member:
		return e.otherEnd
	}
	return e.lastEnd
}

func (e *groupEnd) add(member *item, end float64) {
	if end > e.lastEnd {
		e.last, e.lastEnd, e.otherEnd = member, end, e.lastEnd
		return
	}
	e.otherEnd = max(e.otherEnd, end)
}

// predictGroupEnds predicts the ends of groups from their running items. Items without a group are left
// out.
func (m *Machine) predictGroupEnds(now time.Time, attempts []*attempt, typicalGaps map[string]float64) map[groupKey]*groupEnd {
	ends := make(map[groupKey]*groupEnd)
	for _, running := range attempts {
		owner := running.item
		if owner.source.Group == "" || owner.finished || owner.retained {
			continue
		}
		key := groupOf(owner)
		if ends[key] == nil {
			ends[key] = &groupEnd{}
		}
		ends[key].add(owner, m.predictEnd(now, running, typicalGaps[owner.service]))
	}
	return ends
}

// predictEnd predicts the time until a run's item ends, in seconds. A run that is being moved is expected
// to end as on an engine with the typical gap.
func (m *Machine) predictEnd(now time.Time, running *attempt, typicalGap float64) float64 {
	if running.cancelled {
		return moveSeconds + float64(running.memory.expected)*max(typicalGap, minimumGap)
	}
	eng := running.engine
	return running.remainingSeconds(now, eng.gapAt(len(eng.attempts), typicalGap))
}

// freeEngines are the responsive engines of a service with a known gap and a free slot, ordered by ID.
type freeEngines struct {
	engines []*engine
	// lowestGap is the lowest gap that a run may get there, in seconds.
	lowestGap float64
}

// freeEnginesByService returns the free engines of each service that has any.
func (m *Machine) freeEnginesByService(now time.Time) map[string]*freeEngines {
	free := make(map[string]*freeEngines)
	for _, eng := range m.sortedEngines() {
		if eng.gap == 0 || len(eng.attempts) >= eng.slots || eng.isUnresponsive(now) {
			continue
		}
		gap := eng.gapAt(len(eng.attempts)+1, 0)
		known := free[eng.service]
		if known == nil {
			known = &freeEngines{lowestGap: gap}
			free[eng.service] = known
		}
		known.engines = append(known.engines, eng)
		known.lowestGap = min(known.lowestGap, gap)
	}
	return free
}

// moveTarget returns the engine that a run's item would get if the run were cancelled now, or nil if that is
// the run's engine or none. Without this check a cancelled run could resume where it was.
func (m *Machine) moveTarget(now time.Time, running *attempt, free []*engine, typicalGap float64) *engine {
	moved := *running.item
	moved.waitingSince = now
	target := m.chooseEngine(now, &moved, free, typicalGap)
	own := running.engine
	if target == nil || target == own || !target.hasRoom(running.memory) {
		return nil
	}
	if own.wasSlow(typicalGap) {
		return target
	}
	stay := own.rateBeside(now, &moved, running.memory, typicalGap, len(own.attempts)-1, own.memory.expected-running.memory.expected)
	if stay.betterThan(target.rate(now, &moved, running.memory, typicalGap)) {
		return nil
	}
	return target
}

// moveEnd predicts the time until a run's item ends if it moves, in seconds.
func moveEnd(running *attempt, target *engine, typicalGap float64) float64 {
	return moveSeconds + target.readSeconds(running.item, running.memory) +
		float64(running.memory.expected)*target.gapAt(len(target.attempts)+1, typicalGap)
}
