package reward

import (
	"time"

	"dalehook/internal/routetable"
)

// Limits of reward calls.
const (
	// sendTimeout limits one send. Together with the maximum age of the job data when a call is sent,
	// scheduler.DefaultFreshnessLimit, it is 2.8 s. That stays below the time after the end of a job
	// from which on the job must cause no more calls.
	sendTimeout = time.Second
	// initialBackoff is the delay after the first send without a score. It doubles up to
	// maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// slotShare is the share of a service's slots that reward calls may use. The rest is left to
	// other callers of the same servers.
	slotShare = 0.5
)

// Queue holds the calls without a score. It is not safe for concurrent use.
type Queue struct {
	table *routetable.Table
	// slots holds the total slots of each service.
	slots map[string]int
	// waiting holds the calls that are not in flight, oldest first.
	waiting  []*pending
	items    map[Item]*pending
	sends    map[SendID]*pending
	inFlight map[string]int
	lastID   SendID
}

// pending is a call without a score.
type pending struct {
	item      Item
	call      *Call
	partition int
	// completedAt is when the item's text was complete.
	completedAt time.Time
	expiresAt   time.Time
	sendCount   int
	failures    int
	// backoff is the current delay between sends; the next send starts at notBefore or later.
	backoff   time.Duration
	notBefore time.Time
	// route and service are the destination according to routeTable; nil and empty if there is
	// none. They are cached, since many calls may wait and all are checked after each answer.
	route      *routetable.Route
	service    string
	routeTable *routetable.Table
	// send is the send in flight, or 0, and sentService its destination.
	send        SendID
	sentService string
	removed     bool
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		slots:    make(map[string]int),
		items:    make(map[Item]*pending),
		sends:    make(map[SendID]*pending),
		inFlight: make(map[string]int),
	}
}

// Len returns the number of calls without a score.
func (q *Queue) Len() int { return len(q.items) }

// HandleTable applies a new configuration.
func (q *Queue) HandleTable(table *routetable.Table) { q.table = table }

// HandleSlots sets the total slots of the ready servers of each service.
func (q *Queue) HandleSlots(slots map[string]int) { q.slots = slots }

// Add adds the call of an item whose text is complete. partition is the partition of the item's
// job. No send starts after expiresAt, unless it is zero.
func (q *Queue) Add(now time.Time, item Item, call *Call, partition int, expiresAt time.Time) {
	if q.items[item] != nil {
		return
	}
	added := &pending{item: item, call: call, partition: partition, completedAt: now, expiresAt: expiresAt}
	q.items[item] = added
	q.waiting = append(q.waiting, added)
}

// Remove removes the call of an item whose job ended or whose result is known. It returns the send
// in flight, or 0.
func (q *Queue) Remove(item Item) SendID {
	removed := q.items[item]
	if removed == nil {
		return 0
	}
	delete(q.items, item)
	removed.removed = true
	return removed.send
}

// Next returns the sends that start now. fresh reports whether a partition was read recently
// enough to send calls for its jobs.
func (q *Queue) Next(now time.Time, fresh func(partition int) bool) []Send {
	var sends []Send
	remaining := q.waiting[:0]
	for _, next := range q.waiting {
		if next.removed {
			continue
		}
		send, ok := q.startSend(now, next, fresh)
		if !ok {
			remaining = append(remaining, next)
			continue
		}
		sends = append(sends, send)
	}
	clear(q.waiting[len(remaining):])
	q.waiting = remaining
	return sends
}

func (q *Queue) startSend(now time.Time, next *pending, fresh func(partition int) bool) (Send, bool) {
	if now.Before(next.notBefore) || !fresh(next.partition) {
		return Send{}, false
	}
	deadline := now.Add(sendTimeout)
	if !next.expiresAt.IsZero() && next.expiresAt.Before(deadline) {
		deadline = next.expiresAt
	}
	q.route(next)
	capacity, inFlight := q.capacity(next.service), q.inFlight[next.service]
	if next.route == nil || !now.Before(deadline) || inFlight >= capacity {
		return Send{}, false
	}
	if routeDeadline := now.Add(next.route.Timeout); next.route.Timeout > 0 && routeDeadline.Before(deadline) {
		deadline = routeDeadline
	}
	q.lastID++
	q.sends[q.lastID] = next
	q.inFlight[next.service]++
	next.send, next.sentService = q.lastID, next.service
	next.sendCount++
	return Send{
		ID: q.lastID, Item: next.item, Call: next.call, Table: q.table, Route: next.route, Service: next.service,
		Deadline: deadline,
		Inputs: Inputs{
			Try: next.sendCount, Failures: next.failures, Waited: now.Sub(next.completedAt), InFlight: inFlight, Capacity: capacity,
		},
	}, true
}

// route determines the destination of a call from the current configuration.
func (q *Queue) route(routed *pending) {
	if q.table == nil || routed.routeTable == q.table {
		return
	}
	routed.route, routed.service, routed.routeTable = nil, "", q.table
	route := q.table.MatchTarget(routed.call.Host, routed.call.Path)
	if route == nil || route.Kind != routetable.KindSafe && route.Kind != routetable.KindUnsafe {
		return
	}
	if target, found := route.PickByHash(routed.call.ID); found {
		routed.route, routed.service = route, target.Service
	}
}

// capacity returns the maximum number of concurrent calls to a service.
func (q *Queue) capacity(service string) int {
	slots := q.slots[service]
	if slots == 0 {
		return 0
	}
	return max(int(slotShare*float64(slots)), 1)
}

// HandleAnswer processes the outcome of a send. The returned item is valid unless the verdict is
// VerdictNone.
func (q *Queue) HandleAnswer(now time.Time, id SendID, answer Answer) (Item, Verdict) {
	answered := q.sends[id]
	if answered == nil {
		return Item{}, VerdictNone
	}
	delete(q.sends, id)
	q.inFlight[answered.sentService]--
	answered.send = 0
	if answered.removed {
		return Item{}, VerdictNone
	}
	answered.failures += answer.Failures
	verdict := q.verdict(answered, answer)
	if verdict == VerdictRetry {
		q.retry(now, answered)
		return answered.item, verdict
	}
	delete(q.items, answered.item)
	return answered.item, verdict
}

func (q *Queue) verdict(answered *pending, answer Answer) Verdict {
	if answer.Score != "" {
		return VerdictScored
	}
	q.route(answered)
	if answered.route != nil && answered.failures >= max(answered.route.MaxAttempts, 1) {
		return VerdictDead
	}
	return VerdictRetry
}

func (q *Queue) retry(now time.Time, answered *pending) {
	answered.backoff = min(max(2*answered.backoff, initialBackoff), maxBackoff)
	answered.notBefore = now.Add(answered.backoff)
	q.waiting = append(q.waiting, answered)
}
