package backend

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// chunkLine is one line of a stream, with the request id of the tests.
func chunkLine(offset, tokens int, finish string) string {
	return fmt.Sprintf(`data: {"request_id":"s/0/1","choices":[{"text":"t","index":0,"finish_reason":%s}],"weight_version":7,"token_offset":%d,"tokens":%d}`+"\n\n",
		finish, offset, tokens)
}

func TestStreamsAreCompleteOnlyWithTheirEnd(t *testing.T) {
	first := chunkLine(0, 2, "null")
	last := chunkLine(2, 1, `"stop"`)
	const mark = "data: [DONE]\n\n"
	tests := []struct {
		name   string
		stream string
		resume int
		want   machine.EndReason
		chunks int
	}{
		{name: "whole", stream: first + last + mark, want: machine.EndComplete, chunks: 2},
		{name: "comments and blank lines", stream: ": hello\n\n" + first + "event: x\n" + last + mark, want: machine.EndComplete, chunks: 2},
		{name: "finish in a chunk of its own", stream: first + chunkLine(2, 0, `"length"`) + mark, want: machine.EndComplete, chunks: 1},
		{name: "no end mark", stream: first + last, want: machine.EndCut, chunks: 2},
		{name: "no finish reason", stream: first + mark, want: machine.EndCut, chunks: 1},
		{name: "nothing", stream: "", want: machine.EndCut},
		{name: "half a line", stream: first + last[:20], want: machine.EndCut, chunks: 1},
		{name: "tokens missing", stream: first + chunkLine(3, 1, `"stop"`) + mark, want: machine.EndCut, chunks: 1},
		{name: "tokens twice", stream: first + first + mark, want: machine.EndCut, chunks: 1},
		{name: "another request's chunk", stream: first + strings.Replace(last, "s/0/1", "s/0/2", 1) + mark, want: machine.EndCut, chunks: 1},
		{name: "resumed", stream: last + mark, resume: 2, want: machine.EndComplete, chunks: 1},
		{name: "resumed from too early", stream: first + last + mark, resume: 2, want: machine.EndCut},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(returnRequestID(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprint(w, test.stream)
			})))
			defer server.Close()
			chunks, ended := generateAt(t, server, test.resume)
			if ended.Reason != test.want || len(chunks) != test.chunks {
				t.Errorf("%d chunks, ended %+v", len(chunks), ended)
			}
		})
	}
}

// generateAt runs the attempt s/0/1 at a server.
func generateAt(t *testing.T, server *httptest.Server, resume int) (chunks []machine.AttemptChunk, ended machine.AttemptEnded) {
	t.Helper()
	client := NewEngineClient(Options{})
	defer client.Close()
	start := machine.StartAttempt{
		ID:         machine.AttemptID{Step: "s", Sample: 0, Attempt: 1},
		Engine:     "e1",
		Address:    server.Listener.Addr().String(),
		ResumeFrom: resume,
	}
	ends := 0
	client.Generate(t.Context(), start, func(in machine.Input) {
		switch in := in.(type) {
		case machine.AttemptChunk:
			chunks = append(chunks, in)
		case machine.AttemptEnded:
			ended = in
			ends++
		}
	})
	if ends != 1 || ended.ID != start.ID || ended.Engine != "e1" {
		t.Errorf("%d ends, the last %+v", ends, ended)
	}
	return chunks, ended
}

func TestErrorStatusesOfEngines(t *testing.T) {
	tests := []struct {
		status int
		resume int
		want   machine.EndReason
	}{
		{status: 400, want: machine.EndRefused},
		{status: 404, want: machine.EndRefused},
		{status: 404, resume: 1, want: machine.EndUnknownRequest},
		{status: 409, want: machine.EndRefused},
		{status: 500, want: machine.EndCut},
		{status: 503, want: machine.EndRefused},
	}
	for _, test := range tests {
		server := httptest.NewServer(returnRequestID(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(test.status)
		})))
		_, ended := generateAt(t, server, test.resume)
		server.Close()
		if ended.Reason != test.want || ended.RetryAfter != 2*time.Second {
			t.Errorf("status %d: %+v", test.status, ended)
		}
	}
}

func TestCacheViewFoldsEvents(t *testing.T) {
	stored := func(sequence uint64, group string) CacheEvent {
		return CacheEvent{Sequence: sequence, Kind: CacheStored, Group: group}
	}
	view := &cacheView{}
	view.fold(CacheEvents{Next: 4, Events: []CacheEvent{stored(1, "a"), stored(2, "b"), stored(3, "a")}})
	view.fold(CacheEvents{Next: 9, Events: []CacheEvent{{Sequence: 8, Kind: CacheEvicted, Group: "b"}}})
	if diff := cmp.Diff([]string{"a"}, view.groups); diff != "" {
		t.Error(diff)
	}
	view.fold(CacheEvents{Next: 2})
	if len(view.groups) != 0 || view.next != 0 {
		t.Errorf("after a restart: groups %v, next %d", view.groups, view.next)
	}
	many := CacheEvents{Next: 2}
	for i := range 2 * cacheViewLimit {
		many.Events = append(many.Events, stored(uint64(i), fmt.Sprint(i)))
	}
	view.fold(many)
	if len(view.groups) != cacheViewLimit {
		t.Errorf("%d groups are remembered", len(view.groups))
	}
}

func TestReportSaysWhatFailed(t *testing.T) {
	client := NewEngineClient(Options{})
	defer client.Close()
	server := httptest.NewServer(returnRequestID(http.NotFoundHandler()))
	defer server.Close()
	poll := machine.PollBackend{Backend: "e1", Kind: cluster.KindEngine, Address: server.Listener.Addr().String()}
	got := client.Report(t.Context(), poll)
	if !strings.Contains(got.Err, "e1") || !strings.Contains(got.Err, "404") {
		t.Errorf("got %+v", got)
	}
}
