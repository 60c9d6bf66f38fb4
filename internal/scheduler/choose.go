package scheduler

import (
	"math"
	"slices"
	"time"

	"dalehook/internal/batch"
)

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
	return i.job.route != nil && i.job.route.SingleVersion && len(i.versions) > 0
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
	suspicion := m.suspicion(next)
	if !m.allowedBySuspicion(next, suspicion) {
		return nil
	}
	var best, bestWithPrompt, bestSlow, fallback candidate
	need, needed := memoryUse{}, false
	prompt := next.promptKey()
	for _, eng := range engines {
		if !m.canRun(now, next, eng) || suspicion.Ends >= isolationThreshold && m.runsIsolatedItem(eng) {
			continue
		}
		if !needed {
			need, needed = m.memoryNeed(next), true
		}
		rated := eng.rate(now, next, need, typicalGap)
		rated.penalty += isolationCost(suspicion, eng)
		switch {
		case eng.awaitsSample(now, typicalGap):
		case !eng.hasRoom(need):
			rated.seconds = eng.expectedShare()
			if eng.fitsNow(need) && !eng.wasSlow(typicalGap) && rated.betterThan(fallback) {
				fallback = rated
			}
		case eng.wasSlow(typicalGap):
			if rated.betterThan(bestSlow) {
				bestSlow = rated
			}
		default:
			if rated.betterThan(best) {
				best = rated
			}
			if eng.recentPrompts.has(prompt) && rated.betterThan(bestWithPrompt) {
				bestWithPrompt = rated
			}
		}
	}
	onlySlow := best.engine == nil || best.penalty >= unresponsivePenalty && bestSlow.penalty < unresponsivePenalty
	if onlySlow && bestSlow.engine != nil && m.takesSlow(now, next, bestSlow, float64(need.expected), typicalGap) {
		return bestSlow.engine
	}
	switch {
	case bestWithPrompt.engine != nil && bestWithPrompt.penalty == best.penalty && bestWithPrompt.seconds <= (1+equalCostShare)*best.seconds:
		return bestWithPrompt.engine
	case best.engine != nil:
		return best.engine
	case bestSlow.engine != nil:
		return nil
	}
	return fallback.engine
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
	if !eng.listed || eng.service != next.service || eng.loading || eng.draining {
		return false
	}
	if len(eng.attempts) >= eng.slots || now.Before(eng.pausedUntil) || eng.atWarmUpLimit(now) {
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

// slotQueues are the predicted queues for slots at engines that are not slow.
type slotQueues struct {
	// at is when they were predicted.
	at      time.Time
	classes map[slotClass]*slotQueue
}

// slotClass identifies the items that wait for the same slots.
type slotClass struct {
	service, model string
	minimum        int64
}

// slotQueue predicts when items that wait get the slots of a class.
type slotQueue struct {
	// releases holds the times until the slots become free for one more item, in ascending order and in
	// seconds.
	releases []float64
	// gap is the mean gap of the engines in seconds.
	gap float64
	// waits holds the waits of the items that have joined the queue.
	waits map[*batch.Item]float64
}

// wait returns the predicted time until an item gets a slot behind those that have joined the queue before.
// It is infinite if the class has no slots.
func (q *slotQueue) wait(next *item) float64 {
	if known, joined := q.waits[next.source]; joined {
		return known
	}
	if len(q.releases) == 0 {
		return math.Inf(1)
	}
	return q.releases[0]
}

// join adds an item that needs the given number of events.
func (q *slotQueue) join(next *item, remaining float64) {
	if _, joined := q.waits[next.source]; joined || len(q.releases) == 0 {
		return
	}
	wait := q.releases[0]
	q.waits[next.source] = wait
	q.releases = q.releases[1:]
	release := wait + remaining*q.gap
	at, _ := slices.BinarySearch(q.releases, release)
	q.releases = slices.Insert(q.releases, at, release)
}

// slotQueuesLifetime is how long predicted queues are reused, since computing them scans all engines.
const slotQueuesLifetime = 50 * time.Millisecond

// slotQueueOf returns the queue for the slots that an item may get.
func (m *Machine) slotQueueOf(now time.Time, next *item, typicalGap float64) *slotQueue {
	if m.slotQueues.classes == nil || now.Sub(m.slotQueues.at) >= slotQueuesLifetime {
		m.slotQueues = slotQueues{at: now, classes: make(map[slotClass]*slotQueue)}
	}
	class := slotClass{service: next.service, model: next.job.model, minimum: next.job.minimum}
	queue := m.slotQueues.classes[class]
	if queue == nil {
		queue = m.predictReleases(now, class, typicalGap)
		m.slotQueues.classes[class] = queue
	}
	return queue
}

// predictReleases predicts the ends of the runs at the engines of a class that are not slow.
func (m *Machine) predictReleases(now time.Time, class slotClass, typicalGap float64) *slotQueue {
	queue := &slotQueue{gap: typicalGap, waits: make(map[*batch.Item]float64)}
	gaps := 0.0
	for _, eng := range m.sortedEngines() {
		if !eng.listed || eng.service != class.service || eng.model != class.model || eng.loading || eng.draining ||
			eng.versions[class.model] < class.minimum || now.Before(eng.pausedUntil) || eng.isUnresponsive(now) || eng.wasSlow(typicalGap) {
			continue
		}
		gap := eng.gapAt(len(eng.attempts), typicalGap)
		for _, running := range eng.attempts {
			gaps += gap
			queue.releases = append(queue.releases, running.remainingSeconds(now, gap))
		}
	}
	if len(queue.releases) > 0 {
		queue.gap = gaps / float64(len(queue.releases))
	}
	slices.Sort(queue.releases)
	return queue
}

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
