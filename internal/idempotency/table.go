package idempotency

import (
	"maps"
	"slices"
	"time"
)

// table holds the markers of one node by slot and key, bounded in number and
// bytes. Entries live for a lifetime after their last change.
type table struct {
	lifetime   time.Duration
	mostKeys   int
	mostBytes  int
	slots      [SlotCount]map[string]*entry
	keys       int
	bytes      int
	nextExpiry int
}

type entry struct {
	markers []Marker
	expires time.Time
}

func newTable(lifetime time.Duration, mostKeys, mostBytes int) *table {
	t := &table{lifetime: lifetime, mostKeys: mostKeys, mostBytes: mostBytes}
	for slot := range t.slots {
		t.slots[slot] = make(map[string]*entry)
	}
	return t
}

// markers returns the markers of a key, none when they have expired.
func (t *table) markers(now time.Time, key string) []Marker {
	slot := slotOf(key)
	found := t.slots[slot][key]
	if found == nil {
		return nil
	}
	if !now.Before(found.expires) {
		t.drop(slot, key)
		return nil
	}
	return found.markers
}

// full reports whether there is no room for another key.
func (t *table) full() bool { return t.keys >= t.mostKeys || t.bytes >= t.mostBytes }

// put replaces the markers of a key; its lifetime starts again.
func (t *table) put(now time.Time, key string, markers []Marker) {
	t.putFor(now, key, markers, t.lifetime)
}

// putFor replaces the markers of a key, which then live for the given time.
func (t *table) putFor(now time.Time, key string, markers []Marker, lifetime time.Duration) {
	slot := slotOf(key)
	t.drop(slot, key)
	if len(markers) == 0 {
		return
	}
	fitted := t.fit(markers)
	t.slots[slot][key] = &entry{markers: fitted, expires: now.Add(lifetime)}
	t.keys++
	t.bytes += sizeOf(key, fitted)
}

// fit leaves responses out when they don't fit: the repeat of the key then
// learns that the request ran, but not its answer.
func (t *table) fit(markers []Marker) []Marker {
	fitted := slices.Clone(markers)
	for i := range fitted {
		if fitted[i].Response != nil && t.bytes+fitted[i].size() > t.mostBytes {
			fitted[i].Response = nil
		}
	}
	return fitted
}

func (t *table) drop(slot int, key string) {
	found := t.slots[slot][key]
	if found == nil {
		return
	}
	t.keys--
	t.bytes -= sizeOf(key, found.markers)
	delete(t.slots[slot], key)
}

func sizeOf(key string, markers []Marker) int {
	size := len(key)
	for _, marker := range markers {
		size += marker.size()
	}
	return size
}

// merge adds an entry of another replica.
func (t *table) merge(now time.Time, added Entry) {
	markers := slices.Clone(t.markers(now, added.Key))
	for _, marker := range added.Markers {
		markers = mergeMarker(markers, marker)
	}
	lifetime := added.ExpiresIn
	if found := t.slots[slotOf(added.Key)][added.Key]; found != nil {
		lifetime = max(lifetime, found.expires.Sub(now))
	}
	t.putFor(now, added.Key, markers, lifetime)
}

// piece returns the entries of a slot after a key in the order of their keys, up
// to about mostBytes, and whether more follow.
func (t *table) piece(now time.Time, slot int, after string, mostBytes int) ([]Entry, bool) {
	var entries []Entry
	size := 0
	for _, key := range slices.Sorted(maps.Keys(t.slots[slot])) {
		found := t.slots[slot][key]
		if key <= after || !now.Before(found.expires) {
			continue
		}
		if size > 0 && size+sizeOf(key, found.markers) > mostBytes {
			return entries, true
		}
		size += sizeOf(key, found.markers)
		entries = append(entries, Entry{Key: key, Markers: found.markers, ExpiresIn: found.expires.Sub(now)})
	}
	return entries, false
}

// expireSome drops the expired entries of a few slots.
func (t *table) expireSome(now time.Time) {
	for range slotsExpiredPerTick {
		for key, found := range t.slots[t.nextExpiry] {
			if !now.Before(found.expires) {
				t.drop(t.nextExpiry, key)
			}
		}
		t.nextExpiry = (t.nextExpiry + 1) % SlotCount
	}
}

// slotsExpiredPerTick spreads the work of expiry over SlotCount/4 ticks.
const slotsExpiredPerTick = 4
