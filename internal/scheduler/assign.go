package scheduler

import (
	"slices"
	"time"
)

// schedule starts waiting items, sends reward calls and orders weight loads.
func (m *Machine) schedule(now time.Time) {
	if m.stopped {
		return
	}
	m.startWaiting(now)
	m.sendRewards(now)
	m.orderLoads(now)
}

// startWaiting starts waiting items in their order across all jobs, while engines have free slots.
func (m *Machine) startWaiting(now time.Time) {
	if m.stopped {
		return
	}
	var waiting, urgent []*job
	for _, job := range m.sortedJobs() {
		if job.hasUrgency() {
			urgent = append(urgent, job)
		}
		if len(job.queue) > 0 && job.route != nil && m.isFresh(now, job.partition) {
			waiting = append(waiting, job)
		}
	}
	if len(waiting) == 0 && !slices.ContainsFunc(urgent, func(job *job) bool { return job.isRankStale(now) }) {
		return
	}
	engines := m.sortedEngines()
	medians := medianGaps(engines)
	m.rankStale(now, urgent, medians)
	m.startInOrder(now, waiting, &startRound{
		engines: enginesThatTakeItems(now, engines), medians: medians, reserved: make(map[string]bool),
	})
}

// startRound is the state of one pass over the waiting items of all jobs.
type startRound struct {
	// engines are those that took items at the start of the round, without reserved ones.
	engines []*engine
	// medians holds the median gap between events of each service.
	medians map[string]float64
	// reserved holds the services with a reserved engine.
	reserved map[string]bool
	// rated counts the engines that items were compared with and that suit none of them.
	rated int
}

// startInOrder starts the waiting items of jobs until the engines are full or suit no more items.
func (m *Machine) startInOrder(now time.Time, waiting []*job, round *startRound) {
	slots := freeSlots(round.engines)
	if slots == 0 {
		return
	}
	cursors := make([]*cursor, 0, len(waiting))
	for _, job := range waiting {
		if job.hasUrgency() {
			m.orderQueue(job, round.medians)
		}
		cursors = append(cursors, newCursor(now, job))
	}
	for slots > 0 {
		next := m.nextCursor(cursors)
		if next == nil {
			break
		}
		if m.startNext(now, next, round) {
			slots--
		}
	}
	for _, position := range cursors {
		position.close()
	}
}

// enginesThatTakeItems returns the engines that take items now. In a step that starts items no engine
// is added to them.
func enginesThatTakeItems(now time.Time, engines []*engine) []*engine {
	var taking []*engine
	for _, candidate := range engines {
		if candidate.listed && !candidate.loading && !candidate.draining && !now.Before(candidate.pausedUntil) &&
			len(candidate.attempts) < candidate.slots && !candidate.atWarmUpLimit(now) {
			taking = append(taking, candidate)
		}
	}
	return taking
}

func freeSlots(engines []*engine) int {
	free := 0
	for _, candidate := range engines {
		free += candidate.slots - len(candidate.attempts)
	}
	return free
}

// startNext starts the next item of a job if an engine suits it; otherwise the item stays in the queue.
// It reports whether the item started.
func (m *Machine) startNext(now time.Time, position *cursor, round *startRound) bool {
	next, owner := position.head, position.job
	chosen := m.chooseOrRestart(now, next, round.engines, round.medians[next.service])
	if chosen != nil {
		m.startAttempt(now, next, chosen)
		position.advance(now, false)
		return true
	}
	position.advance(now, true)
	if len(owner.route.Targets) > 1 || next.isPinnedToVersion() || m.suspicion(next).Ends > 0 {
		// Version pinning and isolation restrict this item only: later items may still find an engine.
		return false
	}
	position.passedOver++
	round.rated += len(round.engines)
	if position.passedOver >= maxPassedOver || round.rated >= maxRated || !m.leavesSlots(now, next, round) {
		position.head = nil
	}
	return false
}

// leavesSlots reports whether engines have slots that an item without an engine leaves to later items of its
// job: slow ones that are worth waiting for, or ones without memory for it. An item that has waited long for
// memory does not let others of its job take it. If it is overdue, the engine whose runs will use the least is
// reserved for it instead, so that items of later jobs do not take the memory either.
func (m *Machine) leavesSlots(now time.Time, next *item, round *startRound) bool {
	canRun := func(candidate *engine) bool { return m.canRun(now, next, candidate) }
	if now.Sub(next.waitingSince) < memoryPatience {
		return slices.ContainsFunc(round.engines, canRun)
	}
	need := m.memoryNeed(next)
	var least *engine
	for _, candidate := range round.engines {
		switch {
		case !canRun(candidate):
		case candidate.hasRoom(need):
			return true
		case least == nil || candidate.expectedShare() < least.expectedShare():
			least = candidate
		}
	}
	if least == nil || !next.job.hasUrgency() || !next.job.isOverdue(now) {
		return false
	}
	round.reserve(least)
	return true
}

// reserve keeps an engine from taking items in this round, unless one of its service is reserved already: for
// the first item that needs it.
func (r *startRound) reserve(reserved *engine) {
	if !r.reserved[reserved.service] {
		r.reserved[reserved.service] = true
		r.engines = slices.DeleteFunc(r.engines, func(candidate *engine) bool { return candidate == reserved })
	}
}

// isFresh reports whether a partition was read recently enough to start items of its jobs. It
// bounds the work done for jobs that have already ended.
func (m *Machine) isFresh(now time.Time, partition int) bool {
	return now.Sub(m.lastRead[partition]) <= m.options.FreshnessLimit
}

func (m *Machine) startAttempt(now time.Time, next *item, chosen *engine) {
	inputs := m.inputs(now, next, chosen) // before the item counts among the engine's runs
	m.lastID++
	started := &attempt{id: m.lastID, item: next, engine: chosen, startedAt: now, lastEventAt: now}
	next.attempt = started
	next.unsaved = unsaved{from: next.lastID}
	next.checkpointAt = time.Time{}
	m.attempts[started.id] = started
	m.countRunning(next.job.tenant, 1)
	chosen.attempts[started.id] = started
	m.reserve(started)
	chosen.recentStarts.Record(now)
	expected := int64(0)
	if next.job.route.SingleVersion {
		expected = chosen.versions[next.job.model]
	}
	m.output.Starts = append(m.output.Starts, Start{
		Attempt:       started.id,
		JobID:         next.job.id,
		Host:          next.job.host,
		Tenant:        next.job.tenant,
		Item:          next.source,
		Server:        chosen.server,
		After:         next.lastID,
		ExpectVersion: expected,
		Deadline:      next.job.expiresAt,
		Inputs:        inputs,
	})
}
