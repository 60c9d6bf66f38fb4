package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

func respondSigned(status int, body string) responseFunc {
	return func(ctx context.Context, attempt Attempt) (*Response, *SendError) {
		response, sendErr := respondWith(status, body)(ctx, attempt)
		response.Signature = "signature"
		return response, sendErr
	}
}

func respondSignedTruncated(ctx context.Context, attempt Attempt) (*Response, *SendError) {
	response, sendErr := respondTruncated("par")(ctx, attempt)
	response.Signature = "signature"
	return response, sendErr
}

// callServers makes a call with four servers; the responses are used in turn.
func callServers(t *testing.T, kind routetable.Kind, responses ...responseFunc) (InternalResult, *scriptedBackend) {
	t.Helper()
	backend := &scriptedBackend{responses: responses}
	list := directory.NewDirectory()
	for i := range 4 {
		put := directory.Server{ID: fmt.Sprint("s", i), Service: "svc", Zone: "z", Slots: 4}
		list.Apply([]directory.Change{{ID: put.ID, Server: &put}})
	}
	gateway := NewGateway(Options{Backend: backend, Directory: list, Zone: "z", Logger: zap.NewNop()})
	route := &routetable.Route{Kind: kind, MaxAttempts: 4, LatencyTarget: 50 * time.Millisecond}
	result := gateway.SendInternal(context.Background(), InternalRequest{
		Request: &Request{ID: "id", Method: http.MethodPost, Target: "/p", Received: time.Now(), Deadline: time.Now().Add(400 * time.Millisecond)},
		Route:   route, Service: "svc",
	})
	return result, backend
}

func TestCallRequiresCompleteSignedSuccess(t *testing.T) {
	cases := []struct {
		name      string
		responses []responseFunc
		signature string
		failures  int
	}{
		{"success", []responseFunc{respondSigned(200, "ok")}, "signature", 0},
		{"lost once", []responseFunc{failWith(true), respondSigned(200, "ok")}, "signature", 0},
		{"cut once", []responseFunc{respondSignedTruncated, respondSigned(200, "ok")}, "signature", 0},
		{"refused once", []responseFunc{respondNotExecuted, respondSigned(200, "ok")}, "signature", 0},
		{"failed once", []responseFunc{respondSigned(500, ""), respondSigned(200, "ok")}, "signature", 1},
		{"failed at every server", []responseFunc{respondSigned(500, "")}, "", 4},
		{"unavailable at every server", []responseFunc{respondSigned(503, "")}, "", 0},
		{"silent once", []responseFunc{hang, respondSigned(200, "ok")}, "signature", 0},
		{"a long body", []responseFunc{respondSigned(200, strings.Repeat("x", maxBufferedBytes-1))}, "signature", 0},
		{"a body that is too long", []responseFunc{respondSigned(200, strings.Repeat("x", maxBufferedBytes))}, "", 0},
		{"no success", []responseFunc{respondSigned(404, "")}, "", 0},
		{"silent", []responseFunc{hang}, "", 0},
	}
	for _, c := range cases {
		for _, kind := range []routetable.Kind{routetable.KindSafe, routetable.KindUnsafe} {
			result, backend := callServers(t, kind, c.responses...)
			if result.Signature != c.signature || result.Failures != c.failures {
				t.Errorf("%s, %v: %+v", c.name, kind, result)
			}
			if count := backend.attemptCount(); count > 4 || count != len(result.Servers) {
				t.Errorf("%s, %v: %d attempts, servers %v", c.name, kind, count, result.Servers)
			}
			for _, attempt := range backend.attempts {
				if attempt.Timeout <= 0 || attempt.Timeout > 400*time.Millisecond {
					t.Errorf("%s, %v: attempt has timeout %v", c.name, kind, attempt.Timeout)
				}
			}
		}
	}
}

// A refused connection does not use up an attempt, and a server that starts draining after the
// first choice is not chosen.
func TestCallSkipsUnreachableAndDrainingServers(t *testing.T) {
	list := directory.NewDirectory()
	put := func(id string, draining bool) {
		server := directory.Server{ID: id, Service: "svc", Zone: "z", Slots: 4, Draining: draining}
		list.Apply([]directory.Change{{ID: id, Server: &server}})
	}
	for _, id := range []string{"s0", "s1", "s2"} {
		put(id, false)
	}
	backend := &scriptedBackend{responses: []responseFunc{
		func(ctx context.Context, attempt Attempt) (*Response, *SendError) {
			for _, id := range []string{"s0", "s1"} {
				put(id, id != attempt.Server.ID)
			}
			return failWith(false)(ctx, attempt)
		},
		respondSigned(200, "ok"),
	}}
	gateway := NewGateway(Options{Backend: backend, Directory: list, Zone: "z", Logger: zap.NewNop()})
	result := gateway.SendInternal(context.Background(), InternalRequest{
		Request: &Request{ID: "id", Method: http.MethodPost, Target: "/p", Received: time.Now(), Deadline: time.Now().Add(time.Second)},
		Route:   &routetable.Route{MaxAttempts: 4}, Service: "svc",
	})
	if result.Signature == "" || len(result.Servers) != 2 || result.Servers[0] != "s0" || result.Servers[1] != "s2" {
		t.Errorf("%+v", result)
	}
}

// Two crashed servers of three were still listed, and refused connections to both used up the two
// attempts of a call: 165 harmless calls were refused within 10 ms although one server was up.
// Attempts that reach no server must not count.
func TestUnreachableServersDoNotCountAsAttempts(t *testing.T) {
	backend := &scriptedBackend{responses: []responseFunc{failWith(false), failWith(false), failWith(false), respondSigned(200, eventOne)}}
	list := directory.NewDirectory()
	for i := range 4 {
		put := directory.Server{ID: fmt.Sprint("s", i), Service: "svc", Zone: "z", Slots: 4}
		list.Apply([]directory.Change{{ID: put.ID, Server: &put}})
	}
	gateway := NewGateway(Options{Backend: backend, Directory: list, Zone: "z", Logger: zap.NewNop()})
	for _, kind := range []routetable.Kind{routetable.KindSafe, routetable.KindUnsafe, routetable.KindStream} {
		backend.attempts = nil
		route := &routetable.Route{Kind: kind, MaxAttempts: 2, Targets: []routetable.Target{{Service: "svc", Weight: 1}}}
		table := routetable.NewTable(1, []routetable.Route{*route}, nil, routetable.Limits{})
		recorder := httptest.NewRecorder()
		gateway.Serve(context.Background(), recorder, table, route, &Request{
			ID: "id", Method: http.MethodPost, Target: "/p", Received: clock.Now(), Deadline: clock.Now().Add(time.Second),
		})
		if recorder.Code != http.StatusOK || backend.attemptCount() != 4 {
			t.Errorf("%v: status %d after %d attempts", kind, recorder.Code, backend.attemptCount())
		}
	}
}
