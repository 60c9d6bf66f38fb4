package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/clock"
	"dalehook/internal/election"
	"dalehook/internal/reward"
	"dalehook/internal/scheduler"
)

// setLease begins or ends a term. A term continues while the lease could not be renewed but no other
// process has claimed it: runs are safe then, and only orders require a lease in force.
func (c *Coordinator) setLease(state election.State) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine != nil {
		switch {
		case state.Leading && state.Lease.Epoch == c.termEpoch:
		case !c.resigned:
			// The lease may just have been yielded, before Yield was called here: the next
			// holder requests the handover.
			c.quiesceLocked()
			c.handOverLocked()
		case state.Leading:
			// No other process has claimed the lease that this one gave up.
			c.handOverLocked()
		case state.Coordinator != "":
			c.noteSuccessorLocked(state.CoordinatorRequestsHandover)
		}
	}
	c.lease = state.Lease
	if state.Lease.Epoch == c.lastHandover.epoch {
		// The lease stays valid until its release is appended, but its term has already been
		// handed over to the successor.
		return
	}
	if c.closed || !state.Leading || c.machine != nil || c.table == nil {
		return
	}
	options := c.options.Scheduler
	options.TenantWeights = c.options.TenantWeights
	options.Epoch = state.Lease.Epoch
	c.machine = scheduler.NewMachine(options)
	c.termEpoch = state.Lease.Epoch
	c.attemptCancels = make(map[scheduler.AttemptID]context.CancelFunc)
	c.rewardCancels = make(map[reward.SendID]context.CancelFunc)
	c.termCtx, c.cancelTerm = context.WithCancel(context.Background())
	c.writer = newRecordWriter(c.termCtx, c.options.Log, c.options.Logger)
	c.writer.onAppend = newProgressTrimmer(c.termCtx, c.options.Log, c.options.Logger).noteAppend
	now := clock.Now()
	c.lastTickAt = now
	c.machine.HandleTable(now, c.table)
	for model, version := range c.newestVersions {
		c.machine.HandleVersion(now, model, version)
	}
	c.handleServers(now, c.machine)
	c.options.Logger.Info("term begun", zap.Int64("epoch", c.termEpoch))
	termCtx, machine, lease := c.termCtx, c.machine, state.Lease
	c.background.Go(func() { c.takeOverAndSubscribe(termCtx, machine, lease) })
}

// takeOverAndSubscribe takes over from the predecessors and subscribes to the jobs for the term. Each
// partition is handled on its own, so that one to which appends fail does not delay the others.
func (c *Coordinator) takeOverAndSubscribe(termCtx context.Context, machine *scheduler.Machine, lease election.Lease) {
	began := clock.Now()
	var partitions conc.WaitGroup
	// The partitions are read during the takeover.
	for number := range c.options.JobLogs.Partitions() {
		partitions.Go(func() { c.options.JobLogs.Follow(termCtx, number) })
	}
	partitions.Wait()
	handover := c.takeOver(termCtx, lease.HandoverFrom)
	var items atomic.Int64
	if handover.Whole {
		// All partitions come first, since an item's text may be in the partition of an earlier job.
		for number, partials := range c.foldHandover(handover) {
			items.Add(c.handleRecovered(machine, number, partials))
		}
	}
	subscriber := &termSubscriber{coordinator: c, machine: machine}
	for number := range c.options.JobLogs.Partitions() {
		partitions.Go(func() {
			c.appendHandover(termCtx, handover, number)
			if !handover.Whole {
				items.Add(c.handleRecovered(machine, number, c.recoverProgress(termCtx, number)))
			}
			c.options.JobLogs.Subscribe(termCtx, number, subscriber)
			c.options.Logger.Info("jobs followed", zap.Int("partition", number), zap.Int64("epoch", lease.Epoch),
				zap.Bool("term_over", termCtx.Err() != nil))
		})
	}
	partitions.Wait()
	c.options.Logger.Info("progress recovered", zap.Int64("epoch", lease.Epoch), zap.Int64("items", items.Load()),
		zap.Bool("handed_over", handover.Whole), zap.Duration("took", clock.Since(began)))
}

// handleRecovered passes the saved progress of a partition, by item, to the scheduler of a term
// and returns the number of items.
func (c *Coordinator) handleRecovered(machine *scheduler.Machine, number int, partials map[string]*batch.Partial) int64 {
	c.withTermScheduler(machine, func(now time.Time) { machine.HandleRecoveredProgress(now, number, partials) })
	return int64(len(partials))
}

func (c *Coordinator) endTermLocked() {
	c.machine = nil
	c.resigned, c.successorRequestsNoHandover = false, false
	c.cancelTerm()
	c.options.Logger.Info("term ended", zap.Int64("epoch", c.termEpoch))
}
