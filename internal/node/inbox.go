package node

import (
	"sync"

	"dalehook/internal/machine"
)

// inboxHighWater is the number of waiting inputs from which producers that can
// wait do so: streams of engines and connections of peers.
const inboxHighWater = 8192

// inbox queues inputs for the machine. It has no bound of its own, so that a
// slow machine can't deadlock with the results of its own outputs; what comes
// from outside is bounded by the open calls and by putWhenRoom.
type inbox struct {
	mutex  sync.Mutex
	room   *sync.Cond
	queue  []machine.Input
	closed bool
	// signal holds a token while the queue may not be empty.
	signal chan struct{}
}

// newInbox returns an empty queue.
func newInbox() *inbox {
	created := &inbox{signal: make(chan struct{}, 1)}
	created.room = sync.NewCond(&created.mutex)
	return created
}

// put queues an input and returns at once. After close the input is dropped.
func (b *inbox) put(in machine.Input) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.append(in)
}

// putWhenRoom queues an input once fewer than inboxHighWater wait.
func (b *inbox) putWhenRoom(in machine.Input) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for len(b.queue) >= inboxHighWater && !b.closed {
		b.room.Wait()
	}
	b.append(in)
}

// append adds an input; the mutex is held.
func (b *inbox) append(in machine.Input) {
	if b.closed {
		return
	}
	b.queue = append(b.queue, in)
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

// take returns all queued inputs in order and keeps spare as the next queue.
func (b *inbox) take(spare []machine.Input) []machine.Input {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	taken := b.queue
	b.queue = spare[:0]
	b.room.Broadcast()
	return taken
}

// close drops what is queued and whatever comes.
func (b *inbox) close() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.closed = true
	b.queue = nil
	b.room.Broadcast()
}

// size returns the number of queued inputs.
func (b *inbox) size() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.queue)
}
