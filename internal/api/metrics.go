package api

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// statusClasses is the number of classes of HTTP statuses, counted from 1xx.
const statusClasses = 5

// abortedClass is the label of calls that ended without a whole answer.
const abortedClass = "aborted"

// metrics counts the calls of callers and operators.
type metrics struct {
	calls    *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// newMetrics returns registered metrics.
func newMetrics(registerer prometheus.Registerer, calls *callTable) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dalehook_api_calls_total",
			Help: "Calls of callers and operators, by route and class of status.",
		}, []string{"route", "status"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "dalehook_api_duration_seconds",
			Help:    "Time from the head of a call to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"route"}),
	}
	open := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "dalehook_api_open_calls",
		Help: "Calls that wait for their answer.",
	}, func() float64 { return float64(calls.size()) })
	registerer.MustRegister(m.calls, m.duration, open)
	return m
}

// routeMetrics holds the counters of one route, looked up once.
type routeMetrics struct {
	classes  [statusClasses]prometheus.Counter
	aborted  prometheus.Counter
	duration prometheus.Observer
}

// route returns the counters of one route.
func (m *metrics) route(name string) *routeMetrics {
	counted := &routeMetrics{
		aborted:  m.calls.WithLabelValues(name, abortedClass),
		duration: m.duration.WithLabelValues(name),
	}
	for i := range counted.classes {
		counted.classes[i] = m.calls.WithLabelValues(name, strconv.Itoa(i+1)+"xx")
	}
	return counted
}

// begin starts to observe one call.
func (m *routeMetrics) begin(w http.ResponseWriter, leaving func() bool) *observedWriter {
	return &observedWriter{ResponseWriter: w, metrics: m, leaving: leaving, started: time.Now()}
}

// observedWriter notes the status of a response. While the node is leaving it
// tells the caller to send nothing more on this connection.
type observedWriter struct {
	http.ResponseWriter
	metrics *routeMetrics
	leaving func() bool
	started time.Time
	status  int
	// aborted is set when the connection is closed in place of a whole answer.
	aborted bool
}

// WriteHeader implements http.ResponseWriter.
func (w *observedWriter) WriteHeader(status int) {
	w.status = status
	if w.leaving() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *observedWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *observedWriter) Flush() { flush(w.ResponseWriter) }

// Unwrap lets http.ResponseController reach the server's own writer.
func (w *observedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// end counts the call. It runs deferred, and a panic passes through it.
func (w *observedWriter) end() {
	w.metrics.duration.Observe(time.Since(w.started).Seconds())
	w.class().Inc()
}

// class returns the counter of the response's status.
func (w *observedWriter) class() prometheus.Counter {
	if index := w.status/100 - 1; !w.aborted && index >= 0 && index < statusClasses {
		return w.metrics.classes[index]
	}
	return w.metrics.aborted
}
