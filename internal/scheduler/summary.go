package scheduler

import "time"

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
	for _, job := range m.sortedJobs() {
		running := 0
		for _, waiting := range job.items {
			if waiting.attempt != nil {
				running++
			}
		}
		jobs = append(jobs, JobSummary{
			ID: job.id, Model: job.model, Minimum: job.minimum, Newest: m.newestVersions[job.model],
			Waiting: len(job.queue), Running: running, Unfinished: len(job.items), Total: len(job.sources),
		})
	}
	return engines, jobs
}
