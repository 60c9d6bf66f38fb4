package frontend

import (
	"math"
	"sync/atomic"
	"time"
)

// moment is when something last was. It only advances, and a step of the machine's clock does not
// move it. It may be used by several goroutines; the zero value is never.
type moment struct{ at atomic.Pointer[time.Time] }

// advance has the moment be at, unless it is later already.
func (m *moment) advance(at time.Time) {
	for {
		before := m.at.Load()
		if before != nil && !at.After(*before) {
			return
		}
		if m.at.CompareAndSwap(before, &at) {
			return
		}
	}
}

// age returns the time since the moment.
func (m *moment) age(now time.Time) time.Duration {
	at := m.at.Load()
	if at == nil {
		return math.MaxInt64
	}
	return now.Sub(*at)
}
