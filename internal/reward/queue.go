package reward

import (
	"time"

	"dalehook/internal/routetable"
)

// How calls are made.
const (
	// sendTimeout bounds one send. With the age that the knowledge of a job may have
	// when its calls are sent, it stays below the time after which a job that ended
	// must cause no more calls.
	sendTimeout = time.Second
	// firstPause is the time between a send without a score and the next; it doubles
	// up to longestPause.
	firstPause   = 50 * time.Millisecond
	longestPause = 400 * time.Millisecond
	// roomShare is the share of a service's slots that calls may take at once. The
	// rest is left to the callers of the same servers.
	roomShare = 0.5
)

// Queue holds the calls that have no score yet. It is not safe for concurrent use.
type Queue struct {
	table *routetable.Table
	// slots holds the slots of each service's servers.
	slots map[string]int
	// waiting holds the calls that are not under way, the oldest first.
	waiting  []*pending
	items    map[Item]*pending
	sends    map[SendID]*pending
	underWay map[string]int
	lastID   SendID
}

// pending is a call without a score.
type pending struct {
	item      Item
	call      *Call
	partition int
	// wholeAt is when the item's text was whole.
	wholeAt  time.Time
	giveUpAt time.Time
	tries    int
	failures int
	// pause is the time before the next send, which is not before notBefore.
	pause     time.Duration
	notBefore time.Time
	// route and service are where the call goes by routedBy, nil and empty for nowhere: many
	// calls may wait, and all are looked at whenever one is answered.
	route    *routetable.Route
	service  string
	routedBy *routetable.Table
	// send is the send under way, 0 for none, and sentTo the service that it went to.
	send    SendID
	sentTo  string
	removed bool
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		slots:    make(map[string]int),
		items:    make(map[Item]*pending),
		sends:    make(map[SendID]*pending),
		underWay: make(map[string]int),
	}
}

// Len returns the number of calls without a score.
func (q *Queue) Len() int { return len(q.items) }

// HandleTable takes a new configuration.
func (q *Queue) HandleTable(table *routetable.Table) { q.table = table }

// HandleSlots takes the slots of the servers that are ready, summed for each service.
func (q *Queue) HandleSlots(slots map[string]int) { q.slots = slots }

// Add takes the call of an item whose text is whole. Partition is where the item's job
// stands; no send begins after giveUpAt, unless it is zero.
func (q *Queue) Add(now time.Time, item Item, call *Call, partition int, giveUpAt time.Time) {
	if q.items[item] != nil {
		return
	}
	added := &pending{item: item, call: call, partition: partition, wholeAt: now, giveUpAt: giveUpAt}
	q.items[item] = added
	q.waiting = append(q.waiting, added)
}

// Remove forgets the call of an item, since its job ended or its result is known. It
// returns the send under way, 0 for none.
func (q *Queue) Remove(item Item) SendID {
	removed := q.items[item]
	if removed == nil {
		return 0
	}
	delete(q.items, item)
	removed.removed = true
	return removed.send
}

// Next returns the sends that begin now. Fresh says whether what is known of the jobs
// in a partition is new enough.
func (q *Queue) Next(now time.Time, fresh func(partition int) bool) []Send {
	var sends []Send
	left := q.waiting[:0]
	for _, next := range q.waiting {
		if next.removed {
			continue
		}
		send, ok := q.send(now, next, fresh)
		if !ok {
			left = append(left, next)
			continue
		}
		sends = append(sends, send)
	}
	clear(q.waiting[len(left):])
	q.waiting = left
	return sends
}

func (q *Queue) send(now time.Time, next *pending, fresh func(partition int) bool) (Send, bool) {
	if now.Before(next.notBefore) || !fresh(next.partition) {
		return Send{}, false
	}
	deadline := now.Add(sendTimeout)
	if !next.giveUpAt.IsZero() && next.giveUpAt.Before(deadline) {
		deadline = next.giveUpAt
	}
	q.route(next)
	room, underWay := q.room(next.service), q.underWay[next.service]
	if next.route == nil || !now.Before(deadline) || underWay >= room {
		return Send{}, false
	}
	if bound := now.Add(next.route.Timeout); next.route.Timeout > 0 && bound.Before(deadline) {
		deadline = bound
	}
	q.lastID++
	q.sends[q.lastID] = next
	q.underWay[next.service]++
	next.send, next.sentTo = q.lastID, next.service
	next.tries++
	return Send{
		ID: q.lastID, Item: next.item, Call: next.call, Table: q.table, Route: next.route, Service: next.service,
		Deadline: deadline,
		Inputs: Inputs{
			Try: next.tries, Failures: next.failures, Waited: now.Sub(next.wholeAt), UnderWay: underWay, Room: room,
		},
	}, true
}

// route finds where a call goes by the configuration in force.
func (q *Queue) route(routed *pending) {
	if q.table == nil || routed.routedBy == q.table {
		return
	}
	routed.route, routed.service, routed.routedBy = nil, "", q.table
	route := q.table.MatchTarget(routed.call.Host, routed.call.Path)
	if route == nil || route.Kind != routetable.KindSafe && route.Kind != routetable.KindUnsafe {
		return
	}
	if target, found := route.PickByHash(routed.call.ID); found {
		routed.route, routed.service = route, target.Service
	}
}

// room returns how many calls a service takes at once.
func (q *Queue) room(service string) int {
	slots := q.slots[service]
	if slots == 0 {
		return 0
	}
	return max(int(roomShare*float64(slots)), 1)
}

// HandleAnswer takes the end of a send. The item is of use unless the verdict is none.
func (q *Queue) HandleAnswer(now time.Time, id SendID, answer Answer) (Item, Verdict) {
	answered := q.sends[id]
	if answered == nil {
		return Item{}, VerdictNone
	}
	delete(q.sends, id)
	q.underWay[answered.sentTo]--
	answered.send = 0
	if answered.removed {
		return Item{}, VerdictNone
	}
	answered.failures += answer.Failures
	verdict := q.judge(answered, answer)
	if verdict == VerdictRetry {
		q.retry(now, answered)
		return answered.item, verdict
	}
	delete(q.items, answered.item)
	return answered.item, verdict
}

func (q *Queue) judge(answered *pending, answer Answer) Verdict {
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
	answered.pause = min(max(2*answered.pause, firstPause), longestPause)
	answered.notBefore = now.Add(answered.pause)
	q.waiting = append(q.waiting, answered)
}
