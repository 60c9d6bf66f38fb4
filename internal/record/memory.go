package record

import "slices"

// SeenID is a record id with the offset at which it first stood.
type SeenID struct {
	ID     ID
	Offset uint64
}

// idMemory remembers the ids of the last records of a log.
type idMemory struct {
	limit   int
	order   []SeenID
	offsets map[ID]uint64
}

func newIDMemory(limit int) idMemory {
	return idMemory{limit: limit, offsets: map[ID]uint64{}}
}

func (m *idMemory) find(id ID) (uint64, bool) {
	offset, ok := m.offsets[id]
	return offset, ok
}

// add remembers an id; for one that is known it returns the first offset.
// Records without an id are never copies of one another.
func (m *idMemory) add(id ID, offset uint64) (uint64, bool) {
	if id == "" {
		return 0, false
	}
	if first, seen := m.offsets[id]; seen {
		return first, true
	}
	m.offsets[id] = offset
	m.order = append(m.order, SeenID{ID: id, Offset: offset})
	if len(m.order) > m.limit {
		delete(m.offsets, m.order[0].ID)
		m.order = slices.Delete(m.order, 0, 1)
	}
	return 0, false
}

// recentSteps remembers the last closed steps.
type recentSteps struct {
	limit int
	order []string
	known map[string]struct{}
}

func newRecentSteps(limit int) recentSteps {
	return recentSteps{limit: limit, known: map[string]struct{}{}}
}

func (r *recentSteps) has(step string) bool {
	_, ok := r.known[step]
	return ok
}

func (r *recentSteps) add(step string) {
	if r.has(step) {
		return
	}
	r.known[step] = struct{}{}
	r.order = append(r.order, step)
	if len(r.order) > r.limit {
		delete(r.known, r.order[0])
		r.order = slices.Delete(r.order, 0, 1)
	}
}
