package scheduler

import "time"

// How a load window adapts.
const (
	// keptShare is the share of its width that a window keeps when loads in it were slow.
	keptShare = 0.75
	// tellingShare is the share of a window that must be under way at once for a slow load
	// to say something of its width. Else its server was slow, or the node that looked.
	tellingShare = 0.5
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

// observe takes a load that took a time. It began as one of so many, and was one of at most
// so many at once while it lasted. A fast one tells of those that it had beside it all the
// time, a slow one of all.
func (w *loadWindow) observe(now time.Time, took time.Duration, beganAs, most int) {
	if w.fastest == 0 || took < w.fastest {
		w.fastest = took
	}
	if float64(took) > slowLoadFactor*float64(w.fastest) {
		w.shrink(now, most)
		return
	}
	blocked := now.Before(w.retryAt) && w.limit+1 >= w.tooWide
	if beganAs >= w.limit && !blocked {
		w.limit++
	}
}

func (w *loadWindow) shrink(now time.Time, atOnce int) {
	if atOnce <= w.least || float64(atOnce) < tellingShare*float64(w.limit) {
		return
	}
	if now.After(w.retryAt) || atOnce < w.tooWide {
		w.tooWide = atOnce
	}
	w.retryAt = now.Add(windowRetry)
	narrowed := max(atOnce-1, int(keptShare*float64(w.limit)))
	w.limit = max(min(w.limit, narrowed), w.least)
}
