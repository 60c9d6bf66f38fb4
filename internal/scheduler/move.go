package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// When runs are moved to faster engines.
const (
	// moveGain is how many times faster the other engine must be.
	moveGain = 1.18
	// moveInterval is the shortest time between two moves of an item.
	moveInterval = 1200 * time.Millisecond
	// moveAfter is the number of events that a run makes before it is moved.
	moveAfter = 3
	// longAfter is the number of events after which an item counts as a long one,
	// which a small gain is worth a new connection for.
	longAfter = 14
	// muchSlower is how many times slower an engine is that every run leaves.
	muchSlower = 2
	// moveAtOnce bounds the moves of one tick.
	moveAtOnce = 8
)

// moveToFaster moves runs from slow engines to free faster ones, once nothing of
// their model waits. A run goes on elsewhere after its last event, which costs no
// more than reading its text again.
func (m *Machine) moveToFaster(now time.Time) {
	waiting := make(map[string]bool)
	for _, open := range m.jobs {
		if len(open.queue) > 0 {
			waiting[open.model] = true
		}
	}
	fastest := m.fastestEngines(now)
	promised := make(map[*engine]int)
	moves := 0
	for _, running := range m.sortedAttempts() {
		if moves >= moveAtOnce {
			return
		}
		if waiting[running.item.job.model] || !mayMove(now, running) || m.suspicion(running.item).Ends > 0 {
			continue
		}
		target := m.fasterEngine(now, running, fastest[running.item.service], promised)
		if target == nil {
			continue
		}
		promised[target]++
		running.item.movedAt = now
		m.cancel(running)
		moves++
	}
}

func mayMove(now time.Time, running *attempt) bool {
	owner := running.item
	return !running.cancelled && !owner.finished && !owner.kept && owner.job.route != nil && owner.job.route.Resumable &&
		running.events >= moveAfter && !running.engine.loading && now.Sub(owner.movedAt) >= moveInterval
}

// fastestEngines returns the engines of each service with a known pace and a free
// slot that answer, the fastest first.
func (m *Machine) fastestEngines(now time.Time) map[string][]*engine {
	fastest := make(map[string][]*engine)
	for _, known := range m.sortedEngines() {
		if known.gap > 0 && len(known.attempts) < known.slots && !known.isSilent(now) {
			fastest[known.service] = append(fastest[known.service], known)
		}
	}
	for _, engines := range fastest {
		slices.SortStableFunc(engines, func(a, b *engine) int { return cmp.Compare(a.gap, b.gap) })
	}
	return fastest
}

// fasterEngine returns the fastest engine that is worth a move of a run, or nil. The
// engines are in the order of their pace.
func (m *Machine) fasterEngine(now time.Time, running *attempt, fastest []*engine, promised map[*engine]int) *engine {
	gain := float64(muchSlower)
	if len(running.item.text) >= longAfter {
		gain = moveGain
	}
	for _, candidate := range fastest {
		if candidate.gap*gain > running.engine.gap {
			return nil
		}
		if m.mayRun(now, running.item, candidate) && len(candidate.attempts)+promised[candidate] < candidate.slots {
			return candidate
		}
	}
	return nil
}
