package usage

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Ledger folds the records of the partition, in order. It is used by one goroutine.
type Ledger struct {
	// keep is how many windows behind the last closed one are still known.
	keep Window
	open map[Window]map[string]int
	// closed holds the final counts of windows.
	closed map[Window]map[string]int
	// last is the last window that was closed, with known set.
	last  Window
	known bool
	// seen holds the newest batch of each process.
	seen map[string]seenBatch
	// late counts the requests that came after their window had been closed.
	late int
	// closedAt holds the offsets of the records that closed windows.
	closedAt map[Window]int64
}

type seenBatch struct {
	sequence int64
	window   Window
}

// NewLedger returns the ledger of no records. It forgets what is more than keep windows
// behind the last closed one.
func NewLedger(keep int) *Ledger {
	return &Ledger{
		keep: Window(keep), open: make(map[Window]map[string]int), closed: make(map[Window]map[string]int),
		seen: make(map[string]seenBatch), closedAt: make(map[Window]int64),
	}
}

// Apply takes the record at an offset.
func (l *Ledger) Apply(offset int64, payload []byte) error {
	var read record
	if err := json.Unmarshal(payload, &read); err != nil {
		return fmt.Errorf("decode a usage record at offset %d: %w", offset, err)
	}
	switch {
	case read.Batch != nil:
		l.add(read.Batch)
	case read.Close != nil:
		l.close(offset, *read.Close)
	}
	return nil
}

func (l *Ledger) add(batch *Batch) {
	if l.seen[batch.Process].sequence >= batch.Sequence {
		return // a second copy
	}
	seen := seenBatch{sequence: batch.Sequence}
	for _, count := range batch.Counts {
		seen.window = max(seen.window, count.Window)
		if l.isClosed(count.Window) {
			l.late += count.Requests
			continue
		}
		if l.open[count.Window] == nil {
			l.open[count.Window] = make(map[string]int)
		}
		l.open[count.Window][count.Tenant] += count.Requests
	}
	l.seen[batch.Process] = seen
}

// isClosed says whether a window takes no more counts: windows are closed in order.
func (l *Ledger) isClosed(window Window) bool { return l.known && window <= l.last }

func (l *Ledger) close(offset int64, window Window) {
	if l.isClosed(window) {
		return
	}
	l.closed[window] = l.open[window]
	if l.closed[window] == nil {
		l.closed[window] = make(map[string]int)
	}
	l.closedAt[window] = offset
	l.last, l.known = window, true
	l.forget()
}

func (l *Ledger) forget() {
	maps.DeleteFunc(l.open, func(window Window, _ map[string]int) bool { return window <= l.last })
	maps.DeleteFunc(l.closed, func(window Window, _ map[string]int) bool { return window+l.keep < l.last })
	maps.DeleteFunc(l.closedAt, func(window Window, _ int64) bool { return window+l.keep < l.last })
	maps.DeleteFunc(l.seen, func(_ string, seen seenBatch) bool { return seen.window+l.keep < l.last })
}

// Next returns the window to close next: the one after the last closed, else the first that
// has counts, and first where there are none.
func (l *Ledger) Next(first Window) Window {
	if l.known {
		return l.last + 1
	}
	for window := range l.open {
		first = min(first, window)
	}
	return first
}

// Closed returns the windows whose counts are final and known, in order.
func (l *Ledger) Closed() []Window { return slices.Sorted(maps.Keys(l.closed)) }

// Counts returns the final counts of a window.
func (l *Ledger) Counts(window Window) (counts map[string]int, final bool) {
	counts, final = l.closed[window]
	return counts, final
}

// Late returns the number of requests that were counted too late so far.
func (l *Ledger) Late() int { return l.late }

// Needless returns the offset before which the partition holds nothing that is still needed:
// all counts there are of windows that were closed long ago.
func (l *Ledger) Needless() int64 {
	oldest := int64(0)
	for window, offset := range l.closedAt {
		if window+l.keep <= l.last+1 {
			oldest = max(oldest, offset)
		}
	}
	return oldest
}
