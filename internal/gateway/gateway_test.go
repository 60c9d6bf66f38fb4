package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// scriptedBackend answers attempts with its responses in turn.
type scriptedBackend struct {
	mutex     sync.Mutex
	attempts  []Attempt
	responses []func(context.Context, Attempt) (*Response, *SendError)
}

func (s *scriptedBackend) Send(ctx context.Context, attempt Attempt) (*Response, *SendError) {
	s.mutex.Lock()
	number := len(s.attempts)
	s.attempts = append(s.attempts, attempt)
	respond := s.responses[min(number, len(s.responses)-1)]
	s.mutex.Unlock()
	return respond(ctx, attempt)
}

func (s *scriptedBackend) attemptCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.attempts)
}

type responseFunc = func(context.Context, Attempt) (*Response, *SendError)

func respondWith(status int, body string) responseFunc {
	return func(context.Context, Attempt) (*Response, *SendError) {
		return &Response{
			Status: status, Header: http.Header{"Signed": {"yes"}},
			Body: io.NopCloser(strings.NewReader(body)), Length: int64(len(body)),
		}, nil
	}
}

func respondNotExecuted(context.Context, Attempt) (*Response, *SendError) {
	return &Response{Status: 503, NotExecuted: true, Header: http.Header{}, Body: http.NoBody}, nil
}

func failWith(sent bool) responseFunc {
	return func(context.Context, Attempt) (*Response, *SendError) {
		return nil, &SendError{Cause: errors.New("connection reset"), Sent: sent}
	}
}

func hang(ctx context.Context, _ Attempt) (*Response, *SendError) {
	<-ctx.Done()
	return nil, &SendError{Cause: ctx.Err(), Sent: true}
}

// respondTruncated responds with a body that breaks off after part.
func respondTruncated(part string) responseFunc {
	return func(context.Context, Attempt) (*Response, *SendError) {
		body := io.MultiReader(strings.NewReader(part), failingReader{})
		return &Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(body), Length: -1}, nil
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func serve(t *testing.T, kind routetable.Kind, resumable bool, deadline time.Duration, responses ...responseFunc) (*http.Response, string, *scriptedBackend) {
	t.Helper()
	backend := &scriptedBackend{responses: responses}
	list := directory.NewDirectory()
	for i := range 3 {
		put := directory.Server{ID: fmt.Sprint("s", i), Service: "svc", Zone: "z", Slots: 4}
		list.Apply([]directory.Change{{ID: put.ID, Server: &put}})
	}
	gateway := NewGateway(Options{Backend: backend, Directory: list, Zone: "z", Logger: zap.NewNop()})
	route := &routetable.Route{
		Name: "r", Kind: kind, Resumable: resumable, MaxAttempts: 3, Timeout: deadline,
		LatencyTarget: 100 * time.Millisecond, Targets: []routetable.Target{{Service: "svc", Weight: 1}},
	}
	table := routetable.NewTable(1, []routetable.Route{*route}, nil, routetable.Limits{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		gateway.Serve(r.Context(), w, table, route, &Request{ID: "id", Method: "POST", Target: "/p/1", Received: clock.Now()})
	}))
	defer server.Close()
	response, err := http.Post(server.URL, "", nil)
	if err != nil {
		return nil, err.Error(), backend
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return response, "cut: " + string(body), backend
	}
	return response, string(body), backend
}

func TestSingleRequests(t *testing.T) {
	const long = 10 * time.Second
	cases := []struct {
		name      string
		kind      routetable.Kind
		responses []responseFunc
		status    int
		body      string
		attempts  int
	}{
		{"complete response", routetable.KindSafe, []responseFunc{respondWith(200, "ok")}, 200, "ok", 1},
		{"safe retries after a broken connection", routetable.KindSafe, []responseFunc{failWith(true), respondWith(200, "ok")}, 200, "ok", 2},
		{"safe retries after a truncated body", routetable.KindSafe, []responseFunc{respondTruncated("o"), respondWith(200, "ok")}, 200, "ok", 2},
		{"safe retries after a failure", routetable.KindSafe, []responseFunc{respondWith(500, "bad"), respondWith(200, "ok")}, 200, "ok", 2},
		{"the last failure is passed on", routetable.KindSafe, []responseFunc{respondWith(500, "bad")}, 500, "bad", 3},
		{"unsafe fails on a broken connection after sending", routetable.KindUnsafe, []responseFunc{failWith(true), respondWith(200, "ok")}, 502, "", 1},
		{"unsafe fails on a truncated body", routetable.KindUnsafe, []responseFunc{respondTruncated("o"), respondWith(200, "ok")}, 502, "", 1},
		{"unsafe retries if nothing was sent", routetable.KindUnsafe, []responseFunc{failWith(false), respondWith(200, "ok")}, 200, "ok", 2},
		{"unsafe retries if it was not executed", routetable.KindUnsafe, []responseFunc{respondNotExecuted, respondWith(200, "ok")}, 200, "ok", 2},
		{"unsafe failures are passed on", routetable.KindUnsafe, []responseFunc{respondWith(500, "bad")}, 500, "bad", 1},
		{"refused by all servers", routetable.KindUnsafe, []responseFunc{respondNotExecuted}, 503, "", 3},
		{"safe with broken connections only", routetable.KindSafe, []responseFunc{failWith(true)}, 502, "", 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, body, backend := serve(t, c.kind, false, long, c.responses...)
			if response.StatusCode != c.status || body != c.body || backend.attemptCount() != c.attempts {
				t.Errorf("status %d, body %q, %d attempts", response.StatusCode, body, backend.attemptCount())
			}
			refused := response.StatusCode == http.StatusServiceUnavailable
			if refused != (response.Header.Get("Retry-After") != "") {
				t.Errorf("Retry-After %q with status %d", response.Header.Get("Retry-After"), response.StatusCode)
			}
		})
	}
}

func TestSlowSafeRequestIsHedged(t *testing.T) {
	response, body, backend := serve(t, routetable.KindSafe, false, 10*time.Second, hang, respondWith(200, "ok"))
	if response.StatusCode != 200 || body != "ok" || backend.attemptCount() != 2 {
		t.Errorf("status %d, body %q, %d attempts", response.StatusCode, body, backend.attemptCount())
	}
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	if backend.attempts[0].Server.ID == backend.attempts[1].Server.ID {
		t.Error("both attempts went to the same server")
	}
}

func TestUnsafeRequestIsNotHedged(t *testing.T) {
	response, _, backend := serve(t, routetable.KindUnsafe, false, 300*time.Millisecond, hang)
	if response.StatusCode != http.StatusGatewayTimeout || backend.attemptCount() != 1 {
		t.Errorf("status %d, %d attempts", response.StatusCode, backend.attemptCount())
	}
}

func TestAttemptTimeoutIsWithinDeadline(t *testing.T) {
	_, _, backend := serve(t, routetable.KindSafe, false, 300*time.Millisecond, hang)
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	for _, attempt := range backend.attempts {
		if attempt.Timeout > 300*time.Millisecond {
			t.Errorf("attempt has timeout %v", attempt.Timeout)
		}
	}
}

// A node that was suspended must not send requests whose callers have given up meanwhile.
func TestRequestPastDeadlineIsNotSent(t *testing.T) {
	for _, kind := range []routetable.Kind{routetable.KindSafe, routetable.KindStream} {
		backend := &scriptedBackend{responses: []responseFunc{respondWith(200, "ok")}}
		list := directory.NewDirectory()
		put := directory.Server{ID: "s", Service: "svc", Slots: 4}
		list.Apply([]directory.Change{{ID: put.ID, Server: &put}})
		gateway := NewGateway(Options{Backend: backend, Directory: list, Logger: zap.NewNop()})
		route := &routetable.Route{Kind: kind, MaxAttempts: 3, Targets: []routetable.Target{{Service: "svc", Weight: 1}}}
		table := routetable.NewTable(1, []routetable.Route{*route}, nil, routetable.Limits{})
		recorder := httptest.NewRecorder()
		gateway.Serve(context.Background(), recorder, table, route, &Request{
			ID: "id", Method: "POST", Target: "/", Received: time.Now().Add(-5 * time.Second), Deadline: time.Now().Add(-4 * time.Second),
		})
		if backend.attemptCount() != 0 {
			t.Errorf("%v: sent after the deadline", kind)
		}
		if recorder.Code != http.StatusServiceUnavailable {
			t.Errorf("%v: status %d", kind, recorder.Code)
		}
	}
}

const (
	eventOne = "id: 1\ndata: a\n\n"
	eventTwo = "id: 2\ndata: b\n\n"
)

func TestResumableStreamContinuesAtAnotherServer(t *testing.T) {
	response, body, backend := serve(t, routetable.KindStream, true, 10*time.Second,
		respondTruncated(eventOne+"id: 2\nda"), respondWith(200, eventTwo))
	if response.StatusCode != 200 || body != eventOne+eventTwo {
		t.Errorf("status %d, body %q", response.StatusCode, body)
	}
	if backend.attemptCount() != 2 || backend.attempts[1].LastEventID != "1" {
		t.Errorf("attempts %+v", backend.attempts)
	}
}

func TestTruncatedStreamAbortsConnection(t *testing.T) {
	_, body, backend := serve(t, routetable.KindStream, false, 10*time.Second, respondTruncated(eventOne), respondWith(200, eventTwo))
	if body != "cut: "+eventOne || backend.attemptCount() != 1 {
		t.Errorf("body %q, %d attempts", body, backend.attemptCount())
	}
}

func TestRefusedStreamRetriesAtAnotherServer(t *testing.T) {
	response, body, _ := serve(t, routetable.KindStream, false, 10*time.Second, respondNotExecuted, respondWith(200, eventOne))
	if response.StatusCode != 200 || body != eventOne {
		t.Errorf("status %d, body %q", response.StatusCode, body)
	}
}
