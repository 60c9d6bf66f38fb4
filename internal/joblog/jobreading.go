package joblog

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/clock"
	"dalehook/internal/pause"
	"dalehook/internal/store"
)

// jobReading reads one job that the index holds, from where it begins to its end, for callers of
// this node. It reads while somebody asks, and nothing that stands behind the job's end. Jobs that
// ended before the coordinator's term are read so, at each node that is asked, and the open ones
// while no coordinator is known.
type jobReading struct {
	log    store.Log
	at     store.Partition
	jobID  string
	from   int64
	logger *zap.Logger
	// all are the readings of this node.
	all *jobReadings

	mutex sync.Mutex
	// changed is closed and replaced whenever anything below changes.
	changed chan struct{}
	fold    *batch.Fold
	next    int64
	// freshSince is when the last read was asked that came to the partition's end.
	freshSince time.Time
	// active says that a goroutine reads; askedFor is when somebody last asked.
	active   bool
	askedFor time.Time
	// waiting counts the callers that wait for news.
	waiting int
	// bytes is the size of the records that came, those of other jobs among them.
	bytes int
	// failed is the last failure of a read that was asked at failedAt.
	failed   error
	failedAt time.Time
}

// view calls visit with the job's state once satisfied holds, the job has ended, or all that stood
// in the partition was read.
func (r *jobReading) view(ctx context.Context, satisfied Condition, visit func(*batch.State)) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	asked := clock.Now()
	var failure error
	settled := r.waitUntil(ctx, func() bool {
		state := r.fold.Job(r.jobID)
		caughtUp := !r.freshSince.Before(asked)
		switch {
		case state != nil && (caughtUp || r.satisfies(satisfied)):
			visit(state)
			return true
		case caughtUp:
			failure = errMayStandElsewhere
		case !r.failedAt.Before(asked):
			failure = r.failed
		}
		if failure == nil {
			r.read(asked)
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

// viewKnown calls visit where satisfied holds for what was read already, and says whether it did.
func (r *jobReading) viewKnown(satisfied Condition, visit func(*batch.State)) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.satisfies(satisfied) {
		return false
	}
	r.askedFor = clock.Now()
	visit(r.fold.Job(r.jobID))
	return true
}

// satisfies says whether a condition holds for what was read. Nothing comes after a job's end.
// The mutex is held.
func (r *jobReading) satisfies(satisfied Condition) bool {
	return r.endedLocked() || satisfied(r.fold.Job(r.jobID), clock.Since(r.freshSince) < FreshFor)
}

func (r *jobReading) endedLocked() bool {
	state := r.fold.Job(r.jobID)
	return state != nil && state.Ended
}

// waitFor waits until the job has more than count results, has ended, or the context ends.
func (r *jobReading) waitFor(ctx context.Context, count int) {
	r.countWaiting(1)
	defer r.countWaiting(-1)
	asked := clock.Now()
	r.waitUntil(ctx, func() bool {
		state := r.fold.Job(r.jobID)
		if state != nil && (len(state.Results) > count || state.Ended) {
			return true
		}
		r.read(asked)
		return false
	})
}

func (r *jobReading) countWaiting(change int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.waiting += change
}

// waitUntil waits until condition holds, which is called with the mutex held.
func (r *jobReading) waitUntil(ctx context.Context, condition func() bool) bool {
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

// read has the reading go on for somebody who asked. It goes on without them: over a thin link a
// caller's patience may end before a read does, and the next one is to have what it brought. The
// mutex is held.
func (r *jobReading) read(asked time.Time) {
	if asked.After(r.askedFor) {
		r.askedFor = asked
	}
	if !r.active {
		r.active = r.all.start(r.run)
	}
}

// run reads while somebody asks.
func (r *jobReading) run(ctx context.Context) {
	for {
		err := r.readPage(ctx)
		if !r.goesOn(err) {
			return
		}
		if err != nil {
			pause.For(ctx, retryPause)
		}
	}
}

// readPage reads on once.
func (r *jobReading) readPage(ctx context.Context) error {
	next, hold := r.nextRead()
	if hold == 0 {
		select {
		case r.all.slots <- struct{}{}:
			defer func() { <-r.all.slots }()
		case <-ctx.Done():
			return r.noteFailure(ctx.Err(), clock.Now())
		}
	}
	// A page that hangs holds a slot up, and with three of them all jobs of the node.
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := clock.Now()
	read, err := r.readLog(ctx, next, hold)
	if err == nil && len(read.Records) == 0 && read.Next < read.End {
		err = errCutOff
	}
	if err != nil {
		return r.noteFailure(err, asked)
	}
	r.apply(read, asked)
	return nil
}

func (r *jobReading) readLog(ctx context.Context, next int64, hold time.Duration) (store.Batch, error) {
	if hold > 0 {
		return r.log.Read(ctx, r.at, next, hold)
	}
	return store.ReadPage(ctx, r.log, r.at, next, 0, pageBytes)
}

// nextRead returns where the next read begins, and how long it may be held: not at all, but for
// callers that wait for news.
func (r *jobReading) nextRead() (next int64, hold time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.waiting > 0 && !r.freshSince.IsZero() {
		hold = callerReadWait
	}
	return r.next, hold
}

// noteFailure takes that a read failed which was asked at asked. Where the store has dropped
// records, results may be among them.
func (r *jobReading) noteFailure(err error, asked time.Time) error {
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		err = errors.Join(errMayStandElsewhere, err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failed, r.failedAt = fmt.Errorf("read job %q from offset %d: %w", r.jobID, r.next, err), asked
	r.notify()
	return r.failed
}

// apply takes what a read brought that was asked at asked.
func (r *jobReading) apply(read store.Batch, asked time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, record := range read.Records {
		if r.endedLocked() {
			break
		}
		if _, err := r.fold.Apply(record.Value); err != nil {
			r.logger.Error("record void", zap.Stringer("partition", r.at), zap.Int64("offset", record.Offset), zap.Error(err))
			continue
		}
		r.bytes += len(record.Value)
	}
	r.next = read.Next
	if read.Next >= read.End {
		r.freshSince = asked
	}
	r.notify()
}

// goesOn says whether more is to be read after a read that ended with an error or nil; if not,
// the next who asks begins again.
func (r *jobReading) goesOn(err error) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.active = !r.endedLocked() && r.all.ctx.Err() == nil && (r.waiting > 0 || r.asksRemain(err))
	return r.active
}

// asksRemain says whether somebody asked whom the last read, which ended with an error or nil,
// does not answer. The mutex is held.
func (r *jobReading) asksRemain(err error) bool {
	if err != nil {
		return r.askedFor.After(r.failedAt)
	}
	return r.freshSince.Before(r.askedFor) && clock.Since(r.askedFor) < interest
}

func (r *jobReading) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// The bounds of what a node keeps of jobs that it read for callers.
const (
	// keepJobFor is how long a job is kept after it was last asked for: callers that ran out
	// of patience ask again within some seconds.
	keepJobFor = 15 * time.Second
	// keepJobBytes bounds the records of all that are kept, in bytes: some ten jobs.
	keepJobBytes = 16 << 20
	// pageBytes is the size of a page in bytes: less brings a first answer sooner, and less of
	// what stands behind the job's end; more takes fewer calls.
	pageBytes = 512 << 10
	// readingsAtOnce bounds the reads under way: a page takes 0.07 s over 60 Mbit/s.
	readingsAtOnce = 3
)

// jobReadings are the jobs that are read, or kept, for callers of this node.
type jobReadings struct {
	// slots bounds the reads under way: those that share a thin link evenly would all come
	// too late.
	slots chan struct{}
	// ctx ends when nothing is to be read any more.
	ctx    context.Context
	cancel context.CancelFunc

	mutex sync.Mutex
	byJob map[string]*jobReading

	// startMutex guards ended; nothing is added to background once that is set. It may be
	// taken while the mutex of a reading is held.
	startMutex sync.Mutex
	background conc.WaitGroup
	ended      bool
}

func newJobReadings() *jobReadings {
	ctx, cancel := context.WithCancel(context.Background())
	return &jobReadings{slots: make(chan struct{}, readingsAtOnce), ctx: ctx, cancel: cancel, byJob: make(map[string]*jobReading)}
}

// start has something read in the background, and says whether it did.
func (j *jobReadings) start(run func(context.Context)) bool {
	j.startMutex.Lock()
	defer j.startMutex.Unlock()
	if j.ended {
		return false
	}
	j.background.Go(func() { run(j.ctx) })
	return true
}

// end ends all reading, and returns when it has ended.
func (j *jobReadings) end() {
	j.startMutex.Lock()
	j.ended = true
	j.startMutex.Unlock()
	j.cancel()
	j.background.Wait()
}

// of returns the reading of a job that begins at an offset of a partition.
func (j *jobReadings) of(p *partition, jobID string, from int64) *jobReading {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if kept := j.byJob[jobID]; kept != nil && kept.from == from {
		return kept
	}
	if len(j.byJob) == 0 {
		time.AfterFunc(keepJobFor, j.sweep)
	}
	reading := &jobReading{
		log: p.log, at: p.at, jobID: jobID, from: from, next: from, logger: p.logger, all: j,
		changed: make(chan struct{}), fold: batch.NewJobFold(jobID), askedFor: clock.Now(),
	}
	// Room is made before: the new reading is not being read yet, and would be the first to go.
	j.forgetLocked()
	j.byJob[jobID] = reading
	return reading
}

// kept returns the reading of a job, or nil.
func (j *jobReadings) kept(jobID string) *jobReading {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.byJob[jobID]
}

// sweep forgets what nobody asks for any more, and looks again later while anything is kept.
func (j *jobReadings) sweep() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.forgetLocked()
	if len(j.byJob) > 0 {
		time.AfterFunc(keepJobFor, j.sweep)
	}
}

// forgetLocked forgets the jobs that were not asked for of late, and those asked for longest ago
// while all take too much memory. One that is being read is kept.
func (j *jobReadings) forgetLocked() {
	total := 0
	for jobID, reading := range j.byJob {
		idle, bytes := reading.idle()
		if idle > keepJobFor {
			delete(j.byJob, jobID)
			continue
		}
		total += bytes
	}
	for total > keepJobBytes {
		jobID, bytes := j.longestIdle()
		if jobID == "" {
			return
		}
		delete(j.byJob, jobID)
		total -= bytes
	}
}

// longestIdle returns the job that was asked for longest ago of those that are not being read, and
// its size; empty for none.
func (j *jobReadings) longestIdle() (jobID string, bytes int) {
	var longest time.Duration
	for id, reading := range j.byJob {
		if idle, size := reading.idle(); idle > longest {
			jobID, bytes, longest = id, size, idle
		}
	}
	return jobID, bytes
}

// idle returns how long ago a job was asked for, 0 while it is being read, and the size of what is
// kept of it.
func (r *jobReading) idle() (idle time.Duration, bytes int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.active && r.waiting == 0 {
		idle = clock.Since(r.askedFor)
	}
	return idle, r.bytes
}
