package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"dalehook/internal/routetable"
)

// promises are the statuses that tell a caller that its request was not executed and never will be.
var promises = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// executeAnd responds with a status, as a server does that executed the request and then failed.
func executeAnd(status int) responseFunc { return respondSigned(status, "executed") }

// Guards against REFUSED (review/6): the status of a server that had executed the request, and did not state otherwise,
// was passed on to a caller that takes it for the promise that nothing was executed.
func TestOnlyAServerThatDidNotExecuteMayPromiseSo(t *testing.T) {
	for _, status := range promises {
		cases := []struct {
			name      string
			kind      routetable.Kind
			resumable bool
			responses []responseFunc
			// want is the status for the caller, and attempts the number of servers that get the request.
			want, attempts int
		}{
			{"unsafe", routetable.KindUnsafe, false, []responseFunc{executeAnd(status)}, 502, 1},
			{"unsafe, after a rejection", routetable.KindUnsafe, false, []responseFunc{respondNotExecuted, executeAnd(status)}, 502, 2},
			{"unsafe, after an unsent attempt", routetable.KindUnsafe, false, []responseFunc{failWith(false), executeAnd(status)}, 502, 2},
			{"stream", routetable.KindStream, false, []responseFunc{executeAnd(status)}, 502, 1},
			{"stream, after a rejection", routetable.KindStream, false, []responseFunc{respondNotExecuted, executeAnd(status)}, 502, 2},
			{"safe, at each server", routetable.KindSafe, false, []responseFunc{executeAnd(status)}, 502, 3},
			{"safe, at one server", routetable.KindSafe, false, []responseFunc{executeAnd(status), respondWith(200, "ok")}, 200, 2},
			{"safe, then rejected", routetable.KindSafe, false, []responseFunc{executeAnd(status), respondNotExecuted}, 502, 3},
			{"safe, hedged", routetable.KindSafe, false, []responseFunc{afterHedge(executeAnd(status)), executeAnd(status)}, 502, 3},
			{"resumable stream, at each server", routetable.KindStream, true, []responseFunc{executeAnd(status)}, 502, 3},
			{"resumable stream, then rejected", routetable.KindStream, true, []responseFunc{executeAnd(status), respondNotExecuted}, 502, 3},
		}
		for _, c := range cases {
			t.Run(fmt.Sprint(status, " ", c.name), func(t *testing.T) {
				response, body, backend := serve(t, c.kind, c.resumable, 5*time.Second, c.responses...)
				if response == nil || response.StatusCode != c.want || backend.attemptCount() != c.attempts {
					t.Fatalf("response %v, %q, %d attempts", response, body, backend.attemptCount())
				}
				if c.want == http.StatusBadGateway && (body != "" || response.Header.Get("Signed") != "" || response.Header.Get("Retry-After") != "") {
					t.Errorf("headers %v, body %q", response.Header, body)
				}
			})
		}
	}
}

// afterHedge responds after a hedge was sent.
func afterHedge(respond responseFunc) responseFunc {
	return func(ctx context.Context, attempt Attempt) (*Response, *SendError) {
		time.Sleep(200 * time.Millisecond)
		return respond(ctx, attempt)
	}
}

// The node's own refusals promise that nothing was executed, so that none may follow an attempt that may have been.
func TestNodeRefusesOnlyWhatNoServerMayHaveExecuted(t *testing.T) {
	maybe := map[string]responseFunc{
		"broken":   failWith(true),
		"cut":      respondTruncated("o"),
		"failed":   respondWith(500, "bad"),
		"too late": respondWith(504, ""),
	}
	for name, executed := range maybe {
		for _, kind := range []routetable.Kind{routetable.KindSafe, routetable.KindUnsafe, routetable.KindStream} {
			for _, resumable := range []bool{false, true} {
				for _, responses := range [][]responseFunc{
					{executed, respondNotExecuted}, {respondNotExecuted, executed}, {respondNotExecuted, executed, respondNotExecuted},
					{failWith(false), executed, failWith(false)},
				} {
					t.Run(fmt.Sprint(name, " ", kind, " ", resumable, " ", len(responses)), func(t *testing.T) {
						response, body, _ := serve(t, kind, resumable, 5*time.Second, responses...)
						if response != nil && promisesNotExecuted(response.StatusCode) {
							t.Errorf("status %d, %q", response.StatusCode, body)
						}
					})
				}
			}
		}
	}
}
