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
)

// Pace is the pause between calls of one kind. It grows while the store throttles
// calls, so that many nodes share the store's rate without knowing of each other.
type Pace struct {
	// Base is the pause while nothing is throttled, Most the longest.
	Base, Most time.Duration
	// Retry is the pause after a call that failed otherwise.
	Retry   time.Duration
	current time.Duration
}

// Next returns the pause after a call.
func (p *Pace) Next(err error) time.Duration {
	switch {
	case errors.Is(err, store.ErrThrottled):
		p.current = min(max(p.current*slowDown, firstPause), p.Most)
		return p.current
	case err != nil:
		return max(p.Retry, p.current)
	}
	p.current = time.Duration(float64(p.current) * recovery)
	return max(p.Base, p.current)
}
