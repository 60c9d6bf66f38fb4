package rollout

import (
	"slices"
	"time"

	"dalehook/internal/logwriter"
	"dalehook/internal/record"
)

// journal holds what an owner has written and what does not stand on the step's
// log yet. An entry takes effect once it is safe: it stands on the log as valid,
// or, while the log is down, a majority of the step's replicas has it.
type journal struct {
	entries []*journalEntry
	// serial is that of the last entry.
	serial uint64
	// acked holds the last serial of each replica, by its place in the group.
	acked [record.ReplicaCount]uint64
	// probed holds the last probe that each replica answered.
	probed  [record.ReplicaCount]uint64
	probe   uint64
	sentAt  time.Time
	changed bool
	// mirrored is set while replicas may hold entries of this journal.
	mirrored bool
}

// journalEntry is one entry of a journal.
type journalEntry struct {
	MirrorEntry
	id       record.ID
	inFlight bool
	retryAt  time.Time
	failures int
	// safe is set once the entry has taken effect.
	safe bool
	// appended is set once the log has answered; the fold settles it.
	appended bool
}

// body returns the entry as a record under an epoch.
func (e *journalEntry) body(epoch record.Epoch) any {
	switch {
	case len(e.Results) > 0:
		return record.SamplesCommitted{Epoch: epoch, Results: e.Results}
	case len(e.Failures) > 0:
		return record.SamplesFailed{Epoch: epoch, Failures: e.Failures}
	default:
		samples := make([]int, len(e.Revoked))
		for i, ref := range e.Revoked {
			samples[i] = ref.Sample
		}
		return record.SamplesRevoked{Epoch: epoch, Samples: samples, Newest: e.Newest}
	}
}

// empty reports whether all entries stand on the log.
func (j *journal) empty() bool { return len(j.entries) == 0 }

// first returns the serial of the oldest entry that is not on the log.
func (j *journal) first() uint64 {
	if j.empty() {
		return j.serial + 1
	}
	return j.entries[0].Serial
}

// renew makes the entries be mirrored again, to the group of a renewed claim.
func (j *journal) renew() {
	j.acked = [record.ReplicaCount]uint64{}
	j.probed = [record.ReplicaCount]uint64{}
}

// remove takes an entry out that stands on the log.
func (j *journal) remove(entry *journalEntry) {
	j.entries = slices.DeleteFunc(j.entries, func(e *journalEntry) bool { return e == entry })
}

// write adds an entry to the step's journal.
func (m *Machine) write(now time.Time, s *step, entry MirrorEntry) {
	s.journal.serial++
	entry.Serial = s.journal.serial
	s.journal.entries = append(s.journal.entries, &journalEntry{MirrorEntry: entry})
	s.journal.changed = true
	m.flushJournal(now, s)
}

// flushFinished writes the results and errors that came up since the last time,
// each kind as one record.
func (m *Machine) flushFinished(now time.Time, s *step) {
	if len(s.finished) > 0 {
		results := s.finished
		s.finished = nil
		m.write(now, s, MirrorEntry{Results: results})
	}
	if len(s.failed) > 0 {
		failures := s.failed
		s.failed = nil
		m.write(now, s, MirrorEntry{Failures: failures})
	}
}

// flushJournal appends what may be appended, and mirrors while the log is down.
func (m *Machine) flushJournal(now time.Time, s *step) {
	if s.phase != phaseOwning && s.phase != phaseRecovering {
		return
	}
	if m.environment.StoreDown() {
		m.mirror(now, s)
		return
	}
	for _, entry := range s.journal.entries {
		m.appendEntry(now, s, entry)
		if entry.safe || s.phase == phaseRecovering {
			return // what was mirrored goes to the log one by one, in order
		}
	}
}

// appendEntry appends an entry unless it is on its way.
func (m *Machine) appendEntry(now time.Time, s *step, entry *journalEntry) {
	if entry.inFlight || entry.appended || now.Before(entry.retryAt) || !s.sure {
		return
	}
	entry.inFlight = true
	epoch := s.epoch
	var id record.ID
	id = m.writer.Append(now, record.StepLog(s.id), entry.body(epoch), func(now time.Time, result logwriter.Result) {
		entry.inFlight = false
		voided := entry.id != id // the fold was faster than the answer
		if result.Outcome == logwriter.Done {
			entry.appended = !voided
		} else {
			entry.failures++
			entry.retryAt = now.Add(m.backoff(entry.failures))
		}
		if m.steps[s.id] == s && s.epoch == epoch {
			m.followLog(now, s)
		}
	})
	entry.id = id
}

// journalFolded acts on a record of results, errors or revocations on the log.
func (m *Machine) journalFolded(now time.Time, s *step, change record.StepChange) {
	if s.phase != phaseOwning && s.phase != phaseRecovering {
		return
	}
	index := slices.IndexFunc(s.journal.entries, func(e *journalEntry) bool { return e.id == change.ID })
	if index < 0 {
		return // an earlier holder's, or a copy
	}
	entry := s.journal.entries[index]
	if change.Reason == record.ReasonEpoch {
		entry.appended = false // written before the claim was renewed
		entry.id = ""
		return
	}
	s.journal.remove(entry)
	if !entry.safe {
		m.apply(now, s, entry, change.Applied)
	}
	if s.journal.mirrored && s.journal.empty() {
		s.journal.mirrored = false
		m.forgetMirrors(s)
	}
}

// apply lets an entry take effect on the given samples of it.
func (m *Machine) apply(now time.Time, s *step, entry *journalEntry, applied []int) {
	entry.safe = true
	if s.phase != phaseOwning {
		return // begin reads the fold
	}
	for _, result := range entry.Results {
		if slices.Contains(applied, result.Sample) {
			m.commitSample(s, result)
		}
	}
	for _, failure := range entry.Failures {
		if slices.Contains(applied, failure.Sample) {
			p := s.samples[failure.Sample]
			p.state, p.failure = sampleFailed, failure
		}
	}
	for _, ref := range entry.Revoked {
		if slices.Contains(applied, ref.Sample) {
			m.revokeSample(now, s, ref)
		}
	}
}

func (m *Machine) commitSample(s *step, result record.Result) {
	p := s.samples[result.Sample]
	p.state, p.result = sampleCommitted, result
}

// revokeSample runs a sample again whose result was over the bound.
func (m *Machine) revokeSample(now time.Time, s *step, ref AttemptRef) {
	p := s.samples[ref.Sample]
	p.revoking = false
	p.attempt = ref.Attempt
	p.result = record.Result{}
	p.failures = 0
	p.restart()
	p.retryAt = now
}

// samplesOf lists the samples that an entry names.
func samplesOf(entry MirrorEntry) []int {
	var samples []int
	for _, result := range entry.Results {
		samples = append(samples, result.Sample)
	}
	for _, failure := range entry.Failures {
		samples = append(samples, failure.Sample)
	}
	for _, ref := range entry.Revoked {
		samples = append(samples, ref.Sample)
	}
	return samples
}

// unsettled reports whether a finished sample is not safe yet.
func (s *step) unsettled() bool {
	return slices.ContainsFunc(s.samples, func(p *sample) bool { return p.state == sampleJournaled })
}

// flushPlacements writes where attempts were placed since the last time. Nothing
// waits for these records: without them a new owner runs the samples again.
func (m *Machine) flushPlacements(now time.Time, s *step) {
	if len(s.toPlace) == 0 || m.environment.StoreDown() || !s.sure {
		return
	}
	placements := s.toPlace
	s.toPlace = nil
	body := record.SamplesPlaced{Epoch: s.epoch, Placements: placements}
	for _, placement := range placements {
		if s.samples[placement.Sample].carried > 0 {
			body.Carried = append(body.Carried, placement.Sample)
		}
	}
	m.writer.Append(now, record.StepLog(s.id), body, nil)
}

// place remembers a placement for the next record, unless the log says the same.
func (s *step) place(p *sample) {
	placement := record.Placement{Sample: p.index, Attempt: p.attempt, Engine: p.engine}
	if s.places[p.index] == placement && s.carried[p.index] == (p.carried > 0) {
		return
	}
	same := func(other record.Placement) bool { return other.Sample == p.index }
	s.toPlace = append(slices.DeleteFunc(s.toPlace, same), placement)
}
