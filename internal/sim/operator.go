package sim

import (
	"math/rand/v2"
	"time"

	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/sim/fault"
)

// OperatorOptions configure an Operator.
type OperatorOptions struct {
	Name string
	// Events are planned and confirmed one after another.
	Events []record.Event
	// StartAt is when the operator begins, Pause the time between two events.
	StartAt time.Duration
	Pause   time.Duration
}

// Acceptance is a confirmation that an operator saw accepted.
type Acceptance struct {
	Event    string
	Digest   string
	Revision record.Revision
	At       time.Duration
}

// Operator plans and confirms events.
type Operator struct {
	world     *World
	options   OperatorOptions
	random    *rand.Rand
	place     fault.Place
	next      int
	accepted  []Acceptance
	conflicts int
	refusals  []machine.Failure
}

func newOperator(w *World, options OperatorOptions) *Operator {
	o := &Operator{
		world: w, options: options, random: w.kernel.Rand("operator/" + options.Name),
		place: fault.Place{Name: options.Name, Zone: outside},
	}
	w.kernel.After(options.StartAt, o.plan)
	return o
}

// Accepted returns the confirmations that the operator saw accepted.
func (o *Operator) Accepted() []Acceptance { return o.accepted }

// Done reports whether all events are confirmed.
func (o *Operator) Done() bool { return o.next >= len(o.options.Events) }

const operatorTimeout = 10 * time.Second

// operatorRetry is how long an operator waits before trying again.
const operatorRetry = time.Second

func (o *Operator) call(what string, input func(machine.CallID) machine.Input, done func(CallResult)) {
	n := o.world.pick(o.random.IntN)
	if n == nil {
		o.world.kernel.After(operatorRetry, func() { o.call(what, input, done) })
		return
	}
	o.world.call(callSpec{
		client: o.place, node: n, what: what, timeout: operatorTimeout, input: input, done: done,
	})
}

func (o *Operator) plan() {
	if o.Done() {
		return
	}
	event := o.options.Events[o.next]
	o.call(o.options.Name+" plan", func(id machine.CallID) machine.Input {
		return machine.PostPlan{Call: id, Event: event}
	}, func(result CallResult) {
		made, ok := result.Body.(machine.PlanMade)
		if !ok {
			o.again(result)
			return
		}
		o.confirm(made.Plan)
	})
}

// again starts over with a new plan.
func (o *Operator) again(result CallResult) {
	if failure, ok := result.Body.(machine.Failure); ok {
		o.refusals = append(o.refusals, failure)
	}
	o.world.kernel.After(operatorRetry+time.Duration(o.random.Int64N(int64(operatorRetry))), o.plan)
}

// confirm confirms a plan; after a lost answer it confirms the same plan again.
func (o *Operator) confirm(plan record.Plan) {
	o.call(o.options.Name+" confirm", func(id machine.CallID) machine.Input {
		return machine.ConfirmPlan{
			Call: id, Digest: plan.Digest, Revision: plan.Base, Operator: o.options.Name, Plan: &plan,
		}
	}, func(result CallResult) {
		switch body := result.Body.(type) {
		case machine.PlanInForce:
			o.accepted = append(o.accepted, Acceptance{
				Event: plan.Event.Name, Digest: body.Digest, Revision: body.Revision, At: o.world.kernel.Elapsed(),
			})
			o.next++
			o.world.kernel.After(o.options.Pause, o.plan)
		case machine.Failure:
			if body.Code == machine.CodeRevisionChanged {
				o.conflicts++
			}
			if body.NotRun || body.Code == machine.CodeRevisionChanged {
				o.again(result)
				return
			}
			o.refusals = append(o.refusals, body)
			o.world.kernel.After(operatorRetry, func() { o.confirm(plan) })
		default:
			o.world.kernel.After(operatorRetry, func() { o.confirm(plan) })
		}
	})
}
