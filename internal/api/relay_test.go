package api

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dalehook/internal/machine"
)

// rawCall sends a request on a connection of its own and returns the connection.
func rawCall(t *testing.T, s *script, headers string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "GET /v1/services/exam/session?a=1 HTTP/1.1\r\nHost: node\r\n%s\r\n", headers)
	return conn
}

// beginAttempt returns the attempt for the next service call.
func beginAttempt(t *testing.T, s *script, relay bool) *Attempt {
	t.Helper()
	call := next[machine.ServiceCall](s)
	attempt, ok := s.handler.NewAttempt(machine.SendService{Call: call.Call, Attempt: 1, Backend: "exam-1", Relay: relay})
	if !ok {
		t.Fatal("the call is not open")
	}
	return attempt
}

// readHead reads the head of an answer.
func readHead(t *testing.T, reader *bufio.Reader) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func TestRelayedAnswerStreams(t *testing.T) {
	s := newScript(t, Limits{}, nil)
	conn := rawCall(t, s, "X-Caller: 7\r\n")
	attempt := beginAttempt(t, s, true)
	request := attempt.Request
	if request.Path != "/session?a=1" || request.Headers.Get("X-Caller") != "7" {
		t.Errorf("forwarded %q with %v", request.Path, request.Headers)
	}
	relay := request.Relay
	relay.Header().Set("X-Mark", "5")
	relay.WriteHeader(http.StatusAccepted)
	io.WriteString(relay, "first ")
	relay.(http.Flusher).Flush()

	// The head and the first piece arrive while the answer goes on.
	response := readHead(t, bufio.NewReader(conn))
	piece := make([]byte, len("first "))
	if _, err := io.ReadFull(response.Body, piece); err != nil {
		t.Fatal(err)
	}
	io.WriteString(relay, "second")
	result := attempt.End(machine.ServiceResult{Outcome: machine.SendAnswered})
	rest, err := io.ReadAll(response.Body)
	if err != nil || string(piece)+string(rest) != "first second" {
		t.Errorf("got %q, %q, %v", piece, rest, err)
	}
	if !result.Relayed || response.StatusCode != http.StatusAccepted || response.Header.Get("X-Mark") != "5" {
		t.Errorf("got %+v with status %d", result, response.StatusCode)
	}
}

// A cut chunked answer must not look whole: the last chunk must not come.
func TestCutRelayAbortsTheConnection(t *testing.T) {
	s := newScript(t, Limits{}, nil)
	conn := rawCall(t, s, "")
	attempt := beginAttempt(t, s, true)
	io.WriteString(attempt.Request.Relay, "half")
	attempt.Request.Relay.(http.Flusher).Flush()
	attempt.End(machine.ServiceResult{Outcome: machine.SendCut})

	raw, err := io.ReadAll(conn)
	if err != nil {
		t.Logf("the connection ended with %v", err)
	}
	if !strings.Contains(string(raw), "Transfer-Encoding: chunked") || !strings.Contains(string(raw), "half") {
		t.Fatalf("the first part did not come: %q", raw)
	}
	if strings.HasSuffix(string(raw), "0\r\n\r\n") {
		t.Errorf("the cut answer ends as if it were whole: %q", raw)
	}
	response := readHead(t, bufio.NewReader(strings.NewReader(string(raw))))
	if _, err := io.ReadAll(response.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a client reads the cut answer with error %v", err)
	}
}

func TestAttemptThatPassedNothingOnIsFollowedByAnother(t *testing.T) {
	s := newScript(t, Limits{}, nil)
	conn := rawCall(t, s, "")
	first := beginAttempt(t, s, true)
	if result := first.End(machine.ServiceResult{Outcome: machine.SendNotSent}); result.Relayed {
		t.Error("nothing was passed on")
	}
	second, ok := s.handler.NewAttempt(machine.SendService{Call: first.Request.Call, Attempt: 2, Relay: true})
	if !ok {
		t.Fatal("the call is not open")
	}
	io.WriteString(second.Request.Relay, "answer")
	second.End(machine.ServiceResult{Outcome: machine.SendAnswered})
	body, err := io.ReadAll(readHead(t, bufio.NewReader(conn)).Body)
	if err != nil || string(body) != "answer" {
		t.Errorf("got %q, %v", body, err)
	}
}

// The machine's failure is written at once, while an attempt still runs, and
// the attempt's late answer reaches nobody.
func TestReplyIsNotHeldUpByAnAttempt(t *testing.T) {
	s := newScript(t, Limits{}, nil)
	conn := rawCall(t, s, "")
	attempt := beginAttempt(t, s, true)
	s.handler.Reply(machine.Reply{Call: attempt.Request.Call, Body: machine.Failure{Status: http.StatusGatewayTimeout, Code: machine.CodeDeadline}})
	reader := bufio.NewReader(conn)
	response := readHead(t, reader)
	io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got status %d", response.StatusCode)
	}
	if _, err := io.WriteString(attempt.Request.Relay, "late"); !errors.Is(err, errNotOwner) {
		t.Errorf("the late answer was written: %v", err)
	}
	if result := attempt.End(machine.ServiceResult{Outcome: machine.SendCut}); result.Relayed {
		t.Error("the late attempt claims to have been relayed")
	}
	if _, ok := s.handler.NewAttempt(machine.SendService{Call: attempt.Request.Call}); ok {
		t.Error("an answered call is still open")
	}
	// The connection still serves the next call.
	fmt.Fprint(conn, "GET /healthz HTTP/1.1\r\nHost: node\r\n\r\n")
	if response := readHead(t, reader); response.StatusCode != http.StatusOK {
		t.Errorf("got status %d", response.StatusCode)
	}
}

func TestCallerThatLeaves(t *testing.T) {
	for _, test := range []struct {
		name     string
		headers  string
		relay    bool
		goesOn   bool
		passedOn string
	}{
		{name: "before an answer", relay: true},
		{name: "in a relayed answer", relay: true, passedOn: "half"},
		{name: "of a buffered repeatable request"},
		{name: "of an unrepeatable request", headers: "Idempotency-Key: k\r\nDalehook-Repeatable: no\r\n", goesOn: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newScript(t, Limits{}, nil)
			conn := rawCall(t, s, test.headers)
			attempt := beginAttempt(t, s, test.relay)
			sending := attempt.Context(t.Context())
			if test.passedOn != "" {
				io.WriteString(attempt.Request.Relay, test.passedOn)
			}
			conn.Close()
			if gone := next[machine.CallGone](s); gone.Call != attempt.Request.Call {
				t.Errorf("call %d has gone", gone.Call)
			}
			if goesOn := sending.Err() == nil; goesOn != test.goesOn {
				t.Errorf("the sending goes on: %v", goesOn)
			}
			attempt.End(machine.ServiceResult{Outcome: machine.SendCut})
		})
	}
}

// A caller that does not send the whole of its body is answered all the same,
// also when its request is refused before the body is read.
func TestBodyThatDoesNotCome(t *testing.T) {
	s := newScript(t, Limits{BodyTimeout: time.Millisecond}, nil)
	for head, status := range map[string]int{
		"POST /v1/services/exam/save HTTP/1.1\r\nContent-Length: 9\r\n":                                 http.StatusRequestTimeout,
		"POST /v1/steps HTTP/1.1\r\nTransfer-Encoding: chunked\r\n":                                     http.StatusRequestTimeout,
		"POST /v1/services/exam/save HTTP/1.1\r\nContent-Length: 9\r\nDalehook-Repeatable: perhaps\r\n": http.StatusBadRequest,
	} {
		conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "%sHost: node\r\n\r\n", head)
		if response := readHead(t, bufio.NewReader(conn)); response.StatusCode != status {
			t.Errorf("%q: got status %d", head, response.StatusCode)
		}
		conn.Close()
	}
}
