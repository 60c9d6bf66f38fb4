package scheduler

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"dalehook/internal/batch"
)

const (
	// minUnsavedEvents is the number of unsaved events from which a running item is saved.
	minUnsavedEvents = 5
	// checkpointInterval is the time between two checkpoints of an item. It is well below the time
	// after which saved progress is trimmed.
	checkpointInterval = 2 * time.Second
)

// HandleRecoveredProgress takes the progress that predecessors saved for the jobs of a partition,
// by item. It must precede the jobs.
func (m *Machine) HandleRecoveredProgress(now time.Time, partition int, partials map[string]*batch.Partial) {
	m.recovered[partition] = partials
	m.recoveredAt = now
}

// expireRecovered drops recovered progress after the jobs it belongs to have been read.
func (m *Machine) expireRecovered(now time.Time) {
	if len(m.recovered) > 0 && now.Sub(m.recoveredAt) > retentionPeriod {
		clear(m.recovered)
	}
}

// applyRecovered sets an item's text from recovered progress, if its versions are acceptable. It
// reports whether the text is complete.
func (m *Machine) applyRecovered(opened *job, waiting *item) (complete bool) {
	partial := m.findRecovered(opened, waiting.source.ID)
	if partial == nil {
		return false
	}
	waiting.text = generatedText{lastID: partial.LastID, versions: partial.Versions, origin: TextRecovered}
	if len(partial.Text) > 0 {
		// A partial holds several events in one string. Split, they count as events in predictions.
		waiting.text.events = strings.Split(joinLines(partial.Text), "\n")
	}
	return partial.Complete
}

// findRecovered returns the best recovered progress of an item: that of the job itself, or else of
// an earlier job with the same item.
func (m *Machine) findRecovered(opened *job, itemID string) *batch.Partial {
	if own := m.recovered[opened.partition][itemID]; own != nil && opened.accepts(own) {
		return own
	}
	var best *batch.Partial
	for _, partition := range slices.Sorted(maps.Keys(m.recovered)) {
		other := m.recovered[partition][itemID]
		if other == nil || !opened.accepts(other) {
			continue
		}
		if best == nil || !best.Complete && (other.Complete || len(other.Text) > len(best.Text)) {
			best = other
		}
	}
	return best
}

// accepts reports whether recovered progress may be used in the job's results.
func (j *job) accepts(saved *batch.Partial) bool {
	return saved.Tenant == j.tenant && acceptsVersions(j, saved.Versions)
}

// saveProgress saves the progress of runs with enough unsaved events.
func (m *Machine) saveProgress(now time.Time) {
	if now.Sub(m.progressSavedAt) < m.options.SaveInterval {
		return
	}
	m.progressSavedAt = now
	for _, running := range m.sortedAttempts() {
		if len(running.item.unsaved.text) >= minUnsavedEvents {
			m.save(now, running)
		}
	}
}

// StopStarting stops the machine from starting or ordering anything, and saves the progress of all runs,
// which continue.
func (m *Machine) StopStarting(now time.Time) {
	m.stopped = true
	for _, running := range m.sortedAttempts() {
		m.save(now, running)
	}
}

// SaveCheckpoints saves the full text of all items, of open jobs as well as retained ones. A
// successor needs nothing else; earlier progress may not have been appended.
func (m *Machine) SaveCheckpoints(now time.Time) {
	for _, job := range m.sortedJobs() {
		for _, unfinished := range sortedItems(job) {
			if !unfinished.finished && len(unfinished.text.events) > 0 {
				m.saveCheckpoint(now, unfinished, m.checkpointRunName(unfinished))
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.retained)) {
		m.saveRetained(now, m.retained[name])
	}
}

func (m *Machine) checkpointRunName(subject *item) string {
	if subject.attempt == nil || subject.textComplete {
		return m.detachedRunName()
	}
	return m.runName(subject.attempt)
}

// saveRetained saves the retained text of an item without an open job.
func (m *Machine) saveRetained(now time.Time, kept *retainedItem) {
	if kept.result == nil {
		if len(kept.item.text.events) > 0 {
			m.saveCheckpoint(now, kept.item, m.detachedRunName())
		}
		return
	}
	m.output.Progress = append(m.output.Progress, Progress{JobID: kept.result.JobID, Progress: batch.Progress{
		ItemID: kept.result.ItemID, Tenant: kept.tenant, Run: m.detachedRunName(), Checkpoint: true,
		Text: kept.result.Text, Versions: kept.result.Versions, Whole: true,
	}})
}

// save appends the events of a run since its last progress, or a checkpoint if the last one is old
// or belongs to another run.
func (m *Machine) save(now time.Time, running *attempt) {
	owner := running.item
	if owner.retained || owner.finished || len(owner.unsaved.text) == 0 {
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
		LastID:   owner.text.lastID,
		Text:     joinLines(owner.unsaved.text),
		Versions: owner.unsaved.versions,
	}})
	owner.unsaved = unsaved{from: owner.text.lastID}
}

// saveCheckpoint appends the full text of an item.
func (m *Machine) saveCheckpoint(now time.Time, owner *item, run string) {
	owner.checkpointAt = now
	owner.unsaved = unsaved{from: owner.text.lastID}
	m.output.Progress = append(m.output.Progress, Progress{JobID: owner.job.id, Progress: batch.Progress{
		ItemID:     owner.source.ID,
		Tenant:     owner.job.tenant,
		Run:        run,
		Checkpoint: true,
		LastID:     owner.text.lastID,
		Text:       owner.text.joined(),
		Versions:   owner.text.versions,
		Whole:      owner.textComplete,
	}})
}

// detachedRunName is the run name of a checkpoint that no later progress continues: the text is
// complete, or no run is extending it.
func (m *Machine) detachedRunName() string {
	return strconv.FormatInt(m.options.Epoch, 36) + ".none"
}

// runName returns a name of an attempt that is unique across machines.
func (m *Machine) runName(running *attempt) string {
	return strconv.FormatInt(m.options.Epoch, 36) + "." + strconv.FormatUint(uint64(running.id), 36)
}
