package rollout

import (
	"time"

	"dalehook/internal/cluster"
)

// The retries of samples and appends.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// retryBurst and retryRate bound the retries of attempts: a burst, and a
	// number a second after it.
	retryBurst = 256
	retryRate  = 20.0
	// budgetPause is the extra time that a retry waits when the budget is spent.
	budgetPause = 2 * time.Second
	// maxAvoided bounds the engines that are avoided at a time.
	maxAvoided = 4096
)

// backoff returns the pause before the given retry, counted from one, with
// jitter. There is none before the first try.
func (m *Machine) backoff(failures int) time.Duration {
	if failures <= 0 {
		return 0
	}
	const maxDoublings = 10
	pause := min(minBackoff<<min(failures-1, maxDoublings), maxBackoff)
	half := pause / 2
	return half + time.Duration(m.random.Int64N(int64(half)+1))
}

// retryBudget is a token bucket over all retries of attempts at this node.
type retryBudget struct {
	tokens float64
	at     time.Time
}

// take reports whether a retry is within the budget.
func (b *retryBudget) take(now time.Time) bool {
	if b.at.IsZero() {
		b.tokens = retryBurst
	} else {
		b.tokens = min(retryBurst, b.tokens+now.Sub(b.at).Seconds()*retryRate)
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// avoidance is why an engine gets no work for a while.
type avoidance struct {
	until    time.Time
	failures int
}

// avoid keeps work from an engine that failed, at least for as long as it asked.
func (m *Machine) avoid(now time.Time, engine cluster.BackendID, atLeast time.Duration) {
	known := m.avoidances[engine]
	if now.Before(known.until) {
		return // the same failure, seen by another stream
	}
	if len(m.avoidances) >= maxAvoided {
		clear(m.avoidances)
	}
	known.failures++
	known.until = now.Add(max(m.backoff(known.failures), atLeast))
	m.avoidances[engine] = known
}

// avoided reports whether an engine gets no work now.
func (m *Machine) avoided(now time.Time, engine cluster.BackendID) bool {
	return now.Before(m.avoidances[engine].until)
}

// forgive forgets the failures of an engine that finished an attempt.
func (m *Machine) forgive(engine cluster.BackendID) { delete(m.avoidances, engine) }
