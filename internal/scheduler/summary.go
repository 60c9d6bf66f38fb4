package scheduler

import "time"

// EngineSummary is an engine as the machine sees it.
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

// JobSummary is an open job as the machine sees it.
type JobSummary struct {
	ID      string
	Model   string
	Minimum int64
	Newest  int64
	Waiting int
	Running int
	Left    int
	Total   int
}

// Summary tells what the machine sees, for logs.
func (m *Machine) Summary(now time.Time) (engines []EngineSummary, jobs []JobSummary) {
	for _, known := range m.sortedEngines() {
		engines = append(engines, EngineSummary{
			ID: known.server.ID, Model: known.model, Version: known.versions[known.model],
			Attempts: len(known.attempts), Slots: known.slots, Loading: known.loading,
			Paused: now.Before(known.pausedUntil), Gap: int(known.gap * 1000),
		})
	}
	for _, open := range m.sortedJobs() {
		running := 0
		for _, waiting := range open.items {
			if waiting.attempt != nil {
				running++
			}
		}
		jobs = append(jobs, JobSummary{
			ID: open.id, Model: open.model, Minimum: open.minimum, Newest: m.newest[open.model],
			Waiting: len(open.queue), Running: running, Left: len(open.items), Total: len(open.sources),
		})
	}
	return engines, jobs
}
