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
	// recoverTimeout bounds the reading of what predecessors saved in a partition, whose
	// jobs wait for it: a weak machine reads it over a thin link.
	recoverTimeout = 2500 * time.Millisecond
	// progressKept is how long saved progress is of use.
	progressKept = 5 * time.Second
	// trimInterval is the time between two trims of a partition.
	trimInterval = time.Second
)

// recoverProgress reads what predecessors saved for the jobs of a partition, by item. What
// can not be read in time is left out, and its items start anew.
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
	var void error
	_, err := store.ReadOn(ctx, log, at, 0, func(read store.Batch) bool {
		for _, record := range read.Records {
			if void = fold.Apply(record.Value); void != nil {
				return false
			}
		}
		return true
	})
	if err := errors.Join(err, void); err != nil {
		return nil, err
	}
	return fold, nil
}

// trimmer drops progress that is of no more use.
type trimmer struct {
	log    store.Log
	term   context.Context
	logger *zap.Logger

	mutex sync.Mutex
	marks map[store.Partition]*trimMark
}

// trimMark is an offset that may be trimmed to once its time has come.
type trimMark struct {
	offset int64
	since  time.Time
	// next is the offset of the mark that follows.
	next      int64
	nextSince time.Time
}

func newTrimmer(term context.Context, log store.Log, logger *zap.Logger) *trimmer {
	return &trimmer{log: log, term: term, logger: logger, marks: make(map[store.Partition]*trimMark)}
}

// appended notes an append, and trims when an older one is old enough.
func (t *trimmer) appended(at store.Partition, offset int64) {
	if at.Topic != store.TopicProgress {
		return
	}
	before, due := t.note(clock.Now(), at, offset)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(t.term, appendTimeout)
	defer cancel()
	if err := t.log.Trim(ctx, at, before); err != nil {
		t.logger.Info("progress not trimmed", zap.Stringer("partition", at), zap.Error(err))
	}
}

func (t *trimmer) note(now time.Time, at store.Partition, offset int64) (before int64, due bool) {
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
	if now.Sub(mark.since) < progressKept {
		mark.next, mark.nextSince = offset, now
		return 0, false
	}
	before = mark.offset
	mark.offset, mark.since = mark.next, mark.nextSince
	mark.next, mark.nextSince = offset, now
	return before, true
}
