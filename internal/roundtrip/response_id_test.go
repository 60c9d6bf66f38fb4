package roundtrip

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dalehook/internal/conntest"
)

const testIDHeader = "Test-Request-Id"

// responseText returns the bytes of a response that names a request, or none if id is empty.
func responseText(status int, id, body string) string {
	named := ""
	if id != "" {
		named = testIDHeader + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", status, named, len(body), body)
}

// scriptedServer answers each request with the bytes that respond returns for it.
type scriptedServer struct {
	address string
	// respond returns what the server sends for the request with an ID, which is the nth on its connection,
	// counting from 1. The server sends late once after that response and a pause, unless it is empty.
	respond func(id string, nth int) (response, late string)

	mutex sync.Mutex
	// received holds the IDs of the requests that arrived on each connection.
	received [][]string
}

func newScriptedServer(t *testing.T, respond func(id string, nth int) (response, late string)) *scriptedServer {
	t.Helper()
	s := &scriptedServer{respond: respond}
	s.address = conntest.Serve(t, s.serve)
	return s
}

func (s *scriptedServer) serve(conn net.Conn) {
	defer conn.Close()
	s.mutex.Lock()
	number := len(s.received)
	s.received = append(s.received, nil)
	s.mutex.Unlock()
	reader := bufio.NewReader(conn)
	for nth := 1; ; nth++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get(testIDHeader)
		s.mutex.Lock()
		s.received[number] = append(s.received[number], id)
		s.mutex.Unlock()
		response, late := s.respond(id, nth)
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
		if late != "" {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, late)
		}
	}
}

// connections returns the IDs of the requests that arrived, by connection.
func (s *scriptedServer) connections() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return fmt.Sprint(s.received)
}

func newTestTransport(t *testing.T, options Options) *Transport {
	t.Helper()
	options.Dial = (&net.Dialer{}).DialContext
	options.IdlePerPeer, options.IdleTimeout = 8, time.Minute
	transport := New(options)
	t.Cleanup(transport.Close)
	return transport
}

// send sends a request and returns the status and the body of its response.
func send(t *testing.T, transport *Transport, address, id string) (status int, body string, failed *Error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	header := http.Header{}
	if id != "" {
		header.Set(testIDHeader, id)
	}
	response, failed := transport.RoundTrip(ctx, Request{Method: http.MethodPost, Address: address, Path: "/", Headers: header, Body: []byte("b")})
	if failed != nil {
		return 0, "", failed
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text), nil
}

// Guards against an answer to another request that is taken for the answer to this one: whatever its status, it
// fails the request as one that may have been executed, and closes the connection.
func TestResponseToAnotherRequestFailsTheRequest(t *testing.T) {
	for _, status := range []int{200, 400, 421, 429, 500, 503, 504} {
		for _, named := range []string{"first", ""} {
			for _, body := range []string{"", "body of another response"} {
				t.Run(fmt.Sprintf("%d names %q with %d bytes", status, named, len(body)), func(t *testing.T) {
					server := newScriptedServer(t, func(id string, _ int) (string, string) {
						if id == "second" {
							return responseText(status, named, body), responseText(200, id, "its own")
						}
						return responseText(200, id, "its own"), ""
					})
					transport := newTestTransport(t, Options{IDHeader: testIDHeader})
					checkAnswered(t, transport, server, "first")
					_, _, failed := send(t, transport, server.address, "second")
					checkForeign(t, failed, ForeignResponseError{RequestID: "second", ResponseID: named, Status: status})
					checkAnswered(t, transport, server, "third")
					if got := server.connections(); got != "[[first second] [third]]" {
						t.Errorf("requests by connection: %v", got)
					}
				})
			}
		}
	}
}

func checkAnswered(t *testing.T, transport *Transport, server *scriptedServer, id string) {
	t.Helper()
	if status, body, failed := send(t, transport, server.address, id); failed != nil || status != 200 || body != "its own" {
		t.Fatalf("request %q: status %d, body %q, %v", id, status, body, failed)
	}
}

func checkForeign(t *testing.T, failed *Error, want ForeignResponseError) {
	t.Helper()
	var foreign *ForeignResponseError
	if failed == nil || !failed.Sent || !errors.As(failed, &foreign) || *foreign != want {
		t.Fatalf("got %+v, want a request that may have been executed and failed with %+v", failed, want)
	}
}

// Guards against the answer to a request with an ID that is taken for the answer to one without.
func TestResponseThatNamesARequestIsNotForOneWithoutID(t *testing.T) {
	server := newScriptedServer(t, func(string, int) (string, string) { return responseText(503, "another", ""), "" })
	_, _, failed := send(t, newTestTransport(t, Options{IDHeader: testIDHeader}), server.address, "")
	checkForeign(t, failed, ForeignResponseError{ResponseID: "another", Status: 503})
}

// Guards against bytes after a whole answer that are taken for the answer to the next request. They arrive with
// the answer, so that the connection may be in use again before they are seen.
func TestBytesAfterAResponseAreNotTheNextResponse(t *testing.T) {
	surplus := map[string]string{
		"rejection":       responseText(503, "first", ""),
		"second copy":     responseText(200, "first", "its own"),
		"nothing known":   "\x00\x01 not a response\r\n\r\n",
		"half a response": strings.TrimSuffix(responseText(200, "first", "body"), "body"),
	}
	for name, bytes := range surplus {
		t.Run(name, func(t *testing.T) {
			server := newScriptedServer(t, func(id string, _ int) (string, string) {
				if id == "first" {
					return responseText(200, id, "its own") + bytes, ""
				}
				return responseText(200, id, "its own"), ""
			})
			transport := newTestTransport(t, Options{IDHeader: testIDHeader})
			checkAnswered(t, transport, server, "first")
			status, body, failed := send(t, transport, server.address, "second")
			if failed == nil && (status != 200 || body != "its own") {
				t.Fatalf("second request: status %d, body %q", status, body)
			}
			checkAnswered(t, transport, server, "third")
		})
	}
}

// Guards against a second copy of the answer to an earlier try that is taken for the answer to a later try of the
// same request at the same server: both name the same request.
func TestSecondTryOfARequestUsesAnotherConnection(t *testing.T) {
	server := newScriptedServer(t, func(id string, nth int) (string, string) {
		if nth > 1 {
			return responseText(503, id, ""), responseText(200, id, "its own")
		}
		return responseText(200, id, "its own"), ""
	})
	transport := newTestTransport(t, Options{IDHeader: testIDHeader})
	checkAnswered(t, transport, server, "same")
	checkAnswered(t, transport, server, "same")
	if got := server.connections(); got != "[[same] [same]]" {
		t.Errorf("requests by connection: %v", got)
	}
}

// Guards against the response of an earlier call that is taken for that of a later one where responses name no
// request.
func TestSingleUseConnectionsCarryOneResponse(t *testing.T) {
	server := newScriptedServer(t, func(id string, nth int) (string, string) {
		if nth > 1 {
			return responseText(202, "", "an earlier one"), ""
		}
		return responseText(200, "", "its own"), responseText(202, "", "an earlier one")
	})
	transport := newTestTransport(t, Options{SingleUse: true})
	for range 3 {
		checkAnswered(t, transport, server, "")
	}
	if got := server.connections(); got != "[[] [] []]" {
		t.Errorf("requests by connection: %v", got)
	}
}

// Guards against a request that meets the connection of another one whose response was not checked yet.
func TestConnectionIsReusedOnlyAfterTheResponseWasChecked(t *testing.T) {
	conn := &countingConn{Conn: discardConn{}}
	conn.acquire("first", nil)
	acquired := make(chan struct{})
	go func() {
		defer close(acquired)
		conn.acquire("second", nil)
	}()
	select {
	case <-acquired:
		t.Fatal("acquired before the release")
	case <-time.After(20 * time.Millisecond):
	}
	conn.seal()
	conn.release()
	<-acquired
	if _, err := conn.Write([]byte("x")); err != errSealed {
		t.Errorf("write returned %v", err)
	}
}

// discardConn is a connection that takes all bytes.
type discardConn struct{ net.Conn }

func (discardConn) Write(p []byte) (int, error) { return len(p), nil }
func (discardConn) Close() error                { return nil }
