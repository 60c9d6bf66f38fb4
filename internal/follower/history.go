package follower

import "dalehook/internal/record"

const (
	// maxHistoryEntries and maxHistoryBytes bound the entries that a node keeps
	// for peers that missed them.
	maxHistoryEntries = 256
	maxHistoryBytes   = 256 << 10
	// maxPushEntries and maxPushBytes bound one push. A single entry over the
	// byte limit travels alone.
	maxPushEntries = 64
	maxPushBytes   = 32 << 10
)

// kept is an entry with its size on the log in bytes.
type kept struct {
	entry record.Entry
	size  int
}

// history holds the last entries, in order without gaps.
type history struct {
	entries []kept
	bytes   int
}

// add appends the next entry and drops the oldest ones over the bounds.
func (h *history) add(entry record.Entry) {
	size := entrySize(entry)
	h.entries = append(h.entries, kept{entry: entry, size: size})
	h.bytes += size
	for len(h.entries) > 1 && (len(h.entries) > maxHistoryEntries || h.bytes > maxHistoryBytes) {
		h.bytes -= h.entries[0].size
		h.entries[0] = kept{}
		h.entries = h.entries[1:]
	}
}

// from returns the entries from an offset on, as many as one push may hold, and
// false when the history begins later.
func (h *history) from(offset uint64) ([]record.Entry, bool) {
	if len(h.entries) == 0 || offset < h.entries[0].entry.Offset {
		return nil, false
	}
	skip := offset - h.entries[0].entry.Offset
	if skip >= uint64(len(h.entries)) {
		return nil, true
	}
	var found []record.Entry
	size := 0
	for _, next := range h.entries[skip:] {
		size += next.size
		if len(found) > 0 && (size > maxPushBytes || len(found) == maxPushEntries) {
			break
		}
		found = append(found, next.entry)
	}
	return found, true
}

// clear forgets everything, after a restore.
func (h *history) clear() { *h = history{} }

// entrySize returns the size of an entry as it stands on the log. A record that
// can't be encoded, since it was not understood, counts as small.
func entrySize(entry record.Entry) int {
	encoded, err := record.Encode(entry.Record)
	if err != nil {
		return len(entry.Record.ID)
	}
	return len(encoded)
}
