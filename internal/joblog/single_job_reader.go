package joblog

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/clock"
	"dalehook/internal/pause"
	"dalehook/internal/store"
)

// singleJobReader reads one indexed job from its start to its end for callers of this node. It reads
// while there are requests, and nothing after the job's end. It serves jobs that ended before the
// coordinator's term, at every node that receives a request, and open jobs while no coordinator is
// known.
type singleJobReader struct {
	log    store.Log
	at     store.Partition
	jobID  string
	from   int64
	logger *zap.Logger
	// readers holds all job readers of this node.
	readers *singleJobReaders

	mutex sync.Mutex
	// changed is closed and replaced whenever a field below changes.
	changed chan struct{}
	fold    *batch.Fold
	next    int64
	// caughtUpAsOf is the request time of the last read that reached the partition's end.
	caughtUpAsOf time.Time
	// active is true while a goroutine reads; lastRequestedAt is the time of the last request to read.
	active          bool
	lastRequestedAt time.Time
	// lastUsedAt is when a caller last asked for the job, whether or not that took a read.
	lastUsedAt time.Time
	// waiters is the number of callers that wait for new records.
	waiters int
	// bytes is the size of all received records, including those of other jobs.
	bytes int
	// lastErr is the error of the last failed read, which was requested at lastErrAt.
	lastErr   error
	lastErrAt time.Time
}

// view calls visit with the job's state once the condition is satisfied, the job has ended, or the
// partition was read to its current end.
func (r *singleJobReader) view(ctx context.Context, condition Condition, visit func(*batch.State)) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	requestedAt := clock.Now()
	var failure error
	settled := r.waitUntil(ctx, func() bool {
		state := r.fold.Job(r.jobID)
		caughtUp := !r.caughtUpAsOf.Before(requestedAt)
		switch {
		case state != nil && (caughtUp || r.satisfies(condition)):
			visit(state)
			return true
		case caughtUp:
			failure = errMayBeUnread
		case !r.lastErrAt.Before(requestedAt):
			failure = r.lastErr
		}
		if failure == nil {
			r.requestRead(requestedAt)
		}
		return failure != nil
	})
	if !settled {
		failure = ctx.Err()
	}
	if failure != nil {
		return errors.Join(ErrUncertain, failure)
	}
	return nil
}

// viewCached calls visit if the records read so far satisfy the condition, and reports whether it did. If
// the last read is older than MaxStaleness, it starts the next one for the callers that come later.
func (r *singleJobReader) viewCached(condition Condition, visit func(*batch.State)) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.satisfies(condition) {
		return false
	}
	now := clock.Now()
	r.lastUsedAt = now
	if !r.endedLocked() && now.Sub(r.caughtUpAsOf) >= MaxStaleness {
		r.requestRead(now)
	}
	visit(r.fold.Job(r.jobID))
	return true
}

// satisfies reports whether the records read so far satisfy a condition. An ended job always does,
// since no records follow its end. The caller holds the mutex.
func (r *singleJobReader) satisfies(condition Condition) bool {
	return r.endedLocked() || condition(r.fold.Job(r.jobID), clock.Since(r.caughtUpAsOf) < MaxStaleness)
}

func (r *singleJobReader) endedLocked() bool {
	state := r.fold.Job(r.jobID)
	return state != nil && state.Ended
}

// waitFor waits until the job has more than count results, has ended, or the context ends.
func (r *singleJobReader) waitFor(ctx context.Context, count int) {
	r.addWaiters(1)
	defer r.addWaiters(-1)
	requestedAt := clock.Now()
	r.waitUntil(ctx, func() bool {
		state := r.fold.Job(r.jobID)
		if state != nil && (len(state.Results) > count || state.Ended) {
			return true
		}
		r.requestRead(requestedAt)
		return false
	})
}

func (r *singleJobReader) addWaiters(change int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.waiters += change
}

// waitUntil waits until condition returns true; condition is called with the mutex held.
func (r *singleJobReader) waitUntil(ctx context.Context, condition func() bool) bool {
	for {
		r.mutex.Lock()
		holds, changed := condition(), r.changed
		r.mutex.Unlock()
		if holds {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// requestRead starts or prolongs reading for a caller. Reading continues after the caller has left:
// over a low-bandwidth link the caller may time out before a read ends, and the next caller uses
// its records. The caller holds the mutex.
func (r *singleJobReader) requestRead(requestedAt time.Time) {
	if requestedAt.After(r.lastRequestedAt) {
		r.lastRequestedAt = requestedAt
	}
	if requestedAt.After(r.lastUsedAt) {
		r.lastUsedAt = requestedAt
	}
	if !r.active {
		r.active = r.readers.start(r.run)
	}
}

// run reads pages while there are requests.
func (r *singleJobReader) run(ctx context.Context) {
	for {
		err := r.readPage(ctx)
		if !r.shouldContinue(err) {
			return
		}
		if err != nil {
			pause.For(ctx, retryPause)
		}
	}
}

// readPage reads the next page.
func (r *singleJobReader) readPage(ctx context.Context) error {
	next, wait := r.nextRead()
	if wait == 0 {
		select {
		case r.readers.slots <- struct{}{}:
			defer func() { <-r.readers.slots }()
		case <-ctx.Done():
			return r.noteFailure(ctx.Err(), clock.Now())
		}
	}
	// A page read that hangs occupies a slot; three of them would block all job reads of the node.
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	requestedAt := clock.Now()
	read, err := r.readLog(ctx, next, wait)
	if err == nil && len(read.Records) == 0 && read.Next < read.End {
		err = errIncompleteRead
	}
	if err != nil {
		return r.noteFailure(err, requestedAt)
	}
	r.apply(read, requestedAt)
	return nil
}

func (r *singleJobReader) readLog(ctx context.Context, next int64, wait time.Duration) (store.Batch, error) {
	if wait > 0 {
		return r.log.Read(ctx, r.at, next, wait)
	}
	return store.ReadPage(ctx, r.log, r.at, next, 0, pageBytes)
}

// nextRead returns the offset of the next read and how long the store may hold it, which is 0
// unless callers wait for new records.
func (r *singleJobReader) nextRead() (next int64, wait time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.waiters > 0 && !r.caughtUpAsOf.IsZero() {
		wait = callerReadWait
	}
	return r.next, wait
}

// noteFailure records the failure of a read requested at requestedAt. If the store has trimmed
// records, results may be among them.
func (r *singleJobReader) noteFailure(err error, requestedAt time.Time) error {
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		err = errors.Join(errMayBeUnread, err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastErr, r.lastErrAt = fmt.Errorf("read job %q from offset %d: %w", r.jobID, r.next, err), requestedAt
	r.notify()
	return r.lastErr
}

// apply applies the records of a read requested at requestedAt.
func (r *singleJobReader) apply(read store.Batch, requestedAt time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, record := range read.Records {
		if r.endedLocked() {
			break
		}
		if _, err := r.fold.Apply(record.Value); err != nil {
			r.logger.Error("invalid record skipped", zap.Stringer("partition", r.at), zap.Int64("offset", record.Offset), zap.Error(err))
			continue
		}
		r.bytes += len(record.Value)
	}
	r.next = read.Next
	if read.Next >= read.End {
		r.caughtUpAsOf = requestedAt
	}
	r.notify()
}

// shouldContinue reports whether to read on after a read that ended with err, which may be nil. If
// not, the next request starts reading again.
func (r *singleJobReader) shouldContinue(err error) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.active = !r.endedLocked() && r.readers.ctx.Err() == nil && (r.waiters > 0 || r.hasUnansweredRequests(err))
	return r.active
}

// hasUnansweredRequests reports whether there are requests that the last read, which ended with err
// or nil, does not answer. The caller holds the mutex.
func (r *singleJobReader) hasUnansweredRequests(err error) bool {
	if err != nil {
		return r.lastRequestedAt.After(r.lastErrAt)
	}
	return r.caughtUpAsOf.Before(r.lastRequestedAt) && clock.Since(r.lastRequestedAt) < idleTimeout
}

func (r *singleJobReader) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// idle returns the time since the last request for a job, 0 while it is being read, and the size of
// its cached records.
func (r *singleJobReader) idle() (idle time.Duration, bytes int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.active && r.waiters == 0 {
		idle = clock.Since(r.lastUsedAt)
	}
	return idle, r.bytes
}
