package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/conntest"
	"dalehook/internal/machine"
)

// droppingServer answers the first request of each connection and closes the
// connection after it has read the second, as a server does that dies with a
// request in hand. It counts the requests that reached it.
type droppingServer struct {
	address  string
	requests atomic.Int64
}

func newDroppingServer(t *testing.T) *droppingServer {
	t.Helper()
	server := &droppingServer{}
	server.address = conntest.Serve(t, server.serve)
	return server
}

func (s *droppingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if number > 1 {
			return
		}
		fmt.Fprint(conn, withRequestID("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", request))
	}
}

// replayable lists requests that net/http repeats by itself.
var replayable = []struct {
	name    string
	method  string
	headers http.Header
	body    string
}{
	{name: "lookup", method: http.MethodGet},
	{name: "save with key and no body", method: http.MethodPost, headers: http.Header{"Idempotency-Key": {"k"}}},
	{name: "save with key and body", method: http.MethodPost, headers: http.Header{"Idempotency-Key": {"k"}}, body: "answer"},
	{name: "save with the older key header", method: http.MethodPut, headers: http.Header{"X-Idempotency-Key": {"k"}}},
}

func TestSendNeverRepeatsARequest(t *testing.T) {
	for _, test := range replayable {
		t.Run(test.name, func(t *testing.T) {
			server := newDroppingServer(t)
			client := NewServiceClient(Options{})
			defer client.Close()
			request := ServiceRequest{
				Address: server.address,
				Method:  test.method,
				Path:    "/x",
				Headers: test.headers,
				Body:    []byte(test.body),
			}
			if first := client.Send(t.Context(), request); first.Outcome != machine.SendAnswered {
				t.Fatalf("first request: %+v", first)
			}
			second := client.Send(t.Context(), request)
			if second.Outcome != machine.SendUnknown {
				t.Errorf("outcome %q, expected %q: %s", second.Outcome, machine.SendUnknown, second.Err)
			}
			if got := server.requests.Load(); got != 2 {
				t.Errorf("the server got %d requests, expected 2", got)
			}
		})
	}
}

// TestPlainTransportRepeats holds the fact that the client guards against. When
// it fails, net/http has changed and the guard may go.
func TestPlainTransportRepeats(t *testing.T) {
	for _, test := range replayable {
		t.Run(test.name, func(t *testing.T) {
			server := newDroppingServer(t)
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for range 2 {
				request, err := http.NewRequestWithContext(t.Context(), test.method, "http://"+server.address+"/x", strings.NewReader(test.body))
				if err != nil {
					t.Fatal(err)
				}
				request.Header = test.headers.Clone()
				if request.Header == nil {
					request.Header = http.Header{}
				}
				response, err := transport.RoundTrip(request)
				if err != nil {
					t.Fatal(err)
				}
				response.Body.Close()
			}
			if got := server.requests.Load(); got != 3 {
				t.Errorf("the server got %d requests, expected 3: one was sent twice", got)
			}
		})
	}
}

func TestSendKnowsThatNothingWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	listener.Close()
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	server := newDroppingServer(t)
	tests := []struct {
		name    string
		ctx     context.Context
		request ServiceRequest
	}{
		{name: "connection refused", ctx: t.Context(), request: ServiceRequest{Address: closed, Path: "/x"}},
		{name: "caller gone before", ctx: gone, request: ServiceRequest{Address: server.address, Path: "/x"}},
		{name: "deadline passed before", ctx: t.Context(), request: ServiceRequest{
			Address:  server.address,
			Path:     "/x",
			Deadline: time.Unix(1, 0),
		}},
		{name: "path is not a path", ctx: t.Context(), request: ServiceRequest{Address: server.address, Path: "x y"}},
		{name: "header can not be sent", ctx: t.Context(), request: ServiceRequest{
			Address: server.address,
			Path:    "/x",
			Headers: http.Header{"A": {"line\nbreak"}},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := NewServiceClient(Options{})
			defer client.Close()
			test.request.Method = http.MethodGet
			got := client.Send(test.ctx, test.request)
			if got.Outcome != machine.SendNotSent || got.Err == "" {
				t.Errorf("got %+v", got)
			}
		})
	}
	if got := server.requests.Load(); got != 0 {
		t.Errorf("the server got %d requests", got)
	}
}

// withRequestID adds the ID of a request to the head of an answer.
func withRequestID(answer string, request *http.Request) string {
	named := "\r\n" + HeaderRequestID + ": " + request.Header.Get(HeaderRequestID) + "\r\n"
	return strings.Replace(answer, "\r\n", named, 1)
}

// returnRequestID has a handler return the ID of each request, as back ends do.
func returnRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		next.ServeHTTP(w, r)
	})
}

// rawServer answers each connection with fixed bytes and the request's ID, and closes it.
func rawServer(t *testing.T, answer string) (address string) {
	t.Helper()
	return conntest.Serve(t, func(conn net.Conn) {
		defer conn.Close()
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			fmt.Fprint(conn, withRequestID(answer, request))
		}
	})
}

// sendAlone sends over a connection of its own.
func sendAlone(t *testing.T, request ServiceRequest) machine.ServiceResult {
	t.Helper()
	client := NewServiceClient(Options{})
	defer client.Close()
	return client.Send(t.Context(), request)
}

func TestAnswersThatBreakOff(t *testing.T) {
	long := strings.Repeat("x", 2*relayBufferSize)
	tests := []struct {
		name    string
		answer  string
		outcome machine.SendOutcome
		relayed bool
	}{
		{name: "whole", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", outcome: machine.SendAnswered, relayed: true},
		{name: "whole in chunks", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", outcome: machine.SendAnswered, relayed: true},
		{name: "no content", answer: "HTTP/1.1 204 No Content\r\n\r\n", outcome: machine.SendAnswered, relayed: true},
		{name: "no answer", answer: "", outcome: machine.SendUnknown},
		{name: "half a head", answer: "HTTP/1.1 200 OK\r\nContent-Le", outcome: machine.SendUnknown},
		{name: "short body", answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", outcome: machine.SendCut},
		{name: "refusal", answer: "HTTP/1.1 503 Busy\r\nDalehook-Not-Run: true\r\nContent-Length: 2\r\n\r\nab", outcome: machine.SendRefused},
		{name: "refusal cut", answer: "HTTP/1.1 503 Busy\r\nDalehook-Not-Run: true\r\nContent-Length: 9\r\n\r\nab", outcome: machine.SendCut},
		{name: "long body cut", answer: "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + long, outcome: machine.SendCut, relayed: true},
		{name: "chunks without end", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", outcome: machine.SendCut, relayed: true},
		{name: "no stated end", answer: "HTTP/1.1 200 OK\r\n\r\nab", outcome: machine.SendCut},
		{name: "upgrade", answer: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", outcome: machine.SendUnknown},
		{name: "no status", answer: "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nab", outcome: machine.SendUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			request := ServiceRequest{Address: rawServer(t, test.answer), Method: http.MethodGet, Path: "/x"}
			buffered := sendAlone(t, request)
			if buffered.Outcome != test.outcome || buffered.Relayed {
				t.Errorf("buffered: %+v", buffered)
			}
			recorder := httptest.NewRecorder()
			request.Relay = recorder
			relayed := sendAlone(t, request)
			if relayed.Outcome != test.outcome || relayed.Relayed != test.relayed {
				t.Errorf("relayed: %+v", relayed)
			}
			if !test.relayed && recorder.Body.Len() > 0 {
				t.Errorf("%d bytes were passed on", recorder.Body.Len())
			}
		})
	}
}

func TestCutAnswerAbortsTheCaller(t *testing.T) {
	address := rawServer(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
	client := NewServiceClient(Options{})
	defer client.Close()
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		result := client.Send(r.Context(), ServiceRequest{Address: address, Method: r.Method, Path: r.URL.Path, Relay: w})
		if result.Outcome == machine.SendCut && result.Relayed {
			panic(http.ErrAbortHandler)
		}
	}))
	defer front.Close()
	response, err := http.Get(front.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if body, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("the caller took %q for a whole answer", body)
	}
}

func TestHeadersBothWays(t *testing.T) {
	var got *http.Request
	server := httptest.NewServer(returnRequestID(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Set("X-Answer", "yes")
		w.Header().Set(HeaderLoad, "7")
		w.Header().Set(HeaderLeaving, "true")
		fmt.Fprint(w, "ok")
	})))
	defer server.Close()
	client := NewServiceClient(Options{})
	defer client.Close()
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		result := client.Send(t.Context(), ServiceRequest{
			Address: server.Listener.Addr().String(),
			Method:  method,
			Path:    "/a%2Fb?c=d",
			Headers: http.Header{
				"Connection":      {"X-Hop, close"},
				"X-Hop":           {"1"},
				"Te":              {"trailers"},
				"Upgrade":         {"h2c"},
				"Expect":          {"100-continue"},
				"Idempotency-Key": {"k"},
				HeaderDeadline:    {"999999999"},
				HeaderRequestID:   {"of the caller"},
			},
			Deadline: time.Now().Add(time.Hour),
		})
		if result.Outcome != machine.SendAnswered || result.Load != 7 || !result.Leaving {
			t.Fatalf("%s: %+v", method, result)
		}
		if got.RequestURI != "/a%2Fb?c=d" || got.ContentLength != 0 || got.TransferEncoding != nil {
			t.Errorf("%s: URI %q, length %d, encoding %v", method, got.RequestURI, got.ContentLength, got.TransferEncoding)
		}
		if left := got.Header.Get(HeaderDeadline); len(left) != len("3599999") {
			t.Errorf("%s: deadline header %q", method, left)
		}
		if id := got.Header.Get(HeaderRequestID); id == "" || id == "of the caller" {
			t.Errorf("%s: request ID %q", method, id)
		}
		got.Header.Del(HeaderRequestID)
		got.Header.Del(HeaderDeadline)
		got.Header.Del("Content-Length")
		want := http.Header{"Idempotency-Key": {"k"}}
		if diff := cmp.Diff(want, got.Header); diff != "" {
			t.Errorf("%s: headers at the server: %s", method, diff)
		}
		for _, header := range result.Response.Headers {
			if header.Name == "X-Private" || strings.HasPrefix(header.Name, "Dalehook-") {
				t.Errorf("%s: header %s was passed on", method, header.Name)
			}
		}
	}
}

func TestRefusalAndBufferLimit(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		outcome machine.SendOutcome
	}{
		{name: "not run", outcome: machine.SendRefused, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{name: "503 of the service itself", outcome: machine.SendAnswered, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{name: "not run on a 500 is no refusal", outcome: machine.SendAnswered, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderNotRun, "true")
			w.WriteHeader(http.StatusInternalServerError)
		}},
		{name: "at the limit", outcome: machine.SendAnswered, handler: func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "12345678")
		}},
		{name: "stated length over the limit", outcome: machine.SendCut, handler: func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "123456789")
		}},
		{name: "chunks over the limit", outcome: machine.SendCut, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.(http.Flusher).Flush()
			fmt.Fprint(w, "123456789")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(returnRequestID(test.handler))
			defer server.Close()
			client := NewServiceClient(Options{BufferLimit: 8})
			defer client.Close()
			result := client.Send(t.Context(), ServiceRequest{Address: server.Listener.Addr().String(), Method: http.MethodGet, Path: "/"})
			if result.Outcome != test.outcome {
				t.Errorf("got %+v", result)
			}
		})
	}
}
