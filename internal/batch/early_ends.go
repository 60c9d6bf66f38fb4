package batch

import "container/list"

// maxEarlyEnds is the number of ends remembered per partition whose jobs have not been read. A job is written at most
// some seconds after its end: by a store that has not answered the append, or by the node that appended it again. A
// store that takes 1,000 writes a second needs 12 s to receive as many ends in each of 12 partitions.
const maxEarlyEnds = 1024

// EarlyEnd is the end of a job whose record was read before that of the job, which may still come.
type EarlyEnd struct {
	Key JobKey
	// Offset is the offset of the end's first record, if the reader of the partition has set it.
	Offset int64
}

// EarlyEnds holds the early ends of one partition that were added last, at most maxEarlyEnds, until the store removes
// their records. The zero value is not usable. All readers of the same records hold the same ends.
type EarlyEnds struct {
	// order holds the ends in the order in which they were added.
	order *list.List
	byKey map[JobKey]*list.Element
}

// NewEarlyEnds returns a memory without ends.
func NewEarlyEnds() *EarlyEnds {
	return &EarlyEnds{order: list.New(), byKey: make(map[JobKey]*list.Element)}
}

// Add remembers an end unless one of the same job is remembered, and reports whether it did.
func (e *EarlyEnds) Add(end *EarlyEnd) bool {
	if e.byKey[end.Key] != nil {
		return false
	}
	e.byKey[end.Key] = e.order.PushBack(end)
	if e.order.Len() > maxEarlyEnds {
		e.remove(e.order.Front())
	}
	return true
}

// Take returns the end of a job and forgets it; nil if none is remembered.
func (e *EarlyEnds) Take(key JobKey) *EarlyEnd {
	element := e.byKey[key]
	if element == nil {
		return nil
	}
	return e.remove(element)
}

// Contains reports whether the end of a job is remembered.
func (e *EarlyEnds) Contains(key JobKey) bool { return e.byKey[key] != nil }

// DropBefore forgets the ends that stand before an offset.
func (e *EarlyEnds) DropBefore(offset int64) {
	for first := e.order.Front(); first != nil && first.Value.(*EarlyEnd).Offset < offset; first = e.order.Front() {
		e.remove(first)
	}
}

// All calls visit for each end, in the order in which they were added.
func (e *EarlyEnds) All(visit func(*EarlyEnd)) {
	for element := e.order.Front(); element != nil; element = element.Next() {
		visit(element.Value.(*EarlyEnd))
	}
}

func (e *EarlyEnds) remove(element *list.Element) *EarlyEnd {
	end := e.order.Remove(element).(*EarlyEnd)
	delete(e.byKey, end.Key)
	return end
}
