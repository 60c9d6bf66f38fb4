// Package coordinator runs the batch scheduler on the node that holds the lease. It
// passes events from the store and the engines to the scheduler and executes its decisions.
//
// A term is the time for which a node coordinates under one epoch of the lease. A process that is
// about to end resigns its term; one that cannot reach the store yields it at the request of another
// node. In both cases its runs continue until it hands them over: the successor takes over their
// progress and what was not yet appended.
package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/crashwatch"
	"dalehook/internal/directory"
	"dalehook/internal/election"
	"dalehook/internal/joblog"
	"dalehook/internal/reward"
	"dalehook/internal/routetable"
	"dalehook/internal/scheduler"
	"dalehook/internal/store"
)

// EngineState is an engine's reported state.
type EngineState struct {
	// Version is the loaded weight version of the requested model.
	Version int64
	// Busy is true while an order is being executed.
	Busy bool
	// Orders is the number of orders that the engine has accepted.
	Orders int64
}

// OrderAnswer is an engine's answer to an order.
type OrderAnswer int

// The answers to an order.
const (
	// OrderInProgress: the engine accepted the order and is executing it.
	OrderInProgress OrderAnswer = iota
	// OrderSatisfied: the engine is already in the requested state.
	OrderSatisfied
	// OrderRefused: the engine does not execute the order.
	OrderRefused
	// OrderUnknown: the engine did not answer; it may still execute the order later.
	OrderUnknown
)

// Engines runs items on engines and sends orders to them.
type Engines interface {
	// Run runs an item and calls emit for each event, until the run or the context
	// ends. The error is nil if the run completed.
	Run(ctx context.Context, start scheduler.Start, emit func(scheduler.Event)) (scheduler.EndReason, error)
	// State queries an engine's state.
	State(ctx context.Context, server scheduler.Server, model string) (EngineState, error)
	// Load orders an engine to load a version, on the condition that the engine has
	// accepted the given number of orders so far.
	Load(ctx context.Context, order scheduler.LoadOrder, orders int64) (OrderAnswer, error)
}

// Observer records the coordinator's metrics.
type Observer interface {
	ObserveAttempt(reason scheduler.EndReason)
	// ObserveMove records that a run is cancelled to resume its item on another engine.
	ObserveMove()
	ObserveResult(outcome string)
	// ObserveLoad records whether an engine had the ordered version afterwards.
	ObserveLoad(loaded bool)
	// ObserveWait records the time for which an item has waited although engines had free slots, since it
	// was last recorded.
	ObserveWait(reason scheduler.WaitReason, waited time.Duration)
	// ObserveReward records the verdict of a reward call and the time since its item's
	// text was complete.
	ObserveReward(verdict reward.Verdict, waited time.Duration)
}

// State is a snapshot of a coordinator's activity.
type State struct {
	Leading                bool
	Open, Running, Waiting int
	// Unscored is the number of items whose text is complete but not yet scored.
	Unscored int
	// MemoryShare is the share of its memory that the fullest engine uses; 0 if no capacity is known.
	MemoryShare float64
}

// Options configure a Coordinator.
type Options struct {
	Engines Engines
	// CrashTracker learns from completed runs which engines are alive; it may be nil.
	CrashTracker *crashwatch.Tracker
	Rewards      Rewards
	Log          store.Log
	JobLogs      *joblog.Logs
	Directory    *directory.Directory
	Scheduler    scheduler.Options
	// OrderPause is the time after a takeover in which no order is sent, so that
	// the orders of two lease holders are at least that far apart.
	OrderPause time.Duration
	// TenantWeights holds the weights of tenants whose share of the engines is not 1.
	TenantWeights map[string]float64
	// Fenced is true if engines reject orders with an old epoch. OrderPause then
	// applies only if the predecessor may still be active.
	Fenced   bool
	Logger   *zap.Logger
	Observer Observer
}

const (
	// tickInterval is the time between scheduler ticks.
	tickInterval = 50 * time.Millisecond
	// maxTickDelay is the tick delay above which the process counts as stalled, for example
	// because it got no CPU time. On a busy machine ticks are a few milliseconds late.
	maxTickDelay = 200 * time.Millisecond
)

// Coordinator runs batch jobs while its node holds the lease.
type Coordinator struct {
	options Options

	mutex          sync.Mutex
	table          *routetable.Table
	newestVersions map[string]int64
	machine        *scheduler.Machine // nil while the lease is not held
	// termCtx ends when the lease is lost.
	termCtx    context.Context
	cancelTerm context.CancelFunc
	writer     *recordWriter
	lease      election.Lease
	// termEpoch is the lease epoch of the current term.
	termEpoch int64
	// resigned is true while a resigned or yielded term continues its runs until the successor takes over.
	resigned bool
	// successorRequestsNoHandover is true if the successor may not request a handover, so that
	// the runs end after noRequestGracePeriod.
	successorRequestsNoHandover bool
	// lastHandover is the handover of the last resigned term.
	lastHandover   termHandover
	attemptCancels map[scheduler.AttemptID]context.CancelFunc
	// rewardCancels cancel reward calls in progress.
	rewardCancels map[reward.SendID]context.CancelFunc
	background    conc.WaitGroup
	closed        bool
	stateLoggedAt time.Time
	// waitsReportedAt is when waiting items were last reported. Only Run uses it.
	waitsReportedAt time.Time
	// lastTickAt is the time of the scheduler's last tick in this term, initially the start of
	// the term.
	lastTickAt time.Time
}

// New returns a coordinator that does not hold the lease.
func New(options Options) *Coordinator {
	if options.CrashTracker == nil {
		options.CrashTracker = crashwatch.NewTracker(crashwatch.Options{})
	}
	return &Coordinator{
		options:        options,
		newestVersions: make(map[string]int64),
	}
}

// Run ticks the scheduler until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.close()
			c.background.Wait()
			return
		case <-ticker.C:
			c.withScheduler(c.tick)
			c.logState()
			c.reportWaits()
		}
	}
}

// tick applies the scheduler's timeouts. Time in which the process was stalled does not count
// against any run, since events that arrived meanwhile are still unread. The caller holds the mutex.
func (c *Coordinator) tick(now time.Time, machine *scheduler.Machine) {
	if clock.Refresh() > 0 {
		now = clock.Now()
	}
	if delay := now.Sub(c.lastTickAt) - tickInterval; delay > maxTickDelay {
		c.options.Logger.Info("stood still", zap.Duration("lasted", delay))
		machine.HandleProcessStall(now, delay)
	}
	c.lastTickAt = now
	machine.Tick(now)
}

// close ends the term and prevents another. Goroutines are only started during a term,
// with the mutex held, so none is added once Run waits for them.
func (c *Coordinator) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	if c.machine != nil {
		c.endTermLocked()
	}
}

// withScheduler applies an input to the scheduler and executes the resulting decisions. It does
// nothing outside a term.
func (c *Coordinator) withScheduler(apply func(time.Time, *scheduler.Machine)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine == nil {
		return
	}
	apply(clock.Now(), c.machine)
	c.execute(c.machine.TakeOutput())
}

// stateInterval is the time between log entries of the scheduler's state.
const stateInterval = 500 * time.Millisecond

// logState logs the scheduler's state at debug level.
func (c *Coordinator) logState() {
	entry := c.options.Logger.Check(zap.DebugLevel, "state")
	now := clock.Now()
	if entry == nil || now.Sub(c.stateLoggedAt) < stateInterval {
		return
	}
	c.stateLoggedAt = now
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine == nil {
		return
	}
	engines, jobs := c.machine.Summary(now)
	entry.Write(zap.Any("engines", engines), zap.Any("jobs", jobs))
}

// State returns a snapshot of the coordinator's activity.
func (c *Coordinator) State() State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine == nil {
		return State{}
	}
	return State{
		Leading: true, Open: c.machine.Open(), Running: c.machine.Running(), Waiting: c.machine.Waiting(),
		Unscored: c.machine.Unscored(), MemoryShare: c.machine.MemoryShare(),
	}
}

// UnfinishedItems returns the number of items without a complete text, by service, or nil while this node is
// not the coordinator.
func (c *Coordinator) UnfinishedItems() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine == nil {
		return nil
	}
	return c.machine.UnfinishedItems()
}

// HandleTable applies a new configuration.
func (c *Coordinator) HandleTable(table *routetable.Table) {
	c.mutex.Lock()
	c.table = table
	c.mutex.Unlock()
	c.withScheduler(func(now time.Time, machine *scheduler.Machine) { machine.HandleTable(now, table) })
}

// HandleVersion records the newest weight version of a model.
func (c *Coordinator) HandleVersion(model string, version int64) {
	c.mutex.Lock()
	c.newestVersions[model] = max(c.newestVersions[model], version)
	c.mutex.Unlock()
	c.withScheduler(func(now time.Time, machine *scheduler.Machine) { machine.HandleVersion(now, model, version) })
}

// HandleServers passes a changed list of servers to the scheduler.
func (c *Coordinator) HandleServers() {
	c.withScheduler(c.handleServers)
}

// HandleGone passes on that an incarnation of a server is gone, and the list of servers without it.
func (c *Coordinator) HandleGone(gone directory.Incarnation) {
	c.withScheduler(func(now time.Time, machine *scheduler.Machine) {
		machine.HandleGone(gone)
		c.handleServers(now, machine)
	})
}

func (c *Coordinator) handleServers(now time.Time, machine *scheduler.Machine) {
	if c.table == nil {
		return
	}
	snapshot := c.options.Directory.Snapshot()
	var servers []*directory.Server
	for name := range c.table.Services {
		servers = append(servers, snapshot.Ready(name)...)
	}
	machine.HandleServers(now, servers)
}

// HandleLease applies this node's state in the election.
func (c *Coordinator) HandleLease(state election.State) {
	c.setLease(state)
	c.withScheduler(func(now time.Time, machine *scheduler.Machine) {
		settled := state.Lease.SettledAt(c.options.OrderPause, c.options.Fenced)
		machine.HandleLease(now, state.Lease.Epoch, state.Held && !now.Before(settled))
	})
}

// withTermScheduler is withScheduler for goroutines whose term may have ended: it does nothing
// unless machine is the scheduler of the current term.
func (c *Coordinator) withTermScheduler(machine *scheduler.Machine, apply func(time.Time)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine != machine {
		return
	}
	apply(clock.Now())
	c.execute(machine.TakeOutput())
}
