package reward

import (
	"time"

	"github.com/cespare/xxhash/v2"

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
	// service is where the send under way goes.
	service string
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
	for id, sent := range q.sends {
		if sent == removed {
			return id
		}
	}
	return 0
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
	route, service := q.route(next.call)
	room := q.room(service)
	if route == nil || !now.Before(deadline) || q.underWay[service] >= room {
		return Send{}, false
	}
	if bound := now.Add(route.Timeout); route.Timeout > 0 && bound.Before(deadline) {
		deadline = bound
	}
	inputs := Inputs{
		Try: next.tries + 1, Failures: next.failures, Waited: now.Sub(next.wholeAt), UnderWay: q.underWay[service], Room: room,
	}
	q.lastID++
	q.sends[q.lastID] = next
	q.underWay[service]++
	next.service = service
	next.tries++
	return Send{
		ID: q.lastID, Item: next.item, Call: next.call, Table: q.table, Route: route, Service: service,
		Deadline: deadline, Inputs: inputs,
	}, true
}

// route returns the route of a call and the service that it leads to; nil when the
// configuration has none.
func (q *Queue) route(call *Call) (*routetable.Route, string) {
	if q.table == nil {
		return nil, ""
	}
	route := q.table.MatchTarget(call.Host, call.Path)
	if route == nil || route.Kind != routetable.KindSafe && route.Kind != routetable.KindUnsafe {
		return nil, ""
	}
	target, found := route.Pick(draw(call.ID))
	if !found {
		return nil, ""
	}
	return route, target.Service
}

// draw maps a call's id to [0, 1), the same at every node.
func draw(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
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
	q.underWay[answered.service]--
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
	route, _ := q.route(answered.call)
	if route != nil && answered.failures >= max(route.MaxAttempts, 1) {
		return VerdictDead
	}
	return VerdictRetry
}

func (q *Queue) retry(now time.Time, answered *pending) {
	answered.pause = min(max(2*answered.pause, firstPause), longestPause)
	answered.notBefore = now.Add(answered.pause)
	q.waiting = append(q.waiting, answered)
}
