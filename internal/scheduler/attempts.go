package scheduler

import (
	"slices"
	"time"

	"dalehook/internal/batch"
)

// cancel asks for the end of an attempt; its slot is free once it has ended.
func (m *Machine) cancel(running *attempt) {
	if running == nil || running.cancelled {
		return
	}
	running.cancelled = true
	m.output.Cancels = append(m.output.Cancels, Cancel{Attempt: running.id})
}

// HandleEvent takes one event of an attempt.
func (m *Machine) HandleEvent(now time.Time, id AttemptID, event Event) {
	running := m.attempts[id]
	if running == nil || running.cancelled {
		return
	}
	owner := running.item
	if event.Version < owner.job.minimum || m.mixesVersions(owner, event.Version) {
		running.engine.versions[owner.job.model] = event.Version
		owner.restart()
		m.cancel(running)
		return
	}
	running.observe(now)
	owner.refused = 0
	running.engine.versions[owner.job.model] = max(running.engine.versions[owner.job.model], event.Version)
	owner.text = append(owner.text, event.Data)
	owner.lastID = event.ID
	owner.versions = batch.MergeVersions(owner.versions, []int64{event.Version})
	owner.unsaved.text = append(owner.unsaved.text, event.Data)
	owner.unsaved.versions = batch.MergeVersions(owner.unsaved.versions, []int64{event.Version})
}

func (m *Machine) mixesVersions(owner *item, version int64) bool {
	return owner.isBound() && owner.versions[0] != version
}

// restart forgets the text of earlier attempts.
func (i *item) restart() {
	i.text, i.versions, i.lastID = nil, nil, ""
	i.unsaved = unsaved{}
}

// An engine's pace is taken over several events of a run, since events that were held
// up come all at once.
const (
	// paceEvents is the number of events after which a run gives a sample, paceTime
	// the time after which fewer do, but no less than paceFewest.
	paceEvents = 8
	paceFewest = 3
	paceTime   = 300 * time.Millisecond
	// paceSmoothing is the weight of the newest sample.
	paceSmoothing = 0.35
)

// observe notes an event of a run, and its engine's pace.
func (a *attempt) observe(now time.Time) {
	a.events++
	a.lastSeen = now
	a.excused = 0
	a.engine.silentAt = time.Time{}
	if a.sampleBegan.IsZero() {
		a.sampleBegan = now
		return
	}
	a.sampled++
	took := now.Sub(a.sampleBegan)
	if a.sampled < paceEvents && (a.sampled < paceFewest || took < paceTime) {
		return
	}
	gap := took.Seconds() / float64(a.sampled)
	if a.engine.gap == 0 {
		a.engine.gap = gap
	}
	a.engine.gap += paceSmoothing * (gap - a.engine.gap)
	a.engine.pacedAt = now
	a.sampleBegan, a.sampled = now, 0
}

// HandleAttemptEnd takes the end of an attempt.
func (m *Machine) HandleAttemptEnd(now time.Time, id AttemptID, reason EndReason) {
	ended := m.attempts[id]
	if ended == nil {
		return
	}
	delete(m.attempts, id)
	delete(ended.engine.attempts, id)
	owner := ended.item
	if reason != EndCompleted || ended.cancelled {
		m.save(now, ended)
	}
	owner.attempt = nil
	switch {
	case owner.kept:
		m.settleKept(ended, reason)
	case !owner.finished:
		m.settle(now, ended, reason)
	}
	m.startWaiting(now)
	m.sendRewards(now)
	if len(ended.engine.attempts) == 0 {
		m.orderLoads(now)
	}
}

// settle decides what follows the end of an attempt whose item is still wanted.
func (m *Machine) settle(now time.Time, ended *attempt, reason EndReason) {
	owner := ended.item
	if ended.cancelled {
		reason = EndCancelled
	}
	switch reason {
	case EndCompleted:
		m.complete(now, owner)
		return
	case EndImpossible:
		m.finishDead(owner)
		return
	case EndFailed:
		owner.failures++
		if owner.job.route != nil && owner.failures >= max(owner.job.route.MaxAttempts, 1) {
			m.finishDead(owner)
			return
		}
	case EndNotExecuted:
		ended.engine.pausedUntil = now.Add(notExecutedPause)
	case EndBroken, EndUnreached:
		ended.engine.pausedUntil = now.Add(m.options.ServerPause)
		if ended.events == 0 {
			ended.engine.silentAt = now
		}
	}
	if ended.events == 0 && (reason == EndNotExecuted || reason == EndBroken || reason == EndUnreached) {
		owner.refused++
	}
	owner.waitingSince = now
	if m.suspicion(owner).Held {
		owner.job.held = append(owner.job.held, owner)
		return
	}
	owner.requeue()
}

// refusedInFront is how often in a row an item may have been refused and still comes first. Some
// refusals are the servers' matter, which are full for a moment.
const refusedInFront = 3

// requeue has an item wait again: before those that have not begun yet, or behind all where no
// engine took it several times in a row. No engine may ever take it, and it would have each slot
// that becomes free.
func (i *item) requeue() {
	if i.refused > refusedInFront {
		i.job.queue = append(i.job.queue, i)
		return
	}
	i.job.queue = slices.Insert(i.job.queue, 0, i)
}

// notExecutedPause is how long a server that was full gets no more items.
const notExecutedPause = 50 * time.Millisecond

// finishDead lists an item as given up.
func (m *Machine) finishDead(owner *item) {
	owner.finished = true
	owner.text = nil
	m.output.Results = append(m.output.Results, batch.Result{
		JobID: owner.job.id, ItemID: owner.source.ID, Outcome: batch.OutcomeDead,
	})
}

// finishScored lists an item with its text, and the score of it where it has one.
func (m *Machine) finishScored(owner *item, score string) {
	owner.final = owner.unscoredResult()
	owner.final.Score = score
	owner.finished = true
	owner.text = nil
	m.output.Results = append(m.output.Results, *owner.final)
}

// unscoredResult returns the result of an item whose text is whole, without a score.
func (i *item) unscoredResult() *batch.Result {
	return &batch.Result{JobID: i.job.id, ItemID: i.source.ID, Text: joinLines(i.text), Versions: i.versions}
}

// loadStall is the time after the order of a load up to which runs on the engine are not
// expected to make events. It is twice what a load takes that shares the way to the
// weights with as many others as allowed.
const loadStall = 2 * time.Second

// quietSince returns from when on an attempt should have made events. It is in the future for a
// while after its engine was ordered to load.
func (a *attempt) quietSince() time.Time {
	loaded := a.engine.loadBegan.Add(loadStall)
	if a.engine.loading && loaded.After(a.lastSeen) {
		return loaded
	}
	return a.lastSeen
}

// HandleStoodStill says that nothing was handled for a time, so that the events which came
// meanwhile are still to come. Between two events a run is excused for as long as it may be
// without one, and no longer: where each tick is late, a silent engine would keep it.
func (m *Machine) HandleStoodStill(now time.Time, lasted time.Duration) {
	for _, running := range m.attempts {
		excused := min(lasted, now.Sub(running.lastSeen), m.options.StallTimeout-running.excused)
		if excused <= 0 {
			continue
		}
		running.excused += excused
		running.lastSeen = running.lastSeen.Add(excused)
	}
}

// moveStalled ends attempts that got no event for too long; they go on elsewhere.
func (m *Machine) moveStalled(now time.Time) {
	for _, running := range m.sortedAttempts() {
		if !running.cancelled && now.Sub(running.quietSince()) > m.options.StallTimeout {
			running.engine.pausedUntil = now.Add(m.options.ServerPause)
			running.engine.silentAt = now
			m.cancel(running)
		}
	}
}
