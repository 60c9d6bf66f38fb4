package gateway

import (
	"context"
	"net/http"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// InternalRequest is a request that this system makes itself, such as a reward call. It may run more
// than once.
type InternalRequest struct {
	Request *Request
	Table   *routetable.Table
	Route   *routetable.Route
	// Service is the route target that the request is sent to.
	Service string
}

// InternalResult is the outcome of an InternalRequest.
type InternalResult struct {
	// Signature is that of a complete successful response; empty if there was none.
	Signature string
	// Failures is the number of servers that answered with status 500.
	Failures int
	// Servers holds the ids of the servers tried, in order.
	Servers []string
	// Reason says why the request did not succeed.
	Reason string
}

// SendInternal sends a request with the same server selection, hedging and retries as requests of callers,
// but bounded by the request's deadline alone.
func (g *Gateway) SendInternal(ctx context.Context, spec InternalRequest) InternalResult {
	c := &call{
		gateway: g, request: spec.Request, route: spec.Route, table: spec.Table, service: spec.Service,
		deadline: spec.Request.Deadline, tried: make(map[directory.Incarnation]bool), notExecuted: true, repeatable: true, internal: true,
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Until(c.deadline))
	defer cancel()
	c.admitInternal()
	result := InternalResult{}
	final, ok := c.awaitResponse(ctx)
	if ok {
		defer final.close()
		result.Signature = final.signature()
		if result.Signature == "" && final.response.Status < http.StatusInternalServerError {
			c.reason = "no success: " + http.StatusText(final.response.Status)
		}
	}
	result.Failures, result.Servers = c.failures, c.servers
	if result.Signature == "" {
		result.Reason = c.reason
	}
	return result
}

// signature returns the signature of a complete successful response, or "".
func (a *attemptResult) signature() string {
	success := a.response.Status >= http.StatusOK && a.response.Status < http.StatusMultipleChoices
	if !success || !a.complete {
		return ""
	}
	return a.response.Signature
}
