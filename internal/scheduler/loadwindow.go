package scheduler

import "time"

// How a load window adapts.
const (
	// slowLoadFactor is how many times the fastest load a load may take before the
	// servers that load at once count as too many.
	slowLoadFactor = 1.25
	// windowRetry is the time after which a window that was too wide is tried again.
	windowRetry = 12 * time.Second
)

// loadWindow bounds the servers of one service that load at once. Loads share the
// way to the weights, and no interface tells how many it carries at full speed, so
// the window grows by one with each load that was as fast as the fastest while the
// window was full, and shrinks to what it was where loads became slower.
type loadWindow struct {
	least int
	limit int
	// fastest is the shortest load seen; 0 when none was.
	fastest time.Duration
	// tooWide is a number of loads at once that was too slow, until retryAt.
	tooWide int
	retryAt time.Time
}

func newLoadWindow(least, first int) *loadWindow {
	return &loadWindow{least: least, limit: max(least, first)}
}

// observe takes a load that took a time while so many loaded at once.
func (w *loadWindow) observe(now time.Time, took time.Duration, atOnce int) {
	if w.fastest == 0 || took < w.fastest {
		w.fastest = took
	}
	if float64(took) > slowLoadFactor*float64(w.fastest) {
		w.shrink(now, atOnce)
		return
	}
	blocked := now.Before(w.retryAt) && w.limit+1 >= w.tooWide
	if atOnce >= w.limit && !blocked {
		w.limit++
	}
}

func (w *loadWindow) shrink(now time.Time, atOnce int) {
	if atOnce <= w.least {
		return
	}
	if now.After(w.retryAt) || atOnce < w.tooWide {
		w.tooWide = atOnce
	}
	w.retryAt = now.Add(windowRetry)
	w.limit = max(min(w.limit, atOnce-1), w.least)
}
