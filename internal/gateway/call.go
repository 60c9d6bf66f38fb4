package gateway

import (
	"context"
	"net/http"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// Call is a request that the product makes itself. It may be repeated.
type Call struct {
	Request *Request
	Table   *routetable.Table
	Route   *routetable.Route
	// Service is the target of the route that the call goes to.
	Service string
}

// CallResult is what a call came to.
type CallResult struct {
	// Signature is that of the whole answer of a success; empty when there was none.
	Signature string
	// Failures is the number of servers that answered that the request failed.
	Failures int
	// Servers holds the ids of the servers tried, in order.
	Servers []string
	// Reason says why there was no success.
	Reason string
}

// Call makes a request by the rules of those of callers: the same choice of servers,
// hedges and retries, within the deadline of the request alone.
func (g *Gateway) Call(ctx context.Context, made Call) CallResult {
	c := &call{
		gateway: g, request: made.Request, route: made.Route, table: made.Table, service: made.Service,
		deadline: made.Request.Deadline, tried: make(map[directory.Incarnation]bool), unrun: true, repeatable: true,
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Until(c.deadline))
	defer cancel()
	result := CallResult{}
	got, ok := c.await(ctx)
	if ok {
		defer got.drop()
		result.Signature = got.signature()
		if result.Signature == "" && got.answer.Status < http.StatusInternalServerError {
			c.reason = "no success: " + http.StatusText(got.answer.Status)
		}
	}
	result.Failures, result.Servers = c.failures, c.servers
	if result.Signature == "" {
		result.Reason = c.reason
	}
	return result
}

// signature returns the signature of a whole success, else nothing.
func (a *attempt) signature() string {
	success := a.answer.Status >= http.StatusOK && a.answer.Status < http.StatusMultipleChoices
	if !success || !a.whole {
		return ""
	}
	return a.answer.Signature
}
