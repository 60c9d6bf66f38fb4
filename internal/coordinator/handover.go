package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/clock"
	"dalehook/internal/election"
	"dalehook/internal/liveness"
	"dalehook/internal/pause"
	"dalehook/internal/scheduler"
	"dalehook/internal/store"
)

const (
	// handoverRequestTimeout bounds the handover request to a predecessor.
	handoverRequestTimeout = 600 * time.Millisecond
	// handoverAppendAttempts is the maximum number of attempts to append a part of a handover.
	handoverAppendAttempts = 3
	// resignedGracePeriod is how long the runs of a resigned or yielded term continue without a successor
	// that takes them over. A successor that claims the lease at once takes over within 500 ms.
	// Without one, the runs must end before the lease could be claimed in other ways.
	resignedGracePeriod = 1500 * time.Millisecond
	// noRequestGracePeriod is how long the runs continue after a claim by a successor that may not
	// request a handover, because its build restarts their items. An item may not run at two
	// engines for longer than 400 ms.
	noRequestGracePeriod = 300 * time.Millisecond
)

// termHandover is the handover of a resigned or yielded term.
type termHandover struct {
	epoch    int64
	handover liveness.Handover
}

// Yield yields the term of an epoch to another node: it starts no runs and sends no orders any more.
// Its runs continue until the successor takes them over.
func (c *Coordinator) Yield(epoch int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine != nil && c.termEpoch == epoch {
		c.resignLocked("yielded")
	}
}

// Resign does the same with the current term, if any, because this process is about to end.
func (c *Coordinator) Resign() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine != nil {
		c.resignLocked("released")
	}
}

func (c *Coordinator) resignLocked(how string) {
	if c.resigned {
		return
	}
	c.resigned = true
	epoch := c.termEpoch
	c.quiesceLocked()
	c.options.Logger.Info("term given up", zap.Int64("epoch", epoch), zap.String("how", how))
	time.AfterFunc(resignedGracePeriod, func() { c.HandOver(epoch) })
}

// noteSuccessorLocked records that another process has claimed the lease that this one gave up.
func (c *Coordinator) noteSuccessorLocked(requestsHandover bool) {
	if requestsHandover || c.successorRequestsNoHandover {
		return
	}
	c.successorRequestsNoHandover = true
	epoch := c.termEpoch
	time.AfterFunc(noRequestGracePeriod, func() { c.HandOver(epoch) })
}

// quiesceLocked stops new runs and orders; the current runs continue.
func (c *Coordinator) quiesceLocked() {
	c.machine.StopStarting(clock.Now())
	c.execute(c.machine.TakeOutput())
}

// HandOver ends the runs of a resigned or yielded term and returns the state that its successor needs. It is
// idempotent.
func (c *Coordinator) HandOver(epoch int64) liveness.Handover {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.resigned && c.termEpoch == epoch {
		c.handOverLocked()
	}
	if c.lastHandover.epoch != epoch {
		return liveness.Handover{}
	}
	return c.lastHandover.handover
}

func (c *Coordinator) handOverLocked() {
	c.writer.dropProgress()
	c.machine.SaveCheckpoints(clock.Now())
	output := c.machine.TakeOutput()
	// Progress is handed over as a whole: records that the writer had already appended would be
	// missing from its pending records.
	progress := c.progressRecords(output.Progress)
	output.Progress = nil
	c.execute(output)
	c.lastHandover = termHandover{epoch: c.termEpoch, handover: liveness.Handover{Pending: append(c.writer.pending(), progress...), Whole: true}}
	c.endTermLocked()
	c.options.Logger.Info("term handed over", zap.Int64("epoch", c.termEpoch), zap.Int("partitions", len(c.lastHandover.handover.Pending)))
}

// progressRecords encodes progress into parts of one append each.
func (c *Coordinator) progressRecords(saved []scheduler.Progress) []liveness.Pending {
	groups := make(map[store.Partition][][][]byte)
	for _, progress := range saved {
		if at, record, ok := c.encodeProgress(progress); ok {
			groups[at] = append(groups[at], [][]byte{record})
		}
	}
	var pending []liveness.Pending
	for at, records := range groups {
		pending = append(pending, splitAppends(at, records)...)
	}
	return pending
}

// takeOver has the predecessor end its runs and returns its handover. If the handover is Whole,
// the predecessor's saved progress need not be read from the store.
func (c *Coordinator) takeOver(termCtx context.Context, former election.FormerLease) liveness.Handover {
	if former.Address == "" {
		return liveness.Handover{}
	}
	ctx, cancel := context.WithTimeout(termCtx, handoverRequestTimeout)
	defer cancel()
	handover, err := liveness.TakeOver(ctx, former.Address, former.Epoch)
	if err != nil {
		c.options.Logger.Warn("nothing taken over", zap.String("address", former.Address), zap.Error(err))
		return liveness.Handover{}
	}
	records := 0
	for _, pending := range handover.Pending {
		records += len(pending.Records)
	}
	c.options.Logger.Info("records taken over", zap.String("address", former.Address), zap.Int64("epoch", former.Epoch),
		zap.Int("records", records), zap.Bool("whole", handover.Whole))
	return handover
}

// appendHandover appends the handed-over records of the partitions with a number. If the handover
// is Whole, its progress is appended in the background: this node knows it, and only later
// coordinators read it.
func (c *Coordinator) appendHandover(termCtx context.Context, handover liveness.Handover, number int) {
	var results, progress []liveness.Pending
	for _, pending := range handover.Pending {
		switch {
		case pending.Partition.Number != number:
		case !pending.Partition.Topic.IsKnown():
			// The predecessor runs a later build. The store client has no name for the topic.
			c.options.Logger.Warn("skipped handed-over records of an unknown topic", zap.Stringer("partition", pending.Partition))
		case handover.Whole && pending.Partition.Topic == store.TopicProgress:
			progress = append(progress, pending)
		default:
			results = append(results, pending)
		}
	}
	if len(progress) > 0 {
		c.background.Go(func() { c.appendParts(termCtx, progress) })
	}
	c.appendParts(termCtx, results)
}

// foldHandover returns the handed-over progress by partition and item.
func (c *Coordinator) foldHandover(handover liveness.Handover) map[int]map[string]*batch.Partial {
	folds := make(map[int]*batch.ProgressFold)
	for _, pending := range handover.Pending {
		if pending.Partition.Topic != store.TopicProgress {
			continue
		}
		fold := folds[pending.Partition.Number]
		if fold == nil {
			fold = batch.NewProgressFold()
			folds[pending.Partition.Number] = fold
		}
		for _, record := range pending.Records {
			if err := fold.Apply(record); err != nil {
				c.options.Logger.Error("invalid progress record", zap.Stringer("partition", pending.Partition), zap.Error(err))
			}
		}
	}
	partials := make(map[int]map[string]*batch.Partial, len(folds))
	for number, fold := range folds {
		partials[number] = fold.Partials()
	}
	return partials
}

// appendParts appends the parts of a handover in order.
func (c *Coordinator) appendParts(termCtx context.Context, parts []liveness.Pending) {
	for _, part := range parts {
		c.appendPart(termCtx, part)
	}
}

func (c *Coordinator) appendPart(termCtx context.Context, part liveness.Pending) {
	for range handoverAppendAttempts {
		ctx, cancel := context.WithTimeout(termCtx, appendTimeout)
		_, err := c.options.Log.Append(ctx, part.Partition, part.Records)
		cancel()
		if err == nil {
			return
		}
		c.options.Logger.Warn("records not appended", zap.Stringer("partition", part.Partition),
			zap.Int("records", len(part.Records)), zap.Error(err))
		if !pause.For(termCtx, appendPause) {
			return
		}
	}
}
