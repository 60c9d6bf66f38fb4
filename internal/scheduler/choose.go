package scheduler

import (
	"slices"
	"time"
)

const (
	// slowEnginePatience is how long an item waits for another slot before it takes an engine
	// known to be slow. Half of the items end within this time; a run on a slow engine is moved
	// after 1.2 to 1.5 s.
	slowEnginePatience = 800 * time.Millisecond
	// slowEngineExpiry is how long an engine counts as slow without a new sample of its gap.
	slowEngineExpiry = 3 * time.Second
)

// medianGaps returns the median event gap of each service. Services without a known gap are left
// out.
func medianGaps(engines []*engine) map[string]float64 {
	gaps := make(map[string][]float64)
	for _, eng := range engines {
		if eng.listed && eng.gap > 0 {
			gaps[eng.service] = append(gaps[eng.service], eng.gap)
		}
	}
	medians := make(map[string]float64, len(gaps))
	for service, serviceGaps := range gaps {
		slices.Sort(serviceGaps)
		medians[service] = serviceGaps[len(serviceGaps)/2]
	}
	return medians
}

// isSlow reports whether an engine has a recent gap well above the median of its service.
func (e *engine) isSlow(now time.Time, medianGap float64) bool {
	return medianGap > 0 && e.gap > slowEngineFactor*medianGap && now.Sub(e.gapSampledAt) < slowEngineExpiry
}

// pinnedVersionPatience is how long an item waits for an engine that may continue its text before
// it restarts on another version. It equals the wait for an engine that is not slow.
const pinnedVersionPatience = slowEnginePatience

// chooseOrRestart returns the engine to run an item on, or nil. It discards a single-version text
// when only engines with other versions have free slots.
func (m *Machine) chooseOrRestart(now time.Time, next *item, engines []*engine, medianGap float64) *engine {
	chosen := m.chooseEngine(now, next, engines, medianGap)
	if chosen != nil || !next.isPinnedToVersion() || now.Sub(next.waitingSince) < pinnedVersionPatience {
		return chosen
	}
	restarted := *next
	restarted.discardText()
	chosen = m.chooseEngine(now, &restarted, engines, medianGap)
	if chosen != nil {
		next.discardText()
	}
	return chosen
}

// isPinnedToVersion reports whether the item's text may only be continued by engines with the
// version that generated it.
func (i *item) isPinnedToVersion() bool {
	return i.job.route != nil && i.job.route.SingleVersion && len(i.versions) > 0
}

// chooseEngine returns the engine with the lowest cost for an item, or nil. medianGap is the
// median gap between events of the item's service, or 0 if unknown.
func (m *Machine) chooseEngine(now time.Time, next *item, engines []*engine, medianGap float64) *engine {
	var best *engine
	var bestCost float64
	patient := now.Sub(next.waitingSince) < slowEnginePatience
	suspicion := m.suspicion(next)
	if !m.allowedBySuspicion(next, suspicion) {
		return nil
	}
	for _, candidate := range engines {
		if !m.canRun(now, next, candidate) || patient && candidate.isSlow(now, medianGap) {
			continue
		}
		if suspicion.Ends >= isolationThreshold && m.runsIsolatedItem(candidate) {
			continue
		}
		cost := candidate.cost(now, next) + isolationCost(suspicion, candidate)
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// canRun reports whether an engine can take an item now.
func (m *Machine) canRun(now time.Time, next *item, candidate *engine) bool {
	if !candidate.listed || candidate.service != next.service || candidate.loading || candidate.draining {
		return false
	}
	if len(candidate.attempts) >= candidate.slots || now.Before(candidate.pausedUntil) || candidate.atWarmUpLimit(now) {
		return false
	}
	version := candidate.versions[next.job.model]
	if version < next.job.minimum {
		return false
	}
	return !m.wouldMixVersions(next, version)
}

const (
	// otherModelPenalty is added to the cost of an engine that is assigned to another model.
	otherModelPenalty = 10
	// unresponsivePenalty is added to the cost of an engine that did not respond to a run. A run
	// can wait on such an engine for longer than the engine is paused afterwards, so that without
	// the penalty a few of them would pass the item among themselves. It exceeds all other cost
	// differences.
	unresponsivePenalty = 1000
	// unresponsivePeriod is how long an engine counts as unresponsive: long enough to try several
	// others, and short enough to use it again after it recovers.
	unresponsivePeriod = 5 * time.Second
)

// isUnresponsive reports whether an engine recently failed to respond to a run and has produced no
// event since.
func (e *engine) isUnresponsive(now time.Time) bool {
	return !e.unresponsiveAt.IsZero() && now.Sub(e.unresponsiveAt) < unresponsivePeriod
}

// occupancyWeight is the relative increase of the cost of an engine with all slots in use. It is
// above the actual slowdown, so that engines of similar speed share the items, long ones included,
// and below the difference to a slow engine.
const occupancyWeight = 0.25

// cost rates an engine for an item; lower is better.
func (e *engine) cost(now time.Time, next *item) float64 {
	cost := 1 + occupancyWeight*float64(len(e.attempts))/float64(max(e.slots, 1))
	cost *= max(e.gap, minimumGap)
	if e.model != next.job.model {
		cost += otherModelPenalty
	}
	if e.isUnresponsive(now) {
		cost += unresponsivePenalty
	}
	return cost
}

// minimumGap is the lower bound of the gap between events in costs, in seconds. It also stands for
// an unknown gap.
const minimumGap = 0.005
