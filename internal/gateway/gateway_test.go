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

// script answers the attempts of a test in turn.
type script struct {
	mutex    sync.Mutex
	attempts []Attempt
	answers  []func(context.Context, Attempt) (*Answer, *SendError)
}

func (s *script) Send(ctx context.Context, attempt Attempt) (*Answer, *SendError) {
	s.mutex.Lock()
	number := len(s.attempts)
	s.attempts = append(s.attempts, attempt)
	answer := s.answers[min(number, len(s.answers)-1)]
	s.mutex.Unlock()
	return answer(ctx, attempt)
}

func (s *script) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.attempts)
}

type answerFunc = func(context.Context, Attempt) (*Answer, *SendError)

func whole(status int, body string) answerFunc {
	return func(context.Context, Attempt) (*Answer, *SendError) {
		return &Answer{
			Status: status, Header: http.Header{"Signed": {"yes"}},
			Body: io.NopCloser(strings.NewReader(body)), Length: int64(len(body)),
		}, nil
	}
}

func notExecuted(context.Context, Attempt) (*Answer, *SendError) {
	return &Answer{Status: 503, NotExecuted: true, Header: http.Header{}, Body: http.NoBody}, nil
}

func broken(sent bool) answerFunc {
	return func(context.Context, Attempt) (*Answer, *SendError) {
		return nil, &SendError{Cause: errors.New("connection reset"), Sent: sent}
	}
}

func silent(ctx context.Context, _ Attempt) (*Answer, *SendError) {
	<-ctx.Done()
	return nil, &SendError{Cause: ctx.Err(), Sent: true}
}

// cutBody answers with a part of a body.
func cutBody(part string) answerFunc {
	return func(context.Context, Attempt) (*Answer, *SendError) {
		body := io.MultiReader(strings.NewReader(part), failingReader{})
		return &Answer{Status: 200, Header: http.Header{}, Body: io.NopCloser(body), Length: -1}, nil
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func serve(t *testing.T, kind routetable.Kind, resumable bool, deadline time.Duration, answers ...answerFunc) (*http.Response, string, *script) {
	t.Helper()
	backend := &script{answers: answers}
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
		name     string
		kind     routetable.Kind
		answers  []answerFunc
		status   int
		body     string
		attempts int
	}{
		{"whole answer", routetable.KindSafe, []answerFunc{whole(200, "ok")}, 200, "ok", 1},
		{"safe goes on after a break", routetable.KindSafe, []answerFunc{broken(true), whole(200, "ok")}, 200, "ok", 2},
		{"safe goes on after a cut body", routetable.KindSafe, []answerFunc{cutBody("o"), whole(200, "ok")}, 200, "ok", 2},
		{"safe goes on after a failure", routetable.KindSafe, []answerFunc{whole(500, "bad"), whole(200, "ok")}, 200, "ok", 2},
		{"the last failure is passed on", routetable.KindSafe, []answerFunc{whole(500, "bad")}, 500, "bad", 3},
		{"unsafe ends at a break after sending", routetable.KindUnsafe, []answerFunc{broken(true), whole(200, "ok")}, 502, "", 1},
		{"unsafe ends at a cut body", routetable.KindUnsafe, []answerFunc{cutBody("o"), whole(200, "ok")}, 502, "", 1},
		{"unsafe goes on when nothing was sent", routetable.KindUnsafe, []answerFunc{broken(false), whole(200, "ok")}, 200, "ok", 2},
		{"unsafe goes on when it was not executed", routetable.KindUnsafe, []answerFunc{notExecuted, whole(200, "ok")}, 200, "ok", 2},
		{"unsafe failures are passed on", routetable.KindUnsafe, []answerFunc{whole(500, "bad")}, 500, "bad", 1},
		{"refused by all", routetable.KindUnsafe, []answerFunc{notExecuted}, 503, "", 3},
		{"safe broken everywhere", routetable.KindSafe, []answerFunc{broken(true)}, 502, "", 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, body, backend := serve(t, c.kind, false, long, c.answers...)
			if response.StatusCode != c.status || body != c.body || backend.count() != c.attempts {
				t.Errorf("status %d, body %q, %d attempts", response.StatusCode, body, backend.count())
			}
			refused := response.StatusCode == http.StatusServiceUnavailable
			if refused != (response.Header.Get("Retry-After") != "") {
				t.Errorf("Retry-After %q with status %d", response.Header.Get("Retry-After"), response.StatusCode)
			}
		})
	}
}

func TestASlowSafeRequestIsHedged(t *testing.T) {
	response, body, backend := serve(t, routetable.KindSafe, false, 10*time.Second, silent, whole(200, "ok"))
	if response.StatusCode != 200 || body != "ok" || backend.count() != 2 {
		t.Errorf("status %d, body %q, %d attempts", response.StatusCode, body, backend.count())
	}
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	if backend.attempts[0].Server.ID == backend.attempts[1].Server.ID {
		t.Error("both attempts went to one server")
	}
}

func TestAnUnsafeRequestIsNotHedged(t *testing.T) {
	response, _, backend := serve(t, routetable.KindUnsafe, false, 300*time.Millisecond, silent)
	if response.StatusCode != http.StatusGatewayTimeout || backend.count() != 1 {
		t.Errorf("status %d, %d attempts", response.StatusCode, backend.count())
	}
}

func TestNoAttemptOutlivesItsDeadline(t *testing.T) {
	_, _, backend := serve(t, routetable.KindSafe, false, 300*time.Millisecond, silent)
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	for _, attempt := range backend.attempts {
		if attempt.Left > 300*time.Millisecond {
			t.Errorf("a server got %v", attempt.Left)
		}
	}
}

// A node that was frozen wakes with requests whose callers have left long ago.
func TestARequestPastItsDeadlineIsNotSent(t *testing.T) {
	for _, kind := range []routetable.Kind{routetable.KindSafe, routetable.KindStream} {
		backend := &script{answers: []answerFunc{whole(200, "ok")}}
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
		if backend.count() != 0 {
			t.Errorf("%v: sent after its deadline", kind)
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

func TestAResumableStreamGoesOnElsewhere(t *testing.T) {
	response, body, backend := serve(t, routetable.KindStream, true, 10*time.Second,
		cutBody(eventOne+"id: 2\nda"), whole(200, eventTwo))
	if response.StatusCode != 200 || body != eventOne+eventTwo {
		t.Errorf("status %d, body %q", response.StatusCode, body)
	}
	if backend.count() != 2 || backend.attempts[1].LastEventID != "1" {
		t.Errorf("attempts %+v", backend.attempts)
	}
}

func TestABrokenStreamDoesNotLookWhole(t *testing.T) {
	_, body, backend := serve(t, routetable.KindStream, false, 10*time.Second, cutBody(eventOne), whole(200, eventTwo))
	if body != "cut: "+eventOne || backend.count() != 1 {
		t.Errorf("body %q, %d attempts", body, backend.count())
	}
}

func TestARefusedStreamGoesOnElsewhere(t *testing.T) {
	response, body, _ := serve(t, routetable.KindStream, false, 10*time.Second, notExecuted, whole(200, eventOne))
	if response.StatusCode != 200 || body != eventOne {
		t.Errorf("status %d, body %q", response.StatusCode, body)
	}
}
