package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/reward"
	"dalehook/internal/scheduler"
)

// Rewards makes reward calls.
type Rewards interface {
	// Score repeats a call until it is answered, its deadline passes or the context ends.
	Score(ctx context.Context, send reward.Send) reward.Answer
}

// sendRewards cancels and starts reward calls as the scheduler decided. The caller holds the mutex.
func (c *Coordinator) sendRewards(output scheduler.Output) {
	for _, id := range output.WithdrawnRewards {
		if cancel := c.rewardCancels[id]; cancel != nil {
			cancel()
		}
	}
	for _, send := range output.Rewards {
		ctx, cancel := context.WithCancel(c.termCtx)
		c.rewardCancels[send.ID] = cancel
		machine := c.machine
		c.background.Go(func() { c.score(ctx, machine, send) })
	}
}

func (c *Coordinator) score(ctx context.Context, machine *scheduler.Machine, send reward.Send) {
	began := clock.Now()
	answer := c.options.Rewards.Score(ctx, send)
	c.withTermScheduler(machine, func(now time.Time) {
		c.rewardCancels[send.ID]()
		delete(c.rewardCancels, send.ID)
		verdict := machine.HandleReward(now, send.ID, answer)
		c.options.Observer.ObserveReward(verdict, send.Inputs.Waited+now.Sub(began))
		if verdict == reward.VerdictDead {
			c.options.Logger.Warn("reward given up", zap.String("job", send.Item.JobID), zap.String("item", send.Item.ItemID),
				zap.String("request", send.Call.ID), zap.Int("try", send.Inputs.Try),
				zap.Int("failures", send.Inputs.Failures+answer.Failures))
		}
	})
}
