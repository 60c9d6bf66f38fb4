package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"dalehook/internal/bytebudget"
	"dalehook/internal/clock"
)

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	response *Response
	// prefix is the part of the body that was buffered; complete says that it is the whole body.
	prefix   bytebudget.Pieces
	complete bool
	sendErr  *SendError
	cancel   context.CancelFunc
}

// attempt sends the request to a server and buffers the response body up to maxBufferedBytes, or as far
// as the request's memory may grow. The attempt may outlive the call by cancelGrace.
func (c *call) attempt(ctx context.Context, started startedAttempt, lastEventID string) attemptResult {
	server, start := started.server, clock.Now()
	started.sentAt = start
	sendCtx, cancel := withCancelGrace(ctx)
	result := attemptResult{cancel: cancel}
	result.response, result.sendErr = c.gateway.options.Backend.Send(sendCtx, Attempt{
		Request: c.request, Server: server, Timeout: remainingUntil(c.deadline), LastEventID: lastEventID,
	})
	switch {
	case result.sendErr != nil:
	case c.internal:
		result.discardBody()
	default:
		result.readBody(c.request.Memory)
	}
	c.recordAttempt(started, result)
	var breakErr error
	if result.sendErr != nil && result.sendErr.Sent && sendCtx.Err() == nil {
		breakErr = result.sendErr
	}
	c.reportToTracker(server, start, breakErr, false, result.completed())
	c.endTrial()
	if result.mayHaveStarted() {
		c.gateway.options.OnMayHaveStarted(c.request.Caller.Tenant, start)
	}
	return result
}

// completed reports whether a server ran the request to completion and returned the whole response.
// A 504 does not count: the run was cut by its time limit, so its outcome is unknown. Neither does a
// 503, with which a server refuses a request.
func (a *attemptResult) completed() bool {
	return a.sendErr == nil && a.complete && !a.response.NotExecuted &&
		a.response.Status != http.StatusServiceUnavailable && a.response.Status != http.StatusGatewayTimeout
}

// mayHaveStarted reports whether a server may have started to execute the request.
func (a *attemptResult) mayHaveStarted() bool {
	if a.sendErr != nil {
		return a.sendErr.Sent
	}
	return !a.response.NotExecuted
}

// remainingUntil returns the time until a deadline, at least one millisecond.
func remainingUntil(deadline time.Time) time.Duration {
	return max(clock.Until(deadline), time.Millisecond)
}

// withCancelGrace derives a context that is cancelled cancelGrace after its parent.
func withCancelGrace(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() { time.AfterFunc(cancelGrace, cancel) })
	return ctx, func() { stop(); cancel() }
}

func (a *attemptResult) readBody(memory *bytebudget.Reservation) {
	var err error
	a.prefix, a.complete, err = memory.ReadPieces(a.response.Body, a.response.Length, maxBufferedBytes)
	a.endRead(err)
}

// discardBody reads the body to its end, without holding it, if that comes within maxBufferedBytes.
func (a *attemptResult) discardBody() {
	_, err := io.CopyN(io.Discard, a.response.Body, maxBufferedBytes)
	a.complete = errors.Is(err, io.EOF)
	if a.complete {
		err = nil
	}
	a.endRead(err)
}

// endRead closes a body that was read to its end, or with an error.
func (a *attemptResult) endRead(err error) {
	if err != nil {
		a.sendErr = &SendError{Cause: err, Sent: true}
	}
	if err != nil || a.complete {
		a.response.Body.Close()
	}
}

func (a *attemptResult) close() {
	if a.response != nil && a.response.Body != nil {
		a.response.Body.Close()
	}
	a.cancel()
}
