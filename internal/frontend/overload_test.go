package frontend

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dalehook/internal/gateway"
	"dalehook/internal/routetable"
)

// scrape returns the samples of collectors as a scrape shows them, one a line.
func scrape(collectors ...prometheus.Collector) []string {
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(collectors...)
	recorder := httptest.NewRecorder()
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var samples []string
	for line := range strings.Lines(recorder.Body.String()) {
		if !strings.HasPrefix(line, "#") {
			samples = append(samples, strings.TrimSpace(line))
		}
	}
	return samples
}

// Guards against a request that may have run and counts as refused, and against counters that do not
// exist before their first event: a rate misses the first value of a new counter.
func TestOverloadCounters(t *testing.T) {
	m := newNodeMetrics(&Node{}, nil)
	expect := func(want ...string) {
		t.Helper()
		if diff := cmp.Diff(want, scrape(m.overload.refused, m.overload.hedges, m.overload.retries)); diff != "" {
			t.Error(diff)
		}
	}
	expect(
		`dalehook_hedges_total{outcome="denied"} 0`,
		`dalehook_hedges_total{outcome="sent"} 0`,
		`dalehook_requests_refused_total{reason="overloaded"} 0`,
		`dalehook_requests_refused_total{reason="retry budget"} 0`,
		`dalehook_requests_refused_total{reason="too late"} 0`,
		`dalehook_retries_total{outcome="denied"} 0`,
		`dalehook_retries_total{outcome="sent"} 0`,
	)
	for _, outcome := range []gateway.Outcome{
		{Status: 503, Reason: "overloaded"},
		{Status: 503, Reason: "overloaded"},
		{Status: 503, Reason: "too late"},
		{Status: 503, Reason: "retry budget", Retries: 1, DeniedRetries: 1},
		{Status: 502, Reason: "retry budget", DeniedRetries: 1},
		{Status: 503, Reason: "no server"},
		{Status: 200, Hedges: 1, DeniedHedges: 3, Retries: 2},
	} {
		m.observeRequest(outcome)
	}
	expect(
		`dalehook_hedges_total{outcome="denied"} 3`,
		`dalehook_hedges_total{outcome="sent"} 1`,
		`dalehook_requests_refused_total{reason="overloaded"} 2`,
		`dalehook_requests_refused_total{reason="retry budget"} 1`,
		`dalehook_requests_refused_total{reason="too late"} 1`,
		`dalehook_retries_total{outcome="denied"} 2`,
		`dalehook_retries_total{outcome="sent"} 3`,
	)
}

// Guards against label values of services that the configuration has dropped and the gateway still
// knows: their number would not be bounded.
func TestRefusedShareIsLimitedToConfiguredServices(t *testing.T) {
	n := &Node{}
	shares := newRefusedShares(n)
	shares.overload = func() []gateway.ServiceOverload {
		return []gateway.ServiceOverload{{Service: "a", RefusedShare: 0.25}, {Service: "b"}, {Service: "dropped", RefusedShare: 1}}
	}
	if samples := scrape(shares); len(samples) != 0 {
		t.Errorf("%q without a configuration", samples)
	}
	n.table.Store(&routetable.Table{Services: map[string]routetable.Service{"a": {}, "b": {}, "unused": {}}})
	if diff := cmp.Diff([]string{`dalehook_refused_share{service="a"} 0.25`, `dalehook_refused_share{service="b"} 0`}, scrape(shares)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a status that names another service than the one with the highest refused share, or
// one that changes among equals.
func TestHighestRefusedShare(t *testing.T) {
	if _, ok := highestRefusedShare(nil); ok {
		t.Error("a share without services")
	}
	services := []gateway.ServiceOverload{{Service: "c", RefusedShare: 0.5}, {Service: "a"}, {Service: "b", RefusedShare: 0.5}}
	highest, ok := highestRefusedShare(services)
	if diff := cmp.Diff(gateway.ServiceOverload{Service: "b", RefusedShare: 0.5}, highest); !ok || diff != "" {
		t.Error(ok, diff)
	}
}
