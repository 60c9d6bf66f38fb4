package follow

import (
	"errors"
	"time"

	"dalehook/internal/store"
)

// Parameters of a Pacer.
const (
	// initialThrottlePause is the pause after the first throttled call.
	initialThrottlePause = 200 * time.Millisecond
	// backoffFactor multiplies the pause after each throttled call, recoveryFactor after
	// each successful call.
	backoffFactor  = 2
	recoveryFactor = 0.97
	// maxRetryFactor bounds the pause after consecutive failures to this multiple of Retry.
	// The pause grows because many nodes that retry at once would overload a slow store.
	maxRetryFactor = 4
)

// Pacer computes the pause between calls of one kind. The pause grows while the store throttles
// calls, so that many nodes share the store's rate limit without coordination.
type Pacer struct {
	// Base is the pause while no call is throttled, Max the longest pause.
	Base, Max time.Duration
	// Retry is the pause after a call that failed for another reason; it grows with
	// consecutive failures.
	Retry   time.Duration
	current time.Duration
	// failures is the number of consecutive failed calls.
	failures int
}

// Next returns the pause after a call.
func (p *Pacer) Next(err error) time.Duration {
	switch {
	case errors.Is(err, store.ErrThrottled):
		p.current = min(max(p.current*backoffFactor, initialThrottlePause), p.Max)
		return p.current
	case err != nil:
		p.failures++
		return max(p.Retry*time.Duration(min(p.failures, maxRetryFactor)), p.current)
	}
	p.failures = 0
	p.current = time.Duration(float64(p.current) * recoveryFactor)
	return max(p.Base, p.current)
}
