package follow

import (
	"errors"
	"time"

	"dalehook/internal/store"
)

// How a pace adapts.
const (
	// firstPause is the pause after the first throttled call.
	firstPause = 200 * time.Millisecond
	// slowDown multiplies the pause at each throttled call, and recovery at each
	// call that went through.
	slowDown = 2
	recovery = 0.97
	// mostRetries bounds how many times Retry the pause after failures in a row grows
	// to: many nodes that ask again at once hold a store up that is short of time.
	mostRetries = 4
)

// Pace is the pause between calls of one kind. It grows while the store throttles
// calls, so that many nodes share the store's rate without knowing of each other.
type Pace struct {
	// Base is the pause while nothing is throttled, Most the longest.
	Base, Most time.Duration
	// Retry is the pause after a call that failed otherwise; it grows with failures in
	// a row.
	Retry   time.Duration
	current time.Duration
	// failures counts the calls that failed in a row.
	failures int
}

// Next returns the pause after a call.
func (p *Pace) Next(err error) time.Duration {
	switch {
	case errors.Is(err, store.ErrThrottled):
		p.current = min(max(p.current*slowDown, firstPause), p.Most)
		return p.current
	case err != nil:
		p.failures++
		return max(p.Retry*time.Duration(min(p.failures, mostRetries)), p.current)
	}
	p.failures = 0
	p.current = time.Duration(float64(p.current) * recovery)
	return max(p.Base, p.current)
}
