package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/scheduler"
	"dalehook/internal/store"
)

// execute executes the scheduler's decisions. The caller holds the mutex.
func (c *Coordinator) execute(output scheduler.Output) {
	for _, cancelled := range output.Cancels {
		if cancel := c.attemptCancels[cancelled.Attempt]; cancel != nil {
			cancel()
		}
	}
	for _, move := range output.Moves {
		c.recordMove(move)
	}
	for _, start := range output.Starts {
		ctx, cancel := context.WithCancel(c.termCtx)
		c.attemptCancels[start.Attempt] = cancel
		machine := c.machine
		c.background.Go(func() { c.run(ctx, machine, start) })
	}
	for _, order := range output.Orders {
		termCtx, machine := c.termCtx, c.machine
		c.background.Go(func() { c.load(termCtx, machine, order) })
	}
	for _, progress := range output.Progress {
		c.appendProgress(progress)
	}
	for _, result := range output.Results {
		c.appendResult(result)
	}
	c.sendRewards(output)
}

func (c *Coordinator) recordMove(move scheduler.Move) {
	c.options.Observer.ObserveMove()
	c.options.Logger.Info("item moved", zap.String("job", move.JobID), zap.String("item", move.ItemID),
		zap.Uint64("attempt", uint64(move.Attempt)), zap.String("from", move.From.ID), zap.String("to", move.To.ID),
		zap.Int("predicted_events", move.PredictedEvents), zap.Duration("predicted_gain", move.Gain),
		zap.Int64("epoch", c.lease.Epoch))
}

func (c *Coordinator) appendProgress(progress scheduler.Progress) {
	if at, record, ok := c.encodeProgress(progress); ok {
		c.writer.add(at, [][]byte{record})
	}
}

// encodeProgress returns the encoded progress and the partition to append it to.
func (c *Coordinator) encodeProgress(progress scheduler.Progress) (at store.Partition, record []byte, ok bool) {
	record, err := batch.EncodeProgress(&progress.Progress)
	if err != nil {
		c.options.Logger.Error("progress not encoded", zap.String("item", progress.ItemID), zap.Error(err))
		return store.Partition{}, nil, false
	}
	return store.Partition{Topic: store.TopicProgress, Number: c.options.JobLogs.PartitionOf(progress.JobID)}, record, true
}

func (c *Coordinator) appendResult(result batch.Result) {
	records, err := batch.EncodeResult(&result)
	if err != nil {
		c.options.Logger.Error("result not encoded", zap.String("item", result.ItemID), zap.Error(err))
		return
	}
	c.options.Observer.ObserveResult(result.Outcome.String())
	c.options.Logger.Info("item finished", zap.String("job", result.JobID), zap.String("item", result.ItemID),
		zap.Stringer("outcome", result.Outcome), zap.Int64s("versions", result.Versions), zap.Int64("epoch", c.lease.Epoch))
	at := store.Partition{Topic: store.TopicJobs, Number: c.options.JobLogs.PartitionOf(result.JobID)}
	c.writer.add(at, records)
}

func (c *Coordinator) run(ctx context.Context, machine *scheduler.Machine, start scheduler.Start) {
	began := clock.Now()
	events := 0
	reason, err := c.options.Engines.Run(ctx, start, func(event scheduler.Event) {
		events++
		c.withTermScheduler(machine, func(now time.Time) { machine.HandleEvent(now, start.Attempt, event) })
	})
	if ctx.Err() != nil && reason != scheduler.EndGone { // runs of an engine that is gone are cancelled
		reason = scheduler.EndCancelled
	}
	c.options.Observer.ObserveAttempt(reason)
	c.options.Logger.Info("item attempt ended", zap.String("job", start.JobID), zap.String("item", start.Item.ID),
		zap.String("group", start.Item.Group), zap.Int("events", events),
		zap.Uint64("attempt", uint64(start.Attempt)), zap.String("server", start.Server.ID), zap.String("after", start.After),
		zap.Int("kept_events", start.Inputs.KeptEvents), zap.Stringer("kept_from", start.Inputs.KeptFrom),
		zap.Int64("epoch", start.Inputs.Epoch), zap.Int64("version", start.Inputs.Version),
		zap.Int("running", start.Inputs.Attempts), zap.Duration("gap", start.Inputs.Gap),
		zap.Duration("read_age", start.Inputs.ReadAge), zap.Duration("slack", start.Inputs.Slack),
		zap.Bool("needed", start.Inputs.Needed), zap.Int("predicted_events", start.Inputs.PredictedEvents),
		zap.Int("memory_in_use", start.Inputs.MemoryInUse), zap.Int("memory_expected", start.Inputs.MemoryExpected),
		zap.Int("memory_capacity", start.Inputs.MemoryCapacity), zap.Duration("took", clock.Since(began)),
		zap.Stringer("reason", reason), zap.Error(err))
	c.recordAlive(start, began, reason)
	c.withTermScheduler(machine, func(now time.Time) {
		c.attemptCancels[start.Attempt]()
		delete(c.attemptCancels, start.Attempt)
		machine.HandleAttemptEnd(now, start.Attempt, reason)
	})
}

// recordAlive tells the crash tracker that an engine answered a run. The ends of engines are no evidence against
// items, which never crash engines by themselves.
func (c *Coordinator) recordAlive(start scheduler.Start, began time.Time, reason scheduler.EndReason) {
	switch reason {
	case scheduler.EndCompleted, scheduler.EndFailed, scheduler.EndImpossible:
		c.options.CrashTracker.RecordAlive(directory.Incarnation{ID: start.Server.ID, Born: start.Server.Born}, began)
	}
}
