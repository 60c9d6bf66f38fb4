package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

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

// trainerModel is a trainer that posts its next job when the wanted groups of its last one are whole.
type trainerModel struct {
	name      string
	tenant    string
	groups    int
	groupSize int
	// firstPost is when the first job is posted.
	firstPost time.Duration
	// single trainers post no further job.
	single bool

	random *rand.Rand
	steps  int
	job    *batch.Job
	sentAt time.Time
	// results holds the number of results of each group, and resubmitted the groups that must be whole.
	results     map[string]int
	resubmitted map[string]bool
	// latencies holds the time that each job took.
	latencies []time.Duration
	finished  []time.Time
}

// wanted returns the number of groups that the trainer waits for.
func (t *trainerModel) wanted() int { return int(math.Ceil(modelWanted * float64(t.groups))) }

// isServed reports whether the wanted groups of the job are whole.
func (t *trainerModel) isServed() bool {
	whole := 0
	for name, results := range t.results {
		if results == t.groupSize {
			whole++
		} else if t.resubmitted[name] {
			return false
		}
	}
	return whole >= t.wanted()
}

// nextJob returns the next job: the incomplete groups of the last one, and new ones.
func (t *trainerModel) nextJob(now time.Time) *batch.Job {
	next := &batch.Job{
		ID: fmt.Sprintf("%s-%03d", t.name, t.steps), Tenant: t.tenant, Host: "h", Path: "/p/" + t.name, Model: "m", MinVersion: 1,
		Step: t.steps, WantedGroups: t.wanted(), AcceptedAt: now.UnixMilli(),
	}
	t.resubmitted = make(map[string]bool)
	if t.job != nil {
		for _, earlier := range t.job.Items {
			if t.results[earlier.Group] < t.groupSize {
				next.Items = append(next.Items, earlier)
				t.resubmitted[earlier.Group] = true
			}
		}
	}
	t.results = make(map[string]int)
	for name := range t.resubmitted {
		t.results[name] = 0
	}
	for at := len(t.resubmitted); at < t.groups; at++ {
		name := fmt.Sprintf("%s/%d", next.ID, at)
		t.results[name] = 0
		for member := range t.groupSize {
			estimate := modelEvents * modelTokensPerEvent * math.Exp(0.3*t.random.NormFloat64())
			if t.random.IntN(modelLongShare) == 0 {
				estimate *= modelLongFactor
			}
			next.Items = append(next.Items, batch.Item{ID: fmt.Sprintf("%s.%d", name, member), Path: "/p/x", Group: name, Expected: int(estimate)})
		}
	}
	t.steps++
	t.job, t.sentAt = next, now
	return next
}

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

// modelValue returns what the results of a job are worth after a time: they lose value from the deadline on.
func modelValue(latency time.Duration) float64 {
	return max(1-max(latency-modelDeadline, 0).Seconds()/modelDeadline.Seconds(), 0)
}

// served returns the value that a trainer got, relative to the jobs that it can post in a time.
func (t *trainerModel) served(duration time.Duration) float64 {
	total := 0.0
	for _, latency := range t.latencies {
		total += modelValue(latency)
	}
	return total / (duration - t.firstPost).Seconds() * modelPeriod.Seconds()
}

// meanLatency returns the mean time that the trainer's jobs took.
func (t *trainerModel) meanLatency() time.Duration {
	total := time.Duration(0)
	for _, latency := range t.latencies {
		total += latency
	}
	return total / time.Duration(max(len(t.latencies), 1))
}

// unequalTrainers returns trainers whose sizes differ.
func unequalTrainers(count int) []*trainerModel {
	sizes := [][2]int{{22, 8}, {9, 16}, {16, 8}, {20, 16}}
	var trainers []*trainerModel
	for at := range count {
		trainers = append(trainers, &trainerModel{
			name: fmt.Sprint("t", at), groups: sizes[at][0], groupSize: sizes[at][1], firstPost: time.Duration(at) * modelPeriod / time.Duration(count),
		})
	}
	return trainers
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

// mean returns the mean of values.
func mean(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total / float64(max(len(values), 1))
}

// Guards against an order that leaves engines idle while items wait, that serves trainers less than the
// order of arrival does, or that serves one of several unequal trainers much less than another. At half
// the capacity the trainers differ by their own longest items alone.
func TestUnequalTrainersInAClosedLoop(t *testing.T) {
	const seeds = 2
	// spreadOfSeeds is more than the difference between two sets of seeds under one order.
	const spreadOfSeeds = 0.04
	for _, count := range []int{3, 4} {
		for _, load := range []float64{0.5, 1, 3} {
			var bySlack, byArrival, spread, arrivalSpread []float64
			for seed := range uint64(seeds) {
				served, latencies, m := servedWith(seed, load, count, nil)
				if m.idle > 0 {
					t.Errorf("%d trainers, load %v, seed %d: items waited in %d ticks with a free slot", count, load, seed, m.idle)
				}
				if len(m.overtaken) > 0 {
					t.Errorf("%d trainers, load %v, seed %d: overdue items waited behind later ones: %s", count, load, seed, m.overtaken[0])
				}
				bySlack = append(bySlack, mean(served))
				spread = append(spread, slices.Max(latencies).Seconds()/slices.Min(latencies).Seconds())
				served, latencies, _ = servedWith(seed, load, count, inArrivalOrder)
				byArrival = append(byArrival, mean(served))
				arrivalSpread = append(arrivalSpread, slices.Max(latencies).Seconds()/slices.Min(latencies).Seconds())
			}
			t.Logf("%d trainers, load %v: served %.3f, by arrival %.3f; slowest to fastest trainer %.3f, by arrival %.3f",
				count, load, mean(bySlack), mean(byArrival), mean(spread), mean(arrivalSpread))
			if mean(bySlack) < mean(byArrival)-spreadOfSeeds {
				t.Errorf("%d trainers, load %v: served %.3f, in order of arrival %.3f", count, load, mean(bySlack), mean(byArrival))
			}
			if mean(spread) > max(1.1*mean(arrivalSpread), 1.2) {
				t.Errorf("%d trainers, load %v: the slowest trainer's jobs take %.2f times as long as the fastest one's, %.2f in order of arrival",
					count, load, mean(spread), mean(arrivalSpread))
			}
		}
	}
}

// openJob returns a job for a test that submits jobs itself: groups of equal size.
func openJob(random *rand.Rand, id string, groups, groupSize int, accepted time.Time) (*batch.Job, *trainerModel) {
	t := &trainerModel{name: id, groups: groups, groupSize: groupSize, random: random, single: true}
	job := t.nextJob(accepted)
	return job, t
}

// Guards against a trainer that is behind, since its job was read late, and that waits behind jobs that
// are due later.
func TestTrainerThatIsBehindGoesFirst(t *testing.T) {
	took := func(behind time.Duration) time.Duration {
		m := newJobModel(1, 6, Options{}, nil)
		random := rand.New(rand.NewPCG(1, 1))
		for i := range 4 {
			job, trainer := openJob(random, fmt.Sprint("t", i), 16, 8, m.now)
			m.submit(job, trainer)
		}
		job, trainer := openJob(random, "late", 4, 8, m.now.Add(-behind))
		m.submit(job, trainer)
		m.run(time.Minute)
		return m.doneAt[job.ID].Sub(m.begin)
	}
	late, level := took(6*time.Second), took(0)
	t.Logf("whole after %v if it was accepted 6 s before the others, %v if at the same time", late, level)
	if late > level/2 {
		t.Errorf("whole after %v if it was accepted 6 s before the others, %v if at the same time", late, level)
	}
}

// Guards against a job that needs few more items to be whole and gets none of them, because items of its
// spare groups start first.
func TestTrainerWhoseGroupsAreNearlyWhole(t *testing.T) {
	took := func(change func(*routetable.Route)) time.Duration {
		m := newJobModel(1, 1, Options{}, change)
		random := rand.New(rand.NewPCG(1, 1))
		job, trainer := openJob(random, "near", 12, 8, m.now)
		job.WantedGroups, trainer.groups = 6, 6 // six of twelve groups are wanted
		m.log[job.ID], m.owners[job.ID] = job, trainer
		var results []batch.Result
		for i := range job.Items {
			if i%8 != 0 && i/8 >= 6 {
				results = append(results, batch.Result{JobID: job.ID, ItemID: job.Items[i].ID, Text: "text"})
				trainer.results[job.Items[i].Group]++
			}
			m.length(&job.Items[i])
		}
		m.machine.HandleJob(m.now, 0, job, results)
		m.carryOut()
		m.run(time.Minute)
		return m.doneAt[job.ID].Sub(m.begin)
	}
	bySlack, byArrival := took(nil), took(inArrivalOrder)
	t.Logf("whole after %v, in order of arrival %v", bySlack, byArrival)
	if bySlack > byArrival*2/3 {
		t.Errorf("whole after %v, in order of arrival %v", bySlack, byArrival)
	}
}

// Guards against a successor that orders jobs by the time at which it read them, or that serves trainers
// less after the takeover.
func TestOrderSurvivesATakeover(t *testing.T) {
	trainers := unequalTrainers(4)
	m := newJobModel(1, enginesFor(1.5, trainers), Options{}, nil, trainers...)
	m.run(20 * time.Second)
	due := make(map[string]time.Time)
	for _, open := range m.machine.sortedJobs() {
		due[open.id] = open.dueAt
	}
	m.takeOver()
	for id, at := range due {
		if got := m.machine.jobs[id].dueAt; !got.Equal(at) {
			t.Errorf("job %s is due at %v, before the takeover %v", id, got, at)
		}
	}
	learned := m.machine.lengths.Remaining("r", 10*modelTokensPerEvent, 0)
	if learned < 7 || learned > 15 {
		t.Errorf("%v events predicted after the takeover for an item of about 10", learned)
	}
	m.run(40 * time.Second)
	if m.idle > 0 || len(m.overtaken) > 0 {
		t.Errorf("items waited in %d ticks with a free slot; overtaken: %v", m.idle, m.overtaken)
	}
	for _, trainer := range trainers {
		if last := trainer.finished[len(trainer.finished)-1]; m.now.Sub(last) > 3*modelDeadline {
			t.Errorf("%s: last job whole at %v", trainer.name, last.Sub(m.begin))
		}
	}
}

// Guards against capacity that makes a job later. Runs are not interrupted for more urgent items, so
// that a run that starts earlier with more engines may delay another by at most its own length.
func TestMoreEnginesMakeNoJobLater(t *testing.T) {
	const jobs = 12
	for seed := range uint64(3) {
		var previous map[string]time.Time
		var longest time.Duration
		for _, engines := range []int{2, 3, 4, 6, 12} {
			m := newJobModel(seed, engines, Options{}, nil)
			random := rand.New(rand.NewPCG(seed, 2))
			for i := range jobs {
				job, trainer := openJob(random, fmt.Sprint("t", i), 6+random.IntN(10), 8, m.now.Add(time.Duration(i)*time.Second))
				for at := range job.Items {
					run := time.Duration(float64(m.length(&job.Items[at])) * float64(modelGap) * (1 + modelCrowding))
					longest = max(longest, run+modelPrompt+modelLogDelay)
				}
				m.after(time.Duration(i)*time.Second, func() { m.submit(job, trainer) })
			}
			m.run(time.Minute)
			for id, at := range previous {
				if later := m.doneAt[id].Sub(at); later > longest {
					t.Errorf("seed %d: job %s is whole %v later with %d engines", seed, id, later, engines)
				}
			}
			if len(m.doneAt) != jobs {
				t.Errorf("seed %d, %d engines: %d of %d jobs whole", seed, engines, len(m.doneAt), jobs)
			}
			previous = m.doneAt
		}
	}
}

// Guards against two runs of the machine with the same inputs that decide differently.
func TestOrderIsDeterministic(t *testing.T) {
	run := func() []string {
		trainers := unequalTrainers(4)
		for at, trainer := range trainers {
			trainer.tenant = fmt.Sprint(at % 3)
		}
		m := newJobModel(1, enginesFor(1.5, trainers), Options{TenantWeights: map[string]float64{"0": 2, "1": 0.5}}, nil, trainers...)
		m.run(15 * time.Second)
		var starts []string
		for _, start := range m.started {
			starts = append(starts, fmt.Sprintf("%s %s %+v", start.Item.ID, start.Server.ID, start.Inputs))
		}
		return starts
	}
	if diff := cmp.Diff(run(), run()); diff != "" {
		t.Error(diff)
	}
}
