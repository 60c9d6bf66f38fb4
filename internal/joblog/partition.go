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
	// readWait is how long the store may hold a read that finds nothing; the
	// scheduler's reads are held for a shorter time, since a read that meets an append
	// under way was seen to be held to its end, and a step waits for it.
	readWait          = 700 * time.Millisecond
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
	// interest is how long a partition is followed after it was last asked for.
	interest = 8 * time.Second
)

// partition is one partition as this node knows it.
type partition struct {
	log    store.Log
	at     store.Partition
	logger *zap.Logger
	outage follow.Outage

	mutex sync.Mutex
	// changed is closed and replaced whenever anything below changes.
	changed    chan struct{}
	wantedTill time.Time
	subscriber Subscriber
	fold       *batch.Fold
	// next is the offset of the first record that was not read.
	next int64
	// freshAt is when a read last came to the partition's end, freshBegan when that read
	// began; both are zero until the partition was read from its start to its end.
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
		changed: make(chan struct{}),
		fold:    batch.NewFold(),
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

func (p *partition) visit(jobID string, visit func(*batch.State)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	visit(p.fold.Job(jobID))
}

func (p *partition) visitIf(jobID string, satisfied Condition, visit func(*batch.State)) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.fold.Job(jobID)
	if !satisfied(state, time.Since(p.freshAt) < freshFor) {
		return false
	}
	visit(state)
	return true
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

// catchUp waits until all that stood in the partition when it was called was read.
func (p *partition) catchUp(ctx context.Context) error {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	fresh, err := p.awaitFirstRead(ctx, asked)
	if err != nil || fresh {
		return err
	}
	end, err := p.end(ctx)
	if err != nil {
		return err
	}
	if !p.waitUntil(ctx, func() bool { return p.next >= end }) {
		return ctx.Err()
	}
	return nil
}

// awaitFirstRead waits until the partition was read from its start to its end once.
// Asking for the end before would bring all of it over the link a second time. Fresh
// says that the read which came to the end began after asked.
func (p *partition) awaitFirstRead(ctx context.Context, asked time.Time) (fresh bool, err error) {
	settled := p.waitUntil(ctx, func() bool {
		fresh = p.freshBegan.After(asked)
		err = nil
		if p.freshAt.IsZero() && p.failedAt.After(asked) {
			err = p.failed
		}
		return !p.freshAt.IsZero() || err != nil
	})
	if !settled {
		return false, ctx.Err()
	}
	return fresh, err
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
		p.outage.Note(err, zap.Stringer("partition", p.at), zap.Int64("offset", p.next))
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
	p.fold = batch.NewFold()
	p.next = 0
	p.freshAt, p.freshBegan = time.Time{}, time.Time{}
}

func (p *partition) advance(ctx context.Context) error {
	began := time.Now()
	wait, timeout := p.bounds()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	read, err := p.log.Read(ctx, p.at, p.next, wait)
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		read, err = store.Batch{Next: trimmed.First, End: trimmed.First + 1}, nil
	}
	if err != nil {
		return err
	}
	p.apply(read, began)
	return nil
}

// bounds returns how long a read that finds nothing may be held, and how long a read
// may take. The first reads of a partition wait for nothing.
func (p *partition) bounds() (wait, timeout time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.freshAt.IsZero():
		return 0, longReadTimeout
	case p.subscriber != nil:
		return schedulerReadWait, readTimeout
	}
	return readWait, readTimeout
}

func (p *partition) apply(read store.Batch, began time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, record := range read.Records {
		change, err := p.fold.Apply(record.Value)
		if err != nil {
			p.logger.Error("record void", zap.Stringer("partition", p.at), zap.Int64("offset", record.Offset), zap.Error(err))
			continue
		}
		if p.subscriber != nil && change != (batch.Change{}) {
			p.subscriber.HandleChange(p.at.Number, change)
		}
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
