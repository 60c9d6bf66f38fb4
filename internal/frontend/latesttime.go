package frontend

import (
	"math"
	"sync/atomic"
	"time"
)

// latestTime holds the latest of the times it was given. It isn't affected by steps of the wall
// clock, and is safe for concurrent use. The zero value holds no time.
type latestTime struct{ at atomic.Pointer[time.Time] }

// advance sets the time to at unless it is later already.
func (m *latestTime) advance(at time.Time) {
	for {
		current := m.at.Load()
		if current != nil && !at.After(*current) {
			return
		}
		if m.at.CompareAndSwap(current, &at) {
			return
		}
	}
}

// age returns the time since the held one, and the longest duration if there is none.
func (m *latestTime) age(now time.Time) time.Duration {
	at := m.at.Load()
	if at == nil {
		return math.MaxInt64
	}
	return now.Sub(*at)
}
