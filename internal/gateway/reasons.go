package gateway

import (
	"context"
	"errors"
	"os"
	"strconv"
)

// endReason says why a request's context has ended.
func endReason(ctx context.Context) string {
	switch cause := context.Cause(ctx); {
	case ctx.Err() != context.Canceled:
		return reasonDeadline
	case cause != context.Canceled:
		return "ended: " + cause.Error()
	default:
		return reasonCallerLeft
	}
}

// Reasons of calls without a response, or with one that was cut.
const (
	reasonDeadline   = "deadline"
	reasonNoServer   = "no server"
	reasonRejected   = "refused by the server"
	reasonCallerLeft = "caller left"
	// reasonNotRead is the reason of a response that its caller did not read in time.
	reasonNotRead = "caller does not read"
	// reasonCut precedes the error by which a response was cut.
	reasonCut = "cut: "
)

// failureReason is the reason of a call that a server failed with a status.
func failureReason(status int) string { return "failed at the server: " + strconv.Itoa(status) }

// writeEndReason says why a write to the caller has failed.
func writeEndReason(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return reasonNotRead
	}
	return reasonCallerLeft
}
