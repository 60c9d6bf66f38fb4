package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/sim/fault"
)

// TrainerOptions configure a Trainer.
type TrainerOptions struct {
	Name  string
	Event string
	Model cluster.ModelName
	// Bound is the event's staleness bound, in versions.
	Bound int64
	// Steps is how many steps the trainer takes, Samples the size of each.
	Steps   int
	Samples int
	// Ahead is how many steps are open at once.
	Ahead int
	// Train is the time from a whole step to the next version.
	Train     time.Duration
	MaxTokens int
	// GroupSize is how many samples share a prompt prefix.
	GroupSize int
	// Groups is the number of prompt groups that steps draw from; with zero each
	// step has groups of its own.
	Groups  int
	Lengths Lengths
	// Publishes says whether the trainer publishes a version after each step,
	// Names whether it names its newest version when it reads.
	Publishes bool
	Names     bool
	// StartAt is when the first step is posted.
	StartAt time.Duration
}

// Handover is one sample as the trainer received it.
type Handover struct {
	View machine.SampleView
	At   time.Duration
	// Named is the version that the trainer named in the call, zero for none.
	Named cluster.Version
}

// TrainerStep is one step of a trainer.
type TrainerStep struct {
	Body     record.StepBody
	PostedAt time.Duration
	// AcceptedAt is when the first 202 came, zero for never.
	AcceptedAt time.Duration
	DoneAt     time.Duration
	// Chain holds, by sample id, all that was received along the cursor chain.
	Chain  map[string][]Handover
	cursor string
	saved  savedStep
	// reading numbers the newest read; answers to older ones are dropped.
	reading int
	idle    time.Duration
}

// savedStep is what a trainer has saved of a step: it restarts from it.
type savedStep struct {
	cursor string
	chain  map[string][]Handover
}

// Trainer posts steps, reads their samples and publishes versions.
type Trainer struct {
	world   *World
	options TrainerOptions
	random  *rand.Rand
	// work draws the steps' samples, so that they are the same whatever happens
	// to them.
	work  *rand.Rand
	place fault.Place
	life  int
	up    bool
	steps []*TrainerStep
	// trained is the number of steps that were trained on.
	trained  int
	training bool
	// waitingSince is when the trainer began to wait for samples.
	waitingSince time.Duration
	idle         time.Duration
	version      cluster.Version
	announced    []Announcement
	refusals     map[machine.Code]int
}

// Announcement is a version that the trainer has published.
type Announcement struct {
	Version cluster.Version
	// PutAt is when it lay in the weight store, LoggedAt when its announcement
	// was seen to stand on the log, zero for not yet.
	PutAt    time.Duration
	LoggedAt time.Duration
}

func newTrainer(w *World, options TrainerOptions) *Trainer {
	t := &Trainer{
		world: w, options: options, random: w.kernel.Rand("trainer/" + options.Name),
		work:  w.kernel.Rand("work/" + options.Name),
		place: fault.Place{Name: options.Name, Zone: outside}, up: true, version: firstVersion,
		refusals: make(map[machine.Code]int),
	}
	w.kernel.After(options.StartAt, t.begin)
	return t
}

// begin posts the first steps once the trainer's event is in force.
func (t *Trainer) begin() {
	if !t.world.setup.Done() {
		t.world.kernel.After(200*time.Millisecond, t.begin)
		return
	}
	t.waitingSince = t.world.kernel.Elapsed()
	t.postMore()
}

// Done reports whether all steps were trained on.
func (t *Trainer) Done() bool { return t.trained >= t.options.Steps }

// Steps returns the steps so far.
func (t *Trainer) Steps() []*TrainerStep { return t.steps }

// Idle returns how long the trainer has waited for samples.
func (t *Trainer) Idle() time.Duration { return t.idle }

// Announced returns the versions that the trainer has published.
func (t *Trainer) Announced() []Announcement { return t.announced }

func (t *Trainer) postMore() {
	for len(t.steps) < t.options.Steps && len(t.steps) < t.trained+t.options.Ahead {
		s := t.newStep(len(t.steps) + 1)
		t.steps = append(t.steps, s)
		t.post(s)
	}
}

func (t *Trainer) newStep(number int) *TrainerStep {
	o := t.options
	id := fmt.Sprintf("%s-step-%d", o.Name, number)
	s := &TrainerStep{PostedAt: t.world.kernel.Elapsed(), Chain: make(map[string][]Handover)}
	s.Body = record.StepBody{Event: o.Event, Trainer: o.Name, Step: id, Digest: "digest of " + id}
	group, scale := "", 1.0
	for i := range o.Samples {
		if o.GroupSize > 0 && i%o.GroupSize == 0 {
			group, scale = t.drawGroup(id, i/o.GroupSize)
		}
		sample := record.Sample{
			ID: fmt.Sprintf("%s-s%d", id, i), MaxTokens: o.MaxTokens, Group: group,
			Prompt: fmt.Sprintf("prompt %d of %s", i, id),
		}
		t.world.shapes[sample.Prompt] = o.Lengths.draw(t.work, scale, o.MaxTokens)
		s.Body.Samples = append(s.Body.Samples, sample)
	}
	return s
}

// drawGroup returns the name of a prompt group and how long its answers are.
func (t *Trainer) drawGroup(step string, number int) (string, float64) {
	name := fmt.Sprintf("%s-group-%d", step, number)
	if t.options.Groups > 0 {
		name = fmt.Sprintf("%s-group-%d", t.options.Name, t.work.IntN(t.options.Groups))
	}
	return name, math.Exp(t.options.Lengths.GroupSigma * t.world.kernel.Rand(name).NormFloat64())
}

// Times of a trainer's calls.
const (
	readWait     = 5 * time.Second
	trainerRetry = 300 * time.Millisecond
	postTimeout  = 12 * time.Second
)

// A trainer loses one answer with samples in loseOneIn after it has come, and
// reads again from the same cursor.
const loseOneIn = 10

// later runs f after a time unless the trainer has crashed meanwhile.
func (t *Trainer) later(delay time.Duration, f func()) {
	life := t.life
	t.world.kernel.After(delay, func() {
		if t.life == life && t.up {
			f()
		}
	})
}

// call calls any node; the result is dropped when the trainer has crashed
// meanwhile.
func (t *Trainer) call(what string, timeout time.Duration, input func(machine.CallID) machine.Input, done func(CallResult)) {
	n := t.world.pick(t.random.IntN)
	if n == nil {
		t.later(trainerRetry, func() { t.call(what, timeout, input, done) })
		return
	}
	life := t.life
	t.world.call(callSpec{client: t.place, node: n, what: what, timeout: timeout, input: input, done: func(r CallResult) {
		if t.life == life && t.up {
			done(r)
		}
	}})
}

func (t *Trainer) post(s *TrainerStep) {
	t.call("post "+s.Body.Step, postTimeout, func(id machine.CallID) machine.Input {
		body := s.Body
		body.Samples = slices.Clone(body.Samples)
		return machine.PostStep{Call: id, Body: body}
	}, func(result CallResult) {
		switch body := result.Body.(type) {
		case machine.StepAccepted:
			if s.AcceptedAt == 0 {
				s.AcceptedAt = t.world.kernel.Elapsed()
			}
			t.read(s)
		case machine.Failure:
			t.refusals[body.Code]++
			t.later(max(body.RetryAfter, trainerRetry), func() { t.post(s) })
		default:
			t.later(trainerRetry, func() { t.post(s) })
		}
	})
}

func (t *Trainer) read(s *TrainerStep) {
	s.reading++
	number, after, named := s.reading, s.cursor, cluster.Version(0)
	if t.options.Names {
		named = t.version
	}
	t.call("read "+s.Body.Step, readWait+3*time.Second, func(id machine.CallID) machine.Input {
		return machine.ReadSamples{Call: id, Step: s.Body.Step, After: after, Wait: readWait, Version: named}
	}, func(result CallResult) {
		if s.reading != number {
			return
		}
		switch body := result.Body.(type) {
		case machine.SamplesRead:
			if len(body.Samples) > 0 && t.random.IntN(loseOneIn) == 0 {
				t.later(trainerRetry, func() { t.read(s) })
				return
			}
			t.receive(s, body, named)
		case machine.Failure:
			t.refusals[body.Code]++
			t.later(max(body.RetryAfter, trainerRetry), func() { t.read(s) })
		default:
			t.later(trainerRetry, func() { t.read(s) })
		}
	})
}

func (t *Trainer) receive(s *TrainerStep, got machine.SamplesRead, named cluster.Version) {
	for _, view := range got.Samples {
		s.Chain[view.ID] = append(s.Chain[view.ID], Handover{View: view, At: t.world.kernel.Elapsed(), Named: named})
	}
	s.cursor = got.Cursor
	if got.Done || t.random.IntN(2) == 0 {
		s.save()
	}
	if !got.Done {
		t.read(s)
		return
	}
	s.DoneAt = t.world.kernel.Elapsed()
	t.train()
}

func (s *TrainerStep) save() {
	s.saved = savedStep{cursor: s.cursor, chain: cloneChain(s.Chain)}
}

func cloneChain(chain map[string][]Handover) map[string][]Handover {
	copied := make(map[string][]Handover, len(chain))
	for id, received := range chain {
		copied[id] = slices.Clone(received)
	}
	return copied
}

// train trains on the next step if it is whole.
func (t *Trainer) train() {
	if t.training || t.trained >= len(t.steps) || t.steps[t.trained].DoneAt == 0 {
		return
	}
	t.training = true
	step := t.steps[t.trained]
	step.idle = t.world.kernel.Elapsed() - t.waitingSince
	t.idle += step.idle
	t.later(t.options.Train, func() {
		t.training = false
		t.trained++
		t.waitingSince = t.world.kernel.Elapsed()
		if t.options.Publishes {
			t.publish()
			return
		}
		t.postMore()
		t.train()
	})
}

// publish puts the next version into the weight store and announces it.
func (t *Trainer) publish() {
	if t.world.faults.On(fault.StoreDown, fault.Platform) {
		t.later(time.Second, t.publish)
		return
	}
	t.version++
	t.world.weights.Put(t.options.Model, t.version)
	t.announced = append(t.announced, Announcement{Version: t.version, PutAt: t.world.kernel.Elapsed()})
	t.announce(len(t.announced) - 1)
	t.postMore()
	t.train()
}

// announce appends the announcement until the log has confirmed it.
func (t *Trainer) announce(index int) {
	a := &t.announced[index]
	r := record.Record{
		ID:   record.ID(fmt.Sprintf("%s/version/%d", t.options.Name, a.Version)),
		Body: record.VersionAnnounced{Model: t.options.Model, Version: a.Version, At: t.world.kernel.Now()},
	}
	settled := false
	settle := func(done bool) {
		if settled {
			return
		}
		settled = true
		if !done {
			t.world.kernel.After(time.Second, func() { t.announce(index) })
			return
		}
		t.announced[index].LoggedAt = t.world.kernel.Elapsed()
	}
	t.world.log.Append(record.ControlLog, r, func(result machine.AppendResult) {
		settle(result.Outcome == machine.AppendDone)
	})
	t.world.kernel.After(storeTimeout, func() { settle(false) })
}

// crash ends the trainer's process.
func (t *Trainer) crash() {
	t.life++
	t.up, t.training = false, false
}

// restart starts the trainer again from what it has saved.
func (t *Trainer) restart() {
	if t.up {
		return
	}
	t.life++
	t.up = true
	for _, s := range t.steps {
		if s.DoneAt != 0 {
			continue
		}
		s.cursor, s.Chain = s.saved.cursor, cloneChain(s.saved.chain)
		t.post(s)
	}
	t.train()
	t.postMore()
}
