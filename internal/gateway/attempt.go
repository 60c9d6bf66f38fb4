package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
)

// attempt is the result of one attempt.
type attempt struct {
	answer *Answer
	// head is the part of the body that was read; whole says that it is all.
	head   []byte
	whole  bool
	failed *SendError
	cancel context.CancelFunc
}

// attempt sends the request to a server and reads the answer's body up to a limit.
// An attempt outlives the call by a grace, unless the caller left.
func (c *call) attempt(ctx context.Context, server *directory.Server, lastEventID string) attempt {
	began := clock.Now()
	sendCtx, cancel := graceful(ctx)
	got := attempt{cancel: cancel}
	got.answer, got.failed = c.gateway.options.Backend.Send(sendCtx, Attempt{
		Request: c.request, Server: server, Left: leftUntil(c.deadline), LastEventID: lastEventID,
	})
	if got.failed == nil {
		got.read()
	}
	c.gateway.observe(began, server, got)
	var broken error
	if got.failed != nil && got.failed.Sent && sendCtx.Err() == nil {
		broken = got.failed
	}
	c.noteEnd(server, began, broken, false, got.finished())
	c.endTry()
	if got.ran() {
		c.gateway.options.Began(c.request.Caller.Tenant, began)
	}
	return got
}

// finished says whether a server ran the request to an end and told it. A run that was cut for
// its time says nothing of what it would have done.
func (a *attempt) finished() bool {
	return a.failed == nil && a.whole && !a.answer.NotExecuted &&
		a.answer.Status != http.StatusServiceUnavailable && a.answer.Status != http.StatusGatewayTimeout
}

// ran says whether a server began to run the request, as far as is known.
func (a *attempt) ran() bool {
	if a.failed != nil {
		return a.failed.Sent
	}
	return !a.answer.NotExecuted
}

// leftUntil returns the time until a deadline, at least a millisecond.
func leftUntil(deadline time.Time) time.Duration {
	return max(clock.Until(deadline), time.Millisecond)
}

// graceful derives a context that ends a grace after its parent was cancelled.
func graceful(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() { time.AfterFunc(loserGrace, cancel) })
	return ctx, func() { stop(); cancel() }
}

func (a *attempt) read() {
	buffer, err := io.ReadAll(io.LimitReader(a.answer.Body, bufferLimit))
	a.head = buffer
	a.whole = len(buffer) < bufferLimit
	if err != nil {
		a.answer.Body.Close()
		a.failed = &SendError{Cause: err, Sent: true}
		return
	}
	if a.whole {
		a.answer.Body.Close()
	}
}

func (a *attempt) drop() {
	if a.answer != nil && a.answer.Body != nil {
		a.answer.Body.Close()
	}
	a.cancel()
}
