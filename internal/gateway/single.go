package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"
)

// serveSingle serves a request whose response is a single body.
func (c *call) serveSingle(ctx context.Context, w http.ResponseWriter) int {
	if !c.admit() {
		return c.writeFailure(w)
	}
	got, ok := c.awaitResponse(ctx)
	if !ok {
		return c.writeFailure(w)
	}
	return c.writeResponse(w, got)
}

// awaitResponse makes attempts until one gives the final response; ok is false if none did.
func (c *call) awaitResponse(ctx context.Context) (result attemptResult, ok bool) {
	results := make(chan attemptResult, max(c.route.MaxAttempts, 1)+maxUnreachable)
	pending := 0
	defer func() { closeLater(results, pending) }()
	var hedge <-chan time.Time
	for {
		if pending == 0 {
			if !c.startNext(ctx, results) {
				return attemptResult{}, false
			}
			pending++
			hedge = c.hedgeTimer()
		}
		select {
		case <-ctx.Done():
			c.reason = endReason(ctx)
			c.notExecuted = false
			return attemptResult{}, false
		case <-hedge:
			hedge = nil
			// A suspected request is not hedged, so that it crashes one server at a time.
			if c.suspicion().Ends == 0 && c.startHedge(ctx, results) {
				pending++
			}
		case result := <-results:
			pending--
			if !c.isFinal(result, pending) {
				result.close()
				continue
			}
			return result, true
		}
	}
}

// closeLater closes the responses of the attempts that still run when they end, which frees what is held of them.
func closeLater(results <-chan attemptResult, pending int) {
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			result := <-results
			result.close()
		}
	}()
}

func (c *call) hedgeTimer() <-chan time.Time {
	if !c.repeatable || c.route.LatencyTarget <= 0 {
		return nil
	}
	return time.After(time.Duration(hedgeFraction * float64(c.route.LatencyTarget)))
}

// startNext starts the first attempt, or the next one after all others have ended; it returns false
// if there must be none.
func (c *call) startNext(ctx context.Context, results chan<- attemptResult) bool {
	isRetry := c.rejected
	if isRetry && !c.allowRetry() || !c.startAttempt(ctx, results) {
		return false
	}
	if isRetry {
		c.retries++
	}
	return true
}

// startHedge starts a second copy of a slow request; it returns false if there must be none.
func (c *call) startHedge(ctx context.Context, results chan<- attemptResult) bool {
	if !c.hasAttemptsLeft() || !c.hasUntriedServer() || !c.allowHedge() || !c.startAttempt(ctx, results) {
		return false
	}
	c.hedges++
	return true
}

// startAttempt starts an attempt at another server; it returns false if there is none.
func (c *call) startAttempt(ctx context.Context, results chan<- attemptResult) bool {
	started, ok := c.nextServer(ctx)
	if !ok {
		return false
	}
	go func() { results <- c.attempt(ctx, started, "") }()
	return true
}

// isFinal reports whether the result is final; pending is the number of attempts still running.
func (c *call) isFinal(result attemptResult, pending int) bool {
	c.noteResponse(result.response, result.sendErr)
	switch {
	case result.sendErr != nil:
		c.recordSendError(result.sendErr)
		return false
	case c.rejected:
		c.reason = reasonRejected
		return false
	}
	c.notExecuted = false
	if !result.response.failed() {
		return true
	}
	c.reason = failureReason(result.response.Status)
	if result.response.Status == http.StatusInternalServerError {
		c.failures++
	}
	return !c.repeatable || pending == 0 && c.attempts >= max(c.route.MaxAttempts, 1)
}

// writeResponse passes a response on to the caller.
func (c *call) writeResponse(w http.ResponseWriter, result attemptResult) int {
	defer result.close()
	if result.response.promisesTooMuch() {
		return c.writeFailure(w)
	}
	copyHeader(w.Header(), result.response.Header)
	if result.response.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(result.response.Length, 10))
	} else if result.complete {
		w.Header().Set("Content-Length", strconv.FormatInt(result.prefix.Size(), 10))
	}
	w.WriteHeader(result.response.Status)
	if _, err := result.prefix.WriteTo(w); err != nil {
		c.reason = writeEndReason(err)
		return 0
	}
	if result.complete {
		return result.response.Status
	}
	if _, err := io.Copy(w, result.response.Body); err != nil {
		// Abort the connection, or the caller would take the truncated body for a complete one.
		c.reason = reasonCut + err.Error()
		if errors.Is(err, os.ErrDeadlineExceeded) { // only writes to the caller have such deadlines
			c.reason = reasonNotRead
		}
		c.recordOutcome(0)
		panic(http.ErrAbortHandler)
	}
	return result.response.Status
}
