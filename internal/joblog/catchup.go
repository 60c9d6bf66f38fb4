package joblog

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/store"
)

// catchUpTimeout bounds the reading up to the partition's end for an answer.
const catchUpTimeout = 2200 * time.Millisecond

// startOf returns the offset from which a job is to be looked for. A job that the index does
// not hold may stand anywhere, and so may all when it can not be read.
func (p *partition) startOf(ctx context.Context, jobID string) int64 {
	start, _, err := p.index.find(ctx, jobID)
	if err != nil {
		p.logger.Info("index not read", zap.Stringer("partition", p.at), zap.String("job", jobID), zap.Error(err))
		return 0
	}
	return start
}

// errReadingMoved says that the reading began anew, for a subscriber, behind where a job may
// stand.
var errReadingMoved = errors.New("partition is read from a later offset now")

// viewFrom is viewCaughtUp for a job that does not begin before an offset, from which, or from
// an earlier one, the partition is read.
func (p *partition) viewFrom(ctx context.Context, start int64, jobID string, satisfied Condition, visit func(*batch.State)) error {
	if ctx.Err() != nil {
		return errors.Join(ErrUncertain, ctx.Err())
	}
	p.readFrom(start)
	moved := false
	err := p.viewCaughtUp(ctx, jobID, satisfied, func(state *batch.State, from int64) {
		if moved = state == nil && from > start; !moved {
			visit(state)
		}
	})
	if err == nil && moved {
		return errors.Join(ErrUncertain, errReadingMoved)
	}
	return err
}

// readFrom has the partition read from an offset on, or from an earlier one.
func (p *partition) readFrom(start int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	begun := p.next > p.from || p.wanted()
	if p.subscriber == nil && (!begun || start < p.from) {
		p.resetLocked(start)
	}
	p.touchLocked()
}

// viewCaughtUp calls visit with a job's state once satisfied holds, or all that stood in the
// partition was read, and with the offset that the reading began at.
func (p *partition) viewCaughtUp(ctx context.Context, jobID string, satisfied Condition, visit func(state *batch.State, from int64)) error {
	if err := p.catchUp(ctx, func() bool { return p.holds(jobID, satisfied) }); err != nil {
		return errors.Join(ErrUncertain, err)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	visit(p.jobLocked(jobID), p.from)
	return nil
}

// catchUp waits until all that stood in the partition when it was called was read, or
// until enough was. Enough is called with the mutex held.
func (p *partition) catchUp(ctx context.Context, enough func() bool) error {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	done, err := p.awaitFirstRead(ctx, asked, enough)
	if err != nil || done {
		return err
	}
	end, err := p.end(ctx)
	if err != nil {
		return err
	}
	if !p.waitUntil(ctx, func() bool { return p.next >= end || enough() }) {
		return ctx.Err()
	}
	return nil
}

// awaitFirstRead waits until the partition was read to its end once, or enough of it.
// Asking for the end before would bring all of it over the link a second time. Done says
// that enough was read, or all by a read that began after asked.
func (p *partition) awaitFirstRead(ctx context.Context, asked time.Time, enough func() bool) (done bool, err error) {
	settled := p.waitUntil(ctx, func() bool {
		done = p.freshSince.After(asked) || enough()
		err = nil
		if p.freshSince.IsZero() && p.failedAt.After(asked) {
			err = p.failed
		}
		return done || !p.freshSince.IsZero() || err != nil
	})
	if !settled {
		return false, ctx.Err()
	}
	if done {
		return true, nil
	}
	return false, err
}

// end reads on from where the reading is, and returns the partition's end. What it brings is
// taken, so that it need not come over the link a second time before the caller is answered.
func (p *partition) end(ctx context.Context) (int64, error) {
	next, asked := p.offset(), time.Now()
	read, err := p.log.Read(ctx, p.at, next, 0)
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		// The first record that is kept is not the end.
		read, err = p.log.Read(ctx, p.at, trimmed.First, 0)
		return read.End, err
	}
	if err == nil {
		p.apply(next, read, asked)
	}
	return read.End, err
}
