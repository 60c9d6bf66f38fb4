package scheduler

import "time"

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
	engines := m.sortedEngines()
	promised := make(map[*engine]int)
	moves := 0
	for _, running := range m.sortedAttempts() {
		if moves >= moveAtOnce {
			return
		}
		if waiting[running.item.job.model] || !mayMove(now, running) {
			continue
		}
		target := m.fasterEngine(now, running, engines, promised)
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

// fasterEngine returns the fastest engine that is worth a move of a run, or nil.
func (m *Machine) fasterEngine(now time.Time, running *attempt, engines []*engine, promised map[*engine]int) *engine {
	gain := float64(muchSlower)
	if len(running.item.text) >= longAfter {
		gain = moveGain
	}
	var best *engine
	for _, candidate := range engines {
		if candidate.gap <= 0 || candidate.gap*gain > running.engine.gap || !m.mayRun(now, running.item, candidate) {
			continue
		}
		if len(candidate.attempts)+promised[candidate] >= candidate.slots {
			continue
		}
		if best == nil || candidate.gap < best.gap {
			best = candidate
		}
	}
	return best
}
