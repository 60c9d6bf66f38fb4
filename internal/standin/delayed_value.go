package standin

import (
	"slices"
	"time"
)

// delayedValue keeps the history of a value, so that readers can be given the
// value as of an earlier time.
type delayedValue[T any] struct {
	history []timestamped[T]
}

type timestamped[T any] struct {
	at    time.Time
	value T
}

// set records a new value as of now.
func (d *delayedValue[T]) set(now time.Time, value T) {
	d.history = append(d.history, timestamped[T]{at: now, value: value})
}

// get returns the value as of now minus lag, or the first value if it is newer
// than that, and discards older values. At least one value must have been set.
func (d *delayedValue[T]) get(now time.Time, lag time.Duration) T {
	cutoff := now.Add(-lag)
	firstHidden := slices.IndexFunc(d.history, func(v timestamped[T]) bool { return v.at.After(cutoff) })
	if firstHidden < 0 {
		firstHidden = len(d.history)
	}
	d.history = slices.Delete(d.history, 0, max(firstHidden-1, 0))
	return d.history[0].value
}
