package frontend

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dalehook/internal/build"
	"dalehook/internal/clock"
	"dalehook/internal/crashwatch"
	"dalehook/internal/gateway"
)

// latencyBuckets are the upper bounds of the histogram buckets, in seconds.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10}

// nodeMetrics holds the node's Prometheus metrics. Each label has few values.
type nodeMetrics struct {
	registry          *prometheus.Registry
	requests          *prometheus.CounterVec
	requestSeconds    *prometheus.HistogramVec
	attempts          prometheus.Counter
	jobCalls          *prometheus.CounterVec
	jobReads          *prometheus.CounterVec
	jobReadsMisread   prometheus.Counter
	storeCalls        *prometheus.CounterVec
	storeSeconds      *prometheus.HistogramVec
	keysRefused       *prometheus.CounterVec
	usageReports      *prometheus.CounterVec
	usageLost         prometheus.Counter
	serverOrders      *prometheus.CounterVec
	requestsPastGrace prometheus.Counter
	invalidRecords    *prometheus.CounterVec
	// lateRequestsRefused counts requests that came late in a planned stop.
	lateRequestsRefused prometheus.Counter
	serverEnds          *prometheus.CounterVec
	requestsSuspected   prometheus.Counter
	requestsHeld        prometheus.Counter
	foreignResponses    *prometheus.CounterVec
	brokenResponses     *prometheus.CounterVec
	serversFoundGone    prometheus.Counter
	items               *itemMetrics
	overload            *overloadMetrics
	limits              *limitMetrics
}

var _ crashwatch.Observer = (*nodeMetrics)(nil)

func newNodeMetrics(n *Node, droppedLines func() int64) *nodeMetrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencyBuckets}, labels)
	}
	m := &nodeMetrics{
		registry:       prometheus.NewRegistry(),
		requests:       counter("dalehook_requests_total", "Single requests by kind of route, answer and reason.", "kind", "status", "reason"),
		requestSeconds: histogram("dalehook_request_seconds", "Time from a request read to its answer, by kind of route.", "kind"),
		attempts:       prometheus.NewCounter(prometheus.CounterOpts{Name: "dalehook_request_attempts_total", Help: "Attempts of single requests at servers."}),
		jobCalls:       counter("dalehook_job_calls_total", "Calls about batch jobs by call and verdict.", "call", "verdict"),
		jobReads:       counter("dalehook_job_reads_total", "Reads of batch jobs by where the answer was found.", "source"),
		jobReadsMisread: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dalehook_job_reads_misread_total", Help: "Reads of batch jobs that the coordinator, of another build, did not understand.",
		}),
		storeCalls:   counter("dalehook_store_calls_total", "Calls to the store by call and status of the answer, 0 for none.", "call", "status"),
		storeSeconds: histogram("dalehook_store_seconds", "Time of calls to the store that do not wait.", "call"),
		keysRefused:  counter("dalehook_keys_refused_total", "Requests refused for their key: none, or one that is not known.", "key"),
		usageReports: counter("dalehook_usage_reports_total", "Reports of a window's usage by what came of them.", "outcome"),
		serverOrders: counter("dalehook_server_orders_total", "Orders of a zone's number of servers by what came of them.", "outcome"),
		usageLost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dalehook_usage_lost_total", Help: "Requests that were counted and could not be appended in time.",
		}),
		requestsPastGrace: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dalehook_requests_past_grace_total", Help: "Requests that were under way at the end of a planned stop's grace period.",
		}),
		lateRequestsRefused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dalehook_late_requests_refused_total", Help: "Requests that came late in a planned stop and were refused before they were sent on.",
		}),
		serverEnds: counter("dalehook_server_ends_total", "Servers that ended while they ran callers' requests of this node, by evidence. Runs of items do not count.", "evidence"),
		requestsSuspected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dalehook_requests_suspected_total", Help: "Requests of this node under which servers ended.",
		}),
		requestsHeld: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dalehook_requests_held_total", Help: "Requests that were found to crash servers, and are held.",
		}),
		serversFoundGone: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dalehook_servers_found_gone_total", Help: "Listed servers at whose address another incarnation answered.",
		}),
		invalidRecords:   counter("dalehook_invalid_records_total", "Records of others that were left out since they are malformed or out of bounds, by kind.", "kind"),
		foreignResponses: counter("dalehook_foreign_responses_total", "Responses of servers in the place of another one, by status.", "status"),
		brokenResponses:  counter("dalehook_broken_responses_total", "Responses that were not whole ones in the protocol, by what was wrong with them.", "kind"),
	}
	m.registry.MustRegister(m.requests, m.requestSeconds, m.attempts, m.jobCalls, m.jobReads, m.jobReadsMisread, m.storeCalls, m.storeSeconds, m.keysRefused, m.usageReports, m.usageLost, m.serverOrders, m.requestsPastGrace, m.lateRequestsRefused, m.invalidRecords,
		m.serverEnds, m.requestsSuspected, m.requestsHeld, m.foreignResponses, m.brokenResponses, m.serversFoundGone, collectors.NewGoCollector())
	m.items = newItemMetrics(m.registry)
	m.overload = newOverloadMetrics(m.registry)
	m.limits = newLimitMetrics(m.registry)
	m.registerGauges(n, droppedLines)
	return m
}

// registerGauges registers the gauges that are evaluated at each scrape.
func (m *nodeMetrics) registerGauges(n *Node, droppedLines func() int64) {
	gauge := func(name, help string, read func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
	}
	running := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "dalehook_build_info", Help: "1 for the build that this node runs."}, []string{"build"})
	running.WithLabelValues(build.Revision()).Set(1)
	m.registry.MustRegister(running)
	gauge("dalehook_configuration_version", "Version of the configuration in force, 0 for none.", func() float64 {
		if table := n.table.Load(); table != nil {
			return float64(table.Version)
		}
		return 0
	})
	gauge("dalehook_configuration_age_seconds", "Time since the configuration was read.", func() float64 {
		return n.configurationAge(clock.Now()).Seconds()
	})
	gauge("dalehook_servers", "Servers in the list.", func() float64 { return float64(n.directory.Snapshot().Count()) })
	gauge("dalehook_servers_age_seconds", "Time since the list of servers was read.", func() float64 {
		return n.directory.Age(clock.Now()).Seconds()
	})
	gauge("dalehook_servers_warming", "Servers in the list that are slow since they started.", func() float64 {
		return float64(n.warmingServers(clock.Now()))
	})
	gauge("dalehook_servers_way", "How the list of servers comes: 0 none is known, 1 heartbeats, 2 the relay.", func() float64 {
		return float64(n.servers.Mode())
	})
	gauge("dalehook_ready", "1 while the node wants new connections.", func() float64 { return boolValue(n.Ready()) })
	gauge("dalehook_coordinator", "1 while the node coordinates the batch jobs.", func() float64 {
		return boolValue(n.coordinator.State().Leading)
	})
	gauge("dalehook_open_jobs", "Open batch jobs, at the coordinator.", func() float64 { return float64(n.coordinator.State().Open) })
	gauge("dalehook_running_items", "Items that run, at the coordinator.", func() float64 { return float64(n.coordinator.State().Running) })
	gauge("dalehook_waiting_items", "Items that wait, at the coordinator.", func() float64 { return float64(n.coordinator.State().Waiting) })
	gauge("dalehook_engine_memory_share", "Share in use of the fullest engine's memory, at the coordinator.", func() float64 {
		return n.coordinator.State().MemoryShare
	})
	gauge("dalehook_unscored_items", "Items whose text is whole and has no score yet, at the coordinator.", func() float64 {
		return float64(n.coordinator.State().Unscored)
	})
	gauge("dalehook_held_requests", "Requests that are held since they crash servers.", func() float64 { return float64(n.crashTracker.Held()) })
	gauge("dalehook_client_memory_bytes", "Memory reserved for requests of callers and for responses of servers.", func() float64 { return float64(n.clientMemory.Used()) })
	gauge("dalehook_open_job_memory_bytes", "Memory of the open batch jobs, as far as this node knows.", func() float64 { return float64(n.openMemory()) })
	m.registry.MustRegister(newRefusedShares(n))
	if droppedLines != nil {
		gauge("dalehook_log_lines_lost", "Log lines that were lost since the start.", func() float64 { return float64(droppedLines()) })
	}
}

func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func (m *nodeMetrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}

func (m *nodeMetrics) observeRequest(outcome gateway.Outcome) {
	kind := outcome.Kind.String()
	m.requests.WithLabelValues(kind, strconv.Itoa(outcome.Status), reasonClass(outcome.Reason)).Inc()
	m.requestSeconds.WithLabelValues(kind).Observe(outcome.Duration.Seconds())
	m.attempts.Add(float64(outcome.Attempts))
	m.overload.observe(outcome)
}

// reasonClass returns the part of a reason before the first colon, to limit the number of label
// values.
func reasonClass(reason string) string {
	class, _, _ := strings.Cut(reason, ":")
	return class
}

func (m *nodeMetrics) observeJobCall(call string, verdict Verdict) {
	m.jobCalls.WithLabelValues(call, verdict.String()).Inc()
}

func (m *nodeMetrics) observeJobRead(source readSource) {
	m.jobReads.WithLabelValues(source.String()).Inc()
}

// ObserveServerEnd implements crashwatch.Observer.
func (m *nodeMetrics) ObserveServerEnd(evidence string, requests int) {
	m.serverEnds.WithLabelValues(evidence).Inc()
	m.requestsSuspected.Add(float64(requests))
}

// ObserveHeld implements crashwatch.Observer.
func (m *nodeMetrics) ObserveHeld() { m.requestsHeld.Inc() }

func (m *nodeMetrics) observeForeignResponse(status int) {
	m.foreignResponses.WithLabelValues(strconv.Itoa(status)).Inc()
}

func (m *nodeMetrics) observeStore(call string, status int, duration time.Duration) {
	m.storeCalls.WithLabelValues(call, strconv.Itoa(status)).Inc()
	if call != longPollCall {
		m.storeSeconds.WithLabelValues(call).Observe(duration.Seconds())
	}
}

// longPollCall is the call that is left out of the latency histogram, since a long poll's duration
// isn't the store's latency.
const longPollCall = "read"
