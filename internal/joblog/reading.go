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

// The timing of a partition's reads.
const (
	// readWait is how long the store may hold a read that finds nothing. The reads of the
	// scheduler, and those that a caller waits for, are held for a shorter time, since a
	// read that meets an append under way was seen to be held to its end.
	readWait          = 700 * time.Millisecond
	callerReadWait    = 200 * time.Millisecond
	schedulerReadWait = 350 * time.Millisecond
	// readTimeout bounds a read of what is new, longReadTimeout one of a partition that
	// is read from its start: over a thin link that takes its time, and a read that is
	// given up begins anew with the same records.
	readTimeout     = 1500 * time.Millisecond
	longReadTimeout = 3 * time.Second
	// retryPause is the time between a failed read and the next.
	retryPause = 100 * time.Millisecond
	// slowestRead is the longest pause between two reads.
	slowestRead = 600 * time.Millisecond
)

// run follows the partition while it is wanted.
func (p *partition) run(ctx context.Context) {
	pace := follow.Pace{Most: slowestRead, Retry: retryPause}
	for ctx.Err() == nil && p.waitUntil(ctx, p.wanted) {
		err := p.advance(ctx)
		p.outage.Note(err, zap.Stringer("partition", p.at), zap.Int64("offset", p.offset()))
		if err == nil {
			p.forgetUnwanted()
		} else {
			p.noteFailure(err)
		}
		pause.For(ctx, pace.Next(err))
	}
}

func (p *partition) noteFailure(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failed, p.failedAt = err, clock.Now()
	p.notify()
}

// forgetUnwanted drops the state of a partition that nobody asked for.
func (p *partition) forgetUnwanted() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.wanted() {
		return
	}
	p.resetLocked(0)
}

func (p *partition) advance(ctx context.Context) error {
	asked := clock.Now()
	ctx, next, wait := p.beginRead(ctx)
	read, err := p.log.Read(ctx, p.at, next, wait)
	if p.endOfRead(next) {
		return nil // what was read is of no more use
	}
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		p.skipTo(next, trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	p.apply(next, read, asked)
	return nil
}

// beginRead returns where the next read begins and how long it may be held when it finds
// nothing; its context bounds its time. The first reads of a partition wait for nothing.
func (p *partition) beginRead(parent context.Context) (ctx context.Context, next int64, wait time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	timeout := readTimeout
	switch {
	case p.freshSince.IsZero():
		timeout = longReadTimeout
	case p.waiting > 0:
		wait = callerReadWait
	case p.subscriber != nil:
		wait = schedulerReadWait
	default:
		wait = readWait
	}
	ctx, p.endRead = context.WithTimeout(parent, timeout)
	return ctx, p.next, wait
}

// endOfRead says whether the reading began anew, or went on by another read, while a read from an
// offset was under way.
func (p *partition) endOfRead(from int64) (moved bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.endRead()
	p.endRead = nil
	return p.next != from
}

// skipTo takes that the store has dropped all records before first, that at next among them. What
// is not found from then on may have stood there.
func (p *partition) skipTo(next, first int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if next != p.next {
		return
	}
	p.logger.Warn("records are gone", zap.Stringer("partition", p.at), zap.Int64("offset", next), zap.Int64("first", first))
	if p.next > p.from && p.subscriber == nil {
		// Results may be among what is gone, and those behind would move up in their place.
		p.resetLocked(p.from)
	}
	p.next = first
	p.cut = true
	p.notify()
}

// apply takes what a read from an offset brought that was asked at asked, unless the reading
// has begun anew or another read has brought it.
func (p *partition) apply(from int64, read store.Batch, asked time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if from != p.next {
		return
	}
	for _, record := range read.Records {
		if p.fold.AtMessageBoundary() {
			p.message = record.Offset
		}
		change, err := p.fold.Apply(record.Value)
		if err != nil {
			p.logger.Error("record void", zap.Stringer("partition", p.at), zap.Int64("offset", record.Offset), zap.Error(err))
			continue
		}
		p.handleChange(change, record.Offset)
	}
	moved := p.next != read.Next
	p.next = read.Next
	first := p.freshSince.IsZero()
	if read.Next >= read.End {
		p.noteFresh(asked)
	}
	if moved || first {
		p.notify()
	}
}

// noteFresh takes that all was read up to the end that a read told which was asked at asked; of
// two reads that were under way at once, the one asked first may be answered last. The mutex is
// held.
func (p *partition) noteFresh(asked time.Time) {
	if !asked.After(p.freshSince) {
		return
	}
	p.freshSince = asked
	if p.subscriber != nil {
		p.subscriber.HandleFresh(p.at.Number, asked)
	}
}
