package joblog

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/clock"
	"dalehook/internal/store"
)

// catchUpTimeout bounds the read to the partition's end for an answer.
const catchUpTimeout = 2200 * time.Millisecond

// findStart returns the offset at which to start looking for a job, and whether the job is known
// to begin there. A job that is not indexed may be anywhere in the partition, and so may any
// job if the index can not be read.
func (p *partition) findStart(ctx context.Context, jobID string) (start int64, known bool) {
	start, known, err := p.index.find(ctx, jobID)
	if err != nil {
		p.logger.Info("index not read", zap.Stringer("partition", p.at), zap.String("job", jobID), zap.Error(err))
		return 0, false
	}
	return start, known
}

// errMayBeUnread means that a job may be in records that this node has not read: the store has
// trimmed them, the read was restarted after them, or the index was not read completely.
var errMayBeUnread = errors.New("job may be in records that this node has not read")

// absenceVerdict is the conclusion to draw if a job was not found in a partition.
type absenceVerdict int

const (
	// absenceUncertain: the job may be in records that were not read.
	absenceUncertain absenceVerdict = iota
	// absenceUnlessIndexed: the job does not exist unless it is in the index.
	absenceUnlessIndexed
	// absenceCertain: the job does not exist.
	absenceCertain
)

// absence returns the conclusion to draw if a job is not found now. The caller holds the mutex.
func (p *partition) absence() absenceVerdict {
	switch {
	case p.recordsTrimmed:
		return absenceUncertain
	case p.from > 0:
		// All jobs that begin before the first open one are in the index.
		return absenceUnlessIndexed
	}
	return absenceCertain
}

// viewFromStart is viewCaughtUp for a job that may be anywhere: it reads the partition from its start.
func (p *partition) viewFromStart(ctx context.Context, jobID string, condition Condition, visit func(*batch.State)) error {
	if ctx.Err() != nil {
		return errors.Join(ErrUncertain, ctx.Err())
	}
	p.readFromStart()
	uncertain := false
	err := p.viewCaughtUp(ctx, jobID, condition, func(state *batch.State, verdict absenceVerdict) {
		if uncertain = state == nil && verdict != absenceCertain; !uncertain {
			visit(state)
		}
	})
	if err == nil && uncertain {
		return errors.Join(ErrUncertain, errMayBeUnread)
	}
	return err
}

// readFromStart restarts the read at the partition's start, unless a subscriber needs it from a
// later offset.
func (p *partition) readFromStart() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.subscriber == nil && p.from > 0 {
		p.resetLocked(0)
	}
	p.touchLocked()
}

// viewCaughtUp calls visit with a job's state once the condition is satisfied or the partition was
// read to its current end. If the state is nil, the verdict is the conclusion to draw.
func (p *partition) viewCaughtUp(ctx context.Context, jobID string, condition Condition, visit func(state *batch.State, verdict absenceVerdict)) error {
	err := p.catchUp(ctx, func() bool { return p.satisfies(jobID, condition) }, func() { visit(p.fold.Job(jobID), p.absence()) })
	if err != nil {
		return errors.Join(ErrUncertain, err)
	}
	return nil
}

// catchUp waits until the partition was read to its end at the time of the call, or until satisfied
// returns true, and calls visit. Both functions are called with the mutex held. visit runs without
// releasing the mutex after the check, since another caller could restart the read in between.
func (p *partition) catchUp(ctx context.Context, satisfied func() bool, visit func()) error {
	requestedAt := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	visited, err := p.awaitFirstRead(ctx, requestedAt, satisfied, visit)
	if err != nil || visited {
		return err
	}
	end, err := p.endAsOf(ctx, requestedAt)
	if err != nil {
		return err
	}
	caughtUp := p.waitUntil(ctx, func() bool {
		if p.next < end && !satisfied() {
			return false
		}
		visit()
		return true
	})
	if !caughtUp {
		return ctx.Err()
	}
	return nil
}

// awaitFirstRead waits until the partition was read to its end once or satisfied returns true.
// Requesting the end earlier would transfer the whole partition a second time. It calls visit if
// satisfied returns true or if a read requested after requestedAt reached the end.
func (p *partition) awaitFirstRead(ctx context.Context, requestedAt time.Time, satisfied func() bool, visit func()) (visited bool, err error) {
	settled := p.waitUntil(ctx, func() bool {
		if p.caughtUpAsOf.After(requestedAt) || satisfied() {
			visit()
			visited = true
			return true
		}
		if p.caughtUpAsOf.IsZero() && p.lastErrAt.After(requestedAt) {
			err = p.lastErr
		}
		return !p.caughtUpAsOf.IsZero() || err != nil
	})
	if !settled {
		return false, ctx.Err()
	}
	return visited, err
}

// endAsOf returns the partition's end at some time after requestedAt. Only one caller at a time
// reads the store: with a slow store every waiting caller would add a read, although one read
// serves all of them.
func (p *partition) endAsOf(ctx context.Context, requestedAt time.Time) (int64, error) {
	select {
	case p.endReadToken <- struct{}{}:
		defer func() { <-p.endReadToken }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	if read, known := p.caughtUpSince(requestedAt); known {
		return read, nil
	}
	return p.readEnd(ctx)
}

// caughtUpSince returns the offset up to which the partition was read, and whether a read requested
// after requestedAt reached its end.
func (p *partition) caughtUpSince(requestedAt time.Time) (next int64, known bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.next, p.caughtUpAsOf.After(requestedAt)
}

// readEnd reads from the current offset and returns the partition's end. It applies the records, so
// that they are not transferred a second time before the caller is answered.
func (p *partition) readEnd(ctx context.Context) (int64, error) {
	next, requestedAt := p.offset(), clock.Now()
	read, err := p.log.Read(ctx, p.at, next, 0)
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		p.skipTrimmed(next, trimmed.First)
		// The first retained record is not the end.
		next = trimmed.First
		read, err = p.log.Read(ctx, p.at, next, 0)
	}
	if err == nil {
		p.apply(next, read, requestedAt)
	}
	return read.End, err
}
