// Package slowstart bounds how many requests a server is sent while it warms up. A server that has
// just started, or that has lost its caches, bears a rate that its service's configuration
// tells, and falls over well above that. It does no I/O and reads no clock.
package slowstart

import (
	"math"
	"time"
)

// Span is the length of the windows that a rate holds for: it holds in every one.
const Span = time.Second

// Unbounded is the bound of a server whose service tells no rate.
const Unbounded = math.MaxInt

// Most returns how many requests a server may be sent within any Span, by the rate a second that its
// service bears while it warms up (0 for any) and its slots.
//
// Servers tell with their next heartbeat that they turned slow, a second late or more. So one that is
// taken to be warm gets no more than one filling of its slots beyond the rate, which is what a
// scheduler needs to use an idle server at once.
func Most(rate float64, slots int, warming bool) int {
	if rate <= 0 {
		return Unbounded
	}
	most := max(int(rate), 1)
	if !warming {
		most += slots
	}
	return most
}

// Window holds when a server was sent requests. Its zero value holds none. It is not safe for
// concurrent use.
type Window struct {
	// sends are those of the last Span, and some before, the oldest first.
	sends []time.Time
}

// Sent notes a request.
func (w *Window) Sent(now time.Time) {
	w.forget(now)
	w.sends = append(w.sends, now)
}

// Full says whether a server that may be sent so many requests within any Span may be sent no more
// now.
func (w *Window) Full(now time.Time, most int) bool {
	if most == Unbounded {
		return false
	}
	w.forget(now)
	return len(w.sends) >= most
}

func (w *Window) forget(now time.Time) {
	old := 0
	for old < len(w.sends) && now.Sub(w.sends[old]) >= Span {
		old++
	}
	if old > 0 {
		w.sends = append(w.sends[:0], w.sends[old:]...)
	}
}
