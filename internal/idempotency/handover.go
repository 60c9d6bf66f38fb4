package idempotency

import (
	"slices"
	"time"

	"dalehook/internal/cluster"
)

// fullQueryEvery is the time between two questions of a leaving replica.
const fullQueryEvery = 200 * time.Millisecond

// handedOver reports whether the node is no longer needed as a replica: it is out
// of the view, and a majority of each slot's group can vote in it. It stands on
// slots for which the node was never full too, as its answer may be needed for a
// majority.
func (r *replica) handedOver() bool {
	for slot := range r.slots {
		if r.needed(&r.slots[slot]) {
			return false
		}
	}
	return true
}

// needed reports whether a slot's successors may still need this replica.
func (r *replica) needed(state *slotState) bool {
	if state.member {
		return true
	}
	return state.everMember && len(state.successors) < majority(state.group)
}

// sendFullQueries asks the successors of the slots that still need this replica.
func (r *replica) sendFullQueries(now time.Time) {
	if now.Before(r.nextFullQuery) {
		return
	}
	r.nextFullQuery = now.Add(fullQueryEvery)
	type query struct {
		to    cluster.Node
		slots []int
	}
	var queries []*query
	for slot := range r.slots {
		state := &r.slots[slot]
		if state.member || !r.needed(state) {
			continue
		}
		for _, member := range state.group {
			index := slices.IndexFunc(queries, func(q *query) bool { return q.to.ID == member.ID })
			if index < 0 {
				index = len(queries)
				queries = append(queries, &query{to: member})
			}
			queries[index].slots = append(queries[index].slots, slot)
		}
	}
	for _, q := range queries {
		r.transport.send(q.to, FullQuery{View: r.view.Number, Slots: q.slots})
	}
}

// handleFullQuery names the slots on which this replica can vote.
func (r *replica) handleFullQuery(from sender, query FullQuery) {
	reply := FullReply{View: query.View}
	for _, slot := range query.Slots {
		if slot >= 0 && slot < SlotCount && r.slots[slot].member && r.slots[slot].fullFor(query.View) {
			reply.Slots = append(reply.Slots, slot)
		}
	}
	r.transport.reply(from, reply)
}

// handleFullReply notes successors.
func (r *replica) handleFullReply(from sender, reply FullReply) {
	if reply.View != r.view.Number {
		return
	}
	for _, slot := range reply.Slots {
		if slot < 0 || slot >= SlotCount {
			continue
		}
		state := &r.slots[slot]
		known := slices.Contains(state.successors, from.id)
		if !known && indexOf(state.group, from.id, from.incarnation) >= 0 {
			state.successors = append(state.successors, from.id)
		}
	}
}
