package kernel

import "time"

// event is one scheduled function.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// before orders events by time, then by the order of scheduling.
func (e event) before(other event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// heap is a binary heap of events; container/heap would box every event in an
// interface.
type heap []event

func (h *heap) push(added event) {
	*h = append(*h, added)
	items := *h
	for child := len(items) - 1; child > 0; {
		parent := (child - 1) / 2
		if !items[child].before(items[parent]) {
			return
		}
		items[child], items[parent] = items[parent], items[child]
		child = parent
	}
}

func (h *heap) pop() event {
	items := *h
	first := items[0]
	last := len(items) - 1
	items[0] = items[last]
	items[last] = event{}
	items = items[:last]
	*h = items
	for parent := 0; ; {
		child := 2*parent + 1
		if child >= last {
			return first
		}
		if child+1 < last && items[child+1].before(items[child]) {
			child++
		}
		if !items[child].before(items[parent]) {
			return first
		}
		items[child], items[parent] = items[parent], items[child]
		parent = child
	}
}
