package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// Parameters of the engines and items that the model of uneven engines has.
const (
	unevenTick           = 5 * time.Millisecond
	unevenSlots          = 8
	unevenMemory         = 30_000
	unevenTokensPerEvent = 73
	unevenPrompt         = 276
	// unevenGap is the time between two events of the only run on an engine at full speed.
	unevenGap = 0.047
	// unevenReadRate is the rate at which engines read prompts and texts, in tokens per second.
	unevenReadRate = 200_000
	// unevenConnect is the time until an engine starts on a run.
	unevenConnect = 20 * time.Millisecond
	// unevenLongEvents is the length from which an item counts as long.
	unevenLongEvents     = 50
	unevenResultDeadline = 7500 * time.Millisecond
	// unevenStepInterval is the shortest time between two jobs of a trainer.
	unevenStepInterval = 4 * time.Second
)

// pacedEngine is the model of an engine: a pace, slots and memory. When its memory is exceeded, the newest
// run is preempted: it waits until there is room, and the engine then reads its prompt and text again.
type pacedEngine struct {
	id string
	// slowness is the factor by which the engine is slower than at full speed.
	slowness float64
	// slowdown is the relative increase of the gap by one more run.
	slowdown float64
	runs     []*pacedRun
}

type pacedRun struct {
	start     Start
	engine    *pacedEngine
	length    int
	events    int
	nextEvent time.Time
	preempted bool
}

func (r *pacedRun) tokens() int { return unevenPrompt + r.events*unevenTokensPerEvent }

func (e *pacedEngine) active() (runs, tokens int) {
	for _, running := range e.runs {
		if !running.preempted {
			runs++
			tokens += running.tokens()
		}
	}
	return runs, tokens
}

// gap returns the time between two events of each run.
func (e *pacedEngine) gap() time.Duration {
	runs, _ := e.active()
	return time.Duration(e.slowness * unevenGap * (1 + e.slowdown*float64(max(runs-1, 0))) * float64(time.Second))
}

func (r *pacedRun) read(now time.Time) {
	reading := time.Duration(float64(r.tokens()) / unevenReadRate * float64(time.Second))
	r.nextEvent = now.Add(unevenConnect + reading + r.engine.gap())
}

// unevenTrainer posts its next job when the wanted groups of the last one are whole.
type unevenTrainer struct {
	model  string
	step   int
	job    *batch.Job
	posted time.Time
	// missing counts the items without result of each group.
	missing map[string]int
	whole   int
	// steps holds the durations of the steps so far.
	steps []time.Duration
}

// unevenFleet drives a machine on a virtual clock with modelled engines and trainers.
type unevenFleet struct {
	*fixture
	random   *rand.Rand
	engines  []*pacedEngine
	byID     map[string]*pacedEngine
	runs     map[AttemptID]*pacedRun
	trainers []*unevenTrainer
	lengths  map[string]int
	// hintSpread is the standard deviation of the logarithm of the callers' estimates.
	hintSpread float64
	// hintFactor is the mean ratio of the estimates to the lengths.
	hintFactor float64
	groups     int

	// jitter is the standard deviation of the gaps relative to their mean.
	jitter float64

	started, preemptions int
	// long counts the starts of long items, and longOnSlow those on the slower half of the engines.
	long, longOnSlow int
	moves            map[string]int
	// fullest is the highest share of an engine's memory that its runs would have used.
	fullest float64
}

func newUnevenFleet(t *testing.T, engines, trainers, groups int, seed uint64) *unevenFleet {
	f := &unevenFleet{
		fixture: &fixture{t: t, now: time.Unix(1000, 0), machine: NewMachine(Options{})}, random: rand.New(rand.NewPCG(seed, 1)),
		byID: make(map[string]*pacedEngine), runs: make(map[AttemptID]*pacedRun), lengths: make(map[string]int),
		hintSpread: 0.5, hintFactor: 1, groups: groups, moves: make(map[string]int),
	}
	var models []string
	for i := range trainers {
		models = append(models, fmt.Sprint("m", i))
		f.trainers = append(f.trainers, &unevenTrainer{model: models[i]})
	}
	route := routetable.Route{
		Name: "r", Host: "h", Prefix: "/p/", Kind: routetable.KindBatch, MaxAttempts: 3, Resumable: true,
		Targets: []routetable.Target{{Service: "pool", Weight: 1}}, ItemLifetime: time.Minute, ResultDeadline: unevenResultDeadline,
	}
	service := routetable.Service{
		Name: "pool", Models: models, Slots: unevenSlots, MemoryTokens: unevenMemory, TokensPerEvent: unevenTokensPerEvent,
	}
	f.machine.HandleTable(f.now, routetable.NewTable(1, []routetable.Route{route}, []routetable.Service{service}, routetable.Limits{}))
	f.readPartition()
	var servers []*directory.Server
	for i := range engines {
		eng := &pacedEngine{id: fmt.Sprintf("e%03d", i), slowness: 1, slowdown: 0.04}
		f.engines = append(f.engines, eng)
		f.byID[eng.id] = eng
		versions := make(map[string]int64)
		for _, model := range models {
			versions[model] = 1
		}
		servers = append(servers, &directory.Server{ID: eng.id, Service: "pool", Address: eng.id + ":1", Slots: unevenSlots, Versions: versions})
	}
	f.machine.HandleServers(f.now, servers)
	f.carryOut()
	return f
}

// post submits a trainer's next job: the incomplete groups of the last one, and new groups.
func (f *unevenFleet) post(trainer *unevenTrainer) {
	job := &batch.Job{ID: fmt.Sprint(trainer.model, ".", trainer.step), Host: "h", Path: "/p/" + trainer.model, Model: trainer.model}
	missing := make(map[string]int)
	groups := 0
	if trainer.job != nil {
		for _, source := range trainer.job.Items {
			if trainer.missing[source.Group] > 0 {
				job.Items = append(job.Items, source)
				if missing[source.Group] == 0 {
					groups++
				}
				missing[source.Group]++
			}
		}
	}
	for ; groups < f.groups; groups++ {
		group := fmt.Sprint(job.ID, ".", groups)
		for i := range 8 << (len(trainer.model) & 1 * f.random.IntN(2)) {
			id := fmt.Sprint(group, ".", i)
			f.lengths[id] = f.drawLength()
			hint := f.hintFactor * float64(f.lengths[id]*unevenTokensPerEvent) * math.Exp(f.hintSpread*f.random.NormFloat64())
			job.Items = append(job.Items, batch.Item{
				ID: id, Path: "/p/x", Tokens: 8192, Expected: max(int(hint), 1), Prompt: unevenPrompt, Group: group,
			})
			missing[group]++
		}
	}
	job.WantedGroups = groups * 9 / 10
	trainer.job, trainer.posted, trainer.missing, trainer.whole = job, f.now, missing, 0
	trainer.step++
	f.machine.HandleJob(f.now, 0, job, nil)
	f.carryOut()
}

// drawLength draws the length of an item in events: about 12, and about 95 for one in twelve.
func (f *unevenFleet) drawLength() int {
	median, spread := 12.0, 0.35
	if f.random.IntN(12) == 0 {
		median, spread = 95, 0.2
	}
	return max(int(median*math.Exp(spread*f.random.NormFloat64())), 2)
}

func (f *unevenFleet) carryOut() {
	for {
		output := f.machine.TakeOutput()
		for _, move := range output.Moves {
			f.moves[move.ItemID]++
		}
		for _, cancelled := range output.Cancels {
			if running := f.runs[cancelled.Attempt]; running != nil {
				f.remove(running)
				f.machine.HandleAttemptEnd(f.now, cancelled.Attempt, EndCancelled)
			}
		}
		for _, start := range output.Starts {
			f.start(start)
		}
		for i := range output.Results {
			f.complete(&output.Results[i])
		}
		if len(output.Cancels)+len(output.Starts)+len(output.Results) == 0 {
			return
		}
	}
}

func (f *unevenFleet) start(start Start) {
	f.started++
	eng := f.byID[start.Server.ID]
	running := &pacedRun{start: start, engine: eng, length: f.lengths[start.Item.ID]}
	if start.After != "" {
		_, _ = fmt.Sscan(start.After, &running.events)
	}
	if running.length-running.events >= unevenLongEvents {
		f.long++
		if slices.Index(f.engines, eng) >= len(f.engines)/2 {
			f.longOnSlow++
		}
	}
	eng.runs = append(eng.runs, running)
	if len(eng.runs) > unevenSlots {
		f.t.Fatalf("%d runs on %s", len(eng.runs), eng.id)
	}
	f.runs[start.Attempt] = running
	running.read(f.now)
}

func (f *unevenFleet) complete(result *batch.Result) {
	f.machine.HandleResult(f.now, result)
	for _, trainer := range f.trainers {
		if trainer.job == nil || trainer.job.ID != result.JobID {
			continue
		}
		for _, source := range trainer.job.Items {
			if source.ID == result.ItemID {
				trainer.missing[source.Group]--
				if trainer.missing[source.Group] == 0 {
					trainer.whole++
				}
			}
		}
	}
}

func (f *unevenFleet) remove(running *pacedRun) {
	delete(f.runs, running.start.Attempt)
	eng := running.engine
	eng.runs = slices.DeleteFunc(eng.runs, func(other *pacedRun) bool { return other == running })
}

// run simulates a period. Trainers post jobs until its end.
func (f *unevenFleet) run(period time.Duration) {
	for end := f.now.Add(period); f.now.Before(end); {
		f.now = f.now.Add(unevenTick)
		for _, trainer := range f.trainers {
			f.runTrainer(trainer)
		}
		for _, eng := range f.engines {
			f.runEngine(eng)
		}
		if f.now.UnixMilli()%50 == 0 {
			f.machine.HandlePartitionRead(f.now, 0, f.now)
			f.machine.Tick(f.now)
			f.carryOut()
			f.checkMemory()
		}
	}
}

func (f *unevenFleet) runTrainer(trainer *unevenTrainer) {
	if trainer.job != nil {
		if trainer.whole < trainer.job.WantedGroups {
			return
		}
		if len(trainer.steps) < trainer.step {
			trainer.steps = append(trainer.steps, f.now.Sub(trainer.posted))
			f.machine.HandleJobEnd(f.now, trainer.job.ID)
			f.carryOut()
		}
		if f.now.Sub(trainer.posted) < unevenStepInterval {
			return
		}
	}
	f.post(trainer)
}

func (f *unevenFleet) runEngine(eng *pacedEngine) {
	f.preempt(eng)
	for _, running := range slices.Clone(eng.runs) {
		if running.preempted || f.now.Before(running.nextEvent) {
			continue
		}
		if f.runs[running.start.Attempt] == nil {
			continue
		}
		running.events++
		running.nextEvent = running.nextEvent.Add(time.Duration(float64(eng.gap()) * max(1+f.jitter*f.random.NormFloat64(), 0)))
		f.machine.HandleEvent(f.now, running.start.Attempt, Event{ID: fmt.Sprint(running.events), Data: "x", Version: 1})
		if running.events >= running.length {
			f.remove(running)
			f.machine.HandleAttemptEnd(f.now, running.start.Attempt, EndCompleted)
		}
		f.carryOut()
	}
}

// preempt preempts the newest runs of an engine whose memory is exceeded, and resumes runs that have room.
func (f *unevenFleet) preempt(eng *pacedEngine) {
	_, tokens := eng.active()
	f.fullest = max(f.fullest, float64(tokens)/unevenMemory)
	for i := len(eng.runs) - 1; i >= 0 && tokens > unevenMemory; i-- {
		if newest := eng.runs[i]; !newest.preempted {
			newest.preempted = true
			f.preemptions++
			tokens -= newest.tokens()
		}
	}
	for _, waiting := range eng.runs {
		if waiting.preempted && tokens+waiting.tokens() <= unevenMemory*9/10 {
			waiting.preempted = false
			waiting.read(f.now)
			tokens += waiting.tokens()
		}
	}
}

// steps returns the number of steps that have ended, their mean duration, and how many took longer than the
// result deadline.
func (f *unevenFleet) steps() (count int, mean time.Duration, late int) {
	for _, trainer := range f.trainers {
		for _, step := range trainer.steps {
			count++
			mean += step
			if step > unevenResultDeadline {
				late++
			}
		}
	}
	return count, mean / time.Duration(max(count, 1)), late
}

// moved returns the number of moves of all items, and the highest number of one item.
func (f *unevenFleet) moved() (all, most int) {
	for _, count := range f.moves {
		all += count
		most = max(most, count)
	}
	return all, most
}

// setPaces sets the slowness of each engine, as a function of its position.
func (f *unevenFleet) setPaces(slowness func(position int) float64) {
	for position, eng := range f.engines {
		eng.slowness = slowness(position)
	}
}

// checkMemory fails if the memory in use that the machine keeps incrementally differs from that of the
// engines' runs.
func (f *unevenFleet) checkMemory() {
	f.t.Helper()
	for _, eng := range f.engines {
		want := memoryUse{}
		for _, running := range eng.runs {
			want.prompt += unevenPrompt
			want.events += running.events
		}
		got := f.machine.engines[eng.id].memory
		for _, running := range f.machine.engines[eng.id].attempts {
			want.expected += running.memory.expected
		}
		if got != want {
			f.t.Fatalf("memory of %s: %+v, want %+v", eng.id, got, want)
		}
	}
}
