package operator

import (
	"fmt"
	"net/http"

	"dalehook/internal/machine"
	"dalehook/internal/planner"
	"dalehook/internal/record"
)

// The steps of an operator's call, named in failures.
const (
	stepPlan    = "plan"
	stepConfirm = "confirm"
)

func badField(fault planner.FieldError) machine.Failure {
	return machine.Failure{
		Status: http.StatusBadRequest, Code: machine.CodeBadRequest, Step: stepPlan,
		Message: fault.Error(), Field: fault.Field, NotRun: true,
	}
}

func unknownPlan(digest string) machine.Failure {
	return machine.Failure{
		Status: http.StatusNotFound, Code: machine.CodeUnknownPlan, Step: stepConfirm, NotRun: true, Field: "digest",
		Message: fmt.Sprintf("no plan with digest %q is known; make it again or send it with the confirmation", digest),
	}
}

func wrongDigest() machine.Failure {
	return machine.Failure{
		Status: http.StatusBadRequest, Code: machine.CodeBadRequest, Step: stepConfirm, NotRun: true, Field: "plan",
		Message: "plan: its content does not have the digest that is confirmed",
	}
}

func wrongRevision(named, base record.Revision) machine.Failure {
	return machine.Failure{
		Status: http.StatusConflict, Code: machine.CodeRevisionChanged, Step: stepConfirm, NotRun: true, Field: "revision",
		Message: fmt.Sprintf("revision: %d was named, but the plan builds on %d", named, base),
	}
}

// revisionPassed says which event has changed the configuration since the plan
// was made.
func revisionPassed(control *record.Control, base record.Revision) machine.Failure {
	winner := "a withdrawn event"
	for _, event := range control.Events() {
		if event.Revision == control.Revision() {
			winner = fmt.Sprintf("event %q (plan %s, operator %q)", event.Plan.Event.Name, event.Plan.Digest, event.Operator)
		}
	}
	return machine.Failure{
		Status: http.StatusConflict, Code: machine.CodeRevisionChanged, Step: stepConfirm, NotRun: true, Field: "revision",
		Message: fmt.Sprintf("the change builds on revision %d, but %s put revision %d in force", base, winner, control.Revision()),
	}
}

// lostTo says which record came first on the log.
func lostTo(change record.Change) machine.Failure {
	return machine.Failure{
		Status: http.StatusConflict, Code: machine.CodeRevisionChanged, Step: stepConfirm, NotRun: true, Field: "revision",
		Message: fmt.Sprintf("another change came first: %s (offset %d, reason %s)", change.Winner, change.WinnerOffset, change.Reason),
	}
}

func storeDown() machine.Failure {
	return machine.Failure{
		Status: http.StatusServiceUnavailable, Code: machine.CodeStoreDown, Step: stepConfirm, NotRun: true,
		Message: "the platform's log cannot be reached; nothing was changed", RetryAfter: retryAfter,
	}
}

func outcomeUnknown() machine.Failure {
	return machine.Failure{
		Status: http.StatusServiceUnavailable, Code: machine.CodeOutcomeUnknown, Step: stepConfirm, RetryAfter: retryAfter,
		Message: "the log did not say whether it took the confirmation; confirm again, twice is the same as once",
	}
}
