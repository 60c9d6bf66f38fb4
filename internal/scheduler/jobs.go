package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dalehook/internal/batch"
)

// HandleJob takes a job that stands in the log of a partition, with the results
// that it has there.
func (m *Machine) HandleJob(now time.Time, partition int, accepted *batch.Job, results []batch.Result) {
	if m.jobs[accepted.ID] != nil {
		return
	}
	m.arrivals++
	opened := &job{
		id:        accepted.ID,
		tenant:    accepted.Tenant,
		host:      accepted.Host,
		path:      accepted.Path,
		model:     accepted.Model,
		minimum:   accepted.MinVersion,
		partition: partition,
		order:     m.arrivals,
		cameAt:    now,
		items:     make(map[string]*item, len(accepted.Items)),
		groups:    make(map[string]int),
		sources:   make(map[string]*batch.Item, len(accepted.Items)),
		done:      make(map[string]*batch.Result),
	}
	for i := range accepted.Items {
		opened.add(&accepted.Items[i])
	}
	m.jobs[opened.id] = opened
	for i := range results {
		opened.list(&results[i])
	}
	m.route(opened)
	m.observeDemand(accepted)
	for i := range accepted.Items {
		if waiting := opened.items[accepted.Items[i].ID]; waiting != nil {
			m.resume(now, opened, waiting)
		}
	}
	slices.SortStableFunc(opened.queue, longestFirst)
	m.divideHeld(opened)
	m.sets.observeStep(accepted.Model, len(accepted.Items))
	m.useEngines()
	m.schedule(now)
}

func (j *job) add(source *batch.Item) {
	if j.sources[source.ID] != nil {
		return
	}
	j.items[source.ID] = &item{job: j, source: source}
	j.sources[source.ID] = source
	j.groups[source.Group]++
}

// list takes a result that stands in the log. It returns the item, nil when it
// had a result already.
func (j *job) list(result *batch.Result) *item {
	listed := j.items[result.ItemID]
	if listed == nil {
		return nil
	}
	delete(j.items, result.ItemID)
	j.done[result.ItemID] = result
	j.groups[j.sources[result.ItemID].Group]--
	return listed
}

// demandSmoothing is the weight of the newest step in a model's demand.
const demandSmoothing = 0.4

// observeDemand learns how much work a step of a model is.
func (m *Machine) observeDemand(accepted *batch.Job) {
	total := 0.0
	for i := range accepted.Items {
		total += float64(max(accepted.Items[i].Expected, 1))
	}
	before, known := m.demand[accepted.Model]
	if !known {
		before = total
	}
	m.demand[accepted.Model] = before + demandSmoothing*(total-before)
}

// longestFirst orders items: carried ones, then the longest.
func longestFirst(a, b *item) int {
	if carried := boolean(b.carried) - boolean(a.carried); carried != 0 {
		return carried
	}
	return cmp.Compare(b.source.Expected, a.source.Expected)
}

// route finds a job's route, and the service of each of its items. The job's first route says
// when its items may be given up.
func (m *Machine) route(job *job) {
	if m.table == nil {
		return
	}
	job.route = m.table.Match(job.host, job.path)
	if job.route == nil {
		return
	}
	if job.giveUpAt.IsZero() {
		// The job may have been read before the configuration that has its route.
		job.giveUpAt = job.cameAt.Add(job.route.ItemLifetime)
	}
	for id, waiting := range job.items {
		target, _ := job.route.PickByHash(id)
		waiting.service = target.Service
	}
}

// HandleListed takes a result that stands in the log.
func (m *Machine) HandleListed(now time.Time, result *batch.Result) {
	open := m.jobs[result.JobID]
	if open == nil {
		return
	}
	listed := open.list(result)
	if listed == nil {
		return
	}
	listed.finished = true
	m.cancel(listed.attempt)
	m.withdrawReward(listed)
	m.startWaiting(now)
}

// HandleEnded takes the end of a job. What its unfinished groups have made is
// kept, and their runs go on for a while: such groups may come again.
func (m *Machine) HandleEnded(now time.Time, jobID string) {
	ended := m.jobs[jobID]
	if ended == nil {
		return
	}
	delete(m.jobs, jobID)
	m.keep(now, ended)
	m.startWaiting(now)
	m.sendRewards(now)
}

// giveUp lists the waiting items of jobs whose time is over as dead.
func (m *Machine) giveUp(now time.Time) {
	for _, job := range m.sortedJobs() {
		if job.giveUpAt.IsZero() || now.Before(job.giveUpAt) {
			continue
		}
		for _, waiting := range sortedItems(job) {
			if !waiting.finished {
				m.cancel(waiting.attempt)
				m.withdrawReward(waiting)
				m.finishDead(waiting)
			}
		}
		job.queue, job.held = nil, nil
	}
}
