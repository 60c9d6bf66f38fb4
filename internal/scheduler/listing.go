package scheduler

import (
	"time"

	"dalehook/internal/batch"
)

// DefaultListInterval is the shortest time between two listings of a job's results, until the
// groups are whole that its trainer waits for. Trainers read twice a second, and are answered at
// once where there is anything new: results that come one by one have them find the last one half
// a second late, and come back half a second after that. With a little more than their interval
// between listings, their reads wait for the next one, and are answered as it comes.
const DefaultListInterval = 550 * time.Millisecond

// list takes the result of an item whose work is done, to be listed with the next ones.
func (m *Machine) list(owner *item, result batch.Result) {
	owner.finished = true
	owner.text = nil
	open := owner.job
	open.unlisted = append(open.unlisted, result)
	open.noteReady(owner)
}

// noteReady notes that an item's result is ready or listed.
func (j *job) noteReady(ready *item) {
	group := ready.source.Group
	j.unready[group]--
	if j.unready[group] > 0 {
		return
	}
	j.whole++
	if j.whole == j.wanted {
		// Its trainer has what it waits for.
		j.listedAt = time.Time{}
	}
}

// listDue lists what is ready of a job if its last listing is long enough ago.
func (m *Machine) listDue(now time.Time, open *job) {
	due := m.resigned || now.Sub(open.listedAt) >= m.options.ListInterval
	if len(open.unlisted) == 0 || !due {
		return
	}
	open.listedAt = now
	m.listAll(open)
}

// listAll lists what is ready of a job.
func (m *Machine) listAll(open *job) {
	m.output.Results = append(m.output.Results, open.unlisted...)
	open.unlisted = nil
}

// listReady lists what is ready of all jobs whose last listing is long enough ago.
func (m *Machine) listReady(now time.Time) {
	for _, open := range m.sortedJobs() {
		m.listDue(now, open)
	}
}

// listEverything lists what is ready of all jobs.
func (m *Machine) listEverything() {
	for _, open := range m.sortedJobs() {
		m.listAll(open)
	}
}
