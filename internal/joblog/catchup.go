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

// beginAt has the partition read from where a job begins, or from an earlier offset. A job
// that the index does not hold may stand anywhere.
func (p *partition) beginAt(ctx context.Context, jobID string) error {
	start := int64(0)
	if !p.followed() {
		// An index that can not be read tells nothing, and the job is looked for everywhere.
		var err error
		if start, _, err = p.index.find(ctx, jobID); err != nil {
			p.logger.Info("index not read", zap.Stringer("partition", p.at), zap.String("job", jobID), zap.Error(err))
			start = 0
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	p.readFrom(start)
	return nil
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
// partition was read.
func (p *partition) viewCaughtUp(ctx context.Context, jobID string, satisfied Condition, visit func(*batch.State)) error {
	if err := p.catchUp(ctx, func() bool { return p.holds(jobID, satisfied) }); err != nil {
		return errors.Join(ErrUncertain, err)
	}
	p.visit(jobID, visit)
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
		done = p.freshBegan.After(asked) || enough()
		err = nil
		if p.freshAt.IsZero() && p.failedAt.After(asked) {
			err = p.failed
		}
		return done || !p.freshAt.IsZero() || err != nil
	})
	if !settled {
		return false, ctx.Err()
	}
	if done {
		return true, nil
	}
	return false, err
}

func (p *partition) end(ctx context.Context) (int64, error) {
	p.mutex.Lock()
	next := p.next
	p.mutex.Unlock()
	batch, err := p.log.Read(ctx, p.at, next, 0)
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		// The first record that is kept is not the end.
		batch, err = p.log.Read(ctx, p.at, trimmed.First, 0)
	}
	return batch.End, err
}
