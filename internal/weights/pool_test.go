package weights_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/weights"
)

const poolName = "language"

var (
	start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	zones = []cluster.ZoneName{"cercado", "yanahuara", "cayma", "poblado"}
)

// testEngine is a model engine on a virtual clock: it fetches from the store
// while it serves, then swaps and serves nothing.
type testEngine struct {
	id       cluster.BackendID
	report   machine.BackendReport
	fetched  time.Time
	swapped  time.Time
	ordered  machine.OrderEngine
	swapping bool
	dead     bool
	// hung is set when a load does not end.
	hung bool
	// fetchTime is how long a fetch takes.
	fetchTime time.Duration
}

// testPool is a pool with the node that directs it; it implements
// weights.Environment.
type testPool struct {
	now      time.Time
	random   *rand.Rand
	engines  []*testEngine
	outbox   machine.Outbox
	director *weights.Director
	// reports are what the node knows: copies that are renewed each second.
	reports []weights.Engine
	polled  time.Time
	// pollEvery is the time between two polls.
	pollEvery time.Duration

	newest  cluster.Version
	epoch   record.Epoch
	holds   bool
	planned []record.LoadVersion
	needed  int
	demands map[cluster.BackendID]weights.Demand

	// store is a token bucket without queue: it refuses with 429.
	storeRate   float64
	storeTokens float64
	// The shares of orders and loads that go wrong.
	loseOrder  float64
	loseAnswer float64
	failSwap   float64
	wrongSwap  float64
	// swallow loses orders without a word.
	swallow bool
	// refuse makes engines refuse orders with the store's 429.
	refuse bool

	orders map[cluster.BackendID][]machine.OrderEngine
	// given lists the engines in the order of their orders.
	given         []cluster.BackendID
	refusals      int
	lowestServing int
	// lowestIdle is the lowest number of engines that neither fetch nor swap.
	lowestIdle int
}

const (
	fetchTime  = 2 * time.Second
	swapTime   = 2 * time.Second
	pollEvery  = time.Second
	storeBurst = 10
)

func newTestPool(size int, parameters weights.Parameters) *testPool {
	p := &testPool{
		now: start, random: rand.New(rand.NewPCG(1, 2)), newest: 1, epoch: 5, holds: true,
		demands: map[cluster.BackendID]weights.Demand{}, orders: map[cluster.BackendID][]machine.OrderEngine{},
		pollEvery: pollEvery, storeRate: 20, storeTokens: storeBurst, lowestServing: size, lowestIdle: size,
	}
	for i := range size {
		id := cluster.BackendID(fmt.Sprintf("e%03d", i))
		p.engines = append(p.engines, &testEngine{id: id, fetchTime: fetchTime, report: machine.BackendReport{Backend: id, Model: "captions", Version: 1, Slots: 16}})
	}
	p.newDirector(parameters)
	return p
}

func (p *testPool) newDirector(parameters weights.Parameters) {
	p.director = weights.New(weights.Options{Outbox: &p.outbox, Environment: p, Parameters: parameters})
}

func (p *testPool) Pools() []string { return []string{poolName} }

func (p *testPool) Holds(time.Time, string) (record.Epoch, bool) { return p.epoch, p.holds }

func (p *testPool) Engines(string) []weights.Engine { return p.reports }

func (p *testPool) Newest(cluster.ModelName) cluster.Version { return p.newest }

func (p *testPool) PlannedLoads(string) []record.LoadVersion { return p.planned }

func (p *testPool) Needed(time.Time, string) int { return p.needed }

func (p *testPool) Demand(engine cluster.BackendID) weights.Demand { return p.demands[engine] }

// advance runs the pool for a time.
func (p *testPool) advance(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(machine.TickInterval) {
		p.step()
	}
}

// until runs the pool until done says so, and returns the time that it took.
func (p *testPool) until(limit time.Duration, done func() bool) (time.Duration, bool) {
	began := p.now
	for !done() {
		if p.now.Sub(began) >= limit {
			return limit, false
		}
		p.advance(machine.TickInterval)
	}
	return p.now.Sub(began), true
}

// allOn reports whether each live engine has truly loaded a version.
func (p *testPool) allOn(version cluster.Version) func() bool {
	return func() bool {
		for _, engine := range p.engines {
			if !engine.dead && (engine.report.Version != version || engine.report.Loading != 0) {
				return false
			}
		}
		return true
	}
}

func (p *testPool) step() {
	p.storeTokens = min(storeBurst, p.storeTokens+p.storeRate*machine.TickInterval.Seconds())
	serving, idle := 0, 0
	for _, engine := range p.engines {
		p.run(engine)
		if !engine.swapping && engine.report.Version != 0 && !engine.dead {
			serving++
		}
		if engine.report.Loading == 0 && !engine.dead {
			idle++
		}
	}
	p.lowestServing = min(p.lowestServing, serving)
	p.lowestIdle = min(p.lowestIdle, idle)
	p.poll()
	p.director.Tick(p.now)
	for _, output := range p.outbox.Take() {
		p.order(output.(machine.OrderEngine))
	}
}

// poll renews what the node knows of the engines.
func (p *testPool) poll() {
	if p.now.Sub(p.polled) < p.pollEvery {
		return
	}
	p.polled = p.now
	p.reports = nil
	for i, engine := range p.engines {
		known := weights.Engine{ID: engine.id, Zone: zones[i*len(zones)/len(p.engines)], State: cluster.StateLive, Report: engine.report, ReportedAt: p.now}
		if engine.dead {
			known.State = cluster.StateDead
		}
		p.reports = append(p.reports, known)
	}
}

func (p *testPool) find(id cluster.BackendID) *testEngine {
	for _, engine := range p.engines {
		if engine.id == id {
			return engine
		}
	}
	return nil
}

// order delivers an order and the engine's answer.
func (p *testPool) order(order machine.OrderEngine) {
	p.orders[order.Engine] = append(p.orders[order.Engine], order)
	p.given = append(p.given, order.Engine)
	if p.swallow {
		return
	}
	result := machine.OrderResult{Engine: order.Engine, Fence: order.Fence}
	switch {
	case p.refuse:
		result.Err = "HTTP status 429"
	case p.random.Float64() < p.loseOrder:
		result.Err = "connection reset"
	default:
		result = p.find(order.Engine).take(p.now, order)
		if p.random.Float64() < p.loseAnswer {
			result = machine.OrderResult{Engine: order.Engine, Fence: order.Fence, Err: "connection reset"}
		}
	}
	p.director.HandleOrderResult(p.now, result)
}

// take judges an order as engines do: the fence must be higher than the last.
func (e *testEngine) take(now time.Time, order machine.OrderEngine) machine.OrderResult {
	result := machine.OrderResult{Engine: e.id, Fence: order.Fence}
	if !e.report.LastFence.Less(order.Fence) {
		result.Stale = true
		return result
	}
	e.report.LastFence, e.report.Loading, e.report.LoadError = order.Fence, order.Version, ""
	e.ordered, e.fetched, e.swapped, e.swapping = order, now.Add(e.fetchTime), time.Time{}, false
	result.Accepted = true
	return result
}

// run moves an engine's load on.
func (p *testPool) run(e *testEngine) {
	switch {
	case e.report.Loading == 0, e.hung:
	case !e.swapping && !p.now.Before(e.fetched):
		p.fetch(e)
	case e.swapping && !p.now.Before(e.swapped):
		p.finish(e)
	}
}

func (p *testPool) fetch(e *testEngine) {
	if p.storeTokens < 1 {
		p.refusals++
		e.report.Loading, e.report.LoadError = 0, "weight store: 429 Too Many Requests"
		return
	}
	p.storeTokens--
	e.swapping, e.swapped = true, p.now.Add(swapTime)
}

func (p *testPool) finish(e *testEngine) {
	e.swapping, e.report.Loading = false, 0
	fate := p.random.Float64()
	switch {
	case fate < p.failSwap:
		e.report.LoadError = "out of memory"
	case fate < p.failSwap+p.wrongSwap:
		e.report.Version = e.ordered.Version + cluster.Version(p.random.IntN(2)*2-1)
	default:
		e.report.Model, e.report.Version = e.ordered.Model, e.ordered.Version
	}
}

// count returns the number of orders that were given.
func (p *testPool) count() int {
	sum := 0
	for _, engine := range p.engines {
		sum += len(p.orders[engine.id])
	}
	return sum
}
