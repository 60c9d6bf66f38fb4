package record

import "dalehook/internal/cluster"

// VoidReason says why a record has no effect. It is empty for a valid record.
type VoidReason string

// The reasons why a fold gives a record no effect.
const (
	// ReasonApplied means that the entry's offset was folded before.
	ReasonApplied VoidReason = "already_applied"
	// ReasonGap means that entries before this one are missing; the fold did
	// not move and the caller has to read from Offset()+1 again.
	ReasonGap VoidReason = "gap"
	// ReasonDuplicate means that a record with the same id stands before it.
	ReasonDuplicate VoidReason = "duplicate_id"
	// ReasonUnknownKind means that this program does not know the record's
	// kind, or could not decode it.
	ReasonUnknownKind VoidReason = "unknown_kind"
	// ReasonWrongLog means that the record does not belong on this log.
	ReasonWrongLog VoidReason = "wrong_log"
	// ReasonConflict means that the record builds on a revision, or supersedes
	// an epoch, that is not in force any more.
	ReasonConflict VoidReason = "conflict"
	// ReasonEpoch means that the record's epoch is not the one in force.
	ReasonEpoch VoidReason = "epoch_not_in_force"
	// ReasonNotNewer means that a higher version was announced before.
	ReasonNotNewer VoidReason = "not_newer"
	// ReasonStepConflict means that the step is open with another body.
	ReasonStepConflict VoidReason = "step_conflict"
	// ReasonStepClosed means that the step was closed before, or is not open.
	ReasonStepClosed VoidReason = "step_closed"
	// ReasonInvalid means that a field's value is not possible.
	ReasonInvalid VoidReason = "invalid"
	// ReasonLimit means that the state is full, see the limits of Control.
	ReasonLimit VoidReason = "limit"
	// ReasonNoBody means that the step's body does not stand before the record.
	ReasonNoBody VoidReason = "no_body"
	// ReasonCommitted means that the sample has a result in force.
	ReasonCommitted VoidReason = "already_committed"
	// ReasonFailed means that the sample has a final error.
	ReasonFailed VoidReason = "already_failed"
	// ReasonNotCommitted means that the sample has no result to revoke.
	ReasonNotCommitted VoidReason = "not_committed"
	// ReasonOldAttempt means that a later attempt is known, or that the attempt
	// or a later one was revoked.
	ReasonOldAttempt VoidReason = "old_attempt"
)

// Change is what one entry did to a Control.
type Change struct {
	Offset uint64
	ID     ID
	// Valid is set when the record is not void.
	Valid bool
	// Repeated is set for a valid record that changed nothing, since what it
	// asks for was in force already (a plan confirmed again, an event withdrawn
	// twice, a version announced again).
	Repeated bool
	// Reason is set when the record is void.
	Reason VoidReason
	// Winner names what stands in the way of a void record, for people.
	Winner string
	// WinnerOffset is the offset of the record that won, zero if none did.
	WinnerOffset uint64
	// Revision is, for a valid PlanConfirmed, the revision at which the plan
	// came into force.
	Revision Revision
	// Body is the record's body.
	Body any
}

// ConfirmedEvent is an event in force with the plan that was confirmed for it.
type ConfirmedEvent struct {
	Plan     Plan
	Revision Revision
	Operator string
}

// Lease is who holds a duty. The zero Lease means that nobody ever claimed it.
type Lease struct {
	Epoch       Epoch
	Holder      cluster.NodeID
	Incarnation cluster.Incarnation
}

// HeldBy reports whether the lease belongs to this very life of a node.
func (l Lease) HeldBy(node cluster.Node) bool {
	return l.Epoch != 0 && l.Holder == node.ID && l.Incarnation == node.Incarnation
}
