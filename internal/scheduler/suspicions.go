package scheduler

import (
	"net/http"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/quarantine"
)

// isolationThreshold is the number of crashed engines from which an item is isolated: it runs on
// no engine together with another such item, and only once at a time. Each crash implicates all
// items of the engine once, including identical samples of one prompt. Items implicated twice are
// rare, and have to be told apart.
const isolationThreshold = 2

// ItemFingerprint identifies an item by its request. It is the same for equal items of different jobs.
func ItemFingerprint(tenant, host string, source *batch.Item) quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.Identity{
		Tenant: tenant, Method: http.MethodPost, Host: host, Target: source.Path, Body: source.Body,
	})
}

// HandleSuspicions updates the items that engines crashed under.
func (m *Machine) HandleSuspicions(now time.Time, suspicions map[quarantine.Fingerprint]quarantine.Suspicion) {
	m.suspicions = suspicions
	for _, job := range m.sortedJobs() {
		m.separateHeld(job)
	}
	m.schedule(now)
}

// separateHeld moves held items of a job out of the queue, and released ones back into it.
func (m *Machine) separateHeld(owner *job) {
	owner.queueDirty = true
	waiting := append(owner.held, owner.queue...)
	owner.held, owner.queue = nil, nil
	for _, next := range waiting {
		if m.suspicion(next).Held {
			owner.held = append(owner.held, next)
			continue
		}
		owner.queue = append(owner.queue, next)
	}
}

// suspicion returns what is known against an item.
func (m *Machine) suspicion(subject *item) quarantine.Suspicion {
	if len(m.suspicions) == 0 {
		return quarantine.Suspicion{}
	}
	if subject.fingerprint == (quarantine.Fingerprint{}) {
		subject.fingerprint = ItemFingerprint(subject.job.tenant, subject.job.host, subject.source)
	}
	return m.suspicions[subject.fingerprint]
}

// allowedBySuspicion reports whether an isolated item may run at all: not while the same item is
// running, while it is held, or while a crash that may get it held is being settled.
func (m *Machine) allowedBySuspicion(next *item, suspicion quarantine.Suspicion) bool {
	return suspicion.Ends < isolationThreshold || !suspicion.ProbePending && !suspicion.Held && !m.duplicateRuns(next)
}

// duplicateRuns reports whether the same item already runs, for another job or as another sample.
func (m *Machine) duplicateRuns(next *item) bool {
	for _, running := range m.attempts {
		other := running.item
		// Comparing paths first is cheap, and they differ nearly always.
		if other != next && other.source.Path == next.source.Path && m.suspicion(other).Ends > 0 && other.fingerprint == next.fingerprint {
			return true
		}
	}
	return false
}

// runsIsolatedItem reports whether an engine runs an isolated item, so that a crash would implicate a
// second one.
func (m *Machine) runsIsolatedItem(candidate *engine) bool {
	for _, running := range candidate.attempts {
		if m.suspicion(running.item).Ends >= isolationThreshold {
			return true
		}
	}
	return false
}

// isolationPenalty is added to the cost of an engine for each of its runs when an isolated item is
// placed, so that a crash affects few other items. It exceeds the cost differences between engine
// speeds.
const isolationPenalty = 1

// isolationCost rates an engine by the number of runs that a crash would affect.
func isolationCost(suspicion quarantine.Suspicion, candidate *engine) float64 {
	if suspicion.Ends < isolationThreshold {
		return 0
	}
	return isolationPenalty * float64(len(candidate.attempts))
}
