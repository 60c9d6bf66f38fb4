package overload

import "time"

// recentPeriod is the length of one period of a recentMinimum.
const recentPeriod = time.Second

// recentMinimum tracks the smallest duration of the current period and the one before it.
type recentMinimum struct {
	current, previous period
	ends              time.Time
}

// period holds the number of values in a period, and the smallest.
type period struct {
	count    int
	smallest time.Duration
}

// observe records a value.
func (r *recentMinimum) observe(now time.Time, value time.Duration) {
	r.advance(now)
	if r.current.count == 0 || value < r.current.smallest {
		r.current.smallest = value
	}
	r.current.count++
}

// value returns the minimum and the number of values.
func (r *recentMinimum) value(now time.Time) (smallest time.Duration, count int) {
	r.advance(now)
	count = r.current.count + r.previous.count
	switch {
	case r.current.count == 0:
		return r.previous.smallest, count
	case r.previous.count == 0:
		return r.current.smallest, count
	default:
		return min(r.current.smallest, r.previous.smallest), count
	}
}

// advance ends periods that are over.
func (r *recentMinimum) advance(now time.Time) {
	if now.Before(r.ends) {
		return
	}
	r.previous = r.current
	if now.Sub(r.ends) >= recentPeriod {
		r.previous = period{}
	}
	r.current = period{}
	r.ends = now.Add(recentPeriod)
}

// lastTwo holds the latest event of each of the two servers with the most recent events, the newest
// first.
type lastTwo [2]serverEvent

// serverEvent is an event of a server.
type serverEvent struct {
	server string
	at     time.Time
}

// note records an event of a server.
func (l *lastTwo) note(now time.Time, server string) {
	if l[0].server != server {
		l[1] = l[0]
	}
	l[0] = serverEvent{server: server, at: now}
}

// hasOther reports whether another server had an event within the lifetime.
func (l *lastTwo) hasOther(now time.Time, server string, lifetime time.Duration) bool {
	for _, event := range l {
		if event.server != server && !event.at.IsZero() && now.Sub(event.at) < lifetime {
			return true
		}
	}
	return false
}
