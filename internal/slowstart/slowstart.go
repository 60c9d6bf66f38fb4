// Package slowstart limits the requests sent to a server while it warms up. A server that has just
// started or has lost its caches sustains only the rate in the configuration of its service, and
// fails well above it. The package does no I/O and reads no clock.
package slowstart

import (
	"math"
	"time"
)

// WindowLength is the length of the sliding window in which a limit applies.
const WindowLength = time.Second

// Unlimited is the limit of a server whose service has no warm-up rate.
const Unlimited = math.MaxInt

// Limit returns the maximum number of requests to a server within any window. rate is the number
// of requests per second that the service sustains while it warms up, or 0 if it is not limited.
//
// A server reports that it has become slow again with its next heartbeat, a second late or more. A
// server that is considered warm therefore gets at most its number of slots beyond the rate, which
// is what a scheduler needs to use an idle server at once.
func Limit(rate float64, slots int, warming bool) int {
	if rate <= 0 {
		return Unlimited
	}
	limit := max(int(rate), 1)
	if !warming {
		limit += slots
	}
	return limit
}

// Window records the times of the requests sent to a server. The zero value is an empty window. It
// is not safe for concurrent use.
type Window struct {
	// sends holds the times within the last WindowLength, oldest first. Older ones may remain
	// until the next eviction.
	sends []time.Time
}

// Record adds a request sent at now.
func (w *Window) Record(now time.Time) {
	w.evict(now)
	w.sends = append(w.sends, now)
}

// Full reports whether a server with the given limit must not be sent another request now.
func (w *Window) Full(now time.Time, limit int) bool {
	if limit == Unlimited {
		return false
	}
	w.evict(now)
	return len(w.sends) >= limit
}

func (w *Window) evict(now time.Time) {
	expired := 0
	for expired < len(w.sends) && now.Sub(w.sends[expired]) >= WindowLength {
		expired++
	}
	if expired > 0 {
		w.sends = append(w.sends[:0], w.sends[expired:]...)
	}
}
