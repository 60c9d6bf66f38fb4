package rollout

import (
	"cmp"
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// recovery is a new holder's question to the replicas of the holders before it:
// what was handed over while the log was down, and never reached it?
type recovery struct {
	// groups are the replica groups to ask.
	groups [][record.ReplicaCount]record.Replica
	// answered lists the replicas that have answered.
	answered []record.Replica
	entries  []EpochEntries
	askedAt  time.Time
	// merged is set once the answers stand in the journal.
	merged bool
}

// beginRecovery takes a step whose claim was won.
func (m *Machine) beginRecovery(now time.Time, s *step, epoch record.Epoch) {
	s.epoch = epoch
	s.journal = journal{}
	s.recovery = recovery{}
	s.setPhase(now, phaseRecovering)
	for _, earlier := range s.claims[:len(s.claims)-1] {
		if earlier.epoch >= s.placedEpoch {
			s.recovery.groups = append(s.recovery.groups, earlier.replicas)
		}
	}
}

// recover asks the replicas, writes what they have that the log has not, and
// begins once that is safe.
func (m *Machine) recover(now time.Time, s *step) {
	if !s.read.caughtUp {
		m.readLog(now, s, 0)
		return
	}
	if !s.recovery.merged && !m.collect(now, s) {
		return
	}
	m.flushJournal(now, s)
	if slices.ContainsFunc(s.journal.entries, func(e *journalEntry) bool { return !e.safe }) {
		m.readLog(now, s, 0)
		return
	}
	m.begin(now, s)
}

// applyMirrored lets recovered entries take effect that are safe in the replicas
// only.
func (m *Machine) applyMirrored(now time.Time, s *step) {
	for _, entry := range s.journal.entries {
		m.apply(now, s, entry, samplesOf(entry.MirrorEntry))
	}
}

// collect asks for mirrored entries and reports whether enough replicas have
// answered.
func (m *Machine) collect(now time.Time, s *step) bool {
	done := true
	for _, group := range s.recovery.groups {
		done = m.collectGroup(now, s, group) && done
	}
	if now.Sub(s.recovery.askedAt) >= resendInterval {
		s.recovery.askedAt = now
	}
	if !done {
		return false
	}
	s.recovery.merged = true
	m.merge(now, s)
	return true
}

// collectGroup asks one group. A majority has to answer; when a majority is gone
// for good, everyone who is left has to.
func (m *Machine) collectGroup(now time.Time, s *step, group [record.ReplicaCount]record.Replica) bool {
	ask := now.Sub(s.recovery.askedAt) >= resendInterval
	members, answers, lost := 0, 0, 0
	for _, replica := range group {
		switch {
		case replica.Node == "":
			continue
		case slices.Contains(s.recovery.answered, replica):
			answers++
		case m.lost(replica):
			lost++
		case m.isSelf(replica.Node):
			m.takeState(s, replica, m.replicaStore.collect(now, s.id, s.epoch))
			answers++
		case ask:
			m.sendTo(replica.Node, MirrorCollect{Step: s.id, Epoch: s.epoch})
		}
		members++
	}
	return answers >= majority(members) || answers+lost == members
}

// majority returns the smallest number that is more than half of members.
func majority(members int) int { return members/2 + 1 }

// takeState remembers a replica's answer.
func (m *Machine) takeState(s *step, replica record.Replica, epochs []EpochEntries) {
	if slices.Contains(s.recovery.answered, replica) {
		return
	}
	s.recovery.answered = append(s.recovery.answered, replica)
	s.recovery.entries = append(s.recovery.entries, epochs...)
}

// handleMirrorState takes a replica's answer to MirrorCollect.
func (m *Machine) handleMirrorState(now time.Time, in machine.PeerMessage, state MirrorState) {
	s := m.steps[state.Step]
	if s == nil || s.phase != phaseRecovering || s.epoch != state.Epoch {
		return
	}
	m.takeState(s, record.Replica{Node: in.From, Incarnation: in.FromIncarnation}, state.Epochs)
	m.recover(now, s)
}

// merge writes into the journal what the replicas have and the log has not. The
// entries are taken by epoch and serial, in the order in which they were made.
func (m *Machine) merge(now time.Time, s *step) {
	slices.SortStableFunc(s.recovery.entries, func(a, b EpochEntries) int { return cmp.Compare(a.Epoch, b.Epoch) })
	view := newRecoveredView(s.fold)
	for i, epoch := range s.recovery.entries {
		next := i + 1
		if next < len(s.recovery.entries) && s.recovery.entries[next].Epoch == epoch.Epoch {
			// Another replica has the same epoch; the longer list goes last.
			s.recovery.entries[next].Entries = union(epoch.Entries, s.recovery.entries[next].Entries)
			continue
		}
		for _, entry := range epoch.Entries {
			view.take(entry)
		}
	}
	s.recovery.entries = nil
	for _, entry := range view.journal() {
		m.write(now, s, entry)
	}
}

// union joins two lists of one epoch's entries in the order of their serials.
func union(a, b []MirrorEntry) []MirrorEntry {
	joined := slices.Concat(a, b)
	slices.SortStableFunc(joined, func(a, b MirrorEntry) int { return cmp.Compare(a.Serial, b.Serial) })
	return slices.CompactFunc(joined, func(a, b MirrorEntry) bool { return a.Serial == b.Serial })
}

// recoveredView is the state of samples after mirrored entries on top of the
// log. Entries are judged by attempt, so that one which reached the log as well
// changes nothing.
type recoveredView struct {
	fold     *record.Step
	revoked  map[int]int
	results  map[int]record.Result
	failures map[int]record.SampleFailure
	samples  []int
	newest   cluster.Version
}

func newRecoveredView(fold *record.Step) *recoveredView {
	return &recoveredView{
		fold:     fold,
		revoked:  map[int]int{},
		results:  map[int]record.Result{},
		failures: map[int]record.SampleFailure{},
	}
}

// touch remembers that a sample has a mirrored entry.
func (v *recoveredView) touch(sample int) {
	if !slices.Contains(v.samples, sample) {
		v.samples = append(v.samples, sample)
	}
}

// take applies one entry.
func (v *recoveredView) take(entry MirrorEntry) {
	for _, ref := range entry.Revoked {
		v.touch(ref.Sample)
		v.revoked[ref.Sample] = max(v.revoked[ref.Sample], ref.Attempt)
		v.newest = max(v.newest, entry.Newest)
		if v.results[ref.Sample].Attempt <= ref.Attempt {
			delete(v.results, ref.Sample)
		}
	}
	for _, result := range entry.Results {
		v.touch(result.Sample)
		if _, taken := v.results[result.Sample]; !taken && result.Attempt > v.revoked[result.Sample] {
			v.results[result.Sample] = result
		}
	}
	for _, failure := range entry.Failures {
		v.touch(failure.Sample)
		v.failures[failure.Sample] = failure
	}
}

// journal returns the entries that bring the log to this state: revocations,
// then results, then errors.
func (v *recoveredView) journal() []MirrorEntry {
	slices.Sort(v.samples)
	revoked := MirrorEntry{Newest: v.newest}
	var results, failures MirrorEntry
	for _, sample := range v.samples {
		logged, _, committed := v.fold.Committed(sample)
		_, _, failed := v.fold.Failed(sample)
		if committed && logged.Attempt <= v.revoked[sample] {
			revoked.Revoked = append(revoked.Revoked, AttemptRef{Sample: sample, Attempt: logged.Attempt})
			committed = false
		}
		if result, ok := v.results[sample]; ok && !committed && !failed {
			results.Results = append(results.Results, result)
		}
		if failure, ok := v.failures[sample]; ok && !committed && !failed {
			failures.Failures = append(failures.Failures, failure)
		}
	}
	var entries []MirrorEntry
	for _, entry := range []MirrorEntry{revoked, results, failures} {
		if len(entry.Revoked)+len(entry.Results)+len(entry.Failures) > 0 {
			entries = append(entries, entry)
		}
	}
	return entries
}
