package idempotency

import (
	"slices"
	"time"

	"dalehook/internal/cluster"
)

// replica holds markers and votes. It votes on a slot only while it is full for
// the view in force: in the first view ever, or once it has taken over the
// markers of the view before from a quorum that no longer votes there.
type replica struct {
	options   Options
	transport *transport
	table     *table
	groups    *groupCache
	view      cluster.View
	history   viewHistory
	slots     [SlotCount]slotState
	leaving   bool
	// nextFullQuery is when a leaving replica asks its successors again.
	nextFullQuery time.Time
}

// slotState is a replica's standing in one slot.
type slotState struct {
	// group is the slot's group in the view in force; member says whether this
	// process is in it, everMember whether it ever was in one.
	group      []cluster.Node
	member     bool
	everMember bool
	// fullFrom and fullTo bound the views for which this replica is full; both
	// zero when there was none. What it holds covers the views between.
	fullFrom uint64
	fullTo   uint64
	// sealed is the lowest view in which it may vote.
	sealed uint64
	// transfer is the taking over of markers while it runs.
	transfer *transfer
	// successors holds the members of the view in force that said to be full.
	successors []cluster.NodeID
}

// fullFor reports whether the replica could vote in a view.
func (s *slotState) fullFor(view uint64) bool {
	return s.fullFrom > 0 && s.fullFrom <= view && view <= s.fullTo
}

// becomeFull says that the replica holds all markers up to a view. After a
// transfer from a view for which it was full the range goes on, since what it
// holds has only grown.
func (s *slotState) becomeFull(view uint64, goesOn bool) {
	if !goesOn {
		s.fullFrom = view
	}
	s.fullTo = view
	s.transfer = nil
}

func newReplica(options Options, transport *transport, groups *groupCache) *replica {
	return &replica{
		options:   options,
		transport: transport,
		groups:    groups,
		table:     newTable(options.Lifetime, options.MostKeys, options.MostBytes),
	}
}

// handleView takes a view that came into force.
func (r *replica) handleView(now time.Time, view cluster.View, first bool) {
	if view.Number <= r.view.Number {
		return
	}
	previous := r.options.Environment.PreviousView()
	if previous.Number >= view.Number {
		// The environment is ahead of this call; views come one by one.
		previous = r.view
	}
	seen := r.view.Number
	r.view = view
	r.history.add(view.Number, previous)
	for slot := range r.slots {
		source := r.slots[slot].group
		if seen != previous.Number {
			source = groupOf(previous, slot)
		}
		r.enterView(now, slot, origin{view: previous, group: source}, first)
	}
	r.sendTransferRequests(now)
}

// enterView brings one slot into the view in force from the one before.
func (r *replica) enterView(now time.Time, slot int, previous origin, first bool) {
	state := &r.slots[slot]
	state.group = r.groups.group(r.view, slot)
	state.member = indexOf(state.group, r.options.Self.ID, r.options.Self.Incarnation) >= 0
	state.sealed = max(state.sealed, r.view.Number)
	state.successors = nil
	if !state.member {
		state.transfer = nil
		return
	}
	state.everMember = true
	if first {
		state.becomeFull(r.view.Number, false)
		return
	}
	number := previous.view.Number
	unchanged := number > 0 && sameGroup(previous.group, state.group)
	switch {
	case unchanged && state.fullFor(number):
		// The same members with the same markers: any two majorities of the two
		// views share a member, so there is nothing to take over.
		state.becomeFull(r.view.Number, true)
	case unchanged && state.transfer != nil && state.transfer.target == number:
		state.transfer.target = r.view.Number
		state.transfer.peers.view = r.view
	default:
		state.transfer = r.newTransfer(now, state, previous.view, previous.group)
		r.tryFinish(now, slot)
	}
}

// canVote reports whether the replica may grant markers of a slot.
func (r *replica) canVote(state *slotState) bool {
	return state.member && (state.fullFor(r.view.Number) || r.options.ablation.noFull)
}

// handlePrepare votes.
func (r *replica) handlePrepare(now time.Time, from sender, prepare Prepare) {
	state := &r.slots[slotOf(prepare.Key)]
	reply := PrepareReply{
		View:        prepare.View,
		ReplicaView: r.view.Number,
		Key:         prepare.Key,
		Attempt:     prepare.Attempt,
	}
	reply.Verdict, reply.Markers = r.vote(now, state, prepare)
	r.transport.reply(from, reply)
}

// vote decides on a Prepare and takes the marker when it is granted.
func (r *replica) vote(now time.Time, state *slotState, prepare Prepare) (Verdict, []Marker) {
	if prepare.View != r.view.Number || prepare.View < state.sealed {
		return VerdictOtherView, nil
	}
	markers := r.table.markers(now, prepare.Key)
	own := func(m Marker) bool { return m.Attempt == prepare.Attempt }
	mine := len(markers) == 1 && own(markers[0])
	if len(markers) > 0 && !mine {
		return VerdictHeld, slices.DeleteFunc(slices.Clone(markers), own)
	}
	if !r.canVote(state) {
		if state.transfer != nil && state.transfer.lost() {
			return VerdictLost, nil
		}
		return VerdictNotReady, nil
	}
	if mine {
		return VerdictGranted, nil
	}
	if r.table.full() {
		return VerdictMemoryFull, nil
	}
	marker := Marker{Attempt: prepare.Attempt, Digest: prepare.Digest, State: StateStarted}
	r.table.put(now, prepare.Key, []Marker{marker})
	return VerdictGranted, nil
}

// handleRelease drops the marker of an attempt that never ran.
func (r *replica) handleRelease(now time.Time, release Release) {
	markers := r.table.markers(now, release.Key)
	kept := slices.DeleteFunc(slices.Clone(markers), func(m Marker) bool {
		return m.Attempt == release.Attempt && !m.definite()
	})
	if len(kept) != len(markers) {
		r.table.put(now, release.Key, kept)
	}
}

// handleRecord keeps what an attempt has come to.
func (r *replica) handleRecord(now time.Time, from sender, record Record) {
	markers := r.table.markers(now, record.Key)
	known := len(markers) == 1 && markers[0].definite()
	if !known {
		r.table.put(now, record.Key, mergeMarker(slices.Clone(markers), record.Marker))
	}
	r.transport.reply(from, RecordReply{
		View: r.view.Number, Key: record.Key, Attempt: record.Marker.Attempt,
	})
}

// tick drives transfers, expiry and the hand-over of a planned stop.
func (r *replica) tick(now time.Time) {
	r.table.expireSome(now)
	for slot := range r.slots {
		if r.slots[slot].transfer != nil {
			r.watchLoss(now, slot)
		}
	}
	r.sendTransferRequests(now)
	if r.leaving {
		r.sendFullQueries(now)
	}
}

func (r *replica) stats() Stats {
	stats := Stats{Keys: r.table.keys, Bytes: r.table.bytes}
	for slot := range r.slots {
		state := &r.slots[slot]
		if !state.member {
			continue
		}
		stats.Slots++
		if state.transfer != nil {
			stats.Waiting++
			if state.transfer.lost() {
				stats.Lost++
			}
		}
	}
	return stats
}
