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

// setLease begins or ends a term. A term goes on while the lease could not be renewed and nobody else claimed it:
// runs do no harm then, and only orders need a lease in force.
func (c *Coordinator) setLease(standing election.Standing) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine != nil {
		switch {
		case standing.Leading && standing.Lease.Epoch == c.termEpoch:
		case !c.resigned:
			// The lease may have been yielded just now, before the coordinator was told: whoever
			// claims it next asks for what is left.
			c.startNothingLocked()
			c.handOverLocked()
		case standing.Leading:
			// Nobody else has claimed what this process gave up.
			c.handOverLocked()
		case standing.Coordinator != "":
			c.noteSuccessorLocked(standing.CoordinatorAsks)
		}
	}
	c.lease = standing.Lease
	if standing.Lease.Epoch == c.handed.epoch {
		// The lease stands until its release is appended; what was begun under it belongs to
		// the successor.
		return
	}
	if c.closed || !standing.Leading || c.machine != nil || c.table == nil {
		return
	}
	options := c.options.Scheduler
	options.Term = standing.Lease.Epoch
	c.machine = scheduler.NewMachine(options)
	c.termEpoch = standing.Lease.Epoch
	c.cancels = make(map[scheduler.AttemptID]context.CancelFunc)
	c.rewardCancels = make(map[reward.SendID]context.CancelFunc)
	c.term, c.endTerm = context.WithCancel(context.Background())
	c.writer = newRecordWriter(c.term, c.options.Log, c.options.Logger)
	c.writer.appended = newTrimmer(c.term, c.options.Log, c.options.Logger).appended
	now := clock.Now()
	c.tickedAt = now
	c.machine.HandleTable(now, c.table)
	for model, version := range c.newest {
		c.machine.HandleVersion(now, model, version)
	}
	c.machine.HandleSuspicions(now, c.options.Quarantine.Suspicions())
	c.handleServers(now, c.machine)
	c.options.Logger.Info("term begun", zap.Int64("epoch", c.termEpoch))
	term, machine, lease := c.term, c.machine, standing.Lease
	c.background.Go(func() { c.follow(term, machine, lease) })
}

// follow takes over what predecessors left and subscribes to the jobs for the term, partition
// by partition: one that the store does not take anything for holds no other up.
func (c *Coordinator) follow(term context.Context, machine *scheduler.Machine, lease election.Lease) {
	began := clock.Now()
	var partitions conc.WaitGroup
	// The jobs are read meanwhile.
	for number := range c.options.Jobs.Partitions() {
		partitions.Go(func() { c.options.Jobs.Follow(term, number) })
	}
	partitions.Wait()
	left := c.takeOver(term, lease.Yielded)
	var items atomic.Int64
	if left.Whole {
		// All of it comes first, since an item's text may stand in the partition of an earlier job.
		for number, partials := range c.foldHandedOver(left) {
			items.Add(c.handleRecovered(machine, number, partials))
		}
	}
	subscriber := &follower{coordinator: c, machine: machine}
	for number := range c.options.Jobs.Partitions() {
		partitions.Go(func() {
			c.appendLeft(term, left, number)
			if !left.Whole {
				items.Add(c.handleRecovered(machine, number, c.recoverProgress(term, number)))
			}
			c.options.Jobs.Subscribe(term, number, subscriber)
			c.options.Logger.Info("jobs followed", zap.Int("partition", number), zap.Int64("epoch", lease.Epoch),
				zap.Bool("term_over", term.Err() != nil))
		})
	}
	partitions.Wait()
	c.options.Logger.Info("progress recovered", zap.Int64("epoch", lease.Epoch), zap.Int64("items", items.Load()),
		zap.Bool("handed_over", left.Whole), zap.Duration("took", clock.Since(began)))
}

// handleRecovered gives the scheduler of a term what is saved for the jobs of a partition, by
// item, and returns the number of items.
func (c *Coordinator) handleRecovered(machine *scheduler.Machine, number int, partials map[string]*batch.Partial) int64 {
	c.inputOf(machine, func(now time.Time) { machine.HandleRecoveredProgress(now, number, partials) })
	return int64(len(partials))
}

func (c *Coordinator) endTermLocked() {
	c.machine = nil
	c.resigned, c.unasked = false, false
	c.endTerm()
	c.options.Logger.Info("term ended", zap.Int64("epoch", c.termEpoch))
}
