package admission

import (
	"slices"
	"time"

	"dalehook/internal/machine"
)

// flowKey names a flow.
type flowKey struct {
	service string
	class   string
}

// flow is the queue of one class of one service. It is first in, first out while what it
// holds can be served in time, and last in, first out for a while after an item
// has run out of time: serving the oldest first would then serve only requests
// that come too late (Facebook's adaptive LIFO, "Fail at Scale", 2015).
type flow struct {
	flowKey
	limits *class
	items  []Item
	// inFlight counts the started requests of this flow.
	inFlight int
	// overloadedUntil ends the time in which the newest goes first.
	overloadedUntil time.Time

	// serviceTime is the smoothed time of an answered request.
	serviceTime time.Duration
	// perSecond is the smoothed number of requests that start each second;
	// startedSince counts those since rateFrom.
	perSecond    float64
	startedSince int
	rateFrom     time.Time
}

const (
	// overloadMemory is how long the newest goes first after an item ran out of time.
	overloadMemory = time.Second
	// rateWindow is the time over which started requests are counted.
	rateWindow = 250 * time.Millisecond
	// flowSmoothing is the weight of a new sample of service time or rate.
	flowSmoothing = 0.3
	// serviceMargin is how many service times must be left for an item to start.
	// With 1, a full queue would start each item just in time for half of them
	// to be late.
	serviceMargin = 2
)

// next returns the index of the item that goes next.
func (f *flow) next(now time.Time) int {
	if now.Before(f.overloadedUntil) {
		return len(f.items) - 1
	}
	return 0
}

// take removes and returns the item at an index.
func (f *flow) take(index int) Item {
	item := f.items[index]
	f.items = slices.Delete(f.items, index, index+1)
	return item
}

// remove takes a call out of the queue.
func (f *flow) remove(call machine.CallID) bool {
	index := slices.IndexFunc(f.items, func(item Item) bool { return item.Call == call })
	if index < 0 {
		return false
	}
	f.take(index)
	return true
}

// tooLate reports whether an item can't be answered in time if it starts after wait.
func (f *flow) tooLate(now time.Time, item Item, wait time.Duration) bool {
	return now.Add(wait + serviceMargin*f.serviceTime).After(item.Deadline)
}

// hopeless reports whether a new item can't be answered in time. A flow with
// nothing to do always tries: what it knows of its service time may be old, and
// nothing else would bring it up to date.
func (f *flow) hopeless(now time.Time, item Item) bool {
	if f.inFlight == 0 && len(f.items) == 0 {
		return !now.Before(item.Deadline)
	}
	return f.tooLate(now, item, f.expectedWait(now))
}

// expectedWait estimates how long a new item waits: behind all others while the
// oldest goes first, behind none while the newest does.
func (f *flow) expectedWait(now time.Time) time.Duration {
	if f.perSecond == 0 || len(f.items) == 0 || now.Before(f.overloadedUntil) || f.limits.inGrace(now) {
		return 0
	}
	return time.Duration(float64(len(f.items)) / f.perSecond * float64(time.Second))
}

// expired removes and returns the items that can't be answered in time any more.
func (f *flow) expired(now time.Time) []Item {
	var late []Item
	f.items = slices.DeleteFunc(f.items, func(item Item) bool {
		if !f.tooLate(now, item, 0) {
			return false
		}
		late = append(late, item)
		return true
	})
	if len(late) > 0 {
		f.overloadedUntil = now.Add(overloadMemory)
	}
	return late
}

// started counts a request that left the queue.
func (f *flow) started() {
	f.startedSince++
	f.inFlight++
	f.limits.start()
}

// ended takes the time of an ended request; it is zero when no answer came.
func (f *flow) ended(took time.Duration) {
	f.inFlight--
	f.limits.inFlight--
	if took == 0 {
		return
	}
	if f.serviceTime == 0 {
		f.serviceTime = took
		return
	}
	f.serviceTime += time.Duration(flowSmoothing * float64(took-f.serviceTime))
}

// measure moves the rate once a window is over. A window in which the queue ran
// empty says nothing of what could be served.
func (f *flow) measure(now time.Time) {
	if f.rateFrom.IsZero() {
		f.rateFrom = now
		return
	}
	length := now.Sub(f.rateFrom)
	if length < rateWindow {
		return
	}
	sample := float64(f.startedSince) / length.Seconds()
	if len(f.items) > 0 || sample > f.perSecond {
		if f.perSecond == 0 {
			f.perSecond = sample
		}
		f.perSecond += flowSmoothing * (sample - f.perSecond)
	}
	f.startedSince = 0
	f.rateFrom = now
}

// retryAfter says when the queue will have emptied, in whole seconds and bounds.
func (f *flow) retryAfter() time.Duration {
	wait := minimumRetryAfter
	if f.perSecond > 0 {
		wait = time.Duration(float64(len(f.items)) / f.perSecond * float64(time.Second))
	}
	return min(maximumRetryAfter, max(minimumRetryAfter, wait.Round(time.Second)))
}
