package election

import (
	"sync"
	"time"

	"dalehook/internal/clock"
)

// yieldAfter is the time without an answer from the store after which a lease holder yields to a process
// that does reach the store. It exceeds the time between two answers from a store that is slow, or that has
// just recovered from an outage and serves many callers.
const yieldAfter = 1200 * time.Millisecond

// yieldWait is how long a holder that is asked to yield still waits for an answer from the store.
const yieldWait = 300 * time.Millisecond

// Yielder decides whether the lease held by this process is yielded when another node asks for it. It is
// safe for concurrent use.
type Yielder struct {
	mutex         sync.Mutex
	lastContactAt time.Time
	// contactSignal is closed and replaced at each answer from the store.
	contactSignal chan struct{}
	epoch         int64
	leading       bool
	yieldedEpoch  int64
}

// Yield gives up the lease of an epoch if the store has not answered for yieldAfter and does not answer
// within yieldWait either: after an outage the store may just have recovered for everyone. It reports
// whether the lease has been given up, now or earlier.
func (y *Yielder) Yield(epoch int64) bool {
	y.mutex.Lock()
	contact, yieldDue, alreadyYielded := y.nextContact(), y.mustYield(epoch), y.yieldedEpoch == epoch
	y.mutex.Unlock()
	if alreadyYielded || !yieldDue {
		return alreadyYielded
	}
	select {
	case <-contact:
	case <-time.After(yieldWait):
	}
	y.mutex.Lock()
	defer y.mutex.Unlock()
	if !y.mustYield(epoch) {
		return false
	}
	y.yieldedEpoch = epoch
	return true
}

// mustYield reports whether the lease of an epoch is to be given up, or already has been. The caller holds
// the mutex.
func (y *Yielder) mustYield(epoch int64) bool {
	if y.yieldedEpoch == epoch {
		return true
	}
	return y.leading && y.epoch == epoch && clock.Since(y.lastContactAt) >= yieldAfter
}

// nextContact returns a channel that is closed at the next answer from the store. The caller holds the
// mutex.
func (y *Yielder) nextContact() <-chan struct{} {
	if y.contactSignal == nil {
		y.contactSignal = make(chan struct{})
	}
	return y.contactSignal
}

func (y *Yielder) handleStoreContact(now time.Time) {
	if y == nil {
		return
	}
	y.mutex.Lock()
	defer y.mutex.Unlock()
	y.lastContactAt = now
	if y.contactSignal != nil {
		close(y.contactSignal)
		y.contactSignal = nil
	}
}

func (y *Yielder) handleState(state State) {
	if y == nil {
		return
	}
	y.mutex.Lock()
	defer y.mutex.Unlock()
	y.leading, y.epoch = state.Leading, state.Lease.Epoch
}

// HasYielded reports whether the lease of an epoch was given up.
func (y *Yielder) HasYielded(epoch int64) bool { return epoch > 0 && y.lastYieldedEpoch() == epoch }

// lastYieldedEpoch returns the epoch that was given up last, or 0 for none.
func (y *Yielder) lastYieldedEpoch() int64 {
	if y == nil {
		return 0
	}
	y.mutex.Lock()
	defer y.mutex.Unlock()
	return y.yieldedEpoch
}
