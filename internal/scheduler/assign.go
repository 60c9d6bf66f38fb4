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
	var waiting, bySlack []*job
	for _, job := range m.sortedJobs() {
		if job.isOrderedBySlack() {
			bySlack = append(bySlack, job)
		}
		if len(job.queue) > 0 && job.route != nil && !job.hasExpired(now) && m.isFresh(now, job.partition) {
			waiting = append(waiting, job)
		}
	}
	if len(waiting) == 0 && !slices.ContainsFunc(bySlack, func(job *job) bool { return job.isRankStale(now) }) {
		return
	}
	engines := m.sortedEngines()
	typicalGaps := typicalGapsOf(engines)
	m.rankStale(now, bySlack, typicalGaps)
	m.startInOrder(now, waiting, &startRound{
		engines: enginesThatTakeItems(now, engines), typicalGaps: typicalGaps, reserved: make(map[string]bool),
	})
}

// startRound is the state of one pass over the waiting items of all jobs.
type startRound struct {
	// engines are those that took items at the start of the round and are not reserved.
	engines []*engine
	// typicalGaps holds the typical gap between events of each service, in seconds.
	typicalGaps map[string]float64
	// reserved holds the services with a reserved engine.
	reserved map[string]bool
	// rated is the number of comparisons of an item with an engine for items that no engine suited.
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
		if job.isOrderedBySlack() {
			m.orderQueue(job, round.typicalGaps)
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

// enginesThatTakeItems returns the engines that take items now. Starting items makes no other engine take
// items, so that one list serves a whole round.
func enginesThatTakeItems(now time.Time, engines []*engine) []*engine {
	var taking []*engine
	for _, eng := range engines {
		if eng.takesItems(now) {
			taking = append(taking, eng)
		}
	}
	return taking
}

// takesItems reports whether an engine takes an item of its service now.
func (e *engine) takesItems(now time.Time) bool {
	return e.listed && !e.loading && !e.draining && !now.Before(e.pausedUntil) &&
		len(e.attempts) < e.slots && !e.atWarmUpLimit(now)
}

func freeSlots(engines []*engine) int {
	free := 0
	for _, eng := range engines {
		free += eng.slots - len(eng.attempts)
	}
	return free
}

// startNext starts the next item of a job if an engine suits it; otherwise the item stays in the queue.
// It reports whether the item started.
func (m *Machine) startNext(now time.Time, position *cursor, round *startRound) bool {
	next, owner := position.head, position.job
	chosen := m.chooseOrRestart(now, next, round.engines, round.typicalGaps[next.service])
	if chosen != nil {
		m.startAttempt(now, next, chosen)
		position.advance(now, false)
		return true
	}
	position.advance(now, true)
	if len(owner.route.Targets) > 1 || next.isPinnedToVersion() {
		// Version pinning restricts this item only: later items may still find an engine.
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
// job: those of engines that are too slow for it, or that have no memory for it. An item that has waited for
// memory for maxMemoryWait does not let others of its job take it. If it is overdue, the engine whose runs
// will use the smallest share of memory is reserved for it, so that items of later jobs do not take the
// memory either.
func (m *Machine) leavesSlots(now time.Time, next *item, round *startRound) bool {
	canRun := func(eng *engine) bool { return m.canRun(now, next, eng) }
	if now.Sub(next.waitingSince) < maxMemoryWait {
		return slices.ContainsFunc(round.engines, canRun)
	}
	need := m.memoryNeed(next)
	var least *engine
	for _, eng := range round.engines {
		switch {
		case !canRun(eng):
		case eng.hasRoom(need):
			return true
		case least == nil || eng.expectedShare() < least.expectedShare():
			least = eng
		}
	}
	if least == nil || !next.job.isOrderedBySlack() || !next.job.isOverdue(now) {
		return false
	}
	round.reserve(least)
	return true
}

// reserve keeps an engine from taking items in this round. At most one engine of each service is reserved, for
// the first item that needs it.
func (r *startRound) reserve(reserved *engine) {
	if !r.reserved[reserved.service] {
		r.reserved[reserved.service] = true
		r.engines = slices.DeleteFunc(r.engines, func(eng *engine) bool { return eng == reserved })
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
	next.unsaved = unsaved{from: next.text.lastID}
	next.checkpointAt = time.Time{}
	m.attempts[started.id] = started
	m.countRunning(next.job.tenant, 1)
	chosen.attempts[started.id] = started
	m.addToMemory(started)
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
		After:         next.text.lastID,
		ExpectVersion: expected,
		Deadline:      next.job.expiresAt,
		Inputs:        inputs,
	})
}
