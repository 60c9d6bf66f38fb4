package scheduler

import (
	"strconv"
	"time"

	"dalehook/internal/batch"
)

const (
	// minimumSaved is the number of events below which a running item is not saved.
	minimumSaved = 5
	// checkpointInterval is the time between two checkpoints of an item. It is well below
	// the time after which saved progress is trimmed.
	checkpointInterval = 4 * time.Second
)

// HandleRecovered takes what a predecessor saved of its runs, by item. It comes
// before the jobs.
func (m *Machine) HandleRecovered(partials map[string]*batch.Partial) {
	if m.recovered == nil {
		m.recovered = make(map[string]*batch.Partial)
	}
	for id, partial := range partials {
		m.recovered[id] = partial
	}
}

// recover gives an item what a predecessor saved of it, if its versions fit.
// Whole says that nothing of its text is missing.
func (m *Machine) recover(opened *job, waiting *item) (whole bool) {
	partial := m.recovered[waiting.source.ID]
	delete(m.recovered, waiting.source.ID)
	if partial == nil || !fits(opened, partial.Versions) {
		return false
	}
	waiting.text, waiting.lastID, waiting.versions = partial.Text, partial.LastID, partial.Versions
	return partial.Whole
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

// Save saves the progress of all runs.
func (m *Machine) Save(now time.Time) {
	for _, running := range m.sortedAttempts() {
		m.save(now, running)
	}
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
		Run:        run,
		Checkpoint: true,
		LastID:     owner.lastID,
		Text:       joinLines(owner.text),
		Versions:   owner.versions,
		Whole:      owner.whole,
	}})
}

// wholeName stands for the run of a whole text, which no run goes on after.
func (m *Machine) wholeName() string {
	return strconv.FormatInt(m.options.Term, 36) + ".whole"
}

// runName names an attempt unlike those of other machines.
func (m *Machine) runName(running *attempt) string {
	return strconv.FormatInt(m.options.Term, 36) + "." + strconv.FormatUint(uint64(running.id), 36)
}
