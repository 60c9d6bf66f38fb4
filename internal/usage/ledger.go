package usage

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Ledger aggregates the records of the partition, applied in order. It is not safe for concurrent
// use.
type Ledger struct {
	// retainedWindows is how many windows before the last closed one are kept.
	retainedWindows Window
	openCounts      map[Window]map[string]int
	// closedCounts holds the final counts of closed windows.
	closedCounts map[Window]map[string]int
	// lastClosed is the last window that was closed; valid if anyClosed is set.
	lastClosed Window
	anyClosed  bool
	// latestBatches holds the position of the latest batch of each process, which detects duplicates.
	latestBatches map[string]batchPosition
	// lateRequests counts the requests whose batch came after their window had been closed.
	lateRequests int
	// closeOffsets holds the offsets of the records that closed windows.
	closeOffsets map[Window]int64
}

type batchPosition struct {
	sequence     int64
	newestWindow Window
}

// NewLedger returns an empty ledger. It discards state that is more than retainedWindows windows
// before the last closed one.
func NewLedger(retainedWindows int) *Ledger {
	return &Ledger{
		retainedWindows: Window(retainedWindows), openCounts: make(map[Window]map[string]int), closedCounts: make(map[Window]map[string]int),
		latestBatches: make(map[string]batchPosition), closeOffsets: make(map[Window]int64),
	}
}

// Apply processes the encoded record at an offset.
func (l *Ledger) Apply(offset int64, payload []byte) error {
	var decoded record
	if err := json.Unmarshal(payload, &decoded); err != nil {
		return fmt.Errorf("decode a usage record at offset %d: %w", offset, err)
	}
	switch {
	case decoded.Batch != nil:
		l.addBatch(decoded.Batch)
	case decoded.Close != nil:
		l.closeWindow(offset, *decoded.Close)
	}
	return nil
}

func (l *Ledger) addBatch(batch *Batch) {
	if l.latestBatches[batch.Process].sequence >= batch.Sequence {
		return // a duplicate, appended again after an unanswered append
	}
	position := batchPosition{sequence: batch.Sequence}
	for _, count := range batch.Counts {
		position.newestWindow = max(position.newestWindow, count.Window)
		if l.isClosed(count.Window) {
			l.lateRequests += count.Requests
			continue
		}
		if l.openCounts[count.Window] == nil {
			l.openCounts[count.Window] = make(map[string]int)
		}
		l.openCounts[count.Window][count.Tenant] += count.Requests
	}
	l.latestBatches[batch.Process] = position
}

// isClosed reports whether a window accepts no more counts. Windows are closed in order.
func (l *Ledger) isClosed(window Window) bool { return l.anyClosed && window <= l.lastClosed }

func (l *Ledger) closeWindow(offset int64, window Window) {
	if l.isClosed(window) {
		return
	}
	l.closedCounts[window] = l.openCounts[window]
	if l.closedCounts[window] == nil {
		l.closedCounts[window] = make(map[string]int)
	}
	l.closeOffsets[window] = offset
	l.lastClosed, l.anyClosed = window, true
	l.prune()
}

func (l *Ledger) prune() {
	maps.DeleteFunc(l.openCounts, func(window Window, _ map[string]int) bool { return window <= l.lastClosed })
	maps.DeleteFunc(l.closedCounts, func(window Window, _ map[string]int) bool { return window+l.retainedWindows < l.lastClosed })
	maps.DeleteFunc(l.closeOffsets, func(window Window, _ int64) bool { return window+l.retainedWindows < l.lastClosed })
	maps.DeleteFunc(l.latestBatches, func(_ string, seen batchPosition) bool { return seen.newestWindow+l.retainedWindows < l.lastClosed })
}

// NextToClose returns the window to close next: the one after the last closed window; without
// one, the first window that has counts, but none after first.
func (l *Ledger) NextToClose(first Window) Window {
	if l.anyClosed {
		return l.lastClosed + 1
	}
	for window := range l.openCounts {
		first = min(first, window)
	}
	return first
}

// ClosedWindows returns the retained windows with final counts, in ascending order.
func (l *Ledger) ClosedWindows() []Window { return slices.Sorted(maps.Keys(l.closedCounts)) }

// Counts returns the final counts of a window.
func (l *Ledger) Counts(window Window) (counts map[string]int, final bool) {
	counts, final = l.closedCounts[window]
	return counts, final
}

// LateRequests returns the number of requests so far that arrived after their window was closed.
func (l *Ledger) LateRequests() int { return l.lateRequests }

// TrimOffset returns the offset before which the partition can be trimmed: all counts there
// belong to windows that are no longer retained.
func (l *Ledger) TrimOffset() int64 {
	trimOffset := int64(0)
	for window, offset := range l.closeOffsets {
		if window+l.retainedWindows <= l.lastClosed+1 {
			trimOffset = max(trimOffset, offset)
		}
	}
	return trimOffset
}
