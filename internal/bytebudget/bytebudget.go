// Package bytebudget bounds the bytes that a node holds in memory for its callers, in total and for
// each caller.
package bytebudget

import (
	"errors"
	"io"
	"sync"
)

// SmallBytes is the size up to which a reservation is small. Ordinary requests are.
const SmallBytes = 64 << 10

// Shares of a budget's limit.
const (
	// callerShare is what one caller may use, so that a single caller cannot exhaust the budget.
	callerShare = 0.5
	// largeShare is what reservations that are not small may use together, so that small ones find room beside them.
	largeShare = 0.75
	// soleFactor is what the only large reservation may use: a request of the largest permitted size is served when
	// there is no other one, also where it takes more than the limit. soleSmallShare is what small reservations may use
	// at most then.
	soleFactor     = 2.0
	soleSmallShare = 0.5
	// idleShare is the share up to which bytes are added that requests can do without.
	idleShare = 0.5
)

// Budget bounds the bytes held. It is safe for concurrent use. A nil Budget has no bound.
type Budget struct {
	limit int64

	mutex sync.Mutex
	// small and large are the bytes of small and of other reservations.
	small, large int64
	callers      map[string]int64
}

// New returns a budget of limit bytes, of which each caller may use callerShare.
func New(limit int64) *Budget { return &Budget{limit: limit, callers: make(map[string]int64)} }

// Limit returns the bound; 0 if there is none.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.small + b.large
}

// Reserve returns a reservation of no bytes for a caller. Requests without a caller's name share one that is
// bounded by the total alone.
func (b *Budget) Reserve(caller string) *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budget: b, caller: caller}
}

// share returns a share of the limit in bytes.
func (b *Budget) share(share float64) int64 { return int64(share * float64(b.limit)) }

// Reservation is the part of a budget that a request uses. It is safe for concurrent use. A nil
// Reservation has no bound.
type Reservation struct {
	budget   *Budget
	caller   string
	bytes    int64
	released bool
}

// SetCaller names the caller that the reservation counts for from now on.
func (r *Reservation) SetCaller(caller string) {
	if r == nil {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.budget.countCallerLocked(r.caller, -r.bytes)
	r.caller = caller
	r.budget.countCallerLocked(r.caller, r.bytes)
}

// countCallerLocked adds bytes to those of a caller.
func (b *Budget) countCallerLocked(caller string, bytes int64) {
	b.callers[caller] += bytes
	if b.callers[caller] == 0 {
		delete(b.callers, caller)
	}
}

// Bytes returns the number of bytes reserved.
func (r *Reservation) Bytes() int64 {
	if r == nil {
		return 0
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	return r.bytes
}

// Grow adds bytes to the reservation and reports whether they fit. If they exceed the budget or the
// caller's share of it, or if the reservation was released, it adds none.
func (r *Reservation) Grow(bytes int64) bool {
	if r == nil {
		return true
	}
	b := r.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if r.released || !r.fitsLocked(bytes) {
		return false
	}
	r.addLocked(bytes)
	return true
}

// GrowIfIdle is Grow for bytes that the request can do without, such as those of servers: it adds them only while no
// more than half of the budget is used with them, so that callers find room beside them.
func (r *Reservation) GrowIfIdle(bytes int64) bool {
	if r == nil {
		return true
	}
	b := r.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if r.released || b.small+b.large+bytes > b.share(idleShare) || !r.fitsLocked(bytes) {
		return false
	}
	r.addLocked(bytes)
	return true
}

// fitsLocked reports whether the reservation may grow by some bytes.
func (r *Reservation) fitsLocked(bytes int64) bool {
	b := r.budget
	size := r.bytes + bytes
	fits := b.small+b.large+bytes <= b.limit
	withinShare := r.caller == "" || b.callers[r.caller]+bytes <= b.share(callerShare)
	if size <= SmallBytes {
		// Large reservations, of which the sole one may exceed the limit, leave room for small ones.
		return withinShare && (fits || b.small+bytes <= b.share(1-largeShare))
	}
	others := b.large
	if r.isLarge() {
		others -= r.bytes
	}
	if others == 0 && b.small <= b.share(soleSmallShare) && size <= b.share(soleFactor) {
		return true
	}
	return withinShare && fits && others+size <= b.share(largeShare)
}

// isLarge reports whether the reservation counts as a large one.
func (r *Reservation) isLarge() bool { return r.bytes > SmallBytes }

// addLocked changes the size of the reservation.
func (r *Reservation) addLocked(bytes int64) {
	r.counterLocked(-r.bytes)
	r.bytes += bytes
	r.counterLocked(r.bytes)
	r.budget.countCallerLocked(r.caller, bytes)
}

// counterLocked adds bytes to the budget's counter for reservations of this one's size.
func (r *Reservation) counterLocked(bytes int64) {
	if r.isLarge() {
		r.budget.large += bytes
	} else {
		r.budget.small += bytes
	}
}

// Shrink takes bytes that are no longer held from the reservation.
func (r *Reservation) Shrink(bytes int64) {
	if r == nil {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.addLocked(-min(bytes, r.bytes))
}

// Release ends the reservation.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.addLocked(-r.bytes)
	r.released = true
}

// minGrowBytes is the smallest growth of a buffer; larger ones grow by a quarter.
const minGrowBytes = 4 << 10

// ReadAll reads until the source ends, limit bytes are read, or the reservation cannot grow. ended says
// that the source ended before limit bytes were read. The size is the expected number of bytes, or
// below 0 if it is unknown.
func (r *Reservation) ReadAll(source io.Reader, size, limit int64) (data []byte, ended bool, err error) {
	grow := min(minGrowBytes, limit)
	if size >= 0 {
		grow = min(size+1, limit) // the extra byte lets the end be read without another growth
	}
	for {
		if len(data) == cap(data) {
			if grow <= 0 || !r.Grow(grow) {
				return data, false, nil
			}
			larger := make([]byte, len(data), int64(cap(data))+grow)
			copy(larger, data)
			data = larger
			grow = min(max(int64(cap(data))/4, minGrowBytes), limit-int64(cap(data)))
		}
		n, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, int64(len(data)) < limit, nil
		}
		if err != nil {
			return data, false, err
		}
	}
}
