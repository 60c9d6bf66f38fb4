package frontend

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"dalehook/internal/clock"
	"dalehook/internal/gateway"
)

// refusalReasons are the reasons of requests that were refused to protect a loaded service.
var refusalReasons = []string{gateway.ReasonOverloaded, gateway.ReasonTooLate, gateway.ReasonRetryBudget}

// Outcomes of hedges and retries.
const (
	outcomeSent   = "sent"
	outcomeDenied = "denied"
)

// overloadMetrics counts refusals, hedges and retries of single requests.
type overloadMetrics struct {
	refused, hedges, retries *prometheus.CounterVec
}

// newOverloadMetrics registers the counters with all their label values: a counter that appears with its
// first event would hide that event from rate queries.
func newOverloadMetrics(registry *prometheus.Registry) *overloadMetrics {
	counter := func(name, help, label string, values ...string) *prometheus.CounterVec {
		counters := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
		for _, value := range values {
			counters.WithLabelValues(value)
		}
		registry.MustRegister(counters)
		return counters
	}
	return &overloadMetrics{
		refused: counter("dalehook_requests_refused_total", "Single requests refused to protect a loaded service, by reason.", "reason", refusalReasons...),
		hedges:  counter("dalehook_hedges_total", "Second copies of slow requests, sent or denied.", "outcome", outcomeSent, outcomeDenied),
		retries: counter("dalehook_retries_total", "Attempts after a rejection, sent or denied.", "outcome", outcomeSent, outcomeDenied),
	}
}

func (m *overloadMetrics) observe(outcome gateway.Outcome) {
	if reason := reasonClass(outcome.Reason); outcome.Status == http.StatusServiceUnavailable && slices.Contains(refusalReasons, reason) {
		m.refused.WithLabelValues(reason).Inc()
	}
	m.hedges.WithLabelValues(outcomeSent).Add(float64(outcome.Hedges))
	m.hedges.WithLabelValues(outcomeDenied).Add(float64(outcome.DeniedHedges))
	m.retries.WithLabelValues(outcomeSent).Add(float64(outcome.Retries))
	m.retries.WithLabelValues(outcomeDenied).Add(float64(outcome.DeniedRetries))
}

// refusedShares collects the refused share of each service of the configuration at each scrape.
type refusedShares struct {
	description *prometheus.Desc
	// overload returns the state of the services; configured reports whether a service is in the
	// configuration, which bounds the number of label values.
	overload   func() []gateway.ServiceOverload
	configured func(service string) bool
}

func newRefusedShares(n *Node) *refusedShares {
	return &refusedShares{
		description: prometheus.NewDesc("dalehook_refused_share", "Share of a service's requests that this node refuses under overload, 0 to 1.", []string{"service"}, nil),
		overload:    func() []gateway.ServiceOverload { return n.gateway.Overload(clock.Now()) },
		configured: func(service string) bool {
			table := n.table.Load()
			if table == nil {
				return false
			}
			_, ok := table.Services[service]
			return ok
		},
	}
}

// Describe implements prometheus.Collector.
func (r *refusedShares) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- r.description }

// Collect implements prometheus.Collector.
func (r *refusedShares) Collect(metrics chan<- prometheus.Metric) {
	for _, state := range r.overload() {
		if r.configured(state.Service) {
			metrics <- prometheus.MustNewConstMetric(r.description, prometheus.GaugeValue, state.RefusedShare, state.Service)
		}
	}
}

// highestRefusedShare returns the service with the highest refused share, the first by name among
// equals; ok is false if there is none.
func highestRefusedShare(services []gateway.ServiceOverload) (highest gateway.ServiceOverload, ok bool) {
	if len(services) == 0 {
		return gateway.ServiceOverload{}, false
	}
	return slices.MinFunc(services, func(a, b gateway.ServiceOverload) int {
		return cmp.Or(cmp.Compare(b.RefusedShare, a.RefusedShare), cmp.Compare(a.Service, b.Service))
	}), true
}
