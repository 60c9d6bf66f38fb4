package joblog

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
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
	// catchUpTimeout bounds the reading up to the partition's end for an answer.
	catchUpTimeout = 2200 * time.Millisecond
	// freshFor is how long a read to the end stands for the end itself. It is
	// shorter than the time after which a position that was read at one node must
	// be there at all.
	freshFor = 800 * time.Millisecond
	// interest is how long a partition is followed after it was last asked for. A trainer
	// reads twice a second, at any node: those of a small fleet are asked again soon, and
	// those of a large one would read for nothing.
	interest = 2 * time.Second
)

// partition is one partition as this node knows it: all of it for a subscriber, else from
// the first job on that was asked for.
type partition struct {
	log    store.Log
	at     store.Partition
	index  *index
	logger *zap.Logger
	outage follow.Outage

	mutex sync.Mutex
	// changed is closed and replaced whenever anything below changes.
	changed    chan struct{}
	wantedTill time.Time
	subscriber Subscriber
	fold       *batch.Fold
	// from is the offset that the reading began at, next that of the first record that
	// was not read.
	from, next int64
	// covers says that no open job begins before from.
	covers bool
	// openFrom is the offset that was last told to the subscriber, before which all jobs
	// have ended.
	openFrom int64
	// waiting counts the callers that wait for news.
	waiting int
	// endRead ends the read under way, if there is one.
	endRead context.CancelFunc
	// message is the offset of the first record of the message that is being read.
	message int64
	// freshAt is when a read last came to the partition's end, freshBegan when that read
	// began; both are zero until the partition was read from where the reading began to
	// its end.
	freshAt, freshBegan time.Time
	// failed is the last failure of a read, at failedAt.
	failed   error
	failedAt time.Time
}

func newPartition(options Options, number int) *partition {
	return &partition{
		log:     options.Log,
		at:      store.Partition{Topic: store.TopicJobs, Number: number},
		logger:  options.Logger,
		outage:  follow.Outage{Logger: options.Logger},
		index:   newIndex(options, number),
		changed: make(chan struct{}),
		fold:    batch.NewFold(),
		covers:  true,
	}
}

// resetLocked forgets what was read, and begins anew at an offset.
func (p *partition) resetLocked(from int64) {
	p.fold = batch.NewFold()
	p.from, p.next = from, from
	p.covers = from == 0
	p.openFrom = from
	p.freshAt, p.freshBegan = time.Time{}, time.Time{}
	if p.endRead != nil {
		p.endRead()
	}
}

// notify wakes all that wait. The mutex is held.
func (p *partition) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *partition) touch() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.touchLocked()
}

func (p *partition) touchLocked() {
	idle := !p.wanted()
	p.wantedTill = time.Now().Add(interest)
	if idle {
		p.notify()
	}
}

// wanted says whether the partition is to be followed. The mutex is held.
func (p *partition) wanted() bool {
	return p.subscriber != nil || time.Now().Before(p.wantedTill)
}

func (p *partition) subscribe(subscriber Subscriber) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.subscriber = subscriber
	if !p.covers {
		p.resetLocked(0)
	}
	p.fold.Jobs(func(state *batch.State) {
		subscriber.HandleChange(p.at.Number, batch.Change{Accepted: state})
	})
	p.notify()
}

// unsubscribe ends a subscription unless another has replaced it.
func (p *partition) unsubscribe(subscriber Subscriber) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.subscriber == subscriber {
		p.subscriber = nil
	}
}

// beginAt has the partition read from where a job begins, or from an earlier offset. A job
// that the index does not hold may stand anywhere.
func (p *partition) beginAt(ctx context.Context, jobID string) error {
	start := int64(0)
	if !p.followed() {
		// An index that can not be read tells nothing.
		start, _, _ = p.index.find(ctx, jobID)
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

// follow has the partition read from where the first open job begins. What the index can not
// tell is read.
func (p *partition) follow(ctx context.Context) {
	from, err := p.index.findOpen(ctx)
	if err != nil {
		p.logger.Warn("partition read from its start", zap.Stringer("partition", p.at), zap.Error(err))
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.followedLocked() {
		p.resetLocked(from)
		p.covers = true
	}
	p.touchLocked()
}

// followed says whether the partition is being read from where the first open job begins, or
// from an earlier offset.
func (p *partition) followed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.followedLocked()
}

func (p *partition) followedLocked() bool {
	return p.subscriber != nil || p.covers && (p.next > p.from || p.wanted())
}

// jobLocked returns what is known of a job. Where the reading began in the midst of the
// partition, a job that began before it may stand there once more, void. Where it covers all
// open jobs, those were dropped as they came.
func (p *partition) jobLocked(jobID string) *batch.State {
	state := p.fold.Job(jobID)
	if state == nil || p.covers {
		return state
	}
	if start, known := p.index.lookUp(jobID); !known || start != state.Start {
		return nil
	}
	return state
}

func (p *partition) visit(jobID string, visit func(*batch.State)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	visit(p.jobLocked(jobID))
}

func (p *partition) visitIf(jobID string, satisfied Condition, visit func(*batch.State)) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.holds(jobID, satisfied) {
		return false
	}
	visit(p.jobLocked(jobID))
	return true
}

// holds says whether a condition holds for what is known of a job. The mutex is held.
func (p *partition) holds(jobID string, satisfied Condition) bool {
	return satisfied(p.jobLocked(jobID), time.Since(p.freshAt) < freshFor)
}

func (p *partition) countWaiting(change int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.waiting += change
}

// waitUntil waits until condition holds, which is called with the mutex held.
func (p *partition) waitUntil(ctx context.Context, condition func() bool) bool {
	for {
		p.mutex.Lock()
		holds := condition()
		changed := p.changed
		p.mutex.Unlock()
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

// offset returns that of the first record that was not read.
func (p *partition) offset() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.next
}

func (p *partition) noteFailure(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failed, p.failedAt = err, time.Now()
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
	began := time.Now()
	ctx, next, wait := p.beginRead(ctx)
	read, err := p.log.Read(ctx, p.at, next, wait)
	if p.endOfRead(next) {
		return nil // what was read is of no more use
	}
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		read, err = store.Batch{Next: trimmed.First, End: trimmed.First + 1}, nil
	}
	if err != nil {
		return err
	}
	p.apply(next, read, began)
	return nil
}

// beginRead returns where the next read begins and how long it may be held when it finds
// nothing; its context bounds its time. The first reads of a partition wait for nothing.
func (p *partition) beginRead(parent context.Context) (ctx context.Context, next int64, wait time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	timeout := readTimeout
	switch {
	case p.freshAt.IsZero():
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

// endOfRead says whether the reading began anew while a read from an offset was under way.
func (p *partition) endOfRead(from int64) (anew bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.endRead()
	p.endRead = nil
	return p.next != from
}

// apply takes what a read from an offset brought, unless the reading has begun anew.
func (p *partition) apply(from int64, read store.Batch, began time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if from != p.next {
		return
	}
	for _, record := range read.Records {
		if p.fold.Between() {
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
	first := p.freshAt.IsZero()
	if read.Next >= read.End {
		p.freshAt, p.freshBegan = time.Now(), began
	}
	if p.subscriber != nil && read.Next >= read.End {
		p.subscriber.HandleFresh(p.at.Number, began)
	}
	if moved || first {
		p.notify()
	}
}

// handleChange takes what the record at an offset changed. The mutex is held.
func (p *partition) handleChange(change batch.Change, offset int64) {
	if change.Accepted != nil {
		change.Accepted.Start = p.message
		if p.beganBefore(change.Accepted.Job.ID) {
			p.fold.Drop(change.Accepted.Job.ID)
			return
		}
	}
	if p.subscriber == nil || change == (batch.Change{}) {
		return
	}
	p.subscriber.HandleChange(p.at.Number, change)
	if change.Ended != nil {
		p.tellOpenFrom(offset + 1)
	}
}

// beganBefore says that a job stands in the partition before the reading began, so that what
// was read now is a void copy. The mutex is held.
func (p *partition) beganBefore(jobID string) bool {
	if !p.covers || p.from == 0 {
		return false
	}
	start, known := p.index.lookUp(jobID)
	return known && start < p.from
}

// tellOpenFrom tells the subscriber where the first open job begins, next when none is open.
// The mutex is held.
func (p *partition) tellOpenFrom(next int64) {
	openFrom := next
	p.fold.Jobs(func(state *batch.State) {
		if !state.Ended {
			openFrom = min(openFrom, state.Start)
		}
	})
	if openFrom > p.openFrom {
		p.openFrom = openFrom
		p.subscriber.HandleOpenFrom(p.at.Number, openFrom)
	}
}

// scan reads a job once, from where it begins to where satisfied holds or the partition ends,
// and changes nothing of what is followed. A job that the index does not hold may stand
// anywhere.
func (p *partition) scan(ctx context.Context, jobID string, satisfied Condition, visit func(*batch.State)) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	next, _, err := p.index.find(ctx, jobID)
	if err != nil {
		return err
	}
	fold := batch.NewFold()
	for {
		read, err := p.log.Read(ctx, p.at, next, 0)
		var trimmed *store.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > next {
			next = trimmed.First
			continue
		}
		if err != nil {
			return err
		}
		for _, record := range read.Records {
			if _, err := fold.Apply(record.Value); err != nil {
				p.logger.Error("record void", zap.Stringer("partition", p.at), zap.Int64("offset", record.Offset), zap.Error(err))
			}
		}
		next = read.Next
		atEnd := next >= read.End
		if state := fold.Job(jobID); atEnd || satisfied(state, false) {
			visit(state)
			return nil
		}
	}
}
