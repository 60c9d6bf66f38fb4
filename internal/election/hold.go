package election

import (
	"sync"
	"time"

	"dalehook/internal/clock"
)

// yieldAfter is the time without an answer of the store after which a holder yields its
// lease to a process that does reach the store. It is above the time between two answers
// that a holder gets of a slow store, or of one that is back after an outage and has many
// callers.
const yieldAfter = 1200 * time.Millisecond

// yieldWait is how long a holder that is asked to yield still waits for the store.
const yieldWait = 300 * time.Millisecond

// Hold is what a process knows of the lease that it holds, for those that ask at its node.
// Its methods may be called by several goroutines.
type Hold struct {
	mutex     sync.Mutex
	contactAt time.Time
	// contacted is closed and replaced at each answer of the store.
	contacted chan struct{}
	epoch     int64
	leading   bool
	yielded   int64
}

// Yield gives the lease of an epoch up if the store did not answer for a while, nor does
// shortly after: it may just be back for all. It says whether the lease has been given up,
// now or before.
func (h *Hold) Yield(epoch int64) bool {
	h.mutex.Lock()
	contacted, due, before := h.contacts(), h.due(epoch), h.yielded == epoch
	h.mutex.Unlock()
	if before || !due {
		return before
	}
	select {
	case <-contacted:
	case <-time.After(yieldWait):
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.due(epoch) {
		return false
	}
	h.yielded = epoch
	return true
}

// due says whether the lease of an epoch is to be given up, or has been. The mutex is held.
func (h *Hold) due(epoch int64) bool {
	if h.yielded == epoch {
		return true
	}
	return h.leading && h.epoch == epoch && clock.Since(h.contactAt) >= yieldAfter
}

// contacts returns a channel that is closed at the next answer of the store. The mutex is
// held.
func (h *Hold) contacts() <-chan struct{} {
	if h.contacted == nil {
		h.contacted = make(chan struct{})
	}
	return h.contacted
}

func (h *Hold) noteContact(now time.Time) {
	if h == nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.contactAt = now
	if h.contacted != nil {
		close(h.contacted)
		h.contacted = nil
	}
}

func (h *Hold) noteStanding(standing Standing) {
	if h == nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.leading, h.epoch = standing.Leading, standing.Lease.Epoch
}

// Yielded says whether the lease of an epoch was given up.
func (h *Hold) Yielded(epoch int64) bool { return epoch > 0 && h.yieldedEpoch() == epoch }

// yieldedEpoch returns the epoch that was given up last, 0 for none.
func (h *Hold) yieldedEpoch() int64 {
	if h == nil {
		return 0
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.yielded
}
