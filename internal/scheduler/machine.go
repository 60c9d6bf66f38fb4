package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// Machine schedules the open batch jobs of all services. It is not safe for
// concurrent use.
type Machine struct {
	options  Options
	table    *routetable.Table
	jobs     map[string]*job
	engines  map[string]*engine
	attempts map[AttemptID]*attempt
	newest   map[string]int64
	fresh    map[int]time.Time
	lastID   AttemptID
	arrivals int
	// kept holds what is known of items whose jobs ended before their groups
	// were whole; they may come again in a later job.
	kept map[string]*keptItem
	// demand holds the expected tokens of a step of each model.
	demand map[string]float64
	// savedAt is when progress was last saved.
	savedAt time.Time
	// recovered is what predecessors saved of their runs, by item.
	recovered map[string]*batch.Partial

	mayOrder bool
	epoch    int64

	output Output
}

// NewMachine returns a machine that knows no job and no engine.
func NewMachine(options Options) *Machine {
	options.ConcurrentLoads = cmp.Or(options.ConcurrentLoads, DefaultConcurrentLoads)
	options.StallTimeout = cmp.Or(options.StallTimeout, DefaultStallTimeout)
	options.FreshnessLimit = cmp.Or(options.FreshnessLimit, DefaultFreshnessLimit)
	options.SaveInterval = cmp.Or(options.SaveInterval, DefaultSaveInterval)
	options.ServerPause = cmp.Or(options.ServerPause, DefaultServerPause)
	return &Machine{
		options:  options,
		jobs:     make(map[string]*job),
		engines:  make(map[string]*engine),
		attempts: make(map[AttemptID]*attempt),
		newest:   make(map[string]int64),
		fresh:    make(map[int]time.Time),
		kept:     make(map[string]*keptItem),
		demand:   make(map[string]float64),
	}
}

// Take returns what the driver is to carry out, and forgets it.
func (m *Machine) Take() Output {
	taken := m.output
	m.output = Output{}
	return taken
}

// Running returns the number of attempts under way, and Open that of open jobs.
func (m *Machine) Running() int { return len(m.attempts) }

// Waiting returns the number of items that wait for an engine.
func (m *Machine) Waiting() int {
	waiting := 0
	for _, open := range m.jobs {
		waiting += len(open.queue)
	}
	return waiting
}

// Open returns the number of open jobs.
func (m *Machine) Open() int { return len(m.jobs) }

// HandleTable takes a new configuration.
func (m *Machine) HandleTable(now time.Time, table *routetable.Table) {
	m.table = table
	for _, job := range m.jobs {
		m.route(job)
	}
	m.schedule(now)
}

// HandleVersion takes the newest weight version of a model.
func (m *Machine) HandleVersion(now time.Time, model string, version int64) {
	m.newest[model] = max(m.newest[model], version)
	m.schedule(now)
}

// HandleLease says whether this machine may give orders, and under which epoch.
func (m *Machine) HandleLease(now time.Time, epoch int64, mayOrder bool) {
	changed := m.mayOrder != mayOrder || m.epoch != epoch
	m.mayOrder, m.epoch = mayOrder, epoch
	if changed {
		m.schedule(now)
	}
}

// HandleFresh says that a partition was read to its end by a call that began at since.
func (m *Machine) HandleFresh(now time.Time, partition int, since time.Time) {
	stale := now.Sub(m.fresh[partition]) > m.options.FreshnessLimit
	m.fresh[partition] = since
	if stale {
		m.schedule(now)
	}
}

// HandleJob takes a job that stands in the log of a partition, with the results
// that it has there.
func (m *Machine) HandleJob(now time.Time, partition int, accepted *batch.Job, results []batch.Result) {
	if m.jobs[accepted.ID] != nil {
		return
	}
	m.arrivals++
	opened := &job{
		id:        accepted.ID,
		host:      accepted.Host,
		path:      accepted.Path,
		model:     accepted.Model,
		minimum:   accepted.MinVersion,
		partition: partition,
		order:     m.arrivals,
		items:     make(map[string]*item, len(accepted.Items)),
		groups:    make(map[string]int),
		groupOf:   make(map[string]string, len(accepted.Items)),
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
	if opened.route != nil {
		opened.giveUpAt = now.Add(opened.route.ItemLifetime)
	}
	m.observeDemand(accepted)
	for i := range accepted.Items {
		if waiting := opened.items[accepted.Items[i].ID]; waiting != nil {
			m.resume(opened, waiting)
		}
	}
	slices.SortStableFunc(opened.queue, longestFirst)
	m.divide()
	m.schedule(now)
}

func (j *job) add(source *batch.Item) {
	if _, known := j.groupOf[source.ID]; known {
		return
	}
	j.items[source.ID] = &item{job: j, source: source}
	j.groupOf[source.ID] = source.Group
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
	j.groups[j.groupOf[result.ItemID]]--
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

// route finds a job's route, and the service of each of its items.
func (m *Machine) route(job *job) {
	if m.table == nil {
		return
	}
	job.route = m.table.Match(job.host, job.path)
	if job.route == nil {
		return
	}
	for id, waiting := range job.items {
		target, _ := job.route.Pick(draw(id))
		waiting.service = target.Service
	}
}

// draw maps an item's id to [0, 1), the same at every node.
func draw(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
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
	m.schedule(now)
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
	m.schedule(now)
}

// cancel asks for the end of an attempt; its slot is free once it has ended.
func (m *Machine) cancel(running *attempt) {
	if running == nil || running.cancelled {
		return
	}
	running.cancelled = true
	m.output.Cancels = append(m.output.Cancels, Cancel{Attempt: running.id})
}

// HandleServers takes the list of ready servers.
func (m *Machine) HandleServers(now time.Time, servers []*directory.Server) {
	for _, known := range m.engines {
		known.listed = false
	}
	for _, server := range servers {
		m.learn(server)
	}
	for id, known := range m.engines {
		if !known.listed && len(known.attempts) == 0 && !known.loading {
			delete(m.engines, id)
		}
	}
	m.divide()
	m.schedule(now)
}

func (m *Machine) learn(server *directory.Server) {
	known := m.engines[server.ID]
	if known == nil {
		known = &engine{
			server:   Server{ID: server.ID, Address: server.Address},
			versions: make(map[string]int64),
			attempts: make(map[AttemptID]*attempt),
		}
		m.engines[server.ID] = known
	}
	known.listed = true
	known.service = server.Service
	known.slots = server.Slots
	for model, version := range server.Versions {
		// The list lags behind what orders and answers have told.
		known.versions[model] = max(known.versions[model], version)
	}
}

// sortedEngines returns the engines in the order of their ids.
func (m *Machine) sortedEngines() []*engine {
	engines := make([]*engine, 0, len(m.engines))
	for _, known := range m.engines {
		engines = append(engines, known)
	}
	slices.SortFunc(engines, func(a, b *engine) int { return cmp.Compare(a.server.ID, b.server.ID) })
	return engines
}

// HandleEvent takes one event of an attempt.
func (m *Machine) HandleEvent(now time.Time, id AttemptID, event Event) {
	running := m.attempts[id]
	if running == nil || running.cancelled {
		return
	}
	owner := running.item
	if event.Version < owner.job.minimum || m.mixesVersions(owner, event.Version) {
		running.engine.versions[owner.job.model] = event.Version
		owner.restart()
		m.cancel(running)
		return
	}
	running.observe(now)
	running.engine.versions[owner.job.model] = max(running.engine.versions[owner.job.model], event.Version)
	owner.text = append(owner.text, event.Data)
	owner.lastID = event.ID
	owner.versions = batch.MergeVersions(owner.versions, []int64{event.Version})
	owner.unsaved.text = append(owner.unsaved.text, event.Data)
	owner.unsaved.versions = batch.MergeVersions(owner.unsaved.versions, []int64{event.Version})
}

func (m *Machine) mixesVersions(owner *item, version int64) bool {
	single := owner.job.route != nil && owner.job.route.SingleVersion
	return single && len(owner.versions) > 0 && owner.versions[0] != version
}

// restart forgets the text of earlier attempts.
func (i *item) restart() {
	i.text, i.versions, i.lastID = nil, nil, ""
	i.unsaved = unsaved{}
}

// gapSmoothing is the weight of the newest gap between events.
const gapSmoothing = 0.1

func (a *attempt) observe(now time.Time) {
	if a.events > 0 {
		gap := now.Sub(a.lastSeen).Seconds()
		if a.engine.gap == 0 {
			a.engine.gap = gap
		}
		a.engine.gap += gapSmoothing * (gap - a.engine.gap)
	}
	a.events++
	a.lastSeen = now
}

// HandleAttemptEnd takes the end of an attempt.
func (m *Machine) HandleAttemptEnd(now time.Time, id AttemptID, reason EndReason) {
	ended := m.attempts[id]
	if ended == nil {
		return
	}
	delete(m.attempts, id)
	delete(ended.engine.attempts, id)
	owner := ended.item
	m.save(ended)
	owner.attempt = nil
	switch {
	case owner.kept:
		m.settleKept(ended, reason)
	case !owner.finished:
		m.settle(now, ended, reason)
	}
	m.schedule(now)
}

// settle decides what follows the end of an attempt whose item is still wanted.
func (m *Machine) settle(now time.Time, ended *attempt, reason EndReason) {
	owner := ended.item
	if ended.cancelled {
		reason = EndCancelled
	}
	switch reason {
	case EndCompleted:
		m.finish(owner, batch.OutcomeCompleted)
		return
	case EndImpossible:
		m.finish(owner, batch.OutcomeDead)
		return
	case EndFailed:
		owner.failures++
		if owner.job.route != nil && owner.failures >= max(owner.job.route.MaxAttempts, 1) {
			m.finish(owner, batch.OutcomeDead)
			return
		}
	case EndNotExecuted:
		ended.engine.pausedUntil = now.Add(notExecutedPause)
	case EndBroken:
		ended.engine.pausedUntil = now.Add(m.options.ServerPause)
	}
	owner.job.queue = slices.Insert(owner.job.queue, 0, owner)
}

// notExecutedPause is how long a server that was full gets no more items.
const notExecutedPause = 50 * time.Millisecond

func (m *Machine) finish(owner *item, outcome batch.Outcome) {
	if outcome == batch.OutcomeCompleted {
		m.finishAs(owner, joinLines(owner.text), owner.versions)
		return
	}
	owner.finished = true
	owner.text = nil
	m.output.Results = append(m.output.Results, batch.Result{JobID: owner.job.id, ItemID: owner.source.ID, Outcome: outcome})
}

// finishAs completes an item with a text.
func (m *Machine) finishAs(owner *item, text string, versions []int64) {
	owner.finished = true
	owner.text = nil
	owner.final = &batch.Result{JobID: owner.job.id, ItemID: owner.source.ID, Text: text, Versions: versions}
	m.output.Results = append(m.output.Results, *owner.final)
}

// Tick lets time-outs take effect.
func (m *Machine) Tick(now time.Time) {
	m.moveStalled(now)
	m.moveToFaster(now)
	m.giveUp(now)
	m.forgetKept(now)
	m.saveAll(now)
	m.schedule(now)
}

// moveStalled ends attempts that got no event for too long; they go on elsewhere.
func (m *Machine) moveStalled(now time.Time) {
	for _, running := range m.sortedAttempts() {
		if running.engine.loading {
			running.lastSeen = now
			continue
		}
		if !running.cancelled && now.Sub(running.lastSeen) > m.options.StallTimeout {
			running.engine.pausedUntil = now.Add(m.options.ServerPause)
			m.cancel(running)
		}
	}
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
				m.finish(waiting, batch.OutcomeDead)
			}
		}
		job.queue = nil
	}
}
