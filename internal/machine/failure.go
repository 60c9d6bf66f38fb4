package machine

import (
	"fmt"
	"time"
)

// Code is the machine-readable reason of a refused or failed call.
type Code string

// The codes of the API's error bodies.
const (
	CodeBadRequest      Code = "bad_request"
	CodeTooLarge        Code = "too_large"
	CodeUnknownEvent    Code = "unknown_event"
	CodeUnknownService  Code = "unknown_service"
	CodeUnknownStep     Code = "unknown_step"
	CodeUnknownPlan     Code = "unknown_plan"
	CodeBadCursor       Code = "bad_cursor"
	CodeStepConflict    Code = "step_conflict"
	CodeKeyConflict     Code = "key_conflict"
	CodeRevisionChanged Code = "revision_conflict"
	CodeDeadline        Code = "deadline_exceeded"
	CodeOverloaded      Code = "overloaded"
	CodeShed            Code = "shed"
	CodeNoBackend       Code = "no_backend"
	CodeBackendFailed   Code = "backend_failed"
	CodeOutcomeUnknown  Code = "outcome_unknown"
	CodeInProgress      Code = "in_progress"
	CodeStoreDown       Code = "store_unavailable"
	CodeOwnerAway       Code = "owner_unavailable"
	CodeNoQuorum        Code = "no_quorum"
	CodeStarting        Code = "starting"
	CodeLeaving         Code = "leaving"
	CodeInternal        Code = "internal"
)

// Failure answers a call with an error. It implements error. NotRun is set only
// when the request surely did not run and will not.
type Failure struct {
	Status int
	Code   Code
	// Message is for people; it names the field where one is at fault.
	Message string
	// Field names the field, header or query parameter at fault, empty for none.
	Field string
	// Step and Peer say where the failure arose: the step of the work, and the
	// node or back end.
	Step       string
	Peer       string
	NotRun     bool
	RetryAfter time.Duration
}

// Error implements error.
func (f Failure) Error() string {
	return fmt.Sprintf("%s: %s (step %s, peer %s)", f.Code, f.Message, f.Step, f.Peer)
}
