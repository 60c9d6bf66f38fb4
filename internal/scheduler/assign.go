package scheduler

import (
	"slices"
	"time"
)

// schedule starts what can be started, and orders loads.
func (m *Machine) schedule(now time.Time) {
	if m.resigned {
		return
	}
	m.startWaiting(now)
	m.sendRewards(now)
	m.orderLoads(now)
}

// startWaiting starts what can be started, job by job.
func (m *Machine) startWaiting(now time.Time) {
	if m.resigned {
		return
	}
	engines := m.sortedEngines()
	var usual map[string]float64
	for _, open := range m.sortedJobs() {
		if len(open.queue) == 0 {
			continue
		}
		if usual == nil {
			usual = usualGaps(engines)
		}
		m.startItems(now, open, engines, usual)
	}
}

// startItems starts a job's waiting items while engines have room. Usual are the usual times
// between events, by service.
func (m *Machine) startItems(now time.Time, open *job, engines []*engine, usual map[string]float64) {
	if open.route == nil || !m.isFresh(now, open.partition) {
		return
	}
	waiting := open.queue[:0]
	full := false
	for _, next := range open.queue {
		if next.finished {
			continue
		}
		if full {
			waiting = append(waiting, next)
			continue
		}
		chosen := m.chooseOrRestart(now, next, engines, usual[next.service])
		if chosen == nil {
			// An engine that may not go on with one item's text, or take a suspect, may take the next item.
			full = len(open.route.Targets) <= 1 && !next.isBound() && m.suspicion(next).Ends == 0
			waiting = append(waiting, next)
			continue
		}
		m.start(now, next, chosen)
	}
	clear(open.queue[len(waiting):])
	open.queue = waiting
}

// isFresh says whether a partition was read lately enough for items of its jobs to
// cause requests: none of them may have ended long ago.
func (m *Machine) isFresh(now time.Time, partition int) bool {
	return now.Sub(m.fresh[partition]) <= m.options.FreshnessLimit
}

const (
	// slowPatience is how long an item waits for another slot before it takes an engine
	// known to be slow. Half of the items end within this time; a run on a slow engine is
	// moved after 1.2 to 1.5 s.
	slowPatience = 800 * time.Millisecond
	// paceFreshFor is how long an engine counts as slow without a new sample of its pace.
	paceFreshFor = 3 * time.Second
)

// usualGaps returns the median of the gaps that are known, by service; services without one
// are left out.
func usualGaps(engines []*engine) map[string]float64 {
	gaps := make(map[string][]float64)
	for _, known := range engines {
		if known.listed && known.gap > 0 {
			gaps[known.service] = append(gaps[known.service], known.gap)
		}
	}
	usual := make(map[string]float64, len(gaps))
	for service, known := range gaps {
		slices.Sort(known)
		usual[service] = known[len(known)/2]
	}
	return usual
}

// isSlow says whether an engine is known to be much slower than usual now.
func (e *engine) isSlow(now time.Time, usual float64) bool {
	return usual > 0 && e.gap > muchSlower*usual && now.Sub(e.pacedAt) < paceFreshFor
}

// boundPatience is how long an item waits for an engine that may go on with its text, before it
// starts anew elsewhere. It is as long as an item waits for a better engine than a slow one.
const boundPatience = slowPatience

// chooseOrRestart returns the engine where an item is to run, or nil. Usual is as for choose. A
// text of a single version is forgotten where only engines of other versions have room.
func (m *Machine) chooseOrRestart(now time.Time, next *item, engines []*engine, usual float64) *engine {
	chosen := m.choose(now, next, engines, usual)
	if chosen != nil || !next.isBound() || now.Sub(next.waitingSince) < boundPatience {
		return chosen
	}
	anew := *next
	anew.restart()
	chosen = m.choose(now, &anew, engines, usual)
	if chosen != nil {
		next.restart()
	}
	return chosen
}

// isBound says whether only engines of one version may go on with an item's text.
func (i *item) isBound() bool {
	return i.job.route != nil && i.job.route.SingleVersion && len(i.versions) > 0
}

// choose returns the engine where an item is to run, or nil. Usual is the usual time between
// events of the item's service, 0 when none is known.
func (m *Machine) choose(now time.Time, next *item, engines []*engine, usual float64) *engine {
	var best *engine
	var bestCost float64
	patient := now.Sub(next.waitingSince) < slowPatience
	known := m.suspicion(next)
	if !m.mayRunNow(next, known) {
		return nil
	}
	for _, candidate := range engines {
		if !m.mayRun(now, next, candidate) || patient && candidate.isSlow(now, usual) {
			continue
		}
		if known.Ends >= apartFrom && m.runsSuspect(candidate) {
			continue
		}
		cost := candidate.cost(now, next) + suspectCost(known, candidate)
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// mayRun says whether an engine may take an item now.
func (m *Machine) mayRun(now time.Time, next *item, candidate *engine) bool {
	if !candidate.listed || candidate.service != next.service || candidate.loading || candidate.draining {
		return false
	}
	if len(candidate.attempts) >= candidate.slots || now.Before(candidate.pausedUntil) || candidate.isSaturated(now) {
		return false
	}
	version := candidate.versions[next.job.model]
	if version < next.job.minimum {
		return false
	}
	return !m.mixesVersions(next, version)
}

const (
	// foreignPenalty is added to the cost of an engine that belongs to another model.
	foreignPenalty = 10
	// silentPenalty is added to the cost of an engine that did not answer a run. One may hold an
	// item up for longer than it is left alone afterwards, so that a few of them would hand the
	// item on among themselves. It is above all that engines differ by otherwise.
	silentPenalty = 1000
	// silentFor is how long that counts. Longer than it takes to try some others, and
	// short enough for an engine that answers again to be of use.
	silentFor = 5 * time.Second
)

// isSilent says whether an engine did not answer a run lately, nor any since.
func (e *engine) isSilent(now time.Time) bool {
	return !e.silentAt.IsZero() && now.Sub(e.silentAt) < silentFor
}

// loadWeight is by how much an engine's pace counts as slower with all slots in use.
// It is more than events come slower by, so that engines of about one pace share the
// items, and the long ones among them, and less than slow engines are slower by.
const loadWeight = 0.25

// cost rates an engine for an item; lower is better.
func (e *engine) cost(now time.Time, next *item) float64 {
	cost := 1 + loadWeight*float64(len(e.attempts))/float64(max(e.slots, 1))
	cost *= max(e.gap, minimumGap)
	if e.model != next.job.model {
		cost += foreignPenalty
	}
	if e.isSilent(now) {
		cost += silentPenalty
	}
	return cost
}

// minimumGap, in seconds, stands for the gap between events that is not known yet.
const minimumGap = 0.005

func (m *Machine) start(now time.Time, next *item, chosen *engine) {
	m.lastID++
	begun := &attempt{id: m.lastID, item: next, engine: chosen, begun: now, lastSeen: now}
	next.attempt = begun
	next.unsaved = unsaved{from: next.lastID}
	next.checkpointAt = time.Time{}
	m.attempts[begun.id] = begun
	chosen.attempts[begun.id] = begun
	chosen.starts.Sent(now)
	expected := int64(0)
	if next.job.route.SingleVersion {
		expected = chosen.versions[next.job.model]
	}
	m.output.Starts = append(m.output.Starts, Start{
		Attempt:       begun.id,
		JobID:         next.job.id,
		Host:          next.job.host,
		Tenant:        next.job.tenant,
		Item:          next.source,
		Server:        chosen.server,
		After:         next.lastID,
		ExpectVersion: expected,
		Deadline:      next.job.giveUpAt,
		Inputs: Inputs{
			Term:     m.options.Term,
			Version:  chosen.versions[next.job.model],
			Attempts: len(chosen.attempts) - 1,
			Gap:      time.Duration(chosen.gap * float64(time.Second)),
			ReadAge:  now.Sub(m.fresh[next.job.partition]),
		},
	})
}
