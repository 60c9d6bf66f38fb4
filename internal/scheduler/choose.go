package scheduler

import "time"

const (
	// maxSlowEngineWait is how long a short item waits for another slot before it takes a slow engine.
	maxSlowEngineWait = 800 * time.Millisecond
	// slowEngineFactor is the ratio of an engine's gap to the typical gap above which it counts as slow.
	slowEngineFactor = 2
	// maxWaitSlowFactor is the ratio of an engine's gap to the typical gap up to which maxSlowEngineWait
	// applies. On a slower engine even a short item would lose more time than it waits.
	maxWaitSlowFactor = 5
	// slowEngineExpiry is how long an engine counts as slow without a new sample of its gap.
	slowEngineExpiry = 3 * time.Second
	// readTokensPerSecond is the rate at which engines read prompts and texts.
	readTokensPerSecond = 200_000
	// equalCostShare is the relative difference in seconds up to which two engines count as equal.
	equalCostShare = 0.02
)

// maxPinnedVersionWait is how long an item waits for an engine that may continue its text before
// it restarts on another version. It equals the wait for an engine that is not slow.
const maxPinnedVersionWait = maxSlowEngineWait

// chooseOrRestart returns the engine to run an item on, or nil. It discards a single-version text
// when only engines with other versions have free slots.
func (m *Machine) chooseOrRestart(now time.Time, next *item, engines []*engine, typicalGap float64) *engine {
	chosen := m.chooseEngine(now, next, engines, typicalGap)
	if chosen != nil || !next.isPinnedToVersion() || now.Sub(next.waitingSince) < maxPinnedVersionWait {
		return chosen
	}
	restarted := *next
	restarted.discardText()
	chosen = m.chooseEngine(now, &restarted, engines, typicalGap)
	if chosen != nil {
		next.discardText()
	}
	return chosen
}

// isPinnedToVersion reports whether the item's text may only be continued by engines with the
// version that generated it.
func (i *item) isPinnedToVersion() bool {
	return i.job.route != nil && i.job.route.SingleVersion && len(i.text.versions) > 0
}

// candidate is an engine that can run an item, with its cost.
type candidate struct {
	engine *engine
	// penalty is compared before seconds.
	penalty float64
	// seconds is the predicted time from now until the item ends, plus the time by which the item delays
	// the other runs of the engine.
	seconds float64
}

func (c candidate) betterThan(other candidate) bool {
	switch {
	case other.engine == nil:
		return c.engine != nil
	case c.engine == nil:
		return false
	case c.penalty != other.penalty:
		return c.penalty < other.penalty
	}
	return c.seconds < other.seconds
}

// chooseEngine returns the engine with the lowest cost for an item, or nil. typicalGap is that of the
// item's service, as typicalGapsOf returns it, or 0 if unknown.
//
// Engines with room in their memory come first, then those that are not slow. An item takes a slow
// engine, or one without room, only under the conditions of takesSlow and fitsNow, and otherwise
// waits.
func (m *Machine) chooseEngine(now time.Time, next *item, engines []*engine, typicalGap float64) *engine {
	var found candidates
	need, needed := memoryUse{}, false
	prompt := next.promptKey()
	for _, eng := range engines {
		if !m.canRun(now, next, eng) {
			continue
		}
		if !needed {
			need, needed = m.memoryNeed(next), true
		}
		rated := eng.rate(now, next, need, typicalGap)
		if !eng.awaitsSample(now, typicalGap) {
			found.add(rated, need, prompt, typicalGap)
		}
	}
	if found.onlySlow() && m.takesSlow(now, next, found.slow, float64(need.expected), typicalGap) {
		return found.slow.engine
	}
	return found.choice()
}

// candidates holds the best engines for an item, by kind. The engine of a candidate is nil if there is none.
type candidates struct {
	// best has room in its memory and is not slow; withPrompt has also read the item's prompt recently.
	best, withPrompt candidate
	// slow has room in its memory.
	slow candidate
	// withoutRoom has no room until all its runs end, but has memory for the item now. Its seconds are
	// replaced by the share of its memory that its runs will use.
	withoutRoom candidate
}

// add compares a rated engine with the best one of its kind.
func (c *candidates) add(rated candidate, need memoryUse, prompt uint64, typicalGap float64) {
	eng := rated.engine
	switch {
	case !eng.hasRoom(need):
		rated.seconds = eng.expectedShare()
		if eng.fitsNow(need) && !eng.wasSlow(typicalGap) && rated.betterThan(c.withoutRoom) {
			c.withoutRoom = rated
		}
	case eng.wasSlow(typicalGap):
		if rated.betterThan(c.slow) {
			c.slow = rated
		}
	default:
		if rated.betterThan(c.best) {
			c.best = rated
		}
		if eng.recentPrompts.has(prompt) && rated.betterThan(c.withPrompt) {
			c.withPrompt = rated
		}
	}
}

// onlySlow reports whether a slow engine is the only one that is responsive and has room, or the only one at
// all.
func (c *candidates) onlySlow() bool {
	if c.slow.engine == nil {
		return false
	}
	return c.best.engine == nil || c.best.penalty >= unresponsivePenalty && c.slow.penalty < unresponsivePenalty
}

// choice returns the engine for an item that does not take a slow one, or nil if it waits.
func (c *candidates) choice() *engine {
	switch {
	case c.withPrompt.engine != nil && c.withPrompt.penalty == c.best.penalty &&
		c.withPrompt.seconds <= (1+equalCostShare)*c.best.seconds:
		return c.withPrompt.engine
	case c.best.engine != nil:
		return c.best.engine
	case c.slow.engine != nil:
		return nil
	}
	return c.withoutRoom.engine
}

// awaitsSample reports whether an engine that was slow already runs an item that will show its current
// pace. It gets no other item until then.
func (e *engine) awaitsSample(now time.Time, typicalGap float64) bool {
	return len(e.attempts) > 0 && !e.hasRecentGap(now) && e.wasSlow(typicalGap)
}

// takesSlow reports whether an item takes an engine that is or was slow rather than wait for another
// one: if it is predicted to end sooner there, or if it has waited for longer than it would gain, since
// predictions may be wrong. An engine whose pace is out of date is tried with one short item: one that is
// predicted to need at most as many events as items of its route have on average. remaining is the
// predicted number of events of the item.
func (m *Machine) takesSlow(now time.Time, next *item, slow candidate, remaining, typicalGap float64) bool {
	mean := m.lengths.Mean(next.lengthKey())
	short := mean == 0 || remaining <= float64(mean)
	if short && !slow.engine.isSlow(now, typicalGap) {
		return true
	}
	queue := m.slotQueueOf(now, next, typicalGap)
	wait := queue.wait(next)
	gain := slow.seconds - remaining*queue.gap
	if wait >= gain {
		return true
	}
	maxWait := seconds(gain)
	if short && slow.engine.gapAt(1, 0) <= maxWaitSlowFactor*typicalGap {
		maxWait = min(maxWait, maxSlowEngineWait)
	}
	if now.Sub(next.waitingSince) >= maxWait {
		return true
	}
	queue.join(next, remaining)
	return false
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// canRun reports whether an engine can take an item now.
func (m *Machine) canRun(now time.Time, next *item, eng *engine) bool {
	if eng.service != next.service || !eng.takesItems(now) {
		return false
	}
	version := eng.versions[next.job.model]
	if version < next.job.minimum {
		return false
	}
	return !m.wouldMixVersions(next, version)
}

const (
	// otherModelPenalty is added to the cost of an engine that is assigned to another model.
	otherModelPenalty = 10
	// unresponsivePenalty is added to the cost of an engine that did not respond to a run. A run can
	// wait on such an engine for longer than the engine is paused afterwards. Without the penalty the
	// item would be tried on a few such engines in turn. It exceeds all other cost differences.
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

// rate returns the cost of running an item on an engine beside the engine's present runs.
func (e *engine) rate(now time.Time, next *item, need memoryUse, typicalGap float64) candidate {
	return e.rateBeside(now, next, need, typicalGap, len(e.attempts), e.memory.expected)
}

// rateBeside returns the cost of running an item on an engine beside the given number of runs. expected is
// the number of events that these are predicted to need in total.
func (e *engine) rateBeside(now time.Time, next *item, need memoryUse, typicalGap float64, runs, expected int) candidate {
	rated := candidate{engine: e}
	if e.model != next.job.model {
		rated.penalty += otherModelPenalty
	}
	if e.isUnresponsive(now) {
		rated.penalty += unresponsivePenalty
	}
	gap := e.gapAt(runs+1, typicalGap)
	// Counting the delay of the other runs spreads long runs over the engines.
	delay := float64(expected) * (gap - e.gapAt(runs, typicalGap))
	rated.seconds = e.readSeconds(next, need) + float64(need.expected)*gap + delay
	return rated
}

// readSeconds predicts how long an engine reads the prompt and the text of an item.
func (e *engine) readSeconds(next *item, need memoryUse) float64 {
	tokens := need.events * e.tokensPerEvent
	if !e.recentPrompts.has(next.promptKey()) {
		tokens += need.prompt
	}
	return float64(tokens) / readTokensPerSecond
}

// minimumGap is the lower bound of the gap between events in costs, in seconds. It also stands for
// an unknown gap.
const minimumGap = 0.005

// remainingSeconds predicts the time until a run ends, given the gap of its engine.
func (a *attempt) remainingSeconds(now time.Time, gap float64) float64 {
	if a.cancelled {
		return 0
	}
	return max(float64(a.memory.expected)*gap-now.Sub(a.lastEventAt).Seconds(), 0)
}

// inputs returns the values that the choice of an engine was based on.
func (m *Machine) inputs(now time.Time, next *item, chosen *engine) Inputs {
	return Inputs{
		Epoch:           m.options.Epoch,
		Version:         chosen.versions[next.job.model],
		KeptEvents:      len(next.text.events),
		KeptFrom:        next.text.origin,
		Attempts:        len(chosen.attempts),
		Gap:             seconds(chosen.gap),
		ReadAge:         now.Sub(m.lastRead[next.job.partition]),
		Slack:           next.slack(now),
		Needed:          next.isNeeded(),
		PredictedEvents: m.memoryNeed(next).expected,
		MemoryInUse:     chosen.memory.inUse(chosen.tokensPerEvent),
		MemoryExpected:  chosen.memory.total(chosen.tokensPerEvent),
		MemoryCapacity:  chosen.memoryTokens,
	}
}
