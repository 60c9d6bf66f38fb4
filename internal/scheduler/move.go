package scheduler

import (
	"cmp"
	"slices"
	"time"
)

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
	// the smallest one as a share of the time that the run would need without it. Predictions are
	// off by about this much.
	minMoveGain      = 0.3
	minMoveGainShare = 0.2
)

// moveToFaster moves runs to engines with free slots where they are predicted to end much sooner, when no
// items of their model wait. A run resumes after its last event, which costs a new connection and reading
// its prompt and text again.
func (m *Machine) moveToFaster(now time.Time) {
	waiting := make(map[string]bool)
	for _, job := range m.jobs {
		if len(job.queue) > 0 {
			waiting[job.model] = true
		}
	}
	free := m.freeEnginesByGap(now)
	if len(free) == 0 {
		return
	}
	attempts := m.sortedAttempts()
	var candidates []*attempt
	for _, running := range attempts {
		if waiting[running.item.job.model] || !isMovable(now, running) || m.suspicion(running.item).Ends > 0 {
			continue
		}
		if runsOnSlower(running, free[running.item.service]) {
			m.predictLength(running) // other items have ended since its last event
			candidates = append(candidates, running)
		}
	}
	if len(candidates) == 0 {
		return
	}
	medians := medianGaps(m.sortedEngines())
	ends := m.predictGroupEnds(now, attempts, medians)
	reserved := make(map[*engine]memoryUse)
	reservedRuns := make(map[*engine]int)
	moves := 0
	for _, running := range candidates {
		if moves >= maxMovesPerTick {
			return
		}
		others := ends[groupOf(running.item)].without(running.item)
		target, gain := m.fasterEngine(now, running, free[running.item.service], others, medians[running.item.service], reserved, reservedRuns)
		if target == nil {
			continue
		}
		use := reserved[target]
		use.add(running.memory)
		reserved[target] = use
		reservedRuns[target]++
		running.item.movedAt = now
		m.cancel(running)
		m.output.Moves = append(m.output.Moves, Move{
			Attempt: running.id, JobID: running.item.job.id, ItemID: running.item.source.ID,
			From: running.engine.server, To: target.server, PredictedEvents: running.memory.expected, Gain: seconds(gain),
		})
		moves++
	}
}

func isMovable(now time.Time, running *attempt) bool {
	owner := running.item
	return !running.cancelled && !owner.finished && !owner.retained && owner.job.route != nil && owner.job.route.Resumable &&
		running.events >= minEventsBeforeMove && !running.engine.loading && now.Sub(owner.movedAt) >= minMoveInterval
}

// runsOnSlower reports whether a run's engine is slower than a free one by enough for a move to gain
// minMoveGainShare of the time that the run needs. The free engines are ordered by gap.
func runsOnSlower(running *attempt, free []*engine) bool {
	if len(free) == 0 {
		return false
	}
	eng := running.engine
	return free[0].gapAt(len(free[0].attempts)+1, 0) <= (1-minMoveGainShare)*eng.gapAt(len(eng.attempts), 0)
}

// groupKey identifies a group of items of a job.
type groupKey struct {
	job   *job
	group string
}

func groupOf(member *item) groupKey { return groupKey{job: member.job, group: member.source.Group} }

// groupEnd holds the predicted ends of the two items of a group that end last, in seconds from now. A
// group is of use only when it is complete, so that a move gains nothing unless it is of the last item.
type groupEnd struct {
	last         *item
	first, other float64
}

// without returns the predicted end of the group's other items.
func (e *groupEnd) without(member *item) float64 {
	switch {
	case e == nil:
		return 0
	case e.last == member:
		return e.other
	}
	return e.first
}

func (e *groupEnd) add(member *item, end float64) {
	if end > e.first {
		e.last, e.first, e.other = member, end, e.first
		return
	}
	e.other = max(e.other, end)
}

// predictGroupEnds predicts the ends of groups from their running items. Items without a group are left
// out.
func (m *Machine) predictGroupEnds(now time.Time, attempts []*attempt, medians map[string]float64) map[groupKey]*groupEnd {
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
		ends[key].add(owner, m.predictEnd(now, running, medians[owner.service]))
	}
	return ends
}

// predictEnd predicts the time until a run's item ends, in seconds. A run that is being moved is expected
// to end as on an engine of the median pace.
func (m *Machine) predictEnd(now time.Time, running *attempt, medianGap float64) float64 {
	if running.cancelled {
		return moveSeconds + float64(running.memory.expected)*max(medianGap, minimumGap)
	}
	eng := running.engine
	return running.remainingSeconds(now, eng.gapAt(len(eng.attempts), medianGap))
}

// freeEnginesByGap returns the responsive engines of each service with a known gap and a free
// slot, fastest first.
func (m *Machine) freeEnginesByGap(now time.Time) map[string][]*engine {
	fastest := make(map[string][]*engine)
	for _, eng := range m.sortedEngines() {
		if eng.gap > 0 && len(eng.attempts) < eng.slots && !eng.isUnresponsive(now) {
			fastest[eng.service] = append(fastest[eng.service], eng)
		}
	}
	for _, engines := range fastest {
		slices.SortStableFunc(engines, func(a, b *engine) int {
			return cmp.Compare(a.gapAt(len(a.attempts)+1, 0), b.gapAt(len(b.attempts)+1, 0))
		})
	}
	return fastest
}

// fasterEngine returns the engine that is worth moving a run to and the predicted gain in seconds, or
// nil. others is the predicted end of the other items that the run's item is needed with.
func (m *Machine) fasterEngine(now time.Time, running *attempt, free []*engine, others, medianGap float64,
	reserved map[*engine]memoryUse, reservedRuns map[*engine]int,
) (target *engine, gain float64) {
	stay := m.predictEnd(now, running, medianGap)
	enough := max(minMoveGain, minMoveGainShare*stay)
	for _, other := range free {
		fastest := float64(running.memory.expected) * other.gapAt(len(other.attempts)+1, 0)
		if stay-max(fastest, others) < enough {
			return nil, 0
		}
		need := running.memory
		runs := len(other.attempts) + reservedRuns[other]
		if other == running.engine || runs >= other.slots || !m.canRun(now, running.item, other) {
			continue
		}
		move := moveSeconds + other.readSeconds(running.item, need) + float64(need.expected)*other.gapAt(runs+1, 0)
		gain = stay - max(move, others)
		use := reserved[other]
		use.add(need)
		if gain >= enough && other.hasRoom(use) {
			return other, gain
		}
	}
	return nil, 0
}
