package standin

import (
	"slices"
	"time"
)

// delayed holds the history of a value, so that it can be read as it stood some
// time ago.
type delayed[T any] struct {
	history []datedValue[T]
}

type datedValue[T any] struct {
	at    time.Time
	value T
}

// put sets the value from now on.
func (d *delayed[T]) put(now time.Time, value T) {
	d.history = append(d.history, datedValue[T]{at: now, value: value})
}

// get returns the value as it stood lag before now, or the first value when it
// came later, and forgets what is older. There must be a value.
func (d *delayed[T]) get(now time.Time, lag time.Duration) T {
	seen := now.Add(-lag)
	later := slices.IndexFunc(d.history, func(v datedValue[T]) bool { return v.at.After(seen) })
	if later < 0 {
		later = len(d.history)
	}
	d.history = slices.Delete(d.history, 0, max(later-1, 0))
	return d.history[0].value
}
