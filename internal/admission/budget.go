package admission

import "time"

// RetryBudget bounds retries to a share of recent successes, so that retries
// can't multiply an overload (see "Addressing Cascading Failures" in Site
// Reliability Engineering, and Finagle's RetryBudget). A small floor lets a node
// with little traffic retry at all.
type RetryBudget struct {
	// share is the number of retries that one success pays for.
	share float64
	// floor is the number of retries a second that need no success.
	floor  float64
	tokens float64
	last   time.Time
}

// maximumSaved bounds what a quiet time saves up.
const maximumSaved = 20.0

// NewRetryBudget returns a budget with one second of its floor saved.
func NewRetryBudget(share, floor float64) *RetryBudget {
	return &RetryBudget{share: share, floor: floor, tokens: floor}
}

// Succeeded pays in for one success.
func (b *RetryBudget) Succeeded() { b.tokens = min(maximumSaved, b.tokens+b.share) }

// Take takes one retry out of the budget; false means that there is none left.
func (b *RetryBudget) Take(now time.Time) bool {
	if !b.last.IsZero() {
		b.tokens = min(maximumSaved, b.tokens+b.floor*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
