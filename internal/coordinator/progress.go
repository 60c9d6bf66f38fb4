package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/clock"
	"dalehook/internal/store"
)

const (
	// recoverTimeout bounds the read of a partition's saved progress, for which the partition's
	// jobs wait. It allows for a slow machine behind a low-bandwidth link.
	recoverTimeout = 2500 * time.Millisecond
	// progressRetention is how long saved progress is useful: a running item gets a new checkpoint
	// earlier, after the checkpointInterval of package scheduler.
	progressRetention = 5 * time.Second
	// trimInterval is the time between two trims of a partition.
	trimInterval = time.Second
)

// recoverProgress reads the progress that predecessors saved for the jobs of a partition, by item.
// On a failure or timeout it returns nil, and the items start from the beginning.
func (c *Coordinator) recoverProgress(ctx context.Context, number int) map[string]*batch.Partial {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	fold, err := readProgress(ctx, c.options.Log, store.Partition{Topic: store.TopicProgress, Number: number})
	if err != nil {
		c.options.Logger.Warn("progress not read", zap.Int("partition", number), zap.Error(err))
		return nil
	}
	return fold.Partials()
}

func readProgress(ctx context.Context, log store.Log, at store.Partition) (*batch.ProgressFold, error) {
	fold := batch.NewProgressFold()
	var applyErr error
	_, err := store.Scan(ctx, log, at, 0, func(read store.Batch) bool {
		for _, record := range read.Records {
			if applyErr = fold.Apply(record.Value); applyErr != nil {
				return false
			}
		}
		return true
	})
	if err := errors.Join(err, applyErr); err != nil {
		return nil, err
	}
	return fold, nil
}

// progressTrimmer trims progress that is no longer useful.
type progressTrimmer struct {
	log     store.Log
	termCtx context.Context
	logger  *zap.Logger

	mutex sync.Mutex
	marks map[store.Partition]*trimMark
}

// trimMark is an offset up to which the partition is trimmed once it is older than progressRetention.
type trimMark struct {
	offset int64
	since  time.Time
	// next is the offset of the following mark.
	next      int64
	nextSince time.Time
}

func newProgressTrimmer(termCtx context.Context, log store.Log, logger *zap.Logger) *progressTrimmer {
	return &progressTrimmer{log: log, termCtx: termCtx, logger: logger, marks: make(map[store.Partition]*trimMark)}
}

// noteAppend records an append and trims the partition if an earlier mark has expired.
func (t *progressTrimmer) noteAppend(at store.Partition, offset int64) {
	if at.Topic != store.TopicProgress {
		return
	}
	before, due := t.advance(clock.Now(), at, offset)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(t.termCtx, appendTimeout)
	defer cancel()
	if err := t.log.Trim(ctx, at, before); err != nil {
		t.logger.Info("progress not trimmed", zap.Stringer("partition", at), zap.Error(err))
	}
}

func (t *progressTrimmer) advance(now time.Time, at store.Partition, offset int64) (before int64, due bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	mark := t.marks[at]
	if mark == nil {
		t.marks[at] = &trimMark{offset: offset, since: now, next: offset, nextSince: now}
		return 0, false
	}
	if now.Sub(mark.nextSince) < trimInterval {
		return 0, false
	}
	if now.Sub(mark.since) < progressRetention {
		mark.next, mark.nextSince = offset, now
		return 0, false
	}
	before = mark.offset
	mark.offset, mark.since = mark.next, mark.nextSince
	mark.next, mark.nextSince = offset, now
	return before, true
}
