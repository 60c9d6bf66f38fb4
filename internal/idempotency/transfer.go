package idempotency

import (
	"slices"
	"time"

	"dalehook/internal/cluster"
)

// Limits of transfers.
const (
	// mostPieceBytes bounds the entries in one TransferReply.
	mostPieceBytes = 128 << 10
	// transferRetry is the time after which an unanswered request is repeated,
	// lostRetry once the transfer can't end as things stand.
	transferRetry = 100 * time.Millisecond
	lostRetry     = time.Second
	// askPeersAfter is the time after which a replica also asks the others of its
	// own group, of whom one may have come further.
	askPeersAfter = 500 * time.Millisecond
)

// transfer is the taking over of one slot's markers.
//
// The rule, for a source view b and a target view t: every member that answers
// has first stopped voting in views before t, and sends all that it holds. So
// once a majority of the group of b has answered, no further attempt can get its
// majority in b, and each that did get it is among what came. What came before
// the group of b was formed is held by every replica that is full for b. Hence a
// majority of answers with at least one full among them is enough. If none of a
// majority is full, nobody ever got a majority in b, and the view before b takes
// its place.
type transfer struct {
	// since is when the transfer began from its source.
	since time.Time
	// target is the newest view that it serves.
	target uint64
	source origin
	// peers are the others of the slot's own group.
	peers origin
	// lostSince is when the majority of source was found to be gone; zero when
	// it isn't.
	lostSince time.Time
}

// origin is a view from whose group markers are taken.
type origin struct {
	view    cluster.View
	group   []cluster.Node
	answers []answer
}

// answer is what is known from one member of an origin.
type answer struct {
	// complete says that the member has answered and sent all that it holds.
	complete bool
	full     bool
	// gone says that another process has taken the member's name.
	gone bool
	// cursor is the last key that came.
	cursor string
	// asked is when the last request was sent.
	asked time.Time
}

func newOrigin(view cluster.View, group []cluster.Node) origin {
	return origin{view: view, group: group, answers: make([]answer, len(group))}
}

// count returns the complete answers and the full ones among them.
func (o *origin) count() (complete, full int) {
	for _, a := range o.answers {
		if !a.complete {
			continue
		}
		complete++
		if a.full {
			full++
		}
	}
	return complete, full
}

// lost reports whether the markers can't be taken over as things stand.
func (t *transfer) lost() bool { return !t.lostSince.IsZero() }

// newTransfer begins to take over markers from the group of the view before.
func (r *replica) newTransfer(now time.Time, state *slotState, previous cluster.View, source []cluster.Node) *transfer {
	t := &transfer{
		since:  now,
		target: r.view.Number,
		source: newOrigin(previous, source),
		peers:  newOrigin(r.view, state.group),
	}
	r.answerSelf(state, &t.source)
	return t
}

// answerSelf fills in this process's own answer.
func (r *replica) answerSelf(state *slotState, from *origin) {
	index := indexOf(from.group, r.options.Self.ID, r.options.Self.Incarnation)
	if index >= 0 {
		from.answers[index] = answer{complete: true, full: state.fullFor(from.view.Number)}
	}
}

// tryFinish ends a slot's transfer, or goes back to its base, once enough answers
// are in.
func (r *replica) tryFinish(now time.Time, slot int) {
	state := &r.slots[slot]
	t := state.transfer
	if t == nil || state.sealed > t.target {
		// A replica sealed for a later view has said that it isn't full for this one.
		return
	}
	if _, full := t.peers.count(); full > 0 && full+1 >= majority(t.peers.group) {
		// Any majority of the group holds this replica, whose own markers are kept,
		// or one of the full ones.
		state.becomeFull(t.target, false)
		return
	}
	complete, full := t.source.count()
	if len(t.source.group) == 0 || complete < majority(t.source.group) {
		return
	}
	if full > 0 {
		state.becomeFull(t.target, state.fullFor(t.source.view.Number))
		return
	}
	if r.isFirst(t.source.view) {
		// Nobody was granted anything in the first view, and before it there was none.
		state.becomeFull(t.target, false)
		return
	}
	base, known := r.history.before(t.source.view.Number)
	if !known {
		return
	}
	t.source = newOrigin(base, groupOf(base, slot))
	t.since = now
	t.lostSince = time.Time{}
	r.answerSelf(state, &t.source)
	r.tryFinish(now, slot)
}

// isFirst reports whether a view is the first one ever, where that is known.
func (r *replica) isFirst(view cluster.View) bool {
	knows, ok := r.options.Environment.(FirstViewer)
	return ok && view.Number > 0 && view.Number == knows.FirstView()
}

// watchLoss notes when the majority of a slot's source is gone, and lets the
// replica vote again a lifetime later: by then every marker has expired.
func (r *replica) watchLoss(now time.Time, slot int) {
	state := &r.slots[slot]
	r.tryFinish(now, slot)
	t := state.transfer
	if t == nil {
		return
	}
	if !r.hopeless(t) {
		t.lostSince = time.Time{}
		return
	}
	if !t.lost() {
		t.lostSince = now
	}
	if !now.Before(t.lostSince.Add(r.options.Lifetime)) && state.sealed <= t.target {
		state.becomeFull(t.target, false)
	}
}

// hopeless reports whether the transfer can't end as things stand: too few members
// are left, or none that may be full and no view to go back to.
func (r *replica) hopeless(t *transfer) bool {
	complete, full := t.source.count()
	open := 0
	for i, member := range t.source.group {
		if !t.source.answers[i].complete && !r.gone(t, i, member) {
			open++
		}
	}
	if complete+open < majority(t.source.group) {
		return true
	}
	_, known := r.history.before(t.source.view.Number)
	return full == 0 && open == 0 && !known
}

// gone reports whether a member of a transfer's source has lost its memory or is
// taken for dead.
func (r *replica) gone(t *transfer, index int, member cluster.Node) bool {
	if t.source.answers[index].gone || member.ID == r.options.Self.ID {
		// This process's own answer is there from the start; what is left is an
		// earlier life of it.
		return true
	}
	if !r.options.Environment.Alive(member.ID) {
		return true
	}
	now, present := r.view.Find(member.ID)
	return present && now.Incarnation != member.Incarnation
}

// pendingRequest is a request to one node, with the slots gathered so far.
type pendingRequest struct {
	to      cluster.Node
	request TransferRequest
}

// sendTransferRequests asks each node once for all slots that wait for it.
func (r *replica) sendTransferRequests(now time.Time) {
	var pending []*pendingRequest
	for slot := range r.slots {
		t := r.slots[slot].transfer
		if t == nil {
			continue
		}
		retry := transferRetry
		if t.lost() {
			retry = lostRetry
		}
		pending = r.gather(now, pending, slot, &t.source, retry)
		if t.lost() || now.Sub(t.since) >= askPeersAfter {
			pending = r.gather(now, pending, slot, &t.peers, retry)
		}
	}
	for _, p := range pending {
		r.transport.send(p.to, p.request)
	}
}

// gather adds a slot to the requests to the members that it still waits for.
func (r *replica) gather(now time.Time, pending []*pendingRequest, slot int, from *origin, retry time.Duration) []*pendingRequest {
	for i, member := range from.group {
		a := &from.answers[i]
		if a.complete || a.gone || member.ID == r.options.Self.ID || now.Before(a.asked.Add(retry)) {
			continue
		}
		a.asked = now
		index := slices.IndexFunc(pending, func(p *pendingRequest) bool {
			return p.to.ID == member.ID && p.request.Source == from.view.Number
		})
		if index < 0 {
			index = len(pending)
			request := TransferRequest{Target: r.view.Number, Source: from.view.Number}
			pending = append(pending, &pendingRequest{to: member, request: request})
		}
		cursor := SlotCursor{Slot: slot, After: a.cursor}
		pending[index].request.Slots = append(pending[index].request.Slots, cursor)
	}
	return pending
}

// handleTransferRequest seals the slots for the target view and sends what fits
// of their markers.
func (r *replica) handleTransferRequest(now time.Time, from sender, request TransferRequest) {
	reply := TransferReply{Target: request.Target, Source: request.Source}
	room := mostPieceBytes
	for _, cursor := range request.Slots {
		if room <= 0 {
			break
		}
		if cursor.Slot < 0 || cursor.Slot >= SlotCount {
			continue
		}
		state := &r.slots[cursor.Slot]
		if !r.options.ablation.noSeal {
			state.sealed = max(state.sealed, request.Target)
		}
		piece := SlotPiece{Slot: cursor.Slot, After: cursor.After, Full: state.fullFor(request.Source)}
		piece.Entries, piece.More = r.table.piece(now, cursor.Slot, cursor.After, room)
		if !piece.Full {
			reply.Base, _ = r.history.before(request.Source)
		}
		for _, e := range piece.Entries {
			room -= sizeOf(e.Key, e.Markers)
		}
		reply.Pieces = append(reply.Pieces, piece)
	}
	r.transport.reply(from, reply)
}

// handleTransferReply takes over the markers of the reply's slots.
func (r *replica) handleTransferReply(now time.Time, from sender, reply TransferReply) {
	if reply.Target != r.view.Number {
		return
	}
	if reply.Base.Number > 0 {
		r.history.add(reply.Source, reply.Base)
	}
	for _, piece := range reply.Pieces {
		if piece.Slot < 0 || piece.Slot >= SlotCount || r.slots[piece.Slot].transfer == nil {
			continue
		}
		r.takePiece(now, from, reply, piece)
	}
	r.askAgain(from, reply)
	r.sendTransferRequests(now)
}

// askAgain lets the slots that did not fit into a reply be asked for at once.
func (r *replica) askAgain(from sender, reply TransferReply) {
	for slot := range r.slots {
		t := r.slots[slot].transfer
		if t == nil {
			continue
		}
		index := indexOf(t.source.group, from.id, from.incarnation)
		if index >= 0 && t.source.view.Number == reply.Source {
			t.source.answers[index].asked = time.Time{}
		}
	}
}

// takePiece takes over one piece.
func (r *replica) takePiece(now time.Time, from sender, reply TransferReply, piece SlotPiece) {
	t := r.slots[piece.Slot].transfer
	origin := &t.source
	ownGroup := reply.Source == t.peers.view.Number
	if ownGroup {
		origin = &t.peers
	}
	index := slices.IndexFunc(origin.group, func(n cluster.Node) bool { return n.ID == from.id })
	if index < 0 || origin.view.Number != reply.Source {
		return
	}
	a := &origin.answers[index]
	if origin.group[index].Incarnation != from.incarnation {
		a.gone = a.gone || from.incarnation > origin.group[index].Incarnation
		return
	}
	if ownGroup && !piece.Full || a.complete || piece.After != a.cursor {
		return
	}
	for _, e := range piece.Entries {
		r.table.merge(now, e)
		a.cursor = e.Key
	}
	a.asked = time.Time{}
	a.full = piece.Full
	a.complete = !piece.More
	r.tryFinish(now, piece.Slot)
}
