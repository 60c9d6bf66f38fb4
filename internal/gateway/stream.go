package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"dalehook/internal/clock"
	"dalehook/internal/eventstream"
)

// serveStream serves a request whose response is an event stream. A resumable stream that breaks is
// continued at another server within the same response.
func (c *call) serveStream(ctx context.Context, w http.ResponseWriter) int {
	relay := &streamForwarder{call: c, w: w, lastEventID: c.request.LastEventID}
	if !c.admit() {
		return relay.fail()
	}
	for {
		// A stream that has begun is continued even if there is no budget for retries.
		isRetry := c.rejected
		if isRetry && !relay.headerSent && !c.allowRetry() {
			return relay.fail()
		}
		started, ok := c.nextServer(ctx)
		if !ok {
			return relay.fail()
		}
		if isRetry {
			c.retries++
		}
		server, start := started.server, clock.Now()
		attemptCtx, cancel := context.WithCancel(ctx)
		response, sendErr := c.gateway.options.Backend.Send(attemptCtx, Attempt{
			Request: c.request, Server: server, Timeout: remainingUntil(c.deadline), LastEventID: relay.lastEventID,
		})
		answeredAt := clock.Now()
		c.recordStreamStart(answeredAt, server, response)
		relay.breakErr = nil
		previousID := relay.lastEventID
		done, status := relay.forward(response, sendErr)
		if attemptCtx.Err() == nil {
			c.reportToTracker(server, start, relay.breakErr, relay.lastEventID != previousID, done && relay.complete)
		}
		c.endTrial()
		c.recordStreamEnd(started, answeredAt, attemptResult{response: response, sendErr: sendErr})
		cancel()
		if relay.aborted {
			return relay.fail()
		}
		if done {
			return status
		}
		if relay.writeErr != nil {
			c.reason = writeEndReason(relay.writeErr)
			return relay.fail()
		}
		if ctx.Err() != nil {
			c.reason = endReason(ctx)
			return relay.fail()
		}
	}
}

// streamForwarder forwards the events of one or more servers as a single response.
type streamForwarder struct {
	call        *call
	w           http.ResponseWriter
	lastEventID string
	headerSent  bool
	status      int
	// breakErr is the error with which the last server broke the response off after the request had
	// been sent; nil if it did not. complete says that a server's stream ended normally.
	breakErr error
	complete bool
	// inFiller is set while the last part that was passed on is an incomplete comment.
	inFiller bool
	// writeErr is the error of a write to the caller; no further attempt is made then.
	writeErr error
	// aborted says that a response which is not a stream broke off.
	aborted bool
}

// forward passes a response on; done says that the caller has the final response.
func (r *streamForwarder) forward(response *Response, sendErr *SendError) (done bool, status int) {
	c := r.call
	c.noteResponse(response, sendErr)
	if sendErr != nil {
		c.recordSendError(sendErr)
		if sendErr.Sent {
			r.breakErr = sendErr
		}
		return false, 0
	}
	defer response.Body.Close()
	if c.rejected {
		c.reason = reasonRejected
		return false, 0
	}
	c.notExecuted = false
	c.gateway.options.OnMayHaveStarted(c.request.Caller.Tenant, clock.Now())
	if response.Status != http.StatusOK {
		return r.forwardFailure(response)
	}
	r.writeHeader(response)
	err := r.forwardEvents(response.Body)
	if errors.Is(err, io.EOF) {
		r.complete = true
		return true, r.status
	}
	c.reason = reasonCut + err.Error()
	return false, 0
}

// forwardFailure passes on a response that is not a stream, unless another server may do better, its status must not
// be passed on, or the header has been sent.
func (r *streamForwarder) forwardFailure(response *Response) (done bool, status int) {
	r.call.reason = failureReason(response.Status)
	if r.headerSent || response.promisesTooMuch() || r.call.repeatable && response.failed() {
		return false, 0
	}
	r.headerSent = true
	copyHeader(r.w.Header(), response.Header)
	r.w.WriteHeader(response.Status)
	if _, err := io.Copy(r.w, response.Body); err != nil {
		r.call.reason = reasonCut + err.Error()
		r.aborted = true
	}
	return true, response.Status
}

func (r *streamForwarder) writeHeader(response *Response) {
	if r.headerSent {
		return
	}
	r.headerSent = true
	r.status = response.Status
	copyHeader(r.w.Header(), response.Header)
	r.w.WriteHeader(response.Status)
	// A failure is also returned by the next write.
	_ = r.flush()
}

// forwardEvents passes complete events, and what stands between them, on as they arrive; it returns io.EOF at the end of
// the stream.
func (r *streamForwarder) forwardEvents(body io.Reader) error {
	events := eventstream.NewReader(body, r.call.request.Memory)
	defer events.Close()
	if err := r.endFiller(); err != nil {
		return err
	}
	for {
		event, err := events.Read()
		if errors.Is(err, io.EOF) {
			return err
		}
		if err != nil {
			r.breakErr = err
			return err
		}
		if err := r.write(event.Raw); err != nil {
			return err
		}
		r.inFiller = event.Filler && !bytes.HasSuffix(event.Raw, lineFeed)
		if event.ID != "" {
			r.lastEventID = event.ID
		}
	}
}

// lineFeed ends a line of a stream.
var lineFeed = []byte("\n")

// endFiller ends a comment within which the last server broke off, so that it does not swallow the next event.
func (r *streamForwarder) endFiller() error {
	if !r.inFiller {
		return nil
	}
	r.inFiller = false
	return r.write(lineFeed)
}

// write passes a part of the stream on at once.
func (r *streamForwarder) write(part []byte) error {
	_, err := r.w.Write(part)
	if err == nil {
		err = r.flush()
	}
	r.writeErr = err
	return err
}

func (r *streamForwarder) flush() error {
	err := http.NewResponseController(r.w).Flush()
	if errors.Is(err, http.ErrNotSupported) {
		return nil // a writer without Flush does not buffer
	}
	return err
}

// fail ends the response: with an error status if nothing was sent, else by aborting the
// connection, so that the caller does not take a truncated stream for a complete one.
func (r *streamForwarder) fail() int {
	if !r.headerSent {
		return r.call.writeFailure(r.w)
	}
	r.call.recordOutcome(0)
	panic(http.ErrAbortHandler)
}
