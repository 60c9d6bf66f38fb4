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

// catchUpTimeout bounds the reading up to the partition's end for an answer.
const catchUpTimeout = 2200 * time.Millisecond

// startOf returns the offset from which a job is to be looked for, and whether it is known to
// begin there. A job that the index does not hold may stand anywhere, and so may all when it can
// not be read.
func (p *partition) startOf(ctx context.Context, jobID string) (start int64, known bool) {
	start, known, err := p.index.find(ctx, jobID)
	if err != nil {
		p.logger.Info("index not read", zap.Stringer("partition", p.at), zap.String("job", jobID), zap.Error(err))
		return 0, false
	}
	return start, known
}

// errMayStandElsewhere says that a job may stand where this node has not read: the store has
// dropped the records, the reading began anew behind them, or the index was read in part.
var errMayStandElsewhere = errors.New("job may stand where this node has not read")

// absence is what it means that a partition was read and a job was not found.
type absence int

const (
	// absenceUnsure: the job may stand where the reading did not come.
	absenceUnsure absence = iota
	// absenceUnlessIndexed: the job is in the index, or nowhere.
	absenceUnlessIndexed
	// absenceSure: the job is nowhere.
	absenceSure
)

// absence says what it means that a job was not found now. The mutex is held.
func (p *partition) absence() absence {
	switch {
	case p.cut:
		return absenceUnsure
	case p.from > 0:
		// All jobs that begin before the first open one are in the index.
		return absenceUnlessIndexed
	}
	return absenceSure
}

// viewWhole is viewCaughtUp for a job that may stand anywhere: the partition is read from its start.
func (p *partition) viewWhole(ctx context.Context, jobID string, satisfied Condition, visit func(*batch.State)) error {
	if ctx.Err() != nil {
		return errors.Join(ErrUncertain, ctx.Err())
	}
	p.readFromStart()
	unsure := false
	err := p.viewCaughtUp(ctx, jobID, satisfied, func(state *batch.State, absence absence) {
		if unsure = state == nil && absence != absenceSure; !unsure {
			visit(state)
		}
	})
	if err == nil && unsure {
		return errors.Join(ErrUncertain, errMayStandElsewhere)
	}
	return err
}

// readFromStart has the partition read from its start, unless a subscriber needs it from a later
// offset on.
func (p *partition) readFromStart() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.subscriber == nil && p.from > 0 {
		p.resetLocked(0)
	}
	p.touchLocked()
}

// viewCaughtUp calls visit with a job's state once satisfied holds, or all that stood in the
// partition was read, and with what it means that there is none.
func (p *partition) viewCaughtUp(ctx context.Context, jobID string, satisfied Condition, visit func(state *batch.State, absence absence)) error {
	err := p.catchUp(ctx, func() bool { return p.holds(jobID, satisfied) }, func() { visit(p.fold.Job(jobID), p.absence()) })
	if err != nil {
		return errors.Join(ErrUncertain, err)
	}
	return nil
}

// catchUp waits until all that stood in the partition when it was called was read, or until
// enough was, and calls look. Enough and look are called with the mutex held, look under the same
// hold as what it waited for: in between, another caller may have the reading begin anew.
func (p *partition) catchUp(ctx context.Context, enough func() bool, look func()) error {
	asked := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	looked, err := p.awaitFirstRead(ctx, asked, enough, look)
	if err != nil || looked {
		return err
	}
	end, err := p.endSince(ctx, asked)
	if err != nil {
		return err
	}
	caughtUp := p.waitUntil(ctx, func() bool {
		if p.next < end && !enough() {
			return false
		}
		look()
		return true
	})
	if !caughtUp {
		return ctx.Err()
	}
	return nil
}

// awaitFirstRead waits until the partition was read to its end once, or enough of it.
// Asking for the end before would bring all of it over the link a second time. It looks where
// enough was read, or all by a read that began after asked.
func (p *partition) awaitFirstRead(ctx context.Context, asked time.Time, enough func() bool, look func()) (looked bool, err error) {
	settled := p.waitUntil(ctx, func() bool {
		if p.freshSince.After(asked) || enough() {
			look()
			looked = true
			return true
		}
		if p.freshSince.IsZero() && p.failedAt.After(asked) {
			err = p.failed
		}
		return !p.freshSince.IsZero() || err != nil
	})
	if !settled {
		return false, ctx.Err()
	}
	return looked, err
}

// endSince returns where the partition ended after asked. One caller at a time asks the store: of
// those that wait for a slow one, each would add a read, and what it brings is news for all.
func (p *partition) endSince(ctx context.Context, asked time.Time) (int64, error) {
	select {
	case p.endAsking <- struct{}{}:
		defer func() { <-p.endAsking }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	if read, known := p.readSince(asked); known {
		return read, nil
	}
	return p.end(ctx)
}

// readSince returns up to where the partition was read, if a read that was asked after a time came
// to its end.
func (p *partition) readSince(asked time.Time) (next int64, known bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.next, p.freshSince.After(asked)
}

// end reads on from where the reading is, and returns the partition's end. What it brings is
// taken, so that it need not come over the link a second time before the caller is answered.
func (p *partition) end(ctx context.Context) (int64, error) {
	next, asked := p.offset(), clock.Now()
	read, err := p.log.Read(ctx, p.at, next, 0)
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		p.skipTo(next, trimmed.First)
		// The first record that is kept is not the end.
		next = trimmed.First
		read, err = p.log.Read(ctx, p.at, next, 0)
	}
	if err == nil {
		p.apply(next, read, asked)
	}
	return read.End, err
}
