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
	// MaxStaleness is how long a read to the partition's end counts as current, measured from the
	// request: the answer shows the state at that time, but may be delayed by a long poll or a
	// stalled process. It is shorter than 1 s, the time after which a position that was
	// read at one node must be readable at all nodes.
	MaxStaleness = 900 * time.Millisecond
	// idleTimeout is how long a partition is followed after its last request. A trainer
	// reads twice a second from any node: in a small fleet the next request arrives soon, and in a
	// large fleet longer following would be wasted.
	idleTimeout = 2 * time.Second
)

// partition is this node's state of one partition, read from the partition's start or from the start
// of the first job that was open when the read began. A duplicate of an earlier job is dropped on arrival.
type partition struct {
	log    store.Log
	at     store.Partition
	index  *index
	logger *zap.Logger
	outage follow.Outage

	mutex sync.Mutex
	// changed is closed and replaced whenever a field below changes.
	changed     chan struct{}
	wantedUntil time.Time
	subscriber  Subscriber
	// activeTerms is the number of current terms that follow the partition.
	activeTerms int
	fold        *batch.Fold
	// from is the offset at which the read began, next the offset of the first unread
	// record.
	from, next int64
	// firstKept is the offset of the first record that the store kept at the last read.
	firstKept int64
	// recordsTrimmed is true if the store had trimmed records that were not yet read.
	recordsTrimmed bool
	// openFrom is the offset last reported to the subscriber, before which all jobs
	// have ended.
	openFrom int64
	// waiters is the number of callers that wait for new records.
	waiters int
	// cancelRead cancels the read in progress; nil if there is none.
	cancelRead context.CancelFunc
	// messageOffset is the offset of the first record of the message being read.
	messageOffset int64
	// caughtUpAsOf is the request time of the last read that reached the partition's end; zero
	// until the partition was read to its end once.
	caughtUpAsOf time.Time
	// endReadToken holds a token while a caller reads the partition's end. Other callers use the
	// result of that read, or share the next one.
	endReadToken chan struct{}
	// lastErr is the error of the last failed read, which failed at lastErrAt.
	lastErr   error
	lastErrAt time.Time
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

		endReadToken: make(chan struct{}, 1),
	}
}

// resetLocked discards the state and restarts the read at an offset.
func (p *partition) resetLocked(from int64) {
	p.fold = p.index.newFold(from)
	p.from, p.next = from, from
	p.recordsTrimmed = false
	p.openFrom = from
	p.caughtUpAsOf = time.Time{}
	if p.cancelRead != nil {
		p.cancelRead()
	}
}

// notify wakes all waiters. The caller holds the mutex.
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
	p.wantedUntil = clock.Now().Add(idleTimeout)
	if idle {
		p.notify()
	}
}

// wanted reports whether the partition should be followed. The caller holds the mutex.
func (p *partition) wanted() bool {
	return p.subscriber != nil || p.activeTerms > 0 || clock.Now().Before(p.wantedUntil)
}

// knows reports whether a job is among the records read so far.
func (p *partition) knows(jobID string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fold.Job(jobID) != nil
}

// openMemory returns the memory of the partition's jobs whose items are held.
func (p *partition) openMemory() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fold.Memory()
}

func (p *partition) visitIf(jobID string, condition Condition, visit func(*batch.State)) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.satisfies(jobID, condition) {
		return false
	}
	visit(p.fold.Job(jobID))
	return true
}

// satisfies reports whether the known state of a job satisfies a condition. The caller holds the mutex.
func (p *partition) satisfies(jobID string, condition Condition) bool {
	return condition(p.fold.Job(jobID), clock.Since(p.caughtUpAsOf) < MaxStaleness)
}

func (p *partition) addWaiters(change int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.waiters += change
}

// waitUntil waits until condition returns true; condition is called with the mutex held.
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

// offset returns the offset of the first unread record.
func (p *partition) offset() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.next
}
