package coordinator

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"dalehook/internal/election"
	"dalehook/internal/liveness"
	"dalehook/internal/pause"
)

const (
	// takeOverTimeout bounds the asking for what a predecessor could not append.
	takeOverTimeout = 600 * time.Millisecond
	// handedOverTries bounds the appends of it to one partition.
	handedOverTries = 3
)

// handedOver is what a term that was yielded left unappended.
type handedOver struct {
	epoch   int64
	pending []liveness.Pending
}

// Yield ends the term of an epoch, and keeps what its results and runs could not append.
func (c *Coordinator) Yield(epoch int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine == nil || c.lease.Epoch != epoch {
		return
	}
	c.writer.dropProgress()
	c.machine.SaveCheckpoints(time.Now())
	c.carryOut(c.machine.Take())
	c.handed = handedOver{epoch: epoch, pending: c.writer.pending()}
	c.endTermLocked()
	c.options.Logger.Info("term yielded", zap.Int64("epoch", epoch), zap.Int("partitions", len(c.handed.pending)))
}

// Pending returns what was not appended under an epoch that was yielded.
func (c *Coordinator) Pending(epoch int64) []liveness.Pending {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.handed.epoch != epoch {
		return nil
	}
	return c.handed.pending
}

// takeOver appends what the predecessor could not. What is not brought in time is made
// anew.
func (c *Coordinator) takeOver(term context.Context, from election.Yielded) {
	ctx, cancel := context.WithTimeout(term, takeOverTimeout)
	defer cancel()
	pending, err := liveness.TakeOver(ctx, from.Address, from.Epoch)
	if err != nil {
		c.options.Logger.Warn("nothing taken over", zap.String("address", from.Address), zap.Error(err))
		return
	}
	var appends conc.WaitGroup
	records := 0
	for _, left := range pending {
		records += len(left.Records)
		appends.Go(func() { c.appendHandedOver(term, left) })
	}
	appends.Wait()
	c.options.Logger.Info("records taken over", zap.String("address", from.Address), zap.Int64("epoch", from.Epoch),
		zap.Int("records", records))
}

func (c *Coordinator) appendHandedOver(term context.Context, left liveness.Pending) {
	for range handedOverTries {
		ctx, cancel := context.WithTimeout(term, appendTimeout)
		_, err := c.options.Log.Append(ctx, left.Partition, left.Records)
		cancel()
		if err == nil {
			return
		}
		c.options.Logger.Warn("records not appended", zap.Stringer("partition", left.Partition),
			zap.Int("records", len(left.Records)), zap.Error(err))
		if !pause.For(term, appendPause) {
			return
		}
	}
}
