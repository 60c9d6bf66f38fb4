// Package coordinator drives the scheduler on the node that holds the lease: it
// feeds it from the store and the engines, and carries out what it decides.
package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"dalehook/internal/batch"
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
	Load(ctx context.Context, order scheduler.Order, orders int64) (OrderAnswer, error)
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
	Engines   Engines
	Rewards   Rewards
	Log       store.Log
	Jobs      *joblog.Logs
	Directory *directory.Directory
	Scheduler scheduler.Options
	// OrderPause is the time after a take-over in which no order is given, so that
	// orders of two holders are that far apart.
	OrderPause time.Duration
	// Fenced says that engines refuse orders with an old epoch. Then the pause is
	// kept only where the predecessor may still act.
	Fenced   bool
	Logger   *zap.Logger
	Observer Observer
}

// tickInterval is the time between two ticks of the scheduler.
const tickInterval = 50 * time.Millisecond

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
	// subscriber follows the jobs for the term; nil until it follows all partitions.
	subscriber *follower
	writer     *recordWriter
	lease      election.Lease
	// handed is what the last term that was yielded left.
	handed  handedOver
	cancels map[scheduler.AttemptID]context.CancelFunc
	// rewardCancels end the sends of reward calls.
	rewardCancels map[reward.SendID]context.CancelFunc
	background    conc.WaitGroup
	closed        bool
	statedAt      time.Time
}

// New returns a coordinator without the lease.
func New(options Options) *Coordinator {
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
			c.input(func(now time.Time, machine *scheduler.Machine) { machine.Tick(now) })
			c.logState()
		}
	}
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
	apply(time.Now(), c.machine)
	c.carryOut(c.machine.Take())
}

// stateInterval is the time between two logs of the scheduler's state.
const stateInterval = 500 * time.Millisecond

// logState logs what the scheduler sees, at the level debug.
func (c *Coordinator) logState() {
	entry := c.options.Logger.Check(zap.DebugLevel, "state")
	now := time.Now()
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

// Save saves the progress of all runs now, for a successor.
func (c *Coordinator) Save() {
	c.input(func(now time.Time, machine *scheduler.Machine) { machine.Save(now) })
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

// ObserveTable takes a new configuration.
func (c *Coordinator) ObserveTable(table *routetable.Table) {
	c.mutex.Lock()
	c.table = table
	c.mutex.Unlock()
	c.input(func(now time.Time, machine *scheduler.Machine) { machine.HandleTable(now, table) })
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
		lease := standing.Lease
		wait := time.Duration(0)
		if lease.Contested || lease.Succeeded && !c.options.Fenced {
			wait = c.options.OrderPause
		}
		machine.HandleLease(now, lease.Epoch, standing.Held && !now.Before(lease.ClaimedAt.Add(wait)))
	})
}

// setLease begins or ends a term. A term goes on while the lease could not be renewed and nobody else claimed it:
// runs do no harm then, and only orders need a lease in force.
func (c *Coordinator) setLease(standing election.Standing) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine != nil && (!standing.Leading || standing.Lease.Epoch != c.lease.Epoch) {
		c.endTermLocked()
	}
	c.lease = standing.Lease
	if c.closed || !standing.Leading || c.machine != nil || c.table == nil {
		return
	}
	options := c.options.Scheduler
	options.Term = standing.Lease.Epoch
	c.machine = scheduler.NewMachine(options)
	c.handed = handedOver{}
	c.cancels = make(map[scheduler.AttemptID]context.CancelFunc)
	c.rewardCancels = make(map[reward.SendID]context.CancelFunc)
	c.term, c.endTerm = context.WithCancel(context.Background())
	c.writer = newRecordWriter(c.term, c.options.Log, c.options.Logger)
	c.writer.appended = newTrimmer(c.term, c.options.Log, c.options.Logger).appended
	now := time.Now()
	c.machine.HandleTable(now, c.table)
	for model, version := range c.newest {
		c.machine.HandleVersion(now, model, version)
	}
	c.handleServers(now, c.machine)
	term, machine, from := c.term, c.machine, standing.Lease.Yielded
	c.background.Go(func() { c.follow(term, machine, from) })
}

// follow takes over what predecessors left and subscribes to the jobs, partition by
// partition.
func (c *Coordinator) follow(term context.Context, machine *scheduler.Machine, from election.Yielded) {
	began := time.Now()
	var partitions conc.WaitGroup
	// The jobs are read meanwhile.
	for number := range c.options.Jobs.Partitions() {
		partitions.Go(func() { c.options.Jobs.Follow(term, number) })
	}
	partitions.Wait()
	if from.Address != "" {
		c.takeOver(term, from)
	}
	subscriber := &follower{coordinator: c, machine: machine}
	var items atomic.Int64
	for number := range c.options.Jobs.Partitions() {
		partitions.Go(func() {
			partials, err := recoverProgress(term, c.options.Log, number)
			if err != nil {
				c.options.Logger.Warn("progress not read", zap.Int("partition", number), zap.Error(err))
			}
			items.Add(int64(len(partials)))
			c.inputOf(machine, func(now time.Time) { machine.HandleRecovered(now, number, partials) })
			c.options.Jobs.Subscribe(number, subscriber)
		})
	}
	partitions.Wait()
	c.options.Logger.Info("progress recovered", zap.Int64("items", items.Load()), zap.Duration("took", time.Since(began)))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine == machine {
		c.subscriber = subscriber
		return
	}
	go c.options.Jobs.Unsubscribe(subscriber)
}

func (c *Coordinator) endTermLocked() {
	c.machine = nil
	c.endTerm()
	if c.subscriber != nil {
		// The partitions call back under their own mutexes.
		go c.options.Jobs.Unsubscribe(c.subscriber)
		c.subscriber = nil
	}
}

// follower takes the changes of the jobs for one term.
type follower struct {
	coordinator *Coordinator
	machine     *scheduler.Machine
}

// HandleChange implements joblog.Subscriber.
func (f *follower) HandleChange(partition int, change batch.Change) {
	f.coordinator.inputOf(f.machine, func(now time.Time) {
		if change.Accepted != nil && !f.coordinator.options.Jobs.Indexed(change.Accepted.Job.ID) {
			f.coordinator.indexJob(partition, change.Accepted)
		}
		switch {
		case change.Accepted != nil && !change.Accepted.Ended:
			f.coordinator.options.Logger.Info("job taken up", zap.String("job", change.Accepted.Job.ID),
				zap.Int("partition", partition), zap.Int("results", len(change.Accepted.Results)))
			f.machine.HandleJob(now, partition, change.Accepted.Job, change.Accepted.Results)
		case change.Listed != nil:
			f.machine.HandleListed(now, change.Listed)
		case change.Ended != nil:
			f.machine.HandleEnded(now, change.Ended.Job.ID)
		}
	})
}

// HandleOpenFrom implements joblog.Subscriber.
func (f *follower) HandleOpenFrom(partition int, openFrom int64) {
	f.coordinator.inputOf(f.machine, func(time.Time) {
		f.coordinator.appendIndexEntry(partition, joblog.IndexEntry{OpenFrom: openFrom})
	})
}

// HandleFresh implements joblog.Subscriber.
func (f *follower) HandleFresh(partition int, since time.Time) {
	f.coordinator.inputOf(f.machine, func(now time.Time) { f.machine.HandleFresh(now, partition, since) })
}

// carryOut starts what the scheduler decided. The mutex is held.
func (c *Coordinator) carryOut(output scheduler.Output) {
	for _, cancelled := range output.Cancels {
		if cancel := c.cancels[cancelled.Attempt]; cancel != nil {
			cancel()
		}
	}
	for _, start := range output.Starts {
		ctx, cancel := context.WithCancel(c.term)
		c.cancels[start.Attempt] = cancel
		machine := c.machine
		c.background.Go(func() { c.run(ctx, machine, start) })
	}
	for _, order := range output.Orders {
		term, machine := c.term, c.machine
		c.background.Go(func() { c.load(term, machine, order) })
	}
	for _, progress := range output.Progress {
		c.appendProgress(progress)
	}
	for _, result := range output.Results {
		c.appendResult(result)
	}
	c.sendRewards(output)
}

func (c *Coordinator) appendProgress(progress scheduler.Progress) {
	record, err := batch.EncodeProgress(&progress.Progress)
	if err != nil {
		c.options.Logger.Error("progress lost", zap.String("item", progress.ItemID), zap.Error(err))
		return
	}
	at := store.Partition{Topic: store.TopicProgress, Number: c.options.Jobs.PartitionOf(progress.JobID)}
	c.writer.add(at, [][]byte{record})
}

func (c *Coordinator) appendResult(result batch.Result) {
	records, err := batch.EncodeResult(&result)
	if err != nil {
		c.options.Logger.Error("result lost", zap.String("item", result.ItemID), zap.Error(err))
		return
	}
	c.options.Observer.ObserveResult(result.Outcome.String())
	c.options.Logger.Info("item finished", zap.String("job", result.JobID), zap.String("item", result.ItemID),
		zap.Stringer("outcome", result.Outcome), zap.Int64s("versions", result.Versions), zap.Int64("epoch", c.lease.Epoch))
	at := store.Partition{Topic: store.TopicJobs, Number: c.options.Jobs.PartitionOf(result.JobID)}
	c.writer.add(at, records)
}

// indexJob tells readers where a job begins. The mutex is held.
func (c *Coordinator) indexJob(partition int, accepted *batch.State) {
	c.appendIndexEntry(partition, joblog.IndexEntry{JobID: accepted.Job.ID, Start: accepted.Start})
}

func (c *Coordinator) appendIndexEntry(partition int, entry joblog.IndexEntry) {
	record, err := joblog.EncodeIndexEntry(entry)
	if err != nil {
		c.options.Logger.Error("index entry lost", zap.Int("partition", partition), zap.Error(err))
		return
	}
	c.writer.add(store.Partition{Topic: store.TopicJobIndex, Number: partition}, [][]byte{record})
}

// inputOf is input for the goroutines of a term that may have ended.
func (c *Coordinator) inputOf(machine *scheduler.Machine, apply func(time.Time)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine != machine {
		return
	}
	apply(time.Now())
	c.carryOut(machine.Take())
}

func (c *Coordinator) run(ctx context.Context, machine *scheduler.Machine, start scheduler.Start) {
	began := time.Now()
	reason, err := c.options.Engines.Run(ctx, start, func(event scheduler.Event) {
		c.inputOf(machine, func(now time.Time) { machine.HandleEvent(now, start.Attempt, event) })
	})
	if ctx.Err() != nil {
		reason = scheduler.EndCancelled
	}
	c.options.Observer.ObserveAttempt(reason)
	c.options.Logger.Info("item attempt ended", zap.String("job", start.JobID), zap.String("item", start.Item.ID),
		zap.Uint64("attempt", uint64(start.Attempt)), zap.String("server", start.Server.ID), zap.String("after", start.After),
		zap.Int64("epoch", start.Inputs.Term), zap.Int64("version", start.Inputs.Version),
		zap.Int("running", start.Inputs.Attempts), zap.Duration("gap", start.Inputs.Gap),
		zap.Duration("read_age", start.Inputs.ReadAge), zap.Duration("took", time.Since(began)),
		zap.Stringer("reason", reason), zap.Error(err))
	c.inputOf(machine, func(now time.Time) {
		c.cancels[start.Attempt]()
		delete(c.cancels, start.Attempt)
		machine.HandleAttemptEnd(now, start.Attempt, reason)
	})
}
