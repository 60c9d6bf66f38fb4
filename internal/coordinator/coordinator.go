// Package coordinator drives the scheduler on the node that holds the lease: it
// feeds it from the store and the engines, and carries out what it decides.
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

// EngineState is what an engine reports of itself.
type EngineState struct {
	// Version is the loaded weight version of the model asked for.
	Version int64
	// Busy says that an order is under way.
	Busy bool
	// Orders counts the orders that the engine has taken.
	Orders int64
}

// OrderAnswer is what an engine answered to an order.
type OrderAnswer int

// The answers to an order.
const (
	// OrderUnderWay: the engine carries the order out.
	OrderUnderWay OrderAnswer = iota
	// OrderHolds: the engine is in the wanted state already.
	OrderHolds
	// OrderRefused: the engine does not carry the order out.
	OrderRefused
	// OrderUnknown: there was no answer; the order may be carried out later.
	OrderUnknown
)

// Engines runs items and gives orders.
type Engines interface {
	// Run runs an item and calls emit for each event, until the run ends or the
	// context does. Err is nil when the run completed.
	Run(ctx context.Context, start scheduler.Start, emit func(scheduler.Event)) (scheduler.EndReason, error)
	// State asks an engine for its state.
	State(ctx context.Context, server scheduler.Server, model string) (EngineState, error)
	// Load orders an engine to load a version, provided that it has taken the
	// given number of orders.
	Load(ctx context.Context, order scheduler.LoadOrder, orders int64) (OrderAnswer, error)
}

// Observer counts what the coordinator does.
type Observer interface {
	ObserveAttempt(reason scheduler.EndReason)
	ObserveResult(outcome string)
	ObserveLoad(taken bool)
	// ObserveReward takes what a reward call came to, and the time since its item's
	// text was whole.
	ObserveReward(verdict reward.Verdict, waited time.Duration)
}

// State is what a coordinator does now.
type State struct {
	Leading                bool
	Open, Running, Waiting int
	// Unscored is the number of items whose text is whole and has no score yet.
	Unscored int
}

// Options configure a Coordinator.
type Options struct {
	Engines Engines
	// Quarantine knows the items that crash engines; nil for none.
	Quarantine *crashwatch.Tracker
	Rewards    Rewards
	Log        store.Log
	Jobs       *joblog.Logs
	Directory  *directory.Directory
	Scheduler  scheduler.Options
	// OrderPause is the time after a take-over in which no order is given, so that
	// orders of two holders are that far apart.
	OrderPause time.Duration
	// Fenced says that engines refuse orders with an old epoch. Then the pause is
	// kept only where the predecessor may still act.
	Fenced   bool
	Logger   *zap.Logger
	Observer Observer
}

const (
	// tickInterval is the time between two ticks of the scheduler.
	tickInterval = 50 * time.Millisecond
	// lateTick is how much later than that a tick comes where the process stood still, for want
	// of a processor. A tick on a busy machine comes some milliseconds late.
	lateTick = 200 * time.Millisecond
)

// Coordinator runs the batch jobs while its node holds the lease.
type Coordinator struct {
	options Options

	mutex   sync.Mutex
	table   *routetable.Table
	newest  map[string]int64
	machine *scheduler.Machine // nil while the lease is not held
	// term ends when the lease is lost.
	term    context.Context
	endTerm context.CancelFunc
	writer  *recordWriter
	lease   election.Lease
	// termEpoch is the epoch of the term.
	termEpoch int64
	// resigned says that the term goes on only until its successor takes over.
	resigned bool
	// unasked says that the successor may not ask for the runs, so that they are about to end.
	unasked bool
	// handed is what the last term that was given up left.
	handed  handedOver
	cancels map[scheduler.AttemptID]context.CancelFunc
	// rewardCancels end the sends of reward calls.
	rewardCancels map[reward.SendID]context.CancelFunc
	background    conc.WaitGroup
	closed        bool
	statedAt      time.Time
	// tickedAt is when the scheduler of this term last ticked; before, when the term began.
	tickedAt time.Time
}

// New returns a coordinator without the lease.
func New(options Options) *Coordinator {
	if options.Quarantine == nil {
		options.Quarantine = crashwatch.NewTracker(crashwatch.Options{})
	}
	return &Coordinator{
		options: options,
		newest:  make(map[string]int64),
	}
}

// Run ticks until the context ends.
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
			c.input(c.tick)
			c.logState()
		}
	}
}

// tick lets the scheduler's time-outs take effect. Time in which the process stood still counts
// for no run, since the events that came meanwhile wait to be read. The mutex is held.
func (c *Coordinator) tick(now time.Time, machine *scheduler.Machine) {
	if clock.Refresh() > 0 {
		now = clock.Now()
	}
	if late := now.Sub(c.tickedAt) - tickInterval; late > lateTick {
		c.options.Logger.Info("stood still", zap.Duration("lasted", late))
		machine.HandleProcessPause(now, late)
	}
	c.tickedAt = now
	machine.Tick(now)
}

// close ends the term and begins no other. All goroutines are started under the
// mutex while a term lasts, so that none is added once they are waited for.
func (c *Coordinator) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	if c.machine != nil {
		c.endTermLocked()
	}
}

// input gives the scheduler an input and carries out what follows.
func (c *Coordinator) input(apply func(time.Time, *scheduler.Machine)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine == nil {
		return
	}
	apply(clock.Now(), c.machine)
	c.carryOut(c.machine.TakeOutput())
}

// stateInterval is the time between two logs of the scheduler's state.
const stateInterval = 500 * time.Millisecond

// logState logs what the scheduler sees, at the level debug.
func (c *Coordinator) logState() {
	entry := c.options.Logger.Check(zap.DebugLevel, "state")
	now := clock.Now()
	if entry == nil || now.Sub(c.statedAt) < stateInterval {
		return
	}
	c.statedAt = now
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine == nil {
		return
	}
	engines, jobs := c.machine.Summary(now)
	entry.Write(zap.Any("engines", engines), zap.Any("jobs", jobs))
}

// State returns what the coordinator does now.
func (c *Coordinator) State() State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine == nil {
		return State{}
	}
	return State{
		Leading: true, Open: c.machine.Open(), Running: c.machine.Running(), Waiting: c.machine.Waiting(),
		Unscored: c.machine.Unscored(),
	}
}

// Demand returns the number of open items by service, nil while this node does not coordinate.
func (c *Coordinator) Demand() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine == nil {
		return nil
	}
	return c.machine.Demand()
}

// ObserveTable takes a new configuration.
func (c *Coordinator) ObserveTable(table *routetable.Table) {
	c.mutex.Lock()
	c.table = table
	c.mutex.Unlock()
	c.input(func(now time.Time, machine *scheduler.Machine) { machine.HandleTable(now, table) })
}

// ObserveQuarantine tells that what is known against requests and items has changed.
func (c *Coordinator) ObserveQuarantine() {
	c.input(func(now time.Time, machine *scheduler.Machine) {
		machine.HandleSuspicions(now, c.options.Quarantine.Suspicions())
	})
}

// ObserveVersion takes the newest weight version of a model.
func (c *Coordinator) ObserveVersion(model string, version int64) {
	c.mutex.Lock()
	c.newest[model] = max(c.newest[model], version)
	c.mutex.Unlock()
	c.input(func(now time.Time, machine *scheduler.Machine) { machine.HandleVersion(now, model, version) })
}

// ObserveServers tells that the list of servers changed.
func (c *Coordinator) ObserveServers() {
	c.input(c.handleServers)
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

// ObserveLease takes this node's standing in the election.
func (c *Coordinator) ObserveLease(standing election.Standing) {
	c.setLease(standing)
	c.input(func(now time.Time, machine *scheduler.Machine) {
		settled := standing.Lease.SettledAt(c.options.OrderPause, c.options.Fenced)
		machine.HandleLease(now, standing.Lease.Epoch, standing.Held && !now.Before(settled))
	})
}

// inputOf is input for the goroutines of a term that may have ended.
func (c *Coordinator) inputOf(machine *scheduler.Machine, apply func(time.Time)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine != machine {
		return
	}
	apply(clock.Now())
	c.carryOut(machine.TakeOutput())
}
