package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"dalehook/internal/clock"
	"dalehook/internal/eventstream"
)

// stream serves a request whose answer is a series of events. A resumable stream
// that breaks is continued at another server inside the same answer.
func (c *call) stream(ctx context.Context, w http.ResponseWriter) int {
	relay := &streamRelay{call: c, w: w, lastID: c.request.LastEventID}
	for {
		server := c.nextServer(ctx)
		if server == nil {
			return relay.giveUp()
		}
		began := clock.Now()
		attemptCtx, cancel := context.WithCancel(ctx)
		answer, failed := c.gateway.options.Backend.Send(attemptCtx, Attempt{
			Request: c.request, Server: server, Left: leftUntil(c.deadline), LastEventID: relay.lastID,
		})
		relay.broken = nil
		before := relay.lastID
		done, status := relay.take(answer, failed)
		if attemptCtx.Err() == nil {
			c.noteEnd(server, began, relay.broken, relay.lastID != before, done && relay.ended)
		}
		c.endTry()
		c.gateway.observe(c.request.Received, server, attempt{answer: answer, failed: failed})
		cancel()
		if done {
			return status
		}
		if ctx.Err() != nil {
			c.reason = endReason(ctx)
			return relay.giveUp()
		}
	}
}

// streamRelay passes the events of one or several servers on as one answer.
type streamRelay struct {
	call    *call
	w       http.ResponseWriter
	lastID  string
	started bool
	status  int
	// broken is why the last server broke its answer off after the request had been sent; nil
	// where it did not. Ended says that a server's stream came to its end.
	broken error
	ended  bool
}

// take passes on an answer; done says that the caller has its final answer.
func (r *streamRelay) take(answer *Answer, failed *SendError) (done bool, status int) {
	c := r.call
	if failed != nil {
		c.noteFailed(failed)
		if failed.Sent {
			r.broken = failed
		}
		return false, 0
	}
	defer answer.Body.Close()
	if answer.NotExecuted {
		c.reason = "refused by the server"
		return false, 0
	}
	c.unrun = false
	c.gateway.options.Began(c.request.Caller.Tenant, clock.Now())
	if answer.Status != http.StatusOK {
		return r.takeFailure(answer)
	}
	r.start(answer)
	err := r.copy(answer.Body)
	if errors.Is(err, io.EOF) {
		r.ended = true
		return true, r.status
	}
	c.reason = "cut: " + err.Error()
	return false, 0
}

// takeFailure passes on an answer that is no stream, unless another server may do
// better or the head has been sent.
func (r *streamRelay) takeFailure(answer *Answer) (done bool, status int) {
	r.call.reason = "failed at the server"
	if r.started || r.call.repeatable && answer.Status >= http.StatusInternalServerError {
		return false, 0
	}
	copyHeader(r.w.Header(), answer.Header)
	r.w.WriteHeader(answer.Status)
	if _, err := io.Copy(r.w, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return true, answer.Status
}

func (r *streamRelay) start(answer *Answer) {
	if r.started {
		return
	}
	r.started = true
	r.status = answer.Status
	copyHeader(r.w.Header(), answer.Header)
	r.w.WriteHeader(answer.Status)
	r.flush()
}

// copy passes whole events on as they come; io.EOF is the stream's end.
func (r *streamRelay) copy(body io.Reader) error {
	events := eventstream.NewReader(body)
	for {
		event, err := events.Read()
		if errors.Is(err, io.EOF) {
			return err
		}
		if err != nil {
			r.broken = err
			return err
		}
		if _, err := r.w.Write(event.Raw); err != nil {
			return err
		}
		r.flush()
		if event.ID != "" {
			r.lastID = event.ID
		}
	}
}

func (r *streamRelay) flush() {
	// A writer that can not flush passes its bytes on by itself.
	_ = http.NewResponseController(r.w).Flush()
}

// giveUp ends the answer: by a failure while nothing was sent, else by breaking
// the connection, since a whole-looking end would pass a part for the whole.
func (r *streamRelay) giveUp() int {
	if !r.started {
		return r.call.fail(r.w)
	}
	r.call.log(0)
	panic(http.ErrAbortHandler)
}
