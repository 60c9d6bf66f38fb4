package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"dalehook/internal/backend"
	"dalehook/internal/machine"
)

// relaying is a machine that sends every service request to one back end.
type relaying struct{ machine.Outbox }

// Step implements machine.Machine.
func (r *relaying) Step(_ time.Time, in machine.Input) {
	if call, ok := in.(machine.ServiceCall); ok {
		r.Add(machine.SendService{Call: call.Call, Backend: "exam-1", Relay: true})
	}
}

// discard is a response that nobody reads.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}

// BenchmarkServiceCall measures the API and the driver for one service call,
// without sockets and without the back end's client: head checked, body read,
// input stepped, attempt begun, answer relayed, result stepped.
func BenchmarkServiceCall(b *testing.B) {
	f := newFixture(b, nil)
	f.options.Machine = &relaying{}
	answer := []byte(`{"session":"open"}`)
	f.send = func(_ context.Context, request backend.ServiceRequest) machine.ServiceResult {
		request.Relay.Write(answer)
		return machine.ServiceResult{Call: request.Call, Outcome: machine.SendAnswered}
	}
	f.run(b)
	body := []byte(`{"answer":"forty-two"}`)
	request, err := http.NewRequest(http.MethodPost, "/v1/services/exam/save", nil)
	if err != nil {
		b.Fatal(err)
	}
	reader := bytes.NewReader(body)
	request.Body = io.NopCloser(reader)
	request.ContentLength = int64(len(body))
	response := &discard{header: http.Header{}}
	b.ReportAllocs()
	for b.Loop() {
		reader.Reset(body)
		f.api.ServeHTTP(response, request)
	}
}

// SetReadDeadline lets the API bound the time of a body, as a connection does.
func (d *discard) SetReadDeadline(time.Time) error { return nil }
