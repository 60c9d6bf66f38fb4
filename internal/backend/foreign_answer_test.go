package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"dalehook/internal/conntest"
	"dalehook/internal/machine"
)

// repeatingBackend answers the first request on each connection, and sends that answer again in the place of the
// next one. It returns its address.
func repeatingBackend(t *testing.T, answer string) (address string) {
	t.Helper()
	return conntest.Serve(t, func(conn net.Conn) { repeatAnswer(conn, answer) })
}

func repeatAnswer(conn net.Conn, answer string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	first := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if first == "" {
			first = withRequestID(answer, request)
		}
		fmt.Fprint(conn, first)
	}
}

// Guards against the refusal of another request that is taken for that of this one: a request that must run once only
// would be sent to a second server while the first one runs it.
func TestRefusalOfAnotherRequestIsNotARefusal(t *testing.T) {
	answers := map[string]machine.SendOutcome{
		"HTTP/1.1 503 Service Unavailable\r\nDalehook-Not-Run: true\r\nContent-Length: 0\r\n\r\n": machine.SendRefused,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab":                                          machine.SendAnswered,
	}
	for answer, outcome := range answers {
		client := NewServiceClient(Options{})
		defer client.Close()
		request := ServiceRequest{Address: repeatingBackend(t, answer), Method: http.MethodPost, Path: "/x", Body: []byte("b")}
		if first := client.Send(t.Context(), request); first.Outcome != outcome {
			t.Errorf("first request: %+v", first)
		}
		if second := client.Send(t.Context(), request); second.Outcome != machine.SendUnknown {
			t.Errorf("second request: %+v", second)
		}
	}
}

// Guards against the same at an engine: its refusal of another attempt.
func TestRefusalOfAnotherAttemptIsNotARefusal(t *testing.T) {
	address := repeatingBackend(t, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	client := NewEngineClient(Options{})
	defer client.Close()
	for attempt, want := range []machine.EndReason{machine.EndRefused, machine.EndCut} {
		start := machine.StartAttempt{ID: machine.AttemptID{Step: "s", Attempt: attempt + 1}, Engine: "e1", Address: address}
		client.Generate(t.Context(), start, func(in machine.Input) {
			if ended, ok := in.(machine.AttemptEnded); ok && ended.Reason != want {
				t.Errorf("attempt %d: %+v", attempt+1, ended)
			}
		})
	}
}
