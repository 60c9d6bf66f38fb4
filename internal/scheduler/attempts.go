package scheduler

import (
	"slices"
	"time"

	"dalehook/internal/batch"
)

// cancel requests the end of an attempt. Its slot is freed when the attempt has ended.
func (m *Machine) cancel(running *attempt) {
	if running == nil || running.cancelled {
		return
	}
	running.cancelled = true
	m.output.Cancels = append(m.output.Cancels, Cancel{Attempt: running.id})
}

// HandleEvent processes one event of an attempt.
func (m *Machine) HandleEvent(now time.Time, id AttemptID, event Event) {
	running := m.attempts[id]
	if running == nil || running.cancelled {
		return
	}
	owner := running.item
	if event.Version < owner.job.minimum || m.wouldMixVersions(owner, event.Version) {
		running.engine.versions[owner.job.model] = event.Version
		owner.discardText()
		m.cancel(running)
		return
	}
	running.observe(now)
	owner.refusals = 0
	running.engine.versions[owner.job.model] = max(running.engine.versions[owner.job.model], event.Version)
	owner.text.add(event)
	m.recordGrowth(running)
	owner.unsaved.text = append(owner.unsaved.text, event.Data)
	owner.unsaved.versions = batch.MergeVersions(owner.unsaved.versions, []int64{event.Version})
}

func (m *Machine) wouldMixVersions(owner *item, version int64) bool {
	return owner.isPinnedToVersion() && owner.text.versions[0] != version
}

// discardText drops the text of earlier attempts, so that the item starts over.
func (i *item) discardText() {
	i.text = generatedText{}
	i.unsaved = unsaved{}
}

// observe records an event of a run.
func (a *attempt) observe(now time.Time) {
	a.events++
	a.lastEventAt = now
	a.excusedStall = 0
	a.engine.unresponsiveAt = time.Time{}
	a.samplePace(now)
}

// HandleAttemptEnd processes the end of an attempt.
func (m *Machine) HandleAttemptEnd(now time.Time, id AttemptID, reason EndReason) {
	ended := m.attempts[id]
	if ended == nil {
		return
	}
	delete(m.attempts, id)
	delete(ended.engine.attempts, id)
	ended.engine.memory.remove(ended.memory)
	owner := ended.item
	m.countRunning(owner.job.tenant, -1)
	if reason != EndCompleted || ended.cancelled {
		m.save(now, ended)
	}
	owner.attempt = nil
	switch {
	case owner.retained:
		m.handleRetainedEnd(ended, reason)
	case !owner.finished:
		m.handleItemEnd(now, ended, reason)
	}
	m.startWaiting(now)
	m.sendRewards(now)
	if len(ended.engine.attempts) == 0 {
		m.orderLoads(now)
	}
}

// handleItemEnd handles the end of an attempt whose item still needs a result: it records the
// result or queues the item again.
func (m *Machine) handleItemEnd(now time.Time, ended *attempt, reason EndReason) {
	owner := ended.item
	if ended.cancelled {
		reason = EndCancelled
	}
	switch reason {
	case EndCompleted:
		m.completeText(now, owner)
		return
	case EndImpossible:
		m.recordDead(owner)
		return
	case EndFailed:
		owner.failures++
		if owner.job.route != nil && owner.failures >= max(owner.job.route.MaxAttempts, 1) {
			m.recordDead(owner)
			return
		}
	case EndNotExecuted:
		ended.engine.pausedUntil = now.Add(notExecutedPause)
	case EndBroken, EndUnreached:
		ended.engine.pausedUntil = now.Add(m.options.EnginePause)
		if ended.events == 0 {
			ended.engine.unresponsiveAt = now
		}
	}
	if reason == EndNotExecuted {
		owner.refusals++
	}
	owner.waitingSince = now
	owner.requeue()
}

// maxRefusalsInFront is the number of consecutive refusals up to which an item is queued first
// again. Some refusals only mean that an engine is full for a moment.
const maxRefusalsInFront = 3

// requeue queues an item again: before items that have not started yet, or last after several
// consecutive refusals. An item that no engine ever accepts would otherwise get every slot that becomes
// free. Jobs that are ordered by slack are ordered again before the next start.
func (i *item) requeue() {
	i.startBy, i.job.queueDirty = time.Time{}, true
	if i.refusals > maxRefusalsInFront {
		i.job.queue = append(i.job.queue, i)
		return
	}
	i.job.queue = slices.Insert(i.job.queue, 0, i)
}

// notExecutedPause is how long an engine that refused an item gets no more items.
const notExecutedPause = 50 * time.Millisecond

// recordDead records an item as given up. It keeps its text, which a later job may use if this one ends before the
// result is in the log.
func (m *Machine) recordDead(owner *item) {
	owner.finished = true
	m.output.Results = append(m.output.Results, batch.Result{
		JobID: owner.job.id, ItemID: owner.source.ID, Outcome: batch.OutcomeDead,
	})
}

// recordCompleted records the result of an item with its text and its score, if any.
func (m *Machine) recordCompleted(owner *item, score string) {
	owner.result = owner.unscoredResult()
	m.observeLength(owner, owner.result)
	owner.result.Score = score
	owner.finished = true
	owner.discardText() // the result holds it
	m.output.Results = append(m.output.Results, *owner.result)
}

// unscoredResult returns the result of an item with a complete text, without a score.
func (i *item) unscoredResult() *batch.Result {
	return &batch.Result{JobID: i.job.id, ItemID: i.source.ID, Text: i.text.joined(), Versions: i.text.versions}
}

// loadStallAllowance is the time after a load order during which runs on the engine are not
// expected to produce events. It is twice the duration of a load that shares the bandwidth to the
// weights with as many other loads as are allowed.
const loadStallAllowance = 2 * time.Second

// eventsExpectedSince returns the time from which the stall timeout of an attempt counts. It may
// be in the future after the engine was ordered to load.
func (a *attempt) eventsExpectedSince() time.Time {
	loaded := a.engine.loadStartedAt.Add(loadStallAllowance)
	if a.engine.loading && loaded.After(a.lastEventAt) {
		return loaded
	}
	return a.lastEventAt
}

// HandleProcessStall excuses a stall of this process: events that arrived meanwhile have not been
// processed yet. Between two events a run is excused for at most the stall timeout. Without this
// bound, late ticks would keep a run on an unresponsive engine.
func (m *Machine) HandleProcessStall(now time.Time, duration time.Duration) {
	for _, running := range m.attempts {
		excused := min(duration, now.Sub(running.lastEventAt), m.options.StallTimeout-running.excusedStall)
		if excused <= 0 {
			continue
		}
		running.excusedStall += excused
		running.lastEventAt = running.lastEventAt.Add(excused)
		// The gap that is being sampled includes the stall.
		running.sampleStart = time.Time{}
	}
}

// cancelStalled cancels attempts that received no event for too long; their items resume
// elsewhere.
func (m *Machine) cancelStalled(now time.Time) {
	for _, running := range m.sortedAttempts() {
		if !running.cancelled && now.Sub(running.eventsExpectedSince()) > m.options.StallTimeout {
			running.engine.pausedUntil = now.Add(m.options.EnginePause)
			running.engine.unresponsiveAt = now
			m.cancel(running)
		}
	}
}
