package scheduler

import "time"

// schedule starts waiting items, sends reward calls and orders weight loads.
func (m *Machine) schedule(now time.Time) {
	if m.stopped {
		return
	}
	m.startWaiting(now)
	m.sendRewards(now)
	m.orderLoads(now)
}

// startWaiting starts waiting items, job by job in order of arrival.
func (m *Machine) startWaiting(now time.Time) {
	if m.stopped {
		return
	}
	var engines []*engine
	var medians map[string]float64
	for _, job := range m.sortedJobs() {
		if len(job.queue) == 0 {
			continue
		}
		if medians == nil {
			if engines = m.enginesWithSlots(); len(engines) == 0 {
				return
			}
			medians = medianGaps(m.sortedEngines())
		}
		m.startItems(now, job, engines, medians)
	}
}

// startItems starts a job's waiting items while engines have free slots. medians holds the median
// gap between events of each service.
func (m *Machine) startItems(now time.Time, owner *job, engines []*engine, medians map[string]float64) {
	if owner.route == nil || !m.isFresh(now, owner.partition) {
		return
	}
	waiting := owner.queue[:0]
	full := false
	for _, next := range owner.queue {
		if next.finished {
			continue
		}
		if full {
			waiting = append(waiting, next)
			continue
		}
		chosen := m.chooseOrRestart(now, next, engines, medians[next.service])
		if chosen == nil {
			// Version pinning and isolation restrict this item only: later items may
			// still find an engine.
			full = len(owner.route.Targets) <= 1 && !next.isPinnedToVersion() && m.suspicion(next).Ends == 0 &&
				!m.leavesSlots(now, next, engines)
			waiting = append(waiting, next)
			continue
		}
		m.startAttempt(now, next, chosen)
	}
	clear(owner.queue[len(waiting):])
	owner.queue = waiting
}

// isFresh reports whether a partition was read recently enough to start items of its jobs. It
// bounds the work done for jobs that have already ended.
func (m *Machine) isFresh(now time.Time, partition int) bool {
	return now.Sub(m.lastRead[partition]) <= m.options.FreshnessLimit
}

func (m *Machine) startAttempt(now time.Time, next *item, chosen *engine) {
	inputs := m.inputs(now, next, chosen)
	m.lastID++
	started := &attempt{id: m.lastID, item: next, engine: chosen, startedAt: now, lastEventAt: now}
	next.attempt = started
	next.unsaved = unsaved{from: next.lastID}
	next.checkpointAt = time.Time{}
	m.attempts[started.id] = started
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
