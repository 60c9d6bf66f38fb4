package quota

import (
	"math"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

const (
	// headroom is how much more than its demand a node wants, so that it need
	// not ask again while its traffic grows a little. Counts of few requests vary:
	// deviations is the number of their standard deviations that it wants besides.
	headroom   = 1.25
	deviations = 2
	// quietShare is the part of the reserve up to which a node asks for nothing.
	quietShare = 0.8
	// urgentShare is the multiple of its share above which a node asks before its
	// time, if its demand has also outgrown the headroom of its last Ask.
	urgentShare = 1.05
	// surplusShare is the part of its lease below which a node that has several
	// even shares gives back before its time.
	surplusShare = 0.5
	// usualWait is the time for which requests may wait without asking for more:
	// traffic that is just below the share has a short queue.
	usualWait = 500 * time.Millisecond
	// fewConcurrent is the number of waiting requests that always ask for room.
	fewConcurrent = 16
	// askInterval is the shortest time between two asks before their time.
	askInterval = 100 * time.Millisecond
	// shrunkShare is the part of its share below which a smaller one is confirmed
	// at once.
	shrunkShare = 0.8
	// answerTimeout is how long an answer is waited for.
	answerTimeout = time.Second
)

// holder is this node's side of one class.
type holder struct {
	class string
	limit record.ClassLimit
	// reserve is this node's without asking.
	reserve Amount
	demand  Amount
	// inFlight counts running requests.
	inFlight float64

	// lease is the granted share, until expires.
	lease   Amount
	expires time.Time
	renewAt time.Time

	// sequence is that of the last Ask, which was sent to asked at askedAt.
	sequence    uint64
	asked       cluster.NodeID
	askedAt     time.Time
	askedDemand Amount
	waiting     bool

	// pinned is the allocator that has surveyed this node last. It counts until
	// pinnedUntil, since this node's own list of live nodes may lag.
	pinned      cluster.NodeID
	pinnedUntil time.Time
}

// newHolder returns a holder that has asked for nothing. Its sequence begins with
// the time, and so is above that of an earlier life of the node or of the limit.
func newHolder(now time.Time, class string) *holder {
	return &holder{class: class, sequence: uint64(now.UnixMilli())}
}

// setLimit takes the cluster-wide limit and the number of nodes.
func (h *holder) setLimit(limit record.ClassLimit, nodes int) {
	h.limit = limit
	h.reserve = limitOf(limit).times(reserveShare / float64(max(1, nodes)))
}

// setDemand takes the traffic. Waiting requests that the share would not start
// soon ask for the rate that starts them within a second. They would not all run
// at once if the rate allowed it, and ask for no more than twice of what runs.
func (h *holder) setDemand(now time.Time, demand Demand) {
	share := h.share(now)
	h.inFlight = float64(demand.InFlight)
	queued := float64(demand.Queued)
	late := max(0, queued-share.Rate*usualWait.Seconds())
	blocked := late
	if h.inFlight >= share.Concurrent {
		blocked = queued
	}
	h.demand = Amount{
		Rate:       demand.Rate + late,
		Concurrent: h.inFlight + min(blocked, max(h.inFlight, fewConcurrent)),
	}
	if h.limit.Rate == 0 {
		h.demand.Rate = 0
	}
	if h.limit.Concurrent == 0 {
		h.demand.Concurrent = 0
	}
}

func (h *holder) leased(now time.Time) Amount {
	if !now.Before(h.expires) {
		return Amount{}
	}
	return h.lease
}

// share is what this node may use. The number in flight is rounded up, so that a
// small limit over many nodes still lets each serve.
func (h *holder) share(now time.Time) Amount {
	share := h.reserve.larger(h.leased(now))
	share.Concurrent = math.Ceil(share.Concurrent)
	return share
}

// held is what the allocator has to count for this node. Requests that run on
// after their share has shrunk are part of it.
func (h *holder) held(now time.Time) Amount {
	held := h.leased(now)
	if h.limit.Concurrent > 0 && h.inFlight > h.share(now).Concurrent {
		held.Concurrent = max(held.Concurrent, h.inFlight)
	}
	return held
}

// want is what this node asks for, zero when its reserve is enough. Without a
// lease it is an even share at least: little is known of traffic that begins.
func (h *holder) want(now time.Time) Amount {
	quiet := h.reserve.times(quietShare)
	quiet.Concurrent = math.Ceil(quiet.Concurrent)
	if !h.demand.exceeds(quiet) {
		return Amount{}
	}
	want := h.demand.withHeadroom()
	if !now.Before(h.expires) {
		want = want.larger(h.evenShare())
	}
	return want.smaller(limitOf(h.limit)).roundUp()
}

// due reports whether it is time to ask.
func (h *holder) due(now time.Time) bool {
	switch {
	case h.waiting:
		return !now.Before(h.askedAt.Add(answerTimeout))
	case !now.Before(h.expires):
		return !h.want(now).isZero()
	case !now.Before(h.renewAt):
		return true
	}
	return !now.Before(h.askedAt.Add(askInterval)) && (h.needsMore(now) || h.hasSurplus(now))
}

// needsMore reports whether the demand has outgrown both the share and what was
// asked for.
func (h *holder) needsMore(now time.Time) bool {
	return h.demand.exceeds(h.share(now).times(urgentShare).larger(h.askedDemand.withHeadroom()))
}

// hasSurplus reports whether others could use much of the lease.
func (h *holder) hasSurplus(now time.Time) bool {
	want := h.want(now)
	large := h.lease.exceeds(h.evenShare().times(2))
	return large && h.lease.times(surplusShare).exceeds(want) && !want.exceeds(h.lease)
}

func (h *holder) evenShare() Amount { return h.reserve.times(1 / reserveShare) }

// ask makes the next Ask for an allocator. A node that wants nothing gives its
// lease back with it and waits for no answer.
func (h *holder) ask(now time.Time, allocator cluster.NodeID) Ask {
	want := h.want(now)
	if want.isZero() {
		h.expires = time.Time{}
	}
	h.sequence++
	h.asked = allocator
	h.askedAt = now
	h.askedDemand = h.demand
	h.waiting = !want.isZero()
	return Ask{Class: h.class, Sequence: h.sequence, Want: want, Held: h.held(now)}
}

// accept takes a Grant that names the last Ask. It reports whether the share has
// shrunk, which the allocator should know at once. Any other Grant is ignored:
// the allocator may have counted this node's share anew since.
func (h *holder) accept(now time.Time, from cluster.NodeID, grant Grant) (shrunk bool) {
	if from != h.asked || grant.Sequence != h.sequence {
		return false
	}
	before := h.leased(now)
	h.waiting = false
	h.lease = grant.Share
	h.expires = h.askedAt.Add(leaseTime)
	h.renewAt = now.Add(time.Duration(grant.RenewMillis) * time.Millisecond)
	return before.times(shrunkShare).exceeds(grant.Share)
}

// pin takes a surveying node for the allocator.
func (h *holder) pin(now time.Time, allocator cluster.NodeID) {
	h.pinned = allocator
	h.pinnedUntil = now.Add(listLag)
}

// allocator returns the pinned allocator, or else that of this node's own list.
func (h *holder) allocator(now time.Time, listed cluster.NodeID) cluster.NodeID {
	if now.Before(h.pinnedUntil) {
		return h.pinned
	}
	return listed
}
