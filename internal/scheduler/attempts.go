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
	running.engine.versions[owner.job.model] = max(running.engine.versions[owner.job.model], event.Version)
	owner.text = append(owner.text, event.Data)
	owner.lastID = event.ID
	owner.versions = batch.MergeVersions(owner.versions, []int64{event.Version})
	owner.unsaved.text = append(owner.unsaved.text, event.Data)
	owner.unsaved.versions = batch.MergeVersions(owner.unsaved.versions, []int64{event.Version})
}

func (m *Machine) mixesVersions(owner *item, version int64) bool {
	single := owner.job.route != nil && owner.job.route.SingleVersion
	return single && len(owner.versions) > 0 && owner.versions[0] != version
}

// restart forgets the text of earlier attempts.
func (i *item) restart() {
	i.text, i.versions, i.lastID = nil, nil, ""
	i.unsaved = unsaved{}
}

// gapSmoothing is the weight of the newest gap between events.
const gapSmoothing = 0.1

func (a *attempt) observe(now time.Time) {
	if a.events > 0 {
		gap := now.Sub(a.lastSeen).Seconds()
		if a.engine.gap == 0 {
			a.engine.gap = gap
		}
		a.engine.gap += gapSmoothing * (gap - a.engine.gap)
	}
	a.events++
	a.lastSeen = now
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
	m.save(ended)
	owner.attempt = nil
	switch {
	case owner.kept:
		m.settleKept(ended, reason)
	case !owner.finished:
		m.settle(now, ended, reason)
	}
	m.schedule(now)
}

// settle decides what follows the end of an attempt whose item is still wanted.
func (m *Machine) settle(now time.Time, ended *attempt, reason EndReason) {
	owner := ended.item
	if ended.cancelled {
		reason = EndCancelled
	}
	switch reason {
	case EndCompleted:
		m.finish(owner, batch.OutcomeCompleted)
		return
	case EndImpossible:
		m.finish(owner, batch.OutcomeDead)
		return
	case EndFailed:
		owner.failures++
		if owner.job.route != nil && owner.failures >= max(owner.job.route.MaxAttempts, 1) {
			m.finish(owner, batch.OutcomeDead)
			return
		}
	case EndNotExecuted:
		ended.engine.pausedUntil = now.Add(notExecutedPause)
	case EndBroken:
		ended.engine.pausedUntil = now.Add(m.options.ServerPause)
	}
	owner.job.queue = slices.Insert(owner.job.queue, 0, owner)
}

// notExecutedPause is how long a server that was full gets no more items.
const notExecutedPause = 50 * time.Millisecond

func (m *Machine) finish(owner *item, outcome batch.Outcome) {
	if outcome == batch.OutcomeCompleted {
		m.finishAs(owner, joinLines(owner.text), owner.versions)
		return
	}
	owner.finished = true
	owner.text = nil
	m.output.Results = append(m.output.Results, batch.Result{JobID: owner.job.id, ItemID: owner.source.ID, Outcome: outcome})
}

// finishAs completes an item with a text.
func (m *Machine) finishAs(owner *item, text string, versions []int64) {
	owner.finished = true
	owner.text = nil
	owner.final = &batch.Result{JobID: owner.job.id, ItemID: owner.source.ID, Text: text, Versions: versions}
	m.output.Results = append(m.output.Results, *owner.final)
}

// moveStalled ends attempts that got no event for too long; they go on elsewhere.
func (m *Machine) moveStalled(now time.Time) {
	for _, running := range m.sortedAttempts() {
		if running.engine.loading {
			running.lastSeen = now
			continue
		}
		if !running.cancelled && now.Sub(running.lastSeen) > m.options.StallTimeout {
			running.engine.pausedUntil = now.Add(m.options.ServerPause)
			m.cancel(running)
		}
	}
}
