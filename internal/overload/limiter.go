package overload

import (
	"math"
	"time"
)

// Limiter defaults.
const (
	initialLimit = 4.0
	minimumLimit = 1.0
	maximumLimit = 1024.0

	// windowTime and windowAnswers end a measuring window, whichever is later.
	windowTime    = 200 * time.Millisecond
	windowAnswers = 8
	// baselineWindows is the number of windows over which the lowest mean
	// latency counts as the back end's latency without a queue.
	baselineWindows = 75
	// latencyTolerance is how far the mean latency may rise over the baseline
	// before the limit falls: 2 lets the back end hold about as many requests in
	// its queue as it runs, which keeps it busy.
	latencyTolerance = 2.0
	// smoothing is the weight of a new window's limit.
	smoothing = 0.3
	// failureDecrease is the factor of a window in which the back end refused or
	// was lost.
	failureDecrease = 0.7

	// For probeTime out of every probeEvery of wall-clock time the limit is cut to probeShare, which
	// must be below 1/latencyTolerance, so that the back end's queue drains and the latency without a
	// queue is measured again. Without probes the baseline, and the limit with it, would rise during
	// a long overload. All nodes probe at the same wall-clock time, since the queue holds the
	// requests of all of them.
	probeEvery = 10 * time.Second
	probeTime  = 600 * time.Millisecond
	probeShare = 0.3

	// A bounded limit that has not fallen for recoveryHold rises to its bound within the rest of
	// recoveryTime. A window that ended more than recoveryTime ago is discarded.
	recoveryTime = time.Second
	recoveryHold = recoveryTime / 2
)

// Limiter bounds the requests that this node has open at one back end. The
// limit follows the gradient of latency (Netflix concurrency-limits, Gradient2)
// and falls by a factor on failures (AIMD). It is not safe for concurrent use.
type Limiter struct {
	limit    float64
	inFlight int
	// bound is the largest limit. A bounded limit starts there, returns to it without answers, and
	// is not probed.
	bound   float64
	bounded bool
	// reached is when the limit last held a request back, fellAt when it last fell or could not fall
	// any further.
	reached, fellAt time.Time

	windowEnds  time.Time
	answers     int
	total       time.Duration
	failed      bool
	mostOpen    int
	baselines   []time.Duration
	nextReplace int
}

// NewLimiter returns a limiter that finds the limit of a back end of unknown size.
func NewLimiter() *Limiter { return &Limiter{limit: initialLimit, bound: maximumLimit} }

// NewBoundedLimiter returns a limiter for a back end that runs the given number of requests at once; 0
// if that is unknown. Its limit is that number, less while answers are slow or requests are rejected.
func NewBoundedLimiter(slots int) *Limiter {
	bound := boundOf(slots)
	return &Limiter{limit: bound, bound: bound, bounded: true}
}

func boundOf(slots int) float64 {
	if slots <= 0 {
		return maximumLimit
	}
	return float64(slots)
}

// SetBound sets the number of requests that the back end runs at once.
func (l *Limiter) SetBound(slots int) {
	bound := boundOf(slots)
	if l.limit >= l.bound {
		l.limit = bound
	}
	l.limit = min(l.limit, bound)
	l.bound = bound
}

// HasRoom reports whether one more request may be opened. Only a limit that was
// reached lately is cut for the probe: below it there is no queue to drain.
func (l *Limiter) HasRoom(now time.Time) bool {
	l.rise(now)
	if l.inFlight >= l.Limit() {
		l.reached = now
		return false
	}
	if l.bounded || !probing(now) || now.Sub(l.reached) > probeEvery {
		return true
	}
	return l.inFlight < int(max(minimumLimit, l.limit*probeShare))
}

// rise raises a bounded limit that has not fallen lately. Without it, the limit of a node with few
// requests would wait for answers that are seconds apart.
func (l *Limiter) rise(now time.Time) {
	if !l.bounded || l.limit >= l.bound {
		return
	}
	risen := float64(now.Sub(l.fellAt)-recoveryHold) / float64(recoveryTime-recoveryHold)
	l.limit = max(l.limit, min(1, risen)*l.bound)
}

// probing reports whether the baseline is being measured.
func probing(now time.Time) bool {
	return now.UnixMilli()%probeEvery.Milliseconds() < probeTime.Milliseconds()
}

// Limit returns the number of requests that may be open.
func (l *Limiter) Limit() int { return int(l.limit) }

// InFlight returns the number of open requests.
func (l *Limiter) InFlight() int { return l.inFlight }

// Acquire opens a request.
func (l *Limiter) Acquire() {
	l.inFlight++
	l.mostOpen = max(l.mostOpen, l.inFlight)
}

// Answered closes a request that was answered after took.
func (l *Limiter) Answered(now time.Time, took time.Duration) {
	l.inFlight--
	l.answers++
	l.total += took
	l.closeWindow(now)
}

// Failed closes a request that the back end refused or lost for want of capacity.
func (l *Limiter) Failed(now time.Time) {
	l.inFlight--
	l.failed = true
	l.closeWindow(now)
}

// Dropped closes a request whose end does not show the back end's capacity.
func (l *Limiter) Dropped() { l.inFlight-- }

// closeWindow moves the limit once a window is over.
func (l *Limiter) closeWindow(now time.Time) {
	if l.windowEnds.IsZero() {
		l.windowEnds = now.Add(windowTime)
		return
	}
	if l.bounded && now.Sub(l.windowEnds) > recoveryTime {
		l.startWindow(now)
		return
	}
	if now.Before(l.windowEnds) || l.answers < windowAnswers && !l.failed {
		return
	}
	l.rise(now)
	previous := l.limit
	switch {
	case !l.bounded && probing(now) && l.answers > 0:
		l.noteBaseline(l.total / time.Duration(l.answers))
	case l.failed:
		l.limit = max(minimumLimit, l.limit*failureDecrease)
	case float64(l.mostOpen) >= l.limit/2:
		// The limit follows the latency only while half of it was in use: fewer requests do not show
		// the capacity of the back end.
		l.follow(l.total / time.Duration(l.answers))
	default:
		l.noteBaseline(l.total / time.Duration(l.answers))
	}
	if l.failed || l.limit < previous || l.limit == minimumLimit {
		l.fellAt = now
	}
	l.startWindow(now)
}

func (l *Limiter) startWindow(now time.Time) {
	l.windowEnds = now.Add(windowTime)
	l.answers, l.total, l.failed, l.mostOpen = 0, 0, false, l.inFlight
}

// follow sets the limit from a window's mean latency.
func (l *Limiter) follow(mean time.Duration) {
	l.noteBaseline(mean)
	gradient := 1.0
	if mean > 0 {
		gradient = latencyTolerance * float64(l.baseline()) / float64(mean)
	}
	gradient = min(1, max(0.5, gradient))
	wanted := l.limit*gradient + math.Sqrt(l.limit)
	l.limit += smoothing * (wanted - l.limit)
	l.limit = min(l.bound, max(minimumLimit, l.limit))
}

// noteBaseline keeps the mean latencies of the last windows.
func (l *Limiter) noteBaseline(mean time.Duration) {
	if len(l.baselines) < baselineWindows {
		l.baselines = append(l.baselines, mean)
		return
	}
	l.baselines[l.nextReplace] = mean
	l.nextReplace = (l.nextReplace + 1) % baselineWindows
}

// baseline returns the lowest kept mean latency.
func (l *Limiter) baseline() time.Duration {
	lowest := l.baselines[0]
	for _, mean := range l.baselines[1:] {
		lowest = min(lowest, mean)
	}
	return lowest
}
