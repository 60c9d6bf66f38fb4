package logwriter

import "time"

// The limits of the number of attempts in flight. The lower one is what probes a
// log that is down, the upper one what follows when it is back.
const (
	minWindow = 4
	maxWindow = 128
)

// window limits the attempts in flight: it grows by one with each success and
// halves with each failure (additive increase, multiplicative decrease, as in
// TCP's congestion control, RFC 5681). Failures in a row also pause all repeated
// attempts, so that a log that is down is probed by a few calls at a time
// however many appends wait.
type window struct {
	size     int
	inFlight int
	failures int
	resumeAt time.Time
}

func newWindow() window { return window{size: maxWindow} }

func (w *window) open() bool { return w.inFlight < w.size }

// paused reports whether repeated attempts have to wait.
func (w *window) paused(now time.Time) bool { return now.Before(w.resumeAt) }

func (w *window) sent() { w.inFlight++ }

func (w *window) landed() { w.inFlight-- }

func (w *window) succeeded() {
	w.size = min(maxWindow, w.size+1)
	w.failures = 0
	w.resumeAt = time.Time{}
}

// failed takes the pause that follows the given number of failures in a row.
func (w *window) failed(now time.Time, pause func(failures int) time.Duration) {
	w.size = max(minWindow, w.size/2)
	w.failures++
	w.resumeAt = now.Add(pause(w.failures))
}
