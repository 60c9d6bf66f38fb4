package scheduler

import (
	"slices"
	"time"
)

// EngineSummary is the state of an engine.
type EngineSummary struct {
	ID       string
	Model    string
	Version  int64
	Attempts int
	Slots    int
	Loading  bool
	Paused   bool
	// Gap is the smoothed time between events, in milliseconds.
	Gap int
}

// JobSummary is the state of an open job.
type JobSummary struct {
	ID         string
	Model      string
	Minimum    int64
	Newest     int64
	Waiting    int
	Running    int
	Unfinished int
	Total      int
	// Due is when the results are due, in Unix milliseconds, and Slack the lowest slack of a waiting
	// item of a needed group, in milliseconds. Both are 0 if the job is not ordered by slack.
	Due   int64
	Slack int64
	// NeededGroups is the number of groups that the trainer waits for and that are not whole.
	NeededGroups int
	// RunningShare is the job's share of all running items.
	RunningShare float64
}

// Summary returns the state of all engines and jobs, for logs.
func (m *Machine) Summary(now time.Time) (engines []EngineSummary, jobs []JobSummary) {
	for _, eng := range m.sortedEngines() {
		engines = append(engines, EngineSummary{
			ID: eng.server.ID, Model: eng.model, Version: eng.versions[eng.model],
			Attempts: len(eng.attempts), Slots: eng.slots, Loading: eng.loading,
			Paused: now.Before(eng.pausedUntil), Gap: int(eng.gap * 1000),
		})
	}
	typicalGaps := typicalGapsOf(m.sortedEngines())
	for _, job := range m.sortedJobs() {
		running := 0
		for _, waiting := range job.items {
			if waiting.attempt != nil {
				running++
			}
		}
		summary := JobSummary{
			ID: job.id, Model: job.model, Minimum: job.minimum, Newest: m.newestVersions[job.model],
			Waiting: len(job.queue), Running: running, Unfinished: len(job.items), Total: len(job.sources),
			RunningShare: float64(running) / float64(max(len(m.attempts), 1)),
		}
		if job.isOrderedBySlack() {
			summary.Due, summary.Slack = job.dueAt.UnixMilli(), m.lowestSlack(now, job, typicalGaps).Milliseconds()
			summary.NeededGroups = job.neededGroupsLeft()
		}
		jobs = append(jobs, summary)
	}
	return engines, jobs
}

// lowestSlack returns the lowest slack of the job's waiting items that the trainer needs, or 0 if none
// waits.
func (m *Machine) lowestSlack(now time.Time, owner *job, typicalGaps map[string]float64) time.Duration {
	lowest, found := time.Duration(0), false
	for _, waiting := range owner.queue {
		if slack := m.latestStart(waiting, typicalGaps).Sub(now); waiting.isNeeded() && (!found || slack < lowest) {
			lowest, found = slack, true
		}
	}
	return lowest
}

// neededGroupsLeft returns the number of groups that the trainer waits for and that are not whole.
func (j *job) neededGroupsLeft() int {
	left := 0
	for _, subject := range j.groups {
		if subject.needed && slices.ContainsFunc(subject.items, func(member *item) bool { return j.items[member.source.ID] == member }) {
			left++
		}
	}
	return left
}
