package scheduler

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"dalehook/internal/batch"
)

const (
	// minimumSaved is the number of events below which a running item is not saved.
	minimumSaved = 5
	// checkpointInterval is the time between two checkpoints of an item. It is well below
	// the time after which saved progress is trimmed.
	checkpointInterval = 2 * time.Second
)

// HandleRecovered takes what predecessors saved of their runs for the jobs of a
// partition, by item. It comes before the jobs.
func (m *Machine) HandleRecovered(now time.Time, partition int, partials map[string]*batch.Partial) {
	m.recovered[partition] = partials
	m.recoveredAt = now
}

// forgetRecovered drops what predecessors saved once the jobs that it was for are known.
func (m *Machine) forgetRecovered(now time.Time) {
	if len(m.recovered) > 0 && now.Sub(m.recoveredAt) > keptFor {
		clear(m.recovered)
	}
}

// recover gives an item what a predecessor saved of it, if its versions fit.
// Whole says that nothing of its text is missing.
func (m *Machine) recover(opened *job, waiting *item) (whole bool) {
	partial := m.recoveredOf(opened, waiting.source.ID)
	if partial == nil {
		return false
	}
	waiting.text, waiting.lastID, waiting.versions = partial.Text, partial.LastID, partial.Versions
	return partial.Whole
}

// recoveredOf returns the best of what was saved of an item: what was made for the job
// itself, else for an earlier job that had the item as well.
func (m *Machine) recoveredOf(opened *job, itemID string) *batch.Partial {
	if own := m.recovered[opened.partition][itemID]; own != nil && opened.mayTake(own) {
		return own
	}
	var best *batch.Partial
	for _, partition := range slices.Sorted(maps.Keys(m.recovered)) {
		other := m.recovered[partition][itemID]
		if other == nil || !opened.mayTake(other) {
			continue
		}
		if best == nil || !best.Whole && (other.Whole || len(other.Text) > len(best.Text)) {
			best = other
		}
	}
	return best
}

// mayTake says whether what was saved of an item may stand in the job's results.
func (j *job) mayTake(saved *batch.Partial) bool {
	return saved.Tenant == j.tenant && fits(j, saved.Versions)
}

// saveAll saves the progress of the runs that have made enough.
func (m *Machine) saveAll(now time.Time) {
	if now.Sub(m.savedAt) < m.options.SaveInterval {
		return
	}
	m.savedAt = now
	for _, running := range m.sortedAttempts() {
		if len(running.item.unsaved.text) >= minimumSaved {
			m.save(now, running)
		}
	}
}

// Resign has the machine start and order nothing any more, and saves the progress of all runs,
// which go on.
func (m *Machine) Resign(now time.Time) {
	m.resigned = true
	for _, running := range m.sortedAttempts() {
		m.save(now, running)
	}
}

// SaveCheckpoints saves all of the texts that were made, of open jobs and of what is kept of
// ended ones: a successor needs nothing else, and what was saved before was perhaps not
// appended.
func (m *Machine) SaveCheckpoints(now time.Time) {
	for _, open := range m.sortedJobs() {
		for _, known := range sortedItems(open) {
			if !known.finished && len(known.text) > 0 {
				m.saveCheckpoint(now, known, m.checkpointName(known))
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.kept)) {
		m.saveKept(now, m.kept[name])
	}
}

func (m *Machine) checkpointName(known *item) string {
	if known.attempt == nil || known.whole {
		return m.noRunName()
	}
	return m.runName(known.attempt)
}

// saveKept saves the text that is kept of an item without an open job.
func (m *Machine) saveKept(now time.Time, known *keptItem) {
	if known.result == nil {
		if len(known.item.text) > 0 {
			m.saveCheckpoint(now, known.item, m.noRunName())
		}
		return
	}
	m.output.Progress = append(m.output.Progress, Progress{JobID: known.result.JobID, Progress: batch.Progress{
		ItemID: known.result.ItemID, Tenant: known.tenant, Run: m.noRunName(), Checkpoint: true,
		Text: known.result.Text, Versions: known.result.Versions, Whole: true,
	}})
}

// save appends what a run made since its last progress, or all of its text when the
// last checkpoint is old or was another run's.
func (m *Machine) save(now time.Time, running *attempt) {
	owner := running.item
	if owner.kept || owner.finished || len(owner.unsaved.text) == 0 {
		return
	}
	if now.Sub(owner.checkpointAt) >= checkpointInterval {
		m.saveCheckpoint(now, owner, m.runName(running))
		return
	}
	m.output.Progress = append(m.output.Progress, Progress{JobID: owner.job.id, Progress: batch.Progress{
		ItemID:   owner.source.ID,
		Tenant:   owner.job.tenant,
		Run:      m.runName(running),
		From:     owner.unsaved.from,
		LastID:   owner.lastID,
		Text:     joinLines(owner.unsaved.text),
		Versions: owner.unsaved.versions,
	}})
	owner.unsaved = unsaved{from: owner.lastID}
}

// saveCheckpoint appends all of an item's text.
func (m *Machine) saveCheckpoint(now time.Time, owner *item, run string) {
	owner.checkpointAt = now
	owner.unsaved = unsaved{from: owner.lastID}
	m.output.Progress = append(m.output.Progress, Progress{JobID: owner.job.id, Progress: batch.Progress{
		ItemID:     owner.source.ID,
		Tenant:     owner.job.tenant,
		Run:        run,
		Checkpoint: true,
		LastID:     owner.lastID,
		Text:       joinLines(owner.text),
		Versions:   owner.versions,
		Whole:      owner.whole,
	}})
}

// noRunName stands for the run of a checkpoint that nothing follows on: of a whole text, or of
// one that no run makes now.
func (m *Machine) noRunName() string {
	return strconv.FormatInt(m.options.Term, 36) + ".none"
}

// runName names an attempt unlike those of other machines.
func (m *Machine) runName(running *attempt) string {
	return strconv.FormatInt(m.options.Term, 36) + "." + strconv.FormatUint(uint64(running.id), 36)
}
