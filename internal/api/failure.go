package api

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"dalehook/internal/machine"
)

// Codes of failures that only the API knows.
const (
	codeNotFound         machine.Code = "not_found"
	codeMethodNotAllowed machine.Code = "method_not_allowed"
)

// defaultRetryAfter is sent with a refusal for which the machine named no time.
const defaultRetryAfter = time.Second

// ErrorBody is the body of every answer that is an error of dalehook itself.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong, where, and whether the request ran.
type ErrorDetail struct {
	Code    machine.Code `json:"code"`
	Message string       `json:"message"`
	// Step and Peer say where the error arose.
	Step string `json:"step"`
	Peer string `json:"peer"`
	// NotRun is set only when the request surely did not run and will not.
	NotRun       bool  `json:"not_run"`
	RetryAfterMs int64 `json:"retry_after_ms"`
	// Field names the field, header or parameter at fault.
	Field string `json:"field,omitempty"`
}

// badRequest returns the failure of a call that is wrong in form.
func badRequest(field, format string, arguments ...any) *machine.Failure {
	return &machine.Failure{
		Status:  http.StatusBadRequest,
		Code:    machine.CodeBadRequest,
		Field:   field,
		Message: fmt.Sprintf(format, arguments...),
		NotRun:  true,
	}
}

// unavailable returns the refusal of a node that can't take a call now.
func unavailable(code machine.Code, message string) *machine.Failure {
	return &machine.Failure{
		Status:  http.StatusServiceUnavailable,
		Code:    code,
		Message: message,
		NotRun:  true,
	}
}

// isRefusal reports whether a failure asks the caller to come back.
func isRefusal(failure machine.Failure) bool {
	return failure.NotRun &&
		(failure.Status == http.StatusServiceUnavailable || failure.Status == http.StatusTooManyRequests)
}

// complete fills what a failure left open: the status, the node at which it
// arose and, for a refusal, the time to come back.
func (h *Handler) complete(failure machine.Failure) machine.Failure {
	if failure.Status == 0 {
		failure.Status = http.StatusInternalServerError
	}
	if failure.Peer == "" {
		failure.Peer = string(h.options.Self.ID)
	}
	if failure.RetryAfter <= 0 && isRefusal(failure) {
		failure.RetryAfter = defaultRetryAfter
	}
	return failure
}

// writeFailure answers a call with an error.
func (h *Handler) writeFailure(w http.ResponseWriter, failure machine.Failure) {
	failure = h.complete(failure)
	if failure.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(ceilDivide(failure.RetryAfter, time.Second), 10))
	}
	h.writeJSON(w, failure.Status, ErrorBody{Error: ErrorDetail{
		Code:         failure.Code,
		Message:      failure.Message,
		Step:         failure.Step,
		Peer:         failure.Peer,
		NotRun:       failure.NotRun,
		RetryAfterMs: ceilDivide(failure.RetryAfter, time.Millisecond),
		Field:        failure.Field,
	}})
}

// ceilDivide returns a duration in whole units, rounded up, so that a caller
// never comes back too early.
func ceilDivide(duration, unit time.Duration) int64 {
	if duration <= 0 {
		return 0
	}
	return int64((duration-1)/unit) + 1
}
