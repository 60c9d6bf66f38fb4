package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dalehook/internal/machine"
	"dalehook/internal/sim/backend"
	"dalehook/internal/sim/fault"
)

// CallerOptions configure a Caller.
type CallerOptions struct {
	Name    string
	Service string
	// Rate is the mean number of new requests a second; RateAt, when set, gives
	// it by the time since the start.
	Rate     float64
	RateAt   func(time.Duration) float64
	Deadline time.Duration
	// Unrepeatable requests bear a key; when their outcome is open the caller
	// asks again under the same key, at any node, up to Repeats times.
	Unrepeatable bool
	Repeats      int
	// StartAt is when the first request comes.
	StartAt time.Duration
}

// RequestWitness is what a caller saw of one request.
type RequestWitness struct {
	ID           string
	Unrepeatable bool
	Began        time.Duration
	// AskedAt is when the caller first found a node to ask.
	AskedAt time.Duration
	Ended   time.Duration
	// Asked counts how often the caller asked.
	Asked int
	// Hedged is set when the key was used a second time at once.
	Hedged bool
	// Answered is set when a whole answer came; Wrong when it was not the
	// request's own.
	Answered bool
	Wrong    string
	// NotRun is set when the last word was that the request did not run, RanThen
	// how often it had run when that was said.
	NotRun  bool
	RanThen int
	// Code is the last failure's, empty when there was none.
	Code machine.Code
	// RetryAfter is what the last failure asked for.
	RetryAfter time.Duration
	// Lost is set when the last call ended without any answer.
	Lost bool
}

// Caller sends a stream of requests to one service.
type Caller struct {
	world    *World
	options  CallerOptions
	random   *rand.Rand
	place    fault.Place
	sent     int
	open     int
	requests []*RequestWitness
}

func newCaller(w *World, options CallerOptions) *Caller {
	c := &Caller{
		world: w, options: options, random: w.kernel.Rand("caller/" + options.Name),
		place: fault.Place{Name: options.Name, Zone: outside},
	}
	w.kernel.After(options.StartAt, c.arrive)
	return c
}

// Requests returns what the caller saw of each of its requests.
func (c *Caller) Requests() []*RequestWitness { return c.requests }

// idleCheck is how often a caller without traffic looks at its rate again.
const idleCheck = 100 * time.Millisecond

func (c *Caller) arrive() {
	if c.world.stopping {
		return
	}
	rate := c.options.Rate
	if c.options.RateAt != nil {
		rate = c.options.RateAt(c.world.kernel.Elapsed())
	}
	if rate <= 0 {
		c.world.kernel.After(idleCheck, c.arrive)
		return
	}
	c.begin()
	c.world.kernel.After(time.Duration(c.random.ExpFloat64()/rate*float64(time.Second)), c.arrive)
}

func (c *Caller) begin() {
	c.sent++
	witness := &RequestWitness{
		ID: fmt.Sprintf("%s-%d", c.options.Name, c.sent), Unrepeatable: c.options.Unrepeatable,
		Began: c.world.kernel.Elapsed(),
	}
	c.requests = append(c.requests, witness)
	c.open++
	c.ask(witness)
	if c.options.Unrepeatable && c.random.IntN(hedgeOneIn) == 0 {
		c.world.kernel.After(time.Duration(c.random.Int64N(int64(hedgeMost))), func() { c.hedge(witness) })
	}
}

// One keyed request in hedgeOneIn is asked a second time within hedgeMost, while
// the first may still be under way.
const (
	hedgeOneIn = 8
	hedgeMost  = 40 * time.Millisecond
)

// hedge asks a second time under the same key, wherever it comes to. Its answer
// must be the request's own, too.
func (c *Caller) hedge(witness *RequestWitness) {
	n := c.world.pick(c.random.IntN)
	if n == nil {
		return
	}
	witness.Hedged = true
	c.send(witness, n, func(result CallResult) {
		if body, ok := result.Body.(machine.ServiceResponse); ok {
			witness.check(body)
		}
	})
}

// check compares an answer with the request's own.
func (r *RequestWitness) check(answer machine.ServiceResponse) {
	if want := backend.Answer(r.ID); string(answer.Response.Body) != want || answer.Response.Status != okStatus {
		r.Wrong = fmt.Sprintf("%d %q", answer.Response.Status, answer.Response.Body)
	}
}

func (c *Caller) ask(witness *RequestWitness) {
	n := c.world.pick(c.random.IntN)
	if n == nil {
		c.world.kernel.After(idleCheck, func() { c.ask(witness) })
		return
	}
	if witness.Asked == 0 {
		witness.AskedAt = c.world.kernel.Elapsed()
	}
	witness.Asked++
	c.send(witness, n, func(result CallResult) { c.answered(witness, result) })
}

func (c *Caller) send(witness *RequestWitness, n *Node, done func(CallResult)) {
	deadline := c.world.kernel.Now().Add(c.options.Deadline)
	c.world.call(callSpec{
		client: c.place, node: n, what: witness.ID, request: witness.ID,
		timeout: c.options.Deadline + time.Second,
		input: func(id machine.CallID) machine.Input {
			in := machine.ServiceCall{Call: id, Service: c.options.Service, Method: "POST", Deadline: deadline}
			if c.options.Unrepeatable {
				in.Key, in.Unrepeatable, in.Digest = witness.ID, true, "digest of "+witness.ID
			}
			return in
		},
		done: done,
	})
}

func (c *Caller) answered(witness *RequestWitness, result CallResult) {
	witness.Lost, witness.NotRun, witness.Code, witness.RetryAfter = false, false, "", 0
	switch body := result.Body.(type) {
	case machine.ServiceResponse:
		witness.Answered = true
		witness.check(body)
		c.end(witness)
		return
	case machine.Failure:
		witness.Code, witness.RetryAfter = body.Code, body.RetryAfter
		witness.NotRun, witness.RanThen = body.NotRun, c.world.runs[witness.ID]
	default:
		witness.Lost = true
	}
	// Half of those who hear "not run" leave it at that, so that it can be
	// checked to the end.
	if witness.Asked > c.options.Repeats || witness.NotRun && !witness.Hedged && c.random.IntN(2) == 0 || result.Outcome == CallAnswered && !c.options.Unrepeatable {
		c.end(witness)
		return
	}
	c.world.kernel.After(100*time.Millisecond+time.Duration(c.random.Int64N(int64(time.Second))), func() { c.ask(witness) })
}

func (c *Caller) end(witness *RequestWitness) {
	witness.Ended = c.world.kernel.Elapsed()
	c.open--
}
