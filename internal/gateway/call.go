package gateway

import (
	"context"
	"net/http"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// Call is a request that originates in the product itself. It may run more than once.
type Call struct {
	Request *Request
	Table   *routetable.Table
	Route   *routetable.Route
	// Service is the route target that the call is sent to.
	Service string
}

// CallResult is the outcome of a call.
type CallResult struct {
	// Signature is that of a complete successful response; empty if there was none.
	Signature string
	// Failures is the number of servers that answered with status 500.
	Failures int
	// Servers holds the ids of the servers tried, in order.
	Servers []string
	// Reason says why the call did not succeed.
	Reason string
}

// Call sends a request with the same server selection, hedging and retries as requests of callers,
// but bounded by the request's deadline alone.
func (g *Gateway) Call(ctx context.Context, spec Call) CallResult {
	c := &call{
		gateway: g, request: spec.Request, route: spec.Route, table: spec.Table, service: spec.Service,
		deadline: spec.Request.Deadline, tried: make(map[directory.Incarnation]bool), notExecuted: true, repeatable: true,
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Until(c.deadline))
	defer cancel()
	result := CallResult{}
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
