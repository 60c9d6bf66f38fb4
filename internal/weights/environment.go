package weights

import (
	"cmp"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// Engine is an engine of a pool as this node knows it.
type Engine struct {
	ID      cluster.BackendID
	Address string
	Zone    cluster.ZoneName
	State   cluster.MachineState
	// Report is the engine's last report, which came in at ReportedAt. The zero
	// time means that none came.
	Report     machine.BackendReport
	ReportedAt time.Time
}

// Demand is what the running samples of one engine ask for.
type Demand struct {
	// Bounded is set when samples with a staleness bound run on the engine, or
	// are due to.
	Bounded bool
	// Slack is the number of further versions until the first of these samples
	// misses its bound; zero or less means that it is about to.
	Slack int64
	// Tail is set when the engine runs the last samples of a step, which should
	// not be disturbed.
	Tail bool
}

// Environment is what a Director reads of the rest of the node.
type Environment interface {
	// Pools returns the pools of engines, sorted.
	Pools() []string
	// Holds reports whether this node directs the pool now, and its epoch.
	Holds(now time.Time, pool string) (record.Epoch, bool)
	// Engines returns the engines of a pool, sorted by id.
	Engines(pool string) []Engine
	// Newest returns the newest announced version of a model, zero for none.
	Newest(model cluster.ModelName) cluster.Version
	// PlannedLoads returns the loads of the plans in force for a pool.
	PlannedLoads(pool string) []record.LoadVersion
	// Needed returns the number of engines that the events under way need in
	// service, zero for no demand beyond Parameters.MaxSwapFraction.
	Needed(now time.Time, pool string) int
	// Demand returns what the running samples of an engine ask for. A node that
	// does not know returns the zero Demand.
	Demand(engine cluster.BackendID) Demand
}

// Parameters holds the pace and the limits of a Director.
type Parameters struct {
	// StoreLoadsPerSecond and StoreBurst are the pace of load orders over all
	// pools that this node directs.
	StoreLoadsPerSecond float64
	StoreBurst          int
	// MaxSwapFraction is the part of a pool that may stand still for a swap at
	// once. Reports do not tell a swap from the fetch before it, so as many loads
	// are ordered in each SwapTime.
	MaxSwapFraction float64
	// MaxLoadFraction is the part of a pool that may be loading at once. An engine
	// serves while it fetches; the limit is for loads that end together.
	MaxLoadFraction float64
	// SwapTime is how long an engine stands still at the end of a load.
	SwapTime time.Duration
	// Interval is the time between two looks at a pool.
	Interval time.Duration
	// TakeoverWait is how long a new director waits for reports that show what
	// the one before it has ordered. Engines that never had an order are spared.
	TakeoverWait time.Duration
	// OrderTimeout is the time after which an order that no report shows counts
	// as lost.
	OrderTimeout time.Duration
	// SlowLoad is the time after which a load no longer keeps the next one
	// waiting, so that one hung engine does not hold up a small pool.
	SlowLoad time.Duration
	// LoadTimeout is the time after which a load without an end counts as failed.
	LoadTimeout time.Duration
	// RetryBase and RetryMax bound the backoff after failed loads of an engine.
	RetryBase time.Duration
	RetryMax  time.Duration
	// RateLimitPause is the pause of all orders after the store refused a load
	// for its rate.
	RateLimitPause time.Duration
	// UnintendedWait is how long an engine must report a version later than the
	// newest that is known here before it counts as unintended: the announcement
	// may be on its way.
	UnintendedWait time.Duration
	// TailWait is how long an engine that runs the tail of a step is spared.
	TailWait time.Duration
}

// The defaults of Parameters. The pace is assumed, the store's true rate is
// found by its refusals.
const (
	DefaultStoreLoadsPerSecond = 20
	DefaultStoreBurst          = 8
	DefaultMaxSwapFraction     = 0.25
	DefaultMaxLoadFraction     = 0.5
	DefaultSwapTime            = 2 * time.Second
	DefaultInterval            = 200 * time.Millisecond
	DefaultTakeoverWait        = 2 * time.Second
	DefaultOrderTimeout        = 5 * time.Second
	DefaultSlowLoad            = 15 * time.Second
	DefaultLoadTimeout         = time.Minute
	DefaultRetryBase           = 500 * time.Millisecond
	DefaultRetryMax            = 20 * time.Second
	DefaultRateLimitPause      = 400 * time.Millisecond
	DefaultUnintendedWait      = 20 * time.Second
	DefaultTailWait            = 15 * time.Second
)

func (p Parameters) withDefaults() Parameters {
	p.StoreLoadsPerSecond = cmp.Or(p.StoreLoadsPerSecond, DefaultStoreLoadsPerSecond)
	p.StoreBurst = cmp.Or(p.StoreBurst, DefaultStoreBurst)
	p.MaxSwapFraction = cmp.Or(p.MaxSwapFraction, DefaultMaxSwapFraction)
	p.MaxLoadFraction = cmp.Or(p.MaxLoadFraction, DefaultMaxLoadFraction)
	p.SwapTime = cmp.Or(p.SwapTime, DefaultSwapTime)
	p.Interval = cmp.Or(p.Interval, DefaultInterval)
	p.TakeoverWait = cmp.Or(p.TakeoverWait, DefaultTakeoverWait)
	p.OrderTimeout = cmp.Or(p.OrderTimeout, DefaultOrderTimeout)
	p.SlowLoad = cmp.Or(p.SlowLoad, DefaultSlowLoad)
	p.LoadTimeout = cmp.Or(p.LoadTimeout, DefaultLoadTimeout)
	p.RetryBase = cmp.Or(p.RetryBase, DefaultRetryBase)
	p.RetryMax = cmp.Or(p.RetryMax, DefaultRetryMax)
	p.RateLimitPause = cmp.Or(p.RateLimitPause, DefaultRateLimitPause)
	p.UnintendedWait = cmp.Or(p.UnintendedWait, DefaultUnintendedWait)
	p.TailWait = cmp.Or(p.TailWait, DefaultTailWait)
	return p
}
