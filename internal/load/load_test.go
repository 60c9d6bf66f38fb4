package load_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dalehook/internal/load"
)

// testNode simulates a node. Its CPU time and allocations grow by a fixed amount
// with each request, and every failEvery-th request fails.
type testNode struct {
	requests       atomic.Int64
	failEvery      int64
	missingHeaders atomic.Int64
	cpu            prometheus.Counter
	allocations    prometheus.Counter
}

func newTestNode(t *testing.T, failEvery int64) (*testNode, string) {
	node := &testNode{
		failEvery:   failEvery,
		cpu:         prometheus.NewCounter(prometheus.CounterOpts{Name: "process_cpu_seconds_total"}),
		allocations: prometheus.NewCounter(prometheus.CounterOpts{Name: "go_memstats_mallocs_total"}),
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(node.cpu, node.allocations)
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/v1/services/exam/", node.serve)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return node, server.URL
}

func (n *testNode) serve(w http.ResponseWriter, r *http.Request) {
	n.cpu.Add(0.0001)
	n.allocations.Add(12)
	if r.Header.Get("Idempotency-Key") == "" || r.Header.Get("Dalehook-Repeatable") != "no" {
		n.missingHeaders.Add(1)
	}
	if n.failEvery > 0 && n.requests.Add(1)%n.failEvery == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func TestRun(t *testing.T) {
	node, address := newTestNode(t, 10)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	report, err := load.Run(context.Background(), load.Options{
		Nodes: []string{address}, Servers: []string{server.URL}, Service: "exam", Path: "/saves/1",
		Concurrency: 4, Requests: 100, Turns: 5, Unrepeatable: true, RunID: "test", Deadline: time.Minute,
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Routed.Requests != 100 || report.Routed.Failed != 10 || report.Direct.Requests != 100 || report.Direct.Failed != 0 {
		t.Fatalf("wrong request counts: %+v", report)
	}
	if report.CPUMicrosPerRequest < 99.9 || report.CPUMicrosPerRequest > 100.1 || report.AllocationsPerRequest != 12 {
		t.Fatalf("want 100 us and 12 allocations per request, got %v and %v", report.CPUMicrosPerRequest, report.AllocationsPerRequest)
	}
	if report.FirstError == "" || node.missingHeaders.Load() != 0 {
		t.Fatalf("first error %q, %d requests without Idempotency-Key or Dalehook-Repeatable header", report.FirstError, node.missingHeaders.Load())
	}
}

func TestRunFailsWithoutMetrics(t *testing.T) {
	_, err := load.Run(context.Background(), load.Options{Nodes: []string{"http://127.0.0.1:1"}, Turns: 1, Requests: 1, Concurrency: 1})
	if err == nil {
		t.Fatal("no error for an unreachable node")
	}
}
