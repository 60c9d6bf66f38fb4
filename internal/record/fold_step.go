package record

import (
	"fmt"

	"dalehook/internal/cluster"
)

// StepIDMemory is the number of the last records of a step's log whose ids are
// remembered. A second copy further behind is judged anew, which is harmless:
// a sample has one result in force, and a revoked attempt cannot return.
const StepIDMemory = 16384

// SampleVoid says why one sample of a record has no effect.
type SampleVoid struct {
	Sample int
	Reason VoidReason
}

// StepChange is what one entry did to a Step.
type StepChange struct {
	Offset uint64
	ID     ID
	// Valid is set when the record, or at least one of its samples, is not void.
	Valid bool
	// Repeated is set for a valid record that changed nothing.
	Repeated bool
	// Reason is set when the whole record is void.
	Reason VoidReason
	// Winner names what stands in the way of a void record, for people.
	Winner string
	// WinnerOffset is the offset of the record that won, zero if none did.
	WinnerOffset uint64
	// Applied lists the samples that the record changed, in its own order.
	Applied []int
	// Void lists the samples of the record that are void.
	Void []SampleVoid
	// Body is the record's body.
	Body any
}

// Step is the fold of one step's log. Values that its readers return are shared
// and must not be changed.
type Step struct {
	offset     uint64
	body       StepBody
	bodyOffset uint64
	lease      Lease
	samples    map[int]sampleState
	ids        idMemory
}

// sampleState is what stands on the log about one sample.
type sampleState struct {
	committed       bool
	result          Result
	committedOffset uint64
	failed          bool
	failure         SampleFailure
	failedOffset    uint64
	// revokedAttempt is the highest attempt whose result was revoked.
	revoked        bool
	revokedAttempt int
	placed         bool
	placement      Placement
}

// NewStep returns the state before the first entry of a step's log.
func NewStep() *Step {
	return &Step{samples: map[int]sampleState{}, ids: newIDMemory(StepIDMemory)}
}

// Apply folds one entry. Entries must come in order without gaps: one that was
// applied before, or that comes too early, changes nothing and says so.
func (s *Step) Apply(entry Entry) StepChange {
	change := StepChange{Offset: entry.Offset, ID: entry.Record.ID, Body: entry.Record.Body}
	if reason := orderReason(s.offset, entry.Offset); reason != "" {
		change.Reason = reason
		return change
	}
	s.offset = entry.Offset
	if first, seen := s.ids.add(entry.Record.ID, entry.Offset); seen {
		return change.void(ReasonDuplicate, fmt.Sprintf("the record's first copy at offset %d", first), first)
	}
	switch body := entry.Record.Body.(type) {
	case StepBody:
		return s.accept(change, body)
	case LeaseClaimed:
		return s.claim(change, body)
	case SamplesPlaced:
		return s.underEpoch(change, body.Epoch, func(c StepChange) StepChange { return s.place(c, body) })
	case SamplesCommitted:
		return s.underEpoch(change, body.Epoch, func(c StepChange) StepChange { return s.commit(c, body) })
	case SamplesRevoked:
		return s.underEpoch(change, body.Epoch, func(c StepChange) StepChange { return s.revoke(c, body) })
	case SamplesFailed:
		return s.underEpoch(change, body.Epoch, func(c StepChange) StepChange { return s.fail(c, body) })
	case PlanConfirmed, EventWithdrawn, VersionAnnounced, ViewPublished, StepOpened, StepClosed:
		return change.void(ReasonWrongLog, "", 0)
	default:
		return change.void(ReasonUnknownKind, "", 0)
	}
}

func (c StepChange) void(reason VoidReason, winner string, offset uint64) StepChange {
	c.Reason, c.Winner, c.WinnerOffset = reason, winner, offset
	return c
}

func (c StepChange) valid() StepChange {
	c.Valid = true
	return c
}

// settle ends a record that names several samples: it is void as a whole when
// none of them was changed.
func (c StepChange) settle() StepChange {
	if len(c.Applied) > 0 {
		return c.valid()
	}
	if len(c.Void) > 0 {
		return c.void(c.Void[0].Reason, "", 0)
	}
	return c.void(ReasonInvalid, "", 0)
}

func (s *Step) accept(change StepChange, body StepBody) StepChange {
	if s.bodyOffset != 0 {
		if s.body.Digest == body.Digest {
			change.Repeated = true
			return change.valid()
		}
		return change.void(ReasonStepConflict, "the body with digest "+s.body.Digest, s.bodyOffset)
	}
	s.body, s.bodyOffset = body, change.Offset
	return change.valid()
}

func (s *Step) claim(change StepChange, body LeaseClaimed) StepChange {
	if body.Duty != DutyStep {
		return change.void(ReasonWrongLog, "", 0)
	}
	if body.Holder == "" {
		return change.void(ReasonInvalid, "", 0)
	}
	if body.Supersedes != s.lease.Epoch {
		return change.void(ReasonConflict, leaseWinner(s.lease), uint64(s.lease.Epoch))
	}
	s.lease = Lease{Epoch: Epoch(change.Offset), Holder: body.Holder, Incarnation: body.Incarnation}
	return change.valid()
}

// underEpoch runs apply only for the epoch in force and a known body.
func (s *Step) underEpoch(change StepChange, epoch Epoch, apply func(StepChange) StepChange) StepChange {
	if epoch == 0 || epoch != s.lease.Epoch {
		return change.void(ReasonEpoch, leaseWinner(s.lease), uint64(s.lease.Epoch))
	}
	if s.bodyOffset == 0 {
		return change.void(ReasonNoBody, "", 0)
	}
	return apply(change)
}

// change applies one sample's rule; a reason leaves the sample as it was.
func (s *Step) change(change *StepChange, sample int, rule func(*sampleState) VoidReason) {
	if sample < 0 || sample >= len(s.body.Samples) {
		change.Void = append(change.Void, SampleVoid{Sample: sample, Reason: ReasonInvalid})
		return
	}
	state := s.samples[sample]
	if reason := rule(&state); reason != "" {
		change.Void = append(change.Void, SampleVoid{Sample: sample, Reason: reason})
		return
	}
	s.samples[sample] = state
	change.Applied = append(change.Applied, sample)
}

func (s *Step) place(change StepChange, body SamplesPlaced) StepChange {
	for _, placement := range body.Placements {
		s.change(&change, placement.Sample, func(state *sampleState) VoidReason {
			if reason := state.ended(placement.Attempt); reason != "" {
				return reason
			}
			if state.placed && placement.Attempt < state.placement.Attempt {
				return ReasonOldAttempt
			}
			state.placed, state.placement = true, placement
			return ""
		})
	}
	return change.settle()
}

func (s *Step) commit(change StepChange, body SamplesCommitted) StepChange {
	for _, result := range body.Results {
		s.change(&change, result.Sample, func(state *sampleState) VoidReason {
			if reason := state.ended(result.Attempt); reason != "" {
				return reason
			}
			state.committed, state.result, state.committedOffset = true, result, change.Offset
			state.placed = false
			return ""
		})
	}
	return change.settle()
}

// ended says why an attempt of the sample can neither run nor be committed.
func (state *sampleState) ended(attempt int) VoidReason {
	switch {
	case state.failed:
		return ReasonFailed
	case state.committed:
		return ReasonCommitted
	case state.revoked && attempt <= state.revokedAttempt:
		return ReasonOldAttempt
	default:
		return ""
	}
}

func (s *Step) revoke(change StepChange, body SamplesRevoked) StepChange {
	for _, sample := range body.Samples {
		s.change(&change, sample, func(state *sampleState) VoidReason {
			if !state.committed {
				return ReasonNotCommitted
			}
			state.revoked, state.revokedAttempt = true, state.result.Attempt
			state.committed, state.result, state.committedOffset = false, Result{}, 0
			return ""
		})
	}
	return change.settle()
}

func (s *Step) fail(change StepChange, body SamplesFailed) StepChange {
	for _, failure := range body.Failures {
		s.change(&change, failure.Sample, func(state *sampleState) VoidReason {
			switch {
			case state.failed:
				return ReasonFailed
			case state.committed:
				return ReasonCommitted
			}
			state.failed, state.failure, state.failedOffset = true, failure, change.Offset
			state.placed = false
			return ""
		})
	}
	return change.settle()
}

// Offset returns the offset of the last entry that was folded.
func (s *Step) Offset() uint64 { return s.offset }

// Body returns the step's body, once it stands on the log.
func (s *Step) Body() (StepBody, bool) { return s.body, s.bodyOffset != 0 }

// Epoch returns the epoch in force, zero when the step was never claimed.
func (s *Step) Epoch() Epoch { return s.lease.Epoch }

// Holder returns the node that holds the step, empty for none.
func (s *Step) Holder() cluster.NodeID { return s.lease.Holder }

// Lease returns the claim in force.
func (s *Step) Lease() Lease { return s.lease }

// Committed returns a sample's result in force and the offset of its commit.
func (s *Step) Committed(sample int) (Result, uint64, bool) {
	state := s.samples[sample]
	return state.result, state.committedOffset, state.committed
}

// Revoked returns the highest attempt of a sample whose result was revoked.
// Attempts up to that one can no longer be committed.
func (s *Step) Revoked(sample int) (int, bool) {
	state := s.samples[sample]
	return state.revokedAttempt, state.revoked
}

// Failed returns a sample's final error and the offset of its record.
func (s *Step) Failed(sample int) (SampleFailure, uint64, bool) {
	state := s.samples[sample]
	return state.failure, state.failedOffset, state.failed
}

// Placements returns the last known place of each sample that has neither a
// result nor a final error, sorted by sample.
func (s *Step) Placements() []Placement {
	var placements []Placement
	for _, sample := range sortedKeys(s.samples) {
		if state := s.samples[sample]; state.placed {
			placements = append(placements, state.placement)
		}
	}
	return placements
}

// Seen returns the offset of the record with the given id, if it is among the
// last StepIDMemory records.
func (s *Step) Seen(id ID) (uint64, bool) { return s.ids.find(id) }
