package scheduler

import (
	"net/http"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/quarantine"
)

// apartFrom is the number of engines that ended under an item from which on it runs beside no other
// such item, and once at a time. Each engine that crashes implicates all of its items once, also
// samples of one prompt that look alike; what is implicated twice is rare, and is to be told apart.
const apartFrom = 2

// Fingerprint tells an item from others, but not from the same one in another job.
func Fingerprint(tenant, host string, source *batch.Item) quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.Identity{
		Caller: tenant, Method: http.MethodPost, Host: host, Target: source.Path, Body: source.Body,
	})
}

// HandleSuspicions takes what is known against the items that engines ended under.
func (m *Machine) HandleSuspicions(now time.Time, suspicions map[quarantine.Fingerprint]quarantine.Suspicion) {
	m.suspicions = suspicions
	for _, open := range m.sortedJobs() {
		m.divideHeld(open)
	}
	m.schedule(now)
}

// divideHeld has the items of a job wait that are held no more, and takes those that are held now
// from the queue.
func (m *Machine) divideHeld(open *job) {
	waiting := append(open.held, open.queue...)
	open.held, open.queue = nil, nil
	for _, next := range waiting {
		if m.suspicion(next).Held {
			open.held = append(open.held, next)
			continue
		}
		open.queue = append(open.queue, next)
	}
}

// suspicion returns what is known against an item.
func (m *Machine) suspicion(known *item) quarantine.Suspicion {
	if len(m.suspicions) == 0 {
		return quarantine.Suspicion{}
	}
	if known.fingerprint == (quarantine.Fingerprint{}) {
		known.fingerprint = Fingerprint(known.job.tenant, known.job.host, known.source)
	}
	return m.suspicions[known.fingerprint]
}

// mayRunNow says whether an item may run anywhere: the same one runs once at a time, and none
// whose next end would have it held while an end is not settled.
func (m *Machine) mayRunNow(next *item, known quarantine.Suspicion) bool {
	return known.Ends < apartFrom || !known.ProbePending && !known.Held && !m.runsElsewhere(next)
}

// runsElsewhere says whether the same item runs already: for another job, or as another sample.
func (m *Machine) runsElsewhere(next *item) bool {
	for _, running := range m.attempts {
		other := running.item
		// Paths differ nearly always, and cost nothing to compare.
		if other != next && other.source.Path == next.source.Path && m.suspicion(other).Ends > 0 && other.fingerprint == next.fingerprint {
			return true
		}
	}
	return false
}

// runsSuspect says whether an engine runs an item that may end it, so that another one would be
// implicated as well.
func (m *Machine) runsSuspect(candidate *engine) bool {
	for _, running := range candidate.attempts {
		if m.suspicion(running.item).Ends >= apartFrom {
			return true
		}
	}
	return false
}

// suspectPenalty is added to the cost of an engine for each run there, for an item that engines
// ended under more than once: little else is to be lost with the next. It is above what paces differ by.
const suspectPenalty = 1

// suspectCost rates an engine by what would be lost with it.
func suspectCost(known quarantine.Suspicion, candidate *engine) float64 {
	if known.Ends < apartFrom {
		return 0
	}
	return suspectPenalty * float64(len(candidate.attempts))
}
