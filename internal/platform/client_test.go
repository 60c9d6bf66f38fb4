package platform_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dalehook/internal/machine"
	"dalehook/internal/platform"
)

// withHandler returns a client of a server with one handler.
func withHandler(t *testing.T, handler http.HandlerFunc) *platform.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := platform.NewClient(platform.Options{LogURL: server.URL + "/"})
	t.Cleanup(client.Close)
	return client
}

func TestAppendOutcomeByAnswer(t *testing.T) {
	tests := []struct {
		status int
		body   string
		want   machine.AppendOutcome
	}{
		{status: 200, body: `{"offset":4}`, want: machine.AppendDone},
		{status: 201, body: `{"offset":4}`, want: machine.AppendDone},
		{status: 200, body: `{}`, want: machine.AppendUnknown},
		{status: 200, body: `{"offset":`, want: machine.AppendUnknown},
		{status: 307, want: machine.AppendUnknown},
		{status: 400, want: machine.AppendNotDone},
		{status: 429, want: machine.AppendNotDone},
		{status: 500, want: machine.AppendUnknown},
		{status: 502, want: machine.AppendUnknown},
		{status: 503, want: machine.AppendNotDone},
		{status: 504, want: machine.AppendUnknown},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d %s", test.status, test.body), func(t *testing.T) {
			calls := 0
			client := withHandler(t, func(w http.ResponseWriter, _ *http.Request) {
				calls++
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(test.status)
				fmt.Fprint(w, test.body)
			})
			_, got, err := client.Append(t.Context(), "control", []byte(`1`))
			if got != test.want || (err == nil) != (got == machine.AppendDone) {
				t.Errorf("outcome %d, expected %d; %v", got, test.want, err)
			}
			if err != nil && !strings.Contains(err.Error(), "append to log control at http://127.0.0.1:") {
				t.Errorf("the error names no step and peer: %v", err)
			}
			if calls != 1 {
				t.Errorf("%d calls", calls)
			}
		})
	}
}

func TestReadRefusesGaps(t *testing.T) {
	for _, entries := range []string{
		`[{"offset":4,"payload":1}]`,
		`[{"offset":3,"payload":1},{"offset":5,"payload":1}]`,
		`[{"offset":3,"payload":1},{"offset":3,"payload":1}]`,
	} {
		client := withHandler(t, func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"entries":%s,"end":9}`, entries)
		})
		if _, _, err := client.Read(t.Context(), "control", 3, 0); err == nil {
			t.Errorf("entries %s were taken", entries)
		}
	}
}

func TestRateLimitedWeights(t *testing.T) {
	tests := []struct {
		name   string
		header string
		body   string
		want   time.Duration
	}{
		{name: "header alone", header: "3", want: 3 * time.Second},
		{name: "milliseconds go first", header: "3", body: `{"error":{"retry_after_ms":250}}`, want: 250 * time.Millisecond},
		{name: "nothing stated", want: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := withHandler(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", test.header)
				w.WriteHeader(http.StatusTooManyRequests)
				fmt.Fprint(w, test.body)
			})
			_, err := client.GetWeights(t.Context(), "captions", 3)
			var limited *platform.RateLimitedError
			if !errors.As(err, &limited) || limited.RetryAfter != test.want {
				t.Errorf("got %v", err)
			}
		})
	}
}
