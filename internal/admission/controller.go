// Package admission decides when a request may start and which one is refused:
// limits by class and by back end, bounded queues that know their items'
// deadlines, shedding in the order of the confirmed plan, and a retry budget.
package admission

import (
	"cmp"
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/overload"
	"dalehook/internal/record"
)

// Controller defaults.
const (
	defaultMaxQueueLength      = 1024
	defaultMaxTotalQueueLength = 4096
	defaultRetryShare          = 0.1
	defaultRetryFloor          = 2.0
	// maximumSavedRetries bounds the retries that a quiet time saves up.
	maximumSavedRetries = 20.0

	minimumRetryAfter = time.Second
	maximumRetryAfter = 30 * time.Second
)

// Options configure a Controller. Zero values take defaults.
type Options struct {
	// MaxQueueLength bounds the queue of one service, MaxTotalQueueLength all of them.
	MaxQueueLength      int
	MaxTotalQueueLength int
	// RetryShare is the number of retries that one success pays for, RetryFloor
	// the retries a second that need none.
	RetryShare float64
	RetryFloor float64
}

// Item is a request that waits to be started.
type Item struct {
	Call    machine.CallID
	Service string
	Class   string
	// Deadline is when the caller wants its answer.
	Deadline time.Time
}

func (i Item) key() flowKey { return flowKey{service: i.Service, class: i.Class} }

// Refusal says why an item was refused and when to come back.
type Refusal struct {
	Item       Item
	Code       machine.Code
	RetryAfter time.Duration
}

// Demand is the recent traffic of one class at this node.
type Demand struct {
	Class string
	// Rate is the number of requests that come each second.
	Rate float64
	// InFlight counts running requests, Queued those that wait.
	InFlight int
	Queued   int
}

// Controller holds the queues and limits of one node.
type Controller struct {
	options Options
	classes map[string]*class
	// known holds the classes in the order in which they became known.
	known    []*class
	flows    map[flowKey]*flow
	limiters map[cluster.BackendID]*overload.Limiter
	// order holds the flows, the one that is shed last first; it is what is
	// ranged over.
	order   []*flow
	queued  int
	refused []Refusal
	retries *overload.Budget
}

// New returns a controller without limits.
func New(options Options) *Controller {
	if options.MaxQueueLength == 0 {
		options.MaxQueueLength = defaultMaxQueueLength
	}
	if options.MaxTotalQueueLength == 0 {
		options.MaxTotalQueueLength = defaultMaxTotalQueueLength
	}
	if options.RetryShare == 0 {
		options.RetryShare = defaultRetryShare
	}
	if options.RetryFloor == 0 {
		options.RetryFloor = defaultRetryFloor
	}
	return &Controller{
		options:  options,
		classes:  make(map[string]*class),
		flows:    make(map[flowKey]*flow),
		limiters: make(map[cluster.BackendID]*overload.Limiter),
		retries: overload.NewBudget(overload.BudgetOptions{
			Share: options.RetryShare, Floor: options.RetryFloor, Initial: options.RetryFloor, Capacity: maximumSavedRetries,
		}),
	}
}

// SetShedOrder takes the shedding order of the plans in force.
func (c *Controller) SetShedOrder(shedOrder []string) {
	for _, class := range c.known {
		class.rank = unnamedRank
		if index := slices.Index(shedOrder, class.name); index >= 0 {
			class.rank = index
		}
	}
	c.sortFlows()
}

// SetShares takes what this node may use of the limits in force. A class without
// a share has no limit.
func (c *Controller) SetShares(shares []record.ClassLimit) {
	for _, class := range c.known {
		share := record.ClassLimit{}
		index := slices.IndexFunc(shares, func(l record.ClassLimit) bool { return l.Class == class.name })
		if index >= 0 {
			share = shares[index]
		}
		class.setShare(share)
	}
}

// Demands returns the recent traffic of each known class, in the order in which
// they became known.
func (c *Controller) Demands() []Demand {
	demands := make([]Demand, 0, len(c.known))
	for _, class := range c.known {
		demand := Demand{Class: class.name, Rate: class.demandRate, InFlight: class.inFlight}
		for _, flow := range c.order {
			if flow.limits == class {
				demand.Queued += len(flow.items)
			}
		}
		demands = append(demands, demand)
	}
	return demands
}

// Register makes a class of a service known. It reports whether it is new;
// SetShedOrder and SetShares must then follow.
func (c *Controller) Register(service, className string) bool {
	key := flowKey{service: service, class: className}
	if c.flows[key] != nil {
		return false
	}
	group := c.classes[className]
	if group == nil {
		group = &class{name: className, rank: unnamedRank}
		c.classes[className] = group
		c.known = append(c.known, group)
	}
	c.flows[key] = &flow{flowKey: key, limits: group}
	c.order = append(c.order, c.flows[key])
	c.sortFlows()
	return true
}

func (c *Controller) sortFlows() {
	slices.SortFunc(c.order, func(a, b *flow) int {
		return cmp.Or(
			cmp.Compare(b.limits.rank, a.limits.rank),
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.service, b.service),
		)
	})
}

// Offer queues an item of a registered class, or refuses it or another one;
// see TakeRefused.
func (c *Controller) Offer(now time.Time, item Item) {
	flow := c.flows[item.key()]
	flow.limits.offered++
	if flow.hopeless(now, item) {
		c.refuse(flow, item, machine.CodeOverloaded)
		return
	}
	flow.items = append(flow.items, item)
	c.queued++
	if len(flow.items) > c.options.MaxQueueLength {
		c.dropOldest(flow, machine.CodeOverloaded)
	}
	if c.queued > c.options.MaxTotalQueueLength {
		c.dropOldest(c.firstToShed(), machine.CodeShed)
	}
}

// OfferAgain puts an item that was started before at the front of its queue: it
// has waited already.
func (c *Controller) OfferAgain(item Item) {
	flow := c.flows[item.key()]
	flow.items = slices.Insert(flow.items, 0, item)
	c.queued++
}

// firstToShed returns the flow with something queued that goes first.
func (c *Controller) firstToShed() *flow {
	for _, flow := range slices.Backward(c.order) {
		if len(flow.items) > 0 {
			return flow
		}
	}
	return nil
}

func (c *Controller) dropOldest(flow *flow, code machine.Code) {
	c.queued--
	c.refuse(flow, flow.take(0), code)
}

func (c *Controller) refuse(flow *flow, item Item, code machine.Code) {
	c.refused = append(c.refused, Refusal{Item: item, Code: code, RetryAfter: flow.retryAfter()})
}

// TakeRefused returns and forgets the refusals since the last call.
func (c *Controller) TakeRefused() []Refusal {
	refused := c.refused
	c.refused = nil
	return refused
}

// Dispatch starts what may start now. The function start is asked to place an
// item at a back end and says false when none of the service's has room; the
// rest of that service's queue then waits.
func (c *Controller) Dispatch(now time.Time, start func(Item) bool) {
	for _, flow := range c.order {
		flow.limits.refill(now)
		for len(flow.items) > 0 && flow.limits.hasRoom() {
			index := flow.next(now)
			if !start(flow.items[index]) {
				break
			}
			flow.take(index)
			c.queued--
			flow.started()
		}
		if len(flow.items) > 0 && !flow.limits.hasRoom() {
			flow.limits.heldBack(now)
		}
	}
}

// Tick refuses what can't be answered in time any more and measures rates.
func (c *Controller) Tick(now time.Time) {
	for _, flow := range c.order {
		for _, item := range flow.expired(now) {
			c.queued--
			c.refuse(flow, item, machine.CodeOverloaded)
		}
		flow.measure(now)
	}
	for _, class := range c.known {
		class.measureDemand(now)
	}
}

// Remove takes an item out of its queue.
func (c *Controller) Remove(item Item) {
	if flow := c.flows[item.key()]; flow != nil && flow.remove(item.Call) {
		c.queued--
	}
}

// Drain takes all items of a service out of its queues.
func (c *Controller) Drain(service string) []Item {
	var items []Item
	for _, flow := range c.order {
		if flow.service == service {
			items = append(items, flow.items...)
			flow.items = nil
		}
	}
	c.queued -= len(items)
	return items
}

// Ended closes a started request; took is zero when it wasn't answered.
func (c *Controller) Ended(item Item, took time.Duration) {
	c.flows[item.key()].ended(took)
	if took > 0 {
		c.retries.Earn()
	}
}

// AllowRetry takes one retry out of the budget.
func (c *Controller) AllowRetry(now time.Time) bool { return c.retries.Take(now) }

// Limiter returns the limiter of a back end.
func (c *Controller) Limiter(backend cluster.BackendID) *overload.Limiter {
	limiter := c.limiters[backend]
	if limiter == nil {
		limiter = overload.NewLimiter()
		c.limiters[backend] = limiter
	}
	return limiter
}

// Forget drops idle limiters of back ends that keep doesn't name.
func (c *Controller) Forget(keep func(cluster.BackendID) bool) {
	for id, limiter := range c.limiters {
		if limiter.InFlight() == 0 && !keep(id) {
			delete(c.limiters, id)
		}
	}
}

// Queued returns the number of waiting items.
func (c *Controller) Queued() int { return c.queued }
