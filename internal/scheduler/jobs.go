package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dalehook/internal/batch"
)

// HandleJob processes a job read from the log of a partition, with its results in that log.
func (m *Machine) HandleJob(now time.Time, partition int, accepted *batch.Job, results []batch.Result) {
	if m.jobs[accepted.ID] != nil {
		return
	}
	m.arrivals++
	opened := newJob(now, partition, m.arrivals, accepted)
	m.jobs[opened.id] = opened
	recorded := make([]*item, len(results))
	for i := range results {
		recorded[i] = opened.recordResult(&results[i])
	}
	m.route(opened)
	// Lengths are recorded by the name of the route, and so after it is set.
	for i := range results {
		if recorded[i] != nil {
			m.observeLength(recorded[i], &results[i])
		}
	}
	m.observeStepTokens(accepted)
	for i := range accepted.Items {
		if waiting := opened.items[accepted.Items[i].ID]; waiting != nil {
			m.resume(now, opened, waiting)
		}
	}
	slices.SortStableFunc(opened.queue, longestFirst)
	for _, waiting := range opened.items {
		waiting.group.resubmitted = waiting.group.resubmitted || waiting.resubmitted
	}
	m.workingSets.observeStep(accepted.Model, len(accepted.Items))
	m.forgetIfComplete(opened)
	m.updateWorkingSet()
	m.schedule(now)
}

// forgetIfComplete forgets a job whose items all have results: there is nothing left to schedule, and its client may
// never end it.
func (m *Machine) forgetIfComplete(job *job) {
	if len(job.items) == 0 {
		delete(m.jobs, job.id)
	}
}

// newJob returns the state of a job that was read from a partition, without results and route.
func newJob(now time.Time, partition, arrival int, accepted *batch.Job) *job {
	opened := &job{
		id:                accepted.ID,
		tenant:            accepted.Tenant,
		host:              accepted.Host,
		path:              accepted.Path,
		model:             accepted.Model,
		minimum:           accepted.MinVersion,
		partition:         partition,
		arrival:           arrival,
		receivedAt:        now,
		acceptedAt:        now,
		wantedGroups:      accepted.WantedGroups,
		medianEstimate:    medianEstimate(accepted.Items),
		items:             make(map[string]*item, len(accepted.Items)),
		unfinishedByGroup: make(map[string]int),
		sources:           make(map[string]*batch.Item, len(accepted.Items)),
		results:           make(map[string]*batch.Result),
	}
	for i := range accepted.Items {
		opened.addItem(&accepted.Items[i])
	}
	if accepted.AcceptedAt != 0 {
		// Adding the age keeps the monotonic reading of now, so that later steps of the machine's clock
		// do not move the due time.
		opened.acceptedAt = now.Add(time.UnixMilli(accepted.AcceptedAt).Sub(now))
	}
	opened.formGroups(accepted.Items)
	return opened
}

func (j *job) addItem(source *batch.Item) {
	if j.sources[source.ID] != nil {
		return
	}
	j.items[source.ID] = &item{job: j, source: source}
	j.sources[source.ID] = source
	j.unfinishedByGroup[source.Group]++
}

// formGroups forms the groups of a job's items.
func (j *job) formGroups(items []batch.Item) {
	byName := make(map[string]*group)
	for i := range items {
		member := j.items[items[i].ID]
		if member.group != nil {
			continue // a second item with the same ID
		}
		name := member.source.Group
		if byName[name] == nil {
			byName[name] = &group{}
			j.groups = append(j.groups, byName[name])
		}
		member.group = byName[name]
		member.group.items = append(member.group.items, member)
	}
}

// recordResult processes a result read from the log. It returns the item, or nil if it had a
// result already.
func (j *job) recordResult(result *batch.Result) *item {
	recorded := j.items[result.ItemID]
	if recorded == nil {
		return nil
	}
	delete(j.items, result.ItemID)
	j.results[result.ItemID] = result
	j.unfinishedByGroup[j.sources[result.ItemID].Group]--
	return recorded
}

// stepTokensSmoothing is the weight of the newest step in a model's tokens per step. A larger one
// adapts to new demand faster, but reassigns engines for single steps of unusual size.
const stepTokensSmoothing = 0.4

// observeStepTokens updates the expected tokens per step of a model.
func (m *Machine) observeStepTokens(accepted *batch.Job) {
	total := 0.0
	for i := range accepted.Items {
		total += float64(max(accepted.Items[i].Expected, 1))
	}
	previous, known := m.tokensPerStep[accepted.Model]
	if !known {
		previous = total
	}
	m.tokensPerStep[accepted.Model] = previous + stepTokensSmoothing*(total-previous)
}

// longestFirst orders resubmitted items first, then items by falling expected length.
func longestFirst(a, b *item) int {
	if order := boolToInt(b.resubmitted) - boolToInt(a.resubmitted); order != 0 {
		return order
	}
	return cmp.Compare(b.source.Expected, a.source.Expected)
}

// route sets a job's route, when the job is due, and the service of each item. The first route that
// matches sets the time when the job's items expire.
func (m *Machine) route(job *job) {
	if m.table == nil {
		return
	}
	job.route = m.table.Match(job.host, job.path)
	if job.route == nil {
		return
	}
	if job.expiresAt.IsZero() {
		// The job may have been read before the configuration with its route.
		job.expiresAt = job.receivedAt.Add(job.route.ItemLifetime)
	}
	job.setDue()
	job.rankedAt = time.Time{}
	for id, waiting := range job.items {
		target, _ := job.route.PickByHash(id)
		waiting.service = target.Service
	}
}

// HandleResult processes a result read from the log.
func (m *Machine) HandleResult(now time.Time, result *batch.Result) {
	owner := m.jobs[result.JobID]
	if owner == nil {
		return
	}
	recorded := owner.recordResult(result)
	if recorded == nil {
		return
	}
	m.observeLength(recorded, result)
	recorded.finished = true
	owner.queue = slices.DeleteFunc(owner.queue, func(waiting *item) bool { return waiting.finished })
	m.cancel(recorded.attempt)
	m.withdrawReward(recorded)
	m.forgetIfComplete(owner)
	m.startWaiting(now)
}

// HandleJobEnd processes the end of a job. The texts of its unfinished groups are retained and
// their runs continue for a while, since these groups may be resubmitted.
func (m *Machine) HandleJobEnd(now time.Time, jobID string) {
	ended := m.jobs[jobID]
	if ended == nil {
		return
	}
	delete(m.jobs, jobID)
	m.retainUnfinished(now, ended)
	m.startWaiting(now)
	m.sendRewards(now)
}

// hasExpired reports whether the job's items may be given up and are not started any more.
func (j *job) hasExpired(now time.Time) bool {
	return !j.expiresAt.IsZero() && !now.Before(j.expiresAt)
}

// expireJobs records the unfinished items of expired jobs as dead.
func (m *Machine) expireJobs(now time.Time) {
	for _, job := range m.sortedJobs() {
		if !job.hasExpired(now) {
			continue
		}
		for _, waiting := range sortedItems(job) {
			if !waiting.finished {
				m.cancel(waiting.attempt)
				m.withdrawReward(waiting)
				m.recordDead(waiting)
			}
		}
		job.queue = nil
	}
}
