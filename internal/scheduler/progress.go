package scheduler

import (
	"strconv"
	"time"

	"dalehook/internal/batch"
)

// minimumSaved is the number of events below which a running item is not saved.
const minimumSaved = 5

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
			m.save(running)
		}
	}
}

// Save saves the progress of all runs.
func (m *Machine) Save() {
	for _, running := range m.sortedAttempts() {
		m.save(running)
	}
}

// save appends what a run made since its last progress.
func (m *Machine) save(running *attempt) {
	owner := running.item
	if owner.kept || owner.finished || len(owner.unsaved.text) == 0 {
		return
	}
	m.output.Progress = append(m.output.Progress, Progress{JobID: owner.job.id, Progress: batch.Progress{
		ItemID:   owner.source.ID,
		Run:      m.runName(running),
		Begin:    owner.unsaved.begin,
		From:     owner.unsaved.from,
		LastID:   owner.lastID,
		Text:     joinLines(owner.unsaved.text),
		Versions: owner.unsaved.versions,
	}})
	owner.unsaved = unsaved{from: owner.lastID}
}

// wholeName stands for the run of a whole text, which no run goes on after.
func (m *Machine) wholeName() string {
	return strconv.FormatInt(m.options.Term, 36) + ".whole"
}

// runName names an attempt unlike those of other machines.
func (m *Machine) runName(running *attempt) string {
	return strconv.FormatInt(m.options.Term, 36) + "." + strconv.FormatUint(uint64(running.id), 36)
}
