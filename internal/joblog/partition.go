package joblog

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/clock"
	"dalehook/internal/follow"
	"dalehook/internal/store"
)

const (
	// FreshFor is how long a read to the end stands for the end itself, from when it was
	// asked: the answer says what stood there then, and may be held, or wait for a process
	// that stands still, until it is processed. It is shorter than the second after which a
	// position that was read at one node must be there at all.
	FreshFor = 900 * time.Millisecond
	// interest is how long a partition is followed after it was last asked for. A trainer
	// reads twice a second, at any node: those of a small fleet are asked again soon, and
	// those of a large one would read for nothing.
	interest = 2 * time.Second
)

// partition is one partition as this node knows it: from its start, or from where the first job
// begins that was open when the reading began. A void copy of an earlier job is dropped as it comes.
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
	// terms counts the terms under way that have the partition followed.
	terms int
	fold  *batch.Fold
	// from is the offset that the reading began at, next that of the first record that
	// was not read.
	from, next int64
	// cut says that the store had dropped records from the reading's way.
	cut bool
	// openFrom is the offset that was last told to the subscriber, before which all jobs
	// have ended.
	openFrom int64
	// waiting counts the callers that wait for news.
	waiting int
	// endRead ends the read under way, if there is one.
	endRead context.CancelFunc
	// message is the offset of the first record of the message that is being read.
	message int64
	// freshSince is when the last read was asked that told the partition's end, up to which
	// all was read; zero until the partition was read from where the reading began to its end.
	freshSince time.Time
	// endAsking holds a token while a caller asks for the partition's end: the others take what
	// that brings, or ask once for all who came meanwhile.
	endAsking chan struct{}
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

		endAsking: make(chan struct{}, 1),
	}
}

// resetLocked forgets what was read, and begins anew at an offset.
func (p *partition) resetLocked(from int64) {
	p.fold = batch.NewFold()
	p.from, p.next = from, from
	p.cut = false
	p.openFrom = from
	p.freshSince = time.Time{}
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
	p.wantedTill = clock.Now().Add(interest)
	if idle {
		p.notify()
	}
}

// wanted says whether the partition is to be followed. The mutex is held.
func (p *partition) wanted() bool {
	return p.subscriber != nil || p.terms > 0 || clock.Now().Before(p.wantedTill)
}

// knows says whether a job stands in what was read.
func (p *partition) knows(jobID string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fold.Job(jobID) != nil
}

func (p *partition) visitIf(jobID string, satisfied Condition, visit func(*batch.State)) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.holds(jobID, satisfied) {
		return false
	}
	visit(p.fold.Job(jobID))
	return true
}

// holds says whether a condition holds for what is known of a job. The mutex is held.
func (p *partition) holds(jobID string, satisfied Condition) bool {
	return satisfied(p.fold.Job(jobID), clock.Since(p.freshSince) < FreshFor)
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

// offset returns that of the first record that was not read.
func (p *partition) offset() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.next
}
