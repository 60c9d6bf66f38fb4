package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// Parameters of the model of engines and trainers.
const (
	modelSlots = 8
	// modelGap is the time between two events on an engine with one run. An engine with all slots in
	// use is slower by modelCrowding.
	modelGap      = 47 * time.Millisecond
	modelCrowding = 0.25
	// modelPrompt is the time before the first event of a run.
	modelPrompt = 60 * time.Millisecond
	// modelLogDelay is the time from a result to its reading from the log.
	modelLogDelay = 30 * time.Millisecond
	// modelPeriod is the shortest time between two jobs of a trainer.
	modelPeriod   = 4 * time.Second
	modelDeadline = 7500 * time.Millisecond
	// modelEvents is the median number of events of an item, and modelTokensPerEvent their tokens. One
	// item of modelLongShare is modelLongFactor times as long, as its estimate says.
	modelEvents         = 9
	modelTokensPerEvent = 73
	modelLongShare      = 12
	modelLongFactor     = 5
	// modelSpread is the standard deviation of the logarithm of an item's length around its estimate.
	modelSpread = 0.3
	modelWanted = 0.9
)

// modelEngine is an engine of the model.
type modelEngine struct {
	id string
	// pace multiplies the time between events.
	pace float64
	runs int
}

// modelRun is a run of an item.
type modelRun struct {
	start Start
	// left is the number of events that the run still produces.
	left      int
	cancelled bool
}

// modelEvent is something that happens at a time; events at one time happen in the order in which they
// were added.
type modelEvent struct {
	at    time.Time
	order int
	apply func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(a, b int) bool {
	if !q[a].at.Equal(q[b].at) {
		return q[a].at.Before(q[b].at)
	}
	return q[a].order < q[b].order
}
func (q modelQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *modelQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *modelQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// jobModel runs a machine with engines and trainers on a virtual clock.
type jobModel struct {
	machine  *Machine
	options  Options
	route    routetable.Route
	now      time.Time
	begin    time.Time
	engines  map[string]*modelEngine
	trainers []*trainerModel
	runs     map[AttemptID]*modelRun
	queue    modelQueue
	order    int
	// lengths holds the true number of events of each item, and texts its events so far.
	lengths map[string]int
	random  *rand.Rand
	// log holds the open jobs and their results, for a takeover.
	log     map[string]*batch.Job
	logged  map[string][]batch.Result
	started []Start
	// doneAt holds when the wanted groups of each job were whole.
	doneAt map[string]time.Time
	// idle counts ticks with a free slot while an item waits.
	idle int
	// owners holds the trainer of each job.
	owners map[string]*trainerModel
	// overtaken holds the starts of items while an item of an earlier, overdue job was waiting.
	overtaken []string
}

func newJobModel(seed uint64, engines int, options Options, change func(*routetable.Route), trainers ...*trainerModel) *jobModel {
	m := &jobModel{
		options: options, now: time.Unix(1000, 0), engines: make(map[string]*modelEngine), trainers: trainers,
		runs: make(map[AttemptID]*modelRun), lengths: make(map[string]int), log: make(map[string]*batch.Job),
		logged: make(map[string][]batch.Result), doneAt: make(map[string]time.Time), owners: make(map[string]*trainerModel),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	m.begin = m.now
	m.route = routetable.Route{
		Name: "r", Host: "h", Prefix: "/p/", Kind: routetable.KindBatch, MaxAttempts: 3, Resumable: true,
		Targets: []routetable.Target{{Service: "pool", Weight: 1}}, ItemLifetime: 10 * time.Minute, ResultDeadline: modelDeadline,
	}
	if change != nil {
		change(&m.route)
	}
	for i := range engines {
		id := fmt.Sprintf("e%03d", i)
		m.engines[id] = &modelEngine{id: id, pace: 1}
	}
	m.startMachine()
	for at, trainer := range trainers {
		trainer.random = rand.New(rand.NewPCG(seed, uint64(at)+2))
		m.after(trainer.firstPost, func() { m.post(trainer) })
	}
	return m
}

// startMachine starts a machine with an empty state, as a takeover does.
func (m *jobModel) startMachine() {
	m.options.Epoch++
	m.machine = NewMachine(m.options)
	m.machine.HandleTable(m.now, table(1, m.route))
	m.list()
	m.machine.HandlePartitionRead(m.now, 0, m.now)
}

func (m *jobModel) list() {
	var servers []*directory.Server
	for _, id := range m.sortedEngines() {
		servers = append(servers, &directory.Server{ID: id, Service: "pool", Address: id, Slots: modelSlots, Versions: map[string]int64{"m": 1}})
	}
	m.machine.HandleServers(m.now, servers)
}

func (m *jobModel) sortedEngines() []string {
	var ids []string
	for id := range m.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *jobModel) after(delay time.Duration, apply func()) {
	m.order++
	heap.Push(&m.queue, modelEvent{at: m.now.Add(delay), order: m.order, apply: apply})
}

func (m *jobModel) post(t *trainerModel) {
	m.submit(t.nextJob(m.now), t)
}

// submit submits a job whose results count for a trainer.
func (m *jobModel) submit(posted *batch.Job, t *trainerModel) {
	m.owners[posted.ID] = t
	m.log[posted.ID] = posted
	for i := range posted.Items {
		m.length(&posted.Items[i])
	}
	m.machine.HandleJob(m.now, 0, posted, nil)
	m.carryOut()
}

// length returns the true number of events of an item.
func (m *jobModel) length(of *batch.Item) int {
	if m.lengths[of.ID] == 0 {
		events := float64(of.Expected) / modelTokensPerEvent * math.Exp(modelSpread*m.random.NormFloat64())
		m.lengths[of.ID] = max(int(math.Round(events)), 1)
	}
	return m.lengths[of.ID]
}

func (m *jobModel) carryOut() {
	output := m.machine.TakeOutput()
	for _, cancelled := range output.Cancels {
		if run := m.runs[cancelled.Attempt]; run != nil && !run.cancelled {
			run.cancelled = true
			m.after(0, func() { m.endRun(run, EndCancelled) })
		}
	}
	m.started = append(m.started, output.Starts...)
	m.checkOvertaking(output.Starts)
	for _, start := range output.Starts {
		var produced int
		if start.After != "" {
			_, _ = fmt.Sscan(start.After, &produced)
		}
		run := &modelRun{start: start, left: m.length(start.Item) - produced}
		m.runs[start.Attempt] = run
		m.engines[start.Server.ID].runs++
		m.after(modelPrompt, func() { m.produce(run) })
	}
	for _, result := range output.Results {
		m.after(modelLogDelay, func() { m.record(result) })
	}
}

// gap returns the time between two events of a run.
func (m *jobModel) gap(run *modelRun) time.Duration {
	eng := m.engines[run.start.Server.ID]
	return time.Duration(float64(modelGap) * eng.pace * (1 + modelCrowding*float64(eng.runs)/modelSlots))
}

func (m *jobModel) produce(run *modelRun) {
	if m.runs[run.start.Attempt] != run || run.cancelled {
		return
	}
	if run.left <= 0 {
		m.endRun(run, EndCompleted)
		return
	}
	run.left--
	id := fmt.Sprint(m.length(run.start.Item) - run.left)
	m.machine.HandleEvent(m.now, run.start.Attempt, Event{ID: id, Data: "text", Version: 1})
	m.after(m.gap(run), func() { m.produce(run) })
}

func (m *jobModel) endRun(run *modelRun, reason EndReason) {
	if m.runs[run.start.Attempt] != run {
		return
	}
	delete(m.runs, run.start.Attempt)
	m.engines[run.start.Server.ID].runs--
	m.machine.HandleAttemptEnd(m.now, run.start.Attempt, reason)
	m.carryOut()
}

// record makes a result visible in the log.
func (m *jobModel) record(result batch.Result) {
	if m.log[result.JobID] == nil {
		return
	}
	m.logged[result.JobID] = append(m.logged[result.JobID], result)
	m.machine.HandleResult(m.now, &result)
	m.carryOut()
	t := m.owners[result.JobID]
	for _, submitted := range m.log[result.JobID].Items {
		if submitted.ID == result.ItemID {
			t.results[submitted.Group]++
		}
	}
	if t == nil || t.job == nil || t.job.ID != result.JobID || !t.isServed() {
		return
	}
	t.latencies = append(t.latencies, m.now.Sub(t.sentAt))
	t.finished = append(t.finished, m.now)
	m.doneAt[t.job.ID] = m.now
	delete(m.log, t.job.ID)
	m.machine.HandleJobEnd(m.now, t.job.ID)
	m.carryOut()
	if t.single {
		return
	}
	m.after(max(t.sentAt.Add(modelPeriod).Sub(m.now), 0), func() { m.post(t) })
}

// takeOver replaces the machine by one that knows only the log. The runs end.
func (m *jobModel) takeOver() {
	for _, run := range m.runs {
		run.cancelled = true
		m.engines[run.start.Server.ID].runs--
	}
	clear(m.runs)
	m.startMachine()
	var ids []string
	for id := range m.log {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	slices.Reverse(ids) // partitions are read in any order
	for _, id := range ids {
		m.machine.HandleJob(m.now, 0, m.log[id], m.logged[id])
	}
	m.carryOut()
}

// run runs the model for a time.
func (m *jobModel) run(duration time.Duration) {
	end := m.now.Add(duration)
	for !m.now.Add(testTick).After(end) {
		tick := m.now.Add(testTick)
		for len(m.queue) > 0 && !m.queue[0].at.After(tick) {
			next := heap.Pop(&m.queue).(modelEvent)
			m.now = next.at
			next.apply()
		}
		m.now = tick
		m.machine.HandlePartitionRead(m.now, 0, m.now)
		m.machine.Tick(m.now)
		m.carryOut()
		m.countIdle()
	}
}

// countIdle counts a tick in which an item waits although a slot is free.
func (m *jobModel) countIdle() {
	free := false
	for _, eng := range m.engines {
		free = free || eng.runs < modelSlots
	}
	if free && m.machine.Waiting() > 0 {
		m.idle++
	}
}

// enginesFor returns the number of engines whose capacity is the trainers' demand divided by load.
func enginesFor(load float64, trainers []*trainerModel) int {
	const meanEvents = modelEvents * (1 + (modelLongFactor-1.0)/modelLongShare) * 1.09
	items := 0.0
	for _, t := range trainers {
		items += modelWanted * float64(t.groups*t.groupSize)
	}
	seconds := meanEvents*modelGap.Seconds()*(1+modelCrowding) + modelPrompt.Seconds()
	return max(int(math.Round(items*seconds/modelPeriod.Seconds()/modelSlots/load)), 1)
}

// servedWith runs unequal trainers on a route and returns what each was served, its mean latency, and the
// model.
func servedWith(seed uint64, load float64, count int, change func(*routetable.Route)) ([]float64, []time.Duration, *jobModel) {
	const duration = 60 * time.Second
	trainers := unequalTrainers(count)
	m := newJobModel(seed, enginesFor(load, trainers), Options{}, change, trainers...)
	m.run(duration)
	var served []float64
	var latencies []time.Duration
	for _, t := range trainers {
		served = append(served, t.served(duration))
		latencies = append(latencies, t.meanLatency())
	}
	return served, latencies, m
}

func inArrivalOrder(route *routetable.Route) { route.ResultDeadline = 0 }

// checkOvertaking records starts while an item of an earlier, overdue job waits. All engines suit all
// items here.
func (m *jobModel) checkOvertaking(starts []Start) {
	for _, start := range starts {
		owner := m.machine.jobs[start.JobID]
		for _, other := range m.machine.sortedJobs() {
			if owner != nil && owner.isOrderedBySlack() && other.precedes(owner) && other.isOverdue(m.now) && len(other.queue) > 0 {
				m.overtaken = append(m.overtaken, fmt.Sprintf("%s at %v: %d items of %s wait", start.Item.ID, m.now.Sub(m.begin), len(other.queue), other.id))
			}
		}
	}
}
