package scheduler

import "time"

// Parameters of the load window.
const (
	// minKeptShare is the smallest share of its limit that a window keeps when it shrinks.
	minKeptShare = 0.75
	// minConcurrencyShare is the share of the window that must be in use for a slow load to shrink
	// it. Below it, the load was slow because of its server or the observing node.
	minConcurrencyShare = 0.5
	// slowLoadFactor is the ratio to the fastest load above which a load counts as slow.
	slowLoadFactor = 1.25
	// windowRetryDelay is the time after which a size that was too large is tried again. A longer one
	// uses added bandwidth later; a shorter one causes more slow loads.
	windowRetryDelay = 12 * time.Second
)

// loadWindow limits the concurrent loads of one service. Loads share the bandwidth to the weights,
// which no interface reports. The window therefore grows by one with each load that was about as
// fast as the fastest while the window was full, and shrinks when loads become slower.
type loadWindow struct {
	minimum int
	limit   int
	// fastest is the shortest load observed, or 0.
	fastest time.Duration
	// slowConcurrency is a concurrency at which loads were slow; the window does not grow to it until
	// retryAt.
	slowConcurrency int
	retryAt         time.Time
}

func newLoadWindow(minimum, initial int) *loadWindow {
	return &loadWindow{minimum: minimum, limit: max(minimum, initial)}
}

// observe records a load, the number of concurrent loads when it started, and the maximum while it
// ran. A fast load confirms the concurrency at its start, a slow one rules out the maximum.
func (w *loadWindow) observe(now time.Time, duration time.Duration, concurrentAtStart, maxConcurrent int) {
	if w.fastest == 0 || duration < w.fastest {
		w.fastest = duration
	}
	if float64(duration) > slowLoadFactor*float64(w.fastest) {
		w.shrink(now, maxConcurrent)
		return
	}
	blocked := now.Before(w.retryAt) && w.limit+1 >= w.slowConcurrency
	if concurrentAtStart >= w.limit && !blocked {
		w.limit++
	}
}

func (w *loadWindow) shrink(now time.Time, concurrent int) {
	if concurrent <= w.minimum || float64(concurrent) < minConcurrencyShare*float64(w.limit) {
		return
	}
	if now.After(w.retryAt) || concurrent < w.slowConcurrency {
		w.slowConcurrency = concurrent
	}
	w.retryAt = now.Add(windowRetryDelay)
	reduced := max(concurrent-1, int(minKeptShare*float64(w.limit)))
	w.limit = max(min(w.limit, reduced), w.minimum)
}
