// Package bytebudget bounds the bytes that a node holds in memory for its callers, in total and for
// each caller.
package bytebudget

import (
	"errors"
	"io"
	"sync"
)

// FreeBytes is the number of bytes of each request that do not count: refusing small requests would not
// relieve a node, since their connections take as much.
const FreeBytes = 16 << 10

// callerShare is the share of a budget that one caller may use, so that a single caller cannot exhaust it.
const callerShare = 0.5

// Budget bounds the bytes held. It is safe for concurrent use. A nil Budget has no bound.
type Budget struct {
	limit, callerLimit int64

	mutex   sync.Mutex
	used    int64
	callers map[string]int64
}

// New returns a budget of limit bytes, of which each caller may use callerShare.
func New(limit int64) *Budget {
	return &Budget{limit: limit, callerLimit: int64(callerShare * float64(limit)), callers: make(map[string]int64)}
}

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
	return b.used
}

// Reserve returns a reservation of no bytes for a caller. Requests without a caller's name share one that is
// bounded by the total alone.
func (b *Budget) Reserve(caller string) *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budget: b, caller: caller, free: FreeBytes}
}

// Reservation is the part of a budget that a request uses. It is safe for concurrent use. A nil
// Reservation has no bound.
type Reservation struct {
	budget *Budget
	caller string
	// bytes counts against the budget, free is what is left of FreeBytes.
	bytes, free int64
	released    bool
}

// Grow adds bytes to the reservation and reports whether they fit. If they exceed the budget or the
// caller's share of it, or if the reservation was released, it adds none. The first FreeBytes of a
// reservation do not count.
func (r *Reservation) Grow(bytes int64) bool {
	if r == nil {
		return true
	}
	b := r.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	free := min(bytes, r.free)
	bytes -= free
	switch {
	case r.released:
		return false
	case bytes == 0:
	case b.used+bytes > b.limit:
		return false
	case r.caller != "" && b.callers[r.caller]+bytes > b.callerLimit:
		return false
	}
	r.free -= free
	b.used += bytes
	b.callers[r.caller] += bytes
	r.bytes += bytes
	return true
}

// Release ends the reservation.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	b := r.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.used -= r.bytes
	b.callers[r.caller] -= r.bytes
	if b.callers[r.caller] == 0 {
		delete(b.callers, r.caller)
	}
	r.bytes, r.released = 0, true
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
