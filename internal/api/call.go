package api

import (
	"net/http"
	"sync"
	"sync/atomic"

	"dalehook/internal/machine"
)

// callEventLimit is the most events that one call can see: a reply, and the
// end of an answer that was being relayed.
const callEventLimit = 2

// callEvent is something that happened to a waiting call: the machine's reply
// or the end of a relayed answer.
type callEvent struct {
	// body is the machine's reply; nil for a relayed answer.
	body any
	// relayed is set for the end of a relayed answer, whole when nothing of it
	// is missing.
	relayed bool
	whole   bool
}

// call is a caller's request that waits for its answer.
type call struct {
	id     machine.CallID
	events chan callEvent
	// writer is the caller's response; it belongs to whoever claimed it.
	writer http.ResponseWriter
	// owner is who writes the response: nil for nobody yet, the call's handler
	// (handlerOwner) or a relayed attempt.
	owner atomic.Pointer[relayWriter]
	// service is the kept request of a call of a service; without a caller for
	// other calls.
	service serviceRequest
}

// handlerOwner stands for the handler as the owner of a response.
var handlerOwner = &relayWriter{}

// claim makes the response the claimant's own, unless another one has it.
func (c *call) claim(claimant *relayWriter) bool {
	return c.owner.CompareAndSwap(nil, claimant)
}

// notify hands an event to the call's handler. A machine that answers a call
// twice is at fault; the second answer is dropped.
func (c *call) notify(event callEvent) bool {
	select {
	case c.events <- event:
		return true
	default:
		return false
	}
}

// callTable holds the open calls of a node.
type callTable struct {
	mutex  sync.Mutex
	last   machine.CallID
	limit  int
	closed bool
	calls  map[machine.CallID]*call
}

// newCallTable returns a table that takes at most limit open calls.
func newCallTable(limit int) *callTable {
	return &callTable{limit: limit, calls: make(map[machine.CallID]*call)}
}

// open registers a call under a new id.
func (t *callTable) open(w http.ResponseWriter, service serviceRequest) (*call, *machine.Failure) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return nil, unavailable(machine.CodeLeaving, "the node has stopped")
	}
	if len(t.calls) >= t.limit {
		return nil, unavailable(machine.CodeOverloaded, "too many calls are open at this node")
	}
	t.last++
	opened := &call{
		id:      t.last,
		events:  make(chan callEvent, callEventLimit),
		writer:  w,
		service: service,
	}
	t.calls[opened.id] = opened
	return opened, nil
}

// find returns an open call.
func (t *callTable) find(id machine.CallID) (*call, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found, ok := t.calls[id]
	return found, ok
}

// remove ends a call.
func (t *callTable) remove(id machine.CallID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.calls, id)
}

// close refuses further calls and fails the open ones, whose outcome nobody
// will know.
func (t *callTable) close(failure machine.Failure) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closed = true
	for _, open := range t.calls {
		open.notify(callEvent{body: failure})
	}
}

// size returns the number of open calls.
func (t *callTable) size() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.calls)
}
