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
	// takeOverTimeout bounds the asking for what a predecessor leaves.
	takeOverTimeout = 600 * time.Millisecond
	// handedOverTries bounds the appends of it to one partition.
	handedOverTries = 3
	// resignedFor is how long runs go on of a term that was given up, until a successor takes
	// them over. One that claims at once does so within half a second; without one, the runs
	// must have ended before the lease could have been claimed in other ways.
	resignedFor = 1500 * time.Millisecond
	// unaskedFor is how long they go on beside a successor that may not ask for them, since it is of a
	// build that begins their items anew: an item may not run at two engines for longer than 400 ms.
	unaskedFor = 300 * time.Millisecond
)

// handedOver is what a term that was given up left.
type handedOver struct {
	epoch int64
	left  liveness.HandedOver
}

// Yield gives up the term of an epoch: nothing is started or ordered any more. Its runs go on
// until the successor takes them over.
func (c *Coordinator) Yield(epoch int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine != nil && c.termEpoch == epoch {
		c.resignLocked("yielded")
	}
}

// Resign gives up the term, if there is one, since this process is about to end.
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
	c.startNothingLocked()
	c.options.Logger.Info("term given up", zap.Int64("epoch", epoch), zap.String("how", how))
	time.AfterFunc(resignedFor, func() { c.HandOver(epoch) })
}

// noteSuccessorLocked takes that another process has claimed the lease that this one gave up.
func (c *Coordinator) noteSuccessorLocked(asks bool) {
	if asks || c.unasked {
		return
	}
	c.unasked = true
	epoch := c.termEpoch
	time.AfterFunc(unaskedFor, func() { c.HandOver(epoch) })
}

// startNothingLocked has the term start and order nothing any more; its runs go on.
func (c *Coordinator) startNothingLocked() {
	c.machine.Resign(clock.Now())
	c.carryOut(c.machine.TakeOutput())
}

// HandOver ends the runs of a term that was given up, and returns what its successor needs; the
// same again whenever it is asked.
func (c *Coordinator) HandOver(epoch int64) liveness.HandedOver {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.resigned && c.termEpoch == epoch {
		c.handOverLocked()
	}
	if c.handed.epoch != epoch {
		return liveness.HandedOver{}
	}
	return c.handed.left
}

func (c *Coordinator) handOverLocked() {
	c.writer.dropProgress()
	c.machine.SaveCheckpoints(clock.Now())
	output := c.machine.TakeOutput()
	// The texts go to the successor all together: what the writer had appended of them by now
	// would be missing from what is pending there.
	progress := c.progressRecords(output.Progress)
	output.Progress = nil
	c.carryOut(output)
	c.handed = handedOver{epoch: c.termEpoch, left: liveness.HandedOver{Pending: append(c.writer.pending(), progress...), Whole: true}}
	c.endTermLocked()
	c.options.Logger.Info("term handed over", zap.Int64("epoch", c.termEpoch), zap.Int("partitions", len(c.handed.left.Pending)))
}

// progressRecords returns the records of progress, in parts of one append each.
func (c *Coordinator) progressRecords(saved []scheduler.Progress) []liveness.Pending {
	groups := make(map[store.Partition][][][]byte)
	for _, progress := range saved {
		if at, record, ok := c.encodeProgress(progress); ok {
			groups[at] = append(groups[at], [][]byte{record})
		}
	}
	var pending []liveness.Pending
	for at, records := range groups {
		pending = append(pending, inCalls(at, records)...)
	}
	return pending
}

// takeOver has the predecessor end its runs and returns what it left; that is whole where nothing
// else needs to be read of it.
func (c *Coordinator) takeOver(term context.Context, from election.Yielded) liveness.HandedOver {
	if from.Address == "" {
		return liveness.HandedOver{}
	}
	ctx, cancel := context.WithTimeout(term, takeOverTimeout)
	defer cancel()
	left, err := liveness.TakeOver(ctx, from.Address, from.Epoch)
	if err != nil {
		c.options.Logger.Warn("nothing taken over", zap.String("address", from.Address), zap.Error(err))
		return liveness.HandedOver{}
	}
	records := 0
	for _, pending := range left.Pending {
		records += len(pending.Records)
	}
	c.options.Logger.Info("records taken over", zap.String("address", from.Address), zap.Int64("epoch", from.Epoch),
		zap.Int("records", records), zap.Bool("whole", left.Whole))
	return left
}

// appendLeft appends what a predecessor left for the partitions of a number. Progress that is
// known here already is appended meanwhile, for those that come later.
func (c *Coordinator) appendLeft(term context.Context, left liveness.HandedOver, number int) {
	var results, progress []liveness.Pending
	for _, pending := range left.Pending {
		switch {
		case pending.Partition.Number != number:
		case !pending.Partition.Topic.Known():
			// Of a later build. The client of the store has no name for it.
			c.options.Logger.Warn("records of an unknown topic left", zap.Stringer("partition", pending.Partition))
		case left.Whole && pending.Partition.Topic == store.TopicProgress:
			progress = append(progress, pending)
		default:
			results = append(results, pending)
		}
	}
	if len(progress) > 0 {
		c.background.Go(func() { c.appendHandedOver(term, progress) })
	}
	c.appendHandedOver(term, results)
}

// foldHandedOver returns the progress that was handed over, by partition and item.
func (c *Coordinator) foldHandedOver(left liveness.HandedOver) map[int]map[string]*batch.Partial {
	folds := make(map[int]*batch.ProgressFold)
	for _, pending := range left.Pending {
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
				c.options.Logger.Error("progress void", zap.Stringer("partition", pending.Partition), zap.Error(err))
			}
		}
	}
	partials := make(map[int]map[string]*batch.Partial, len(folds))
	for number, fold := range folds {
		partials[number] = fold.Partials()
	}
	return partials
}

// appendHandedOver appends parts in order.
func (c *Coordinator) appendHandedOver(term context.Context, parts []liveness.Pending) {
	for _, part := range parts {
		c.appendPart(term, part)
	}
}

func (c *Coordinator) appendPart(term context.Context, left liveness.Pending) {
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
