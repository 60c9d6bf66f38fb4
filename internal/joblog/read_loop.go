package joblog

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/follow"
	"dalehook/internal/pause"
	"dalehook/internal/store"
)

// Timing of a partition's reads.
const (
	// readWait is how long the store may hold a read that finds no records. Reads for the
	// scheduler and for waiting callers use shorter waits, because a read that coincides
	// with an append may be held for the full wait.
	readWait          = 700 * time.Millisecond
	callerReadWait    = 200 * time.Millisecond
	schedulerReadWait = 350 * time.Millisecond
	// readTimeout bounds a read of new records, longReadTimeout the first reads of a
	// partition: these are slow over a low-bandwidth link, and an aborted read starts again
	// with the same records.
	readTimeout     = 1500 * time.Millisecond
	longReadTimeout = 3 * time.Second
	// retryPause is the delay before a failed read is retried.
	retryPause = 100 * time.Millisecond
	// maxReadPause is the maximum pause between two reads.
	maxReadPause = 600 * time.Millisecond
)

// run follows the partition while it is wanted.
func (p *partition) run(ctx context.Context) {
	pacer := follow.Pacer{Max: maxReadPause, Retry: retryPause}
	for ctx.Err() == nil && p.waitUntil(ctx, p.wanted) {
		err := p.advance(ctx)
		p.outage.Note(err, zap.Stringer("partition", p.at), zap.Int64("offset", p.offset()))
		if err == nil {
			p.resetIfUnwanted()
		} else {
			p.noteFailure(err)
		}
		pause.For(ctx, pacer.Next(err))
	}
}

func (p *partition) noteFailure(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastErr, p.lastErrAt = err, clock.Now()
	p.notify()
}

// resetIfUnwanted discards the state of a partition that is no longer requested.
func (p *partition) resetIfUnwanted() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.wanted() {
		return
	}
	p.resetLocked(0)
}

func (p *partition) advance(ctx context.Context) error {
	requestedAt := clock.Now()
	ctx, next, wait := p.beginRead(ctx)
	read, err := p.log.Read(ctx, p.at, next, wait)
	if p.finishRead(next) {
		return nil // the result is obsolete
	}
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		p.skipTrimmed(next, trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	p.apply(next, read, requestedAt)
	return nil
}

// beginRead returns the offset of the next read, how long the store may hold it, and a context
// that bounds it. Reads are not held until the partition was read to its end once.
func (p *partition) beginRead(parent context.Context) (ctx context.Context, next int64, wait time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	timeout := readTimeout
	switch {
	case p.caughtUpAsOf.IsZero():
		timeout = longReadTimeout
	case p.waiters > 0:
		wait = callerReadWait
	case p.subscriber != nil:
		wait = schedulerReadWait
	default:
		wait = readWait
	}
	ctx, p.cancelRead = context.WithTimeout(parent, timeout)
	return ctx, p.next, wait
}

// finishRead ends a read from an offset and reports whether the position has moved in the
// meantime, because of a restart or another read.
func (p *partition) finishRead(from int64) (moved bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cancelRead()
	p.cancelRead = nil
	return p.next != from
}

// skipTrimmed continues at first after the store has trimmed all earlier records, including the one
// at next. Jobs that are not found from then on may have been among them.
func (p *partition) skipTrimmed(next, first int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if next != p.next {
		return
	}
	p.logger.Warn("records are gone", zap.Stringer("partition", p.at), zap.Int64("offset", next), zap.Int64("first", first))
	if p.next > p.from && p.subscriber == nil {
		// Trimmed records may include results, and later results would take their positions.
		p.resetLocked(p.from)
	}
	p.next = first
	p.recordsTrimmed = true
	p.notify()
}

// apply applies the records of a read from an offset, unless the read was restarted or another
// read has already delivered them.
func (p *partition) apply(from int64, read store.Batch, requestedAt time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if from != p.next {
		return
	}
	p.dropEndsBefore(read.First)
	for _, record := range read.Records {
		if p.fold.AtMessageBoundary() {
			p.messageOffset = record.Offset
		}
		change, err := p.fold.Apply(record.Value)
		if err != nil {
			p.logger.Error("invalid record skipped", zap.Stringer("partition", p.at), zap.Int64("offset", record.Offset), zap.Error(err))
			continue
		}
		p.handleChange(change, record.Offset)
	}
	moved := p.next != read.Next
	p.next = read.Next
	first := p.caughtUpAsOf.IsZero()
	if read.Next >= read.End {
		p.noteCaughtUp(requestedAt)
	}
	if moved || first {
		p.notify()
	}
}

// dropEndsBefore forgets the early ends that the store has removed, as a reader that begins now does not see them. The
// caller holds the mutex.
func (p *partition) dropEndsBefore(first int64) {
	if first <= p.firstKept {
		return
	}
	p.firstKept = first
	p.fold.DropEndsBefore(first)
	p.index.dropEndsBefore(first)
}

// noteCaughtUp records that a read requested at requestedAt reached the partition's end. Of two
// concurrent reads, the one requested first may be answered last. The caller holds the mutex.
func (p *partition) noteCaughtUp(requestedAt time.Time) {
	if !requestedAt.After(p.caughtUpAsOf) {
		return
	}
	p.caughtUpAsOf = requestedAt
	if p.subscriber != nil {
		p.subscriber.HandleCaughtUp(p.at.Number, requestedAt)
	}
}
