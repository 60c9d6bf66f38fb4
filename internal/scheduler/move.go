package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Conditions for moving runs to faster engines.
const (
	// minLongItemSpeedup is how many times faster the other engine must be for a long item to
	// move.
	minLongItemSpeedup = 1.18
	// minMoveInterval is the shortest time between two moves of an item, which bounds the share of
	// its time that moves cost.
	minMoveInterval = 1200 * time.Millisecond
	// minEventsBeforeMove is the number of events that a run produces before it may move.
	minEventsBeforeMove = 3
	// longItemEvents is the number of events from which an item counts as long, so that a small
	// speedup is worth a new connection.
	longItemEvents = 14
	// slowEngineFactor is the slowdown from which an engine counts as slow and every run leaves
	// it.
	slowEngineFactor = 2
	// maxMovesPerTick limits the moves in one tick; the others follow in later ticks.
	maxMovesPerTick = 8
)

// moveToFaster moves runs from slow engines to faster ones with free slots, when no items of their
// model wait. A run resumes after its last event, which only costs reading its text again.
func (m *Machine) moveToFaster(now time.Time) {
	waiting := make(map[string]bool)
	for _, job := range m.jobs {
		if len(job.queue) > 0 {
			waiting[job.model] = true
		}
	}
	fastest := m.freeEnginesByGap(now)
	reserved := make(map[*engine]int)
	moves := 0
	for _, running := range m.sortedAttempts() {
		if moves >= maxMovesPerTick {
			return
		}
		if waiting[running.item.job.model] || !isMovable(now, running) || m.suspicion(running.item).Ends > 0 {
			continue
		}
		target := m.fasterEngine(now, running, fastest[running.item.service], reserved)
		if target == nil {
			continue
		}
		reserved[target]++
		running.item.movedAt = now
		m.cancel(running)
		moves++
	}
}

func isMovable(now time.Time, running *attempt) bool {
	owner := running.item
	return !running.cancelled && !owner.finished && !owner.retained && owner.job.route != nil && owner.job.route.Resumable &&
		running.events >= minEventsBeforeMove && !running.engine.loading && now.Sub(owner.movedAt) >= minMoveInterval
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
		slices.SortStableFunc(engines, func(a, b *engine) int { return cmp.Compare(a.gap, b.gap) })
	}
	return fastest
}

// fasterEngine returns the fastest engine that is worth moving a run to, or nil. The engines are
// ordered by event gap.
func (m *Machine) fasterEngine(now time.Time, running *attempt, fastest []*engine, reserved map[*engine]int) *engine {
	minSpeedup := float64(slowEngineFactor)
	if len(running.item.text) >= longItemEvents {
		minSpeedup = minLongItemSpeedup
	}
	for _, candidate := range fastest {
		if candidate.gap*minSpeedup > running.engine.gap {
			return nil
		}
		if m.canRun(now, running.item, candidate) && len(candidate.attempts)+reserved[candidate] < candidate.slots {
			return candidate
		}
	}
	return nil
}
