package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"dalehook/internal/client"
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/standin"
	"dalehook/internal/traffic"
)

const (
	callerWorkers  = 6
	samplesPerStep = 24
	// longEvery is how often a sample is long; shortTokens and longTokens are
	// the least lengths.
	longEvery, shortTokens, longTokens, maxTokens = 8, 16, 400, 600
	stalenessBound                                = 2
	// dropEvery says which answers the trainer treats as lost on their way.
	dropEvery = 7
	// maxUnknowns is how often a caller is told that the outcome of a save is
	// unknown before it believes it.
	maxUnknowns = 10
)

// requestOutcome is how a caller's request ended.
type requestOutcome string

const (
	outcomeAnswered requestOutcome = "answered"
	outcomeNotRun   requestOutcome = "not run"
	outcomeUnknown  requestOutcome = "unknown"
)

// callerRequest is one lookup or save, with what the caller learned.
type callerRequest struct {
	call    client.Call
	outcome requestOutcome
	// alwaysNotRun is set while each answer said that it was not run.
	alwaysNotRun bool
	// once is set when the request was to be sent a single time.
	once bool
	last string
}

// outcomeLost reports whether a node said that nobody knows whether a save ran.
func (r *callerRequest) outcomeLost() bool {
	return r.call.Unrepeatable && strings.Contains(r.last, string(machine.CodeOutcomeUnknown))
}

// load is the work of trainers and callers that runs while things fail.
type load struct {
	w *world
	// strict callers send once, and each request that is not answered whole is
	// a fault, also a trainer's.
	strict bool
	// stop ends the load after the step and the requests that run.
	stop     chan struct{}
	stopping sync.Once
	working  conc.WaitGroup
	answered atomic.Int64
	// notRun counts the answers that a request was not run.
	notRun atomic.Int64
	steps  atomic.Int64
	// sameVersion keeps the model as it is, for long samples.
	sameVersion atomic.Bool

	mu       sync.Mutex
	requests []*callerRequest
	prompts  map[string]map[string]string
	taken    []delivery
}

// delivery is a sample that the trainer has taken.
type delivery struct {
	prompt string
	sample machine.SampleView
}

// startLoad starts a trainer, callers, and a model that changes.
func (w *world) startLoad(strict bool) *load {
	l := &load{w: w, strict: strict, stop: make(chan struct{}), prompts: map[string]map[string]string{}}
	w.t.Cleanup(func() { w.cancel(); l.end() })
	l.working.Go(l.runTrainer)
	l.working.Go(l.runAnnouncer)
	for worker := range callerWorkers {
		l.working.Go(func() { l.runCaller(worker) })
	}
	return l
}

func (l *load) end() {
	l.stopping.Do(func() { close(l.stop) })
	l.working.Wait()
}

func (l *load) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return l.w.ctx.Err() != nil
	}
}

// runAnnouncer announces versions; with the store down there are none.
func (l *load) runAnnouncer() {
	version := cluster.Version(2)
	for !l.stopped() {
		traffic.Sleep(l.w.ctx, announceEvery)
		if !l.stopped() && !l.sameVersion.Load() && l.w.announceVersion(version) == nil {
			version++
		}
	}
}

// runTrainer posts and reads one step after the other.
func (l *load) runTrainer() {
	turn := 0
	for number := 1; !l.stopped(); number++ {
		step := l.makeStep(number)
		err := l.try(&turn, func(node *client.Client) error {
			_, err := node.PostStep(l.w.ctx, step)
			return err
		})
		if err != nil {
			l.w.fault("post %s: %v", step.ID, err)
			return
		}
		l.w.ledger.RecordStep(step, stalenessBound)
		if err := l.readStep(&turn, step.ID, ""); err != nil {
			l.w.fault("read %s: %v", step.ID, err)
			return
		}
		l.steps.Add(1)
	}
}

// makeStep makes a step whose prompts are all different.
func (l *load) makeStep(number int) client.Step {
	name := fmt.Sprintf("captions-%d", number)
	step := client.Step{Event: testEvent, Trainer: "captions", ID: name}
	prompts := map[string]string{}
	for i := range samplesPerStep {
		least, most := shortTokens, longTokens/4
		if i%longEvery == longEvery-1 {
			least, most = longTokens, maxTokens
		}
		sample := record.Sample{ID: fmt.Sprintf("s-%02d", i), MaxTokens: maxTokens, Group: fmt.Sprintf("%s-%d", name, i/4)}
		for take := 0; ; take++ {
			sample.Prompt = fmt.Sprintf("Hearing %s, speaker %d, take %d.", sample.Group, i, take)
			if length := standin.CompletionLength(sample.Prompt, maxTokens); length >= least && length <= most {
				break
			}
		}
		prompts[sample.ID] = sample.Prompt
		step.Samples = append(step.Samples, sample)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prompts[name] = prompts
	return step
}

// promptsOf returns the prompts of a step by sample. They do not change once made.
func (l *load) promptsOf(step string) map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.prompts[step]
}

// readStep reads a step along one chain of cursors to its end.
func (l *load) readStep(turn *int, step, cursor string) error {
	reads := 0
	for {
		var page client.SamplesPage
		newest := cluster.Version(0)
		err := l.try(turn, func(node *client.Client) (err error) {
			newest = l.w.ledger.NewestVersion()
			page, err = node.ReadSamples(l.w.ctx, client.ReadRequest{Step: step, Cursor: cursor, MaxWait: time.Second, Version: newest})
			return err
		})
		if err != nil {
			return err
		}
		if reads++; reads%dropEvery == 0 {
			continue
		}
		l.take(step, newest, page.Samples)
		if page.Done && page.Cursor == cursor {
			return nil
		}
		cursor = page.Cursor
	}
}

func (l *load) take(step string, newest cluster.Version, samples []machine.SampleView) {
	l.w.ledger.RecordReceived(step, newest, samples)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sample := range samples {
		l.taken = append(l.taken, delivery{prompt: l.prompts[step][sample.ID], sample: sample})
	}
}

// try calls one node after another until a call succeeds, a refusal is final, or
// patience ends.
func (l *load) try(turn *int, call func(*client.Client) error) error {
	for start := time.Now(); ; {
		n := l.w.pick(*turn)
		err := call(n.apiWithin(callTimeout))
		if err == nil {
			return nil
		}
		if l.strict {
			l.w.fault("trainer at %s: %v", n.id, err)
		}
		if client.IsPermanent(err) || time.Since(start) > patience || l.w.ctx.Err() != nil {
			return err
		}
		*turn++
		traffic.Sleep(l.w.ctx, 100*time.Millisecond)
	}
}

// runCaller sends lookups and saves.
func (l *load) runCaller(worker int) {
	for number := 0; !l.stopped(); number++ {
		id := fmt.Sprintf("%d-%d", worker, number)
		call := lookup(id)
		if number%2 == 1 {
			call = save(id)
		}
		// Some saves are never repeated: their refusals are final.
		tries := 1
		if !l.strict && number%4 != 3 {
			tries = 0
		}
		l.send(worker+number, call, tries)
		traffic.Sleep(l.w.ctx, 15*time.Millisecond)
	}
}

func lookup(id string) client.Call {
	return client.Call{Method: http.MethodGet, Service: testService, Path: "/lookups/" + id, Deadline: callTimeout}
}

func save(id string) client.Call {
	return client.Call{
		Method: http.MethodPost, Service: testService, Path: "/saves/" + id, Body: `{"line":"` + id + `"}`,
		IdempotencyKey: "save-" + id, Unrepeatable: true, Deadline: callTimeout,
	}
}

// send sends a request through one node after another until it is answered; with
// tries set at most so often. It keeps what the caller learned.
func (l *load) send(turn int, call client.Call, tries int) {
	request := &callerRequest{call: call, alwaysNotRun: true, once: tries == 1}
	l.mu.Lock()
	l.requests = append(l.requests, request)
	l.mu.Unlock()
	start, unknowns := time.Now(), 0
	for try := 0; (tries == 0 || try < tries) && time.Since(start) < patience && l.w.ctx.Err() == nil; try++ {
		n := l.w.pick(turn + try)
		answer, err := n.apiWithin(callTimeout+time.Second).Call(l.w.ctx, call)
		request.outcome, request.last = judge(call, answer, err)
		request.alwaysNotRun = request.alwaysNotRun && request.outcome == outcomeNotRun
		if request.outcome == outcomeAnswered {
			l.answered.Add(1)
			return
		}
		if request.outcome == outcomeNotRun {
			l.notRun.Add(1)
		}
		request.last = n.id + ": " + request.last
		if request.outcomeLost() {
			unknowns++
		}
		if unknowns == maxUnknowns {
			return
		}
		traffic.Sleep(l.w.ctx, 100*time.Millisecond)
	}
}

// judge says what a caller learned from an answer; the answer must be its own
// and whole.
func judge(call client.Call, answer client.CallResponse, err error) (requestOutcome, string) {
	if err != nil {
		return outcomeUnknown, err.Error()
	}
	if answer.Status != http.StatusOK {
		var body struct{ Error client.APIError }
		if json.Unmarshal(answer.Body, &body) == nil && body.Error.NotExecuted {
			return outcomeNotRun, string(answer.Body)
		}
		return outcomeUnknown, fmt.Sprintf("status %d: %s", answer.Status, answer.Body)
	}
	var echo standin.ServiceResponse
	if err := json.Unmarshal(answer.Body, &echo); err != nil {
		return outcomeUnknown, "broken answer " + string(answer.Body)
	}
	digest := sha256.Sum256([]byte(call.Body))
	if echo.Path != call.Path || echo.Key != call.IdempotencyKey || echo.BodyDigest != hex.EncodeToString(digest[:]) {
		return outcomeUnknown, "broken answer: it belongs to " + echo.Path
	}
	return outcomeAnswered, ""
}

// awaitWork waits until so many more steps and requests are done.
func (l *load) awaitWork(steps, requests int64) {
	l.w.t.Helper()
	steps += l.steps.Load()
	requests += l.answered.Load()
	l.w.await("more work to be done", func() error {
		if l.steps.Load() < steps || l.answered.Load() < requests {
			return fmt.Errorf("%d of %d steps, %d of %d requests", l.steps.Load(), steps, l.answered.Load(), requests)
		}
		return nil
	})
}

// check ends the load and holds what was seen from outside against what must
// always hold.
func (l *load) check() {
	l.w.t.Helper()
	l.end()
	l.w.awaitInForce()
	l.checkSamples()
	l.checkRequests()
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	for _, fault := range l.w.faults {
		l.w.t.Error(fault)
	}
}

// checkSamples: each sample once, none lost or stale, whole texts, and only
// versions that an engine named for these very tokens.
func (l *load) checkSamples() {
	l.w.t.Helper()
	counts := l.w.ledger.Counts()
	if counts.Steps == 0 || counts.Lost+counts.Duplicated+counts.Stale+len(counts.Errors) > 0 {
		l.w.t.Errorf("samples: %+v", counts)
	}
	for _, d := range l.taken {
		for _, segment := range d.sample.Versions {
			for token := segment.FromToken; token < segment.ToToken; token++ {
				if !l.w.tags.named(d.prompt, token, segment.Version) {
					l.w.t.Errorf("sample %s names version %d for token %d of %q, no engine did", d.sample.ID, segment.Version, token, d.prompt)
					break
				}
			}
		}
	}
	l.w.t.Logf("samples: %d steps, %d samples, %d delivered, newest version %d", counts.Steps, counts.Samples, counts.Delivered, l.w.ledger.NewestVersion())
}

// checkRequests holds what callers learned against the servers' own counts.
func (l *load) checkRequests() {
	l.w.t.Helper()
	runs := l.w.runs()
	tally := map[requestOutcome]int{}
	for _, r := range l.requests {
		tally[r.outcome]++
		count := runs[r.call.Path]
		if r.call.Unrepeatable {
			count = runs[r.call.IdempotencyKey]
		}
		lost := errors.New(r.last)
		switch {
		case strings.Contains(r.last, "broken answer"):
			l.w.t.Errorf("request %s: %v", r.call.Path, lost)
		case r.call.Unrepeatable && count > 1:
			l.w.t.Errorf("save %s ran %d times", r.call.IdempotencyKey, count)
		case r.outcome == outcomeAnswered && count == 0:
			l.w.t.Errorf("request %s was answered and never ran", r.call.Path)
		case count > 0 && (r.alwaysNotRun || r.call.Unrepeatable && r.outcome == outcomeNotRun):
			l.w.t.Errorf("request %s ran %d times after the answer that it was not run: %v", r.call.Path, count, lost)
		case r.outcome != outcomeAnswered && (l.strict || !r.once && !r.outcomeLost()):
			l.w.t.Errorf("request %s: %v", r.call.Path, lost)
		case r.outcome != outcomeAnswered:
			l.w.t.Logf("request %s (ran %d times) ended as %q: %v", r.call.Path, count, r.outcome, lost)
		}
	}
	l.w.t.Logf("requests: %d sent, %d answered, %d not run, %d with unknown outcome; %d answers said not run",
		len(l.requests), tally[outcomeAnswered], tally[outcomeNotRun], tally[outcomeUnknown], l.notRun.Load())
}

// runs sums up the servers' counts.
func (w *world) runs() map[string]int {
	w.t.Helper()
	runs := map[string]int{}
	for _, server := range w.services {
		answer, err := client.New(client.Options{Node: server.address}).CallDirect(w.ctx, client.Call{Method: http.MethodGet, Path: "/counts"})
		w.must(err)
		var counts map[string]int
		w.must(json.Unmarshal(answer.Body, &counts))
		for key, times := range counts {
			runs[key] += times
		}
	}
	return runs
}
