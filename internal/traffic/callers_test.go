package traffic

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"dalehook/internal/client"
	"dalehook/internal/standin"
)

// newForwarder returns a node that forwards each request to a server as many times
// as copies returns, and responds with the last response.
func newForwarder(t *testing.T, server string, copies func(*http.Request) int) *httptest.Server {
	t.Helper()
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		path := strings.TrimPrefix(r.URL.Path, "/v1/services/bridge")
		var response client.CallResponse
		for range copies(r) {
			var err error
			response, err = client.New(client.Options{Node: server}).CallDirect(r.Context(), client.Call{
				Method: r.Method, Path: path, Body: string(body), IdempotencyKey: r.Header.Get("Idempotency-Key"),
			})
			if err != nil {
				t.Errorf("forward: %v", err)
			}
		}
		_, _ = w.Write(response.Body)
	}))
	t.Cleanup(node.Close)
	return node
}

func TestCallersCountLostAndDuplicatedRequests(t *testing.T) {
	tests := []struct {
		name             string
		times            func(*http.Request) int
		lost, duplicated int
	}{
		{"every request once", func(*http.Request) int { return 1 }, 0, 0},
		{"saves twice", func(r *http.Request) int {
			if r.Method == http.MethodPost {
				return 2
			}
			return 1
		}, 0, 2},
		{"lookups never", func(r *http.Request) int {
			if r.Method == http.MethodGet {
				return 0
			}
			return 1
		}, 6, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service := standin.NewService(standin.ServiceOptions{})
			defer service.Close()
			server := httptest.NewServer(service.Handler())
			defer server.Close()
			node := newForwarder(t, server.URL, test.times)
			callers := NewCallers(CallersOptions{
				Service:     "bridge",
				Nodes:       NewNodeBalancer([]string{node.URL}),
				Servers:     []*client.Client{client.New(client.Options{Node: server.URL})},
				Workers:     4,
				Requests:    8,
				SendDirect:  true,
				MaxAttempts: 1,
			})
			callers.Run(t.Context())
			got, err := callers.Audit(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if got.Sent != 8 || got.Saves != 2 || got.DirectSucceeded != 8 {
				t.Errorf("sent %d, saves %d, direct succeeded %d; want 8, 2, 8", got.Sent, got.Saves, got.DirectSucceeded)
			}
			if got.Lost != test.lost || got.Duplicated != test.duplicated {
				t.Errorf("lost %d, duplicated %d; want %d, %d: %v", got.Lost, got.Duplicated, test.lost, test.duplicated, got.Errors)
			}
		})
	}
}
