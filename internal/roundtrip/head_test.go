package roundtrip

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dalehook/internal/conntest"
)

// cutServer answers each request with the first bytes of a response, then closes the connection cleanly.
type cutServer struct {
	// response is the whole response, length how many bytes of it are sent, pause the time before they are.
	response string
	length   int
	pause    time.Duration
	// whole is the number of requests on each connection that are answered with a whole response first.
	whole int
}

func (s *cutServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for answered := 0; ; answered++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if answered < s.whole {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			continue
		}
		time.Sleep(s.pause)
		_, _ = io.WriteString(conn, s.response[:s.length])
		return
	}
}

// Guards against a response that stops within its head and is taken for a whole one with an empty or short body: where
// the head had stopped right before its last line feed, the response counted as complete.
func TestResponseThatStopsWithinItsHeadIsAnError(t *testing.T) {
	const (
		named   = "HTTP/1.1 200 OK\r\nServer: test\r\nContent-Type: text/plain\r\n"
		noBody  = "\r\n"
		hasBody = "\r\nbody"
	)
	responses := map[string]string{
		"length":             named + "Content-Length: 4\r\n" + hasBody,
		"length of zero":     named + "Content-Length: 0\r\n" + noBody,
		"chunks":             named + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"until close":        named + "Connection: close\r\n" + hasBody,
		"until close, empty": named + "Connection: close\r\n" + noBody,
		"no content":         strings.Replace(named, "200 OK", "204 No Content", 1) + noBody,
		"after a 100":        "HTTP/1.1 100 Continue\r\n\r\n" + named + "Connection: close\r\n" + hasBody,
	}
	for name, response := range responses {
		headLength := strings.LastIndex(response, "\r\n\r\n") + len("\r\n\r\n")
		if name == "chunks" {
			headLength = strings.Index(response, "\r\n\r\n") + len("\r\n\r\n")
		}
		t.Run(name, func(t *testing.T) {
			for length := 0; length <= len(response); length++ {
				whole := length >= headLength
				if whole && length < len(response) && name != "until close" && name != "after a 100" {
					whole = false // the framing tells that the body is short
				}
				checkCut(t, &cutServer{response: response, length: length}, whole)
			}
		})
	}
	last := strings.LastIndex(responses["until close"], "\n")
	t.Run("on a used connection", func(t *testing.T) {
		checkCut(t, &cutServer{response: responses["until close"], length: last, whole: 1}, false)
	})
	t.Run("after more than a second", func(t *testing.T) {
		checkCut(t, &cutServer{response: responses["until close"], length: last, pause: 1100 * time.Millisecond}, false)
	})
}

// checkCut sends requests to a server and checks whether the last one gets a whole response.
func checkCut(t *testing.T, server *cutServer, whole bool) {
	t.Helper()
	address := conntest.Serve(t, server.serve)
	transport := New(Options{IdleTimeout: time.Minute, IdlePerPeer: 1, Dial: (&net.Dialer{}).DialContext})
	defer transport.Close()
	var err error
	for range server.whole + 1 {
		err = fetch(transport, address)
		time.Sleep(time.Millisecond * time.Duration(10*server.whole)) // the connection becomes idle
	}
	if (err == nil) != whole {
		t.Errorf("%q: error %v", server.response[:server.length], err)
	}
}

func fetch(transport *Transport, address string) error {
	response, failed := transport.RoundTrip(context.Background(), Request{Method: "POST", Address: address, Path: "/", Headers: make(http.Header)})
	if failed != nil {
		if !failed.Sent {
			return fmt.Errorf("counted as not sent: %w", failed)
		}
		return failed
	}
	defer response.Body.Close()
	_, err := io.Copy(io.Discard, response.Body)
	return err
}
