package frontend

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dalehook/internal/coordinator"
	"dalehook/internal/reward"
	"dalehook/internal/scheduler"
)

// itemMetrics counts what the coordinator does for batch items and engines.
type itemMetrics struct {
	attempts      *prometheus.CounterVec
	moves         prometheus.Counter
	waitSeconds   *prometheus.CounterVec
	results       *prometheus.CounterVec
	loads         *prometheus.CounterVec
	rewardCalls   *prometheus.CounterVec
	rewardSeconds prometheus.Histogram
}

var _ coordinator.Observer = (*itemMetrics)(nil)

func newItemMetrics(registry *prometheus.Registry) *itemMetrics {
	counter := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	m := &itemMetrics{
		attempts: counter("dalehook_item_attempts_total", "Runs of items by the way they ended.", "end"),
		moves: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dalehook_item_moves_total", Help: "Runs that were cut to resume their items on other engines.",
		}),
		waitSeconds: counter("dalehook_item_wait_seconds_total",
			"Time that items have waited beyond a second while engines had free slots, by reason, at the coordinator. Of many items only the longest waits count.",
			"reason"),
		results:     counter("dalehook_results_total", "Results written by outcome.", "outcome"),
		loads:       counter("dalehook_loads_total", "Orders to load weights by what came of them.", "outcome"),
		rewardCalls: counter("dalehook_reward_calls_total", "Sends of reward calls by what came of them.", "verdict"),
		rewardSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "dalehook_reward_seconds", Help: "Time from an item's whole text to its score.", Buckets: latencyBuckets,
		}),
	}
	registry.MustRegister(m.attempts, m.moves, m.waitSeconds, m.results, m.loads, m.rewardCalls, m.rewardSeconds)
	return m
}

// ObserveAttempt implements coordinator.Observer.
func (m *itemMetrics) ObserveAttempt(reason scheduler.EndReason) {
	m.attempts.WithLabelValues(reason.String()).Inc()
}

// ObserveMove implements coordinator.Observer.
func (m *itemMetrics) ObserveMove() { m.moves.Inc() }

// ObserveWait implements coordinator.Observer.
func (m *itemMetrics) ObserveWait(reason scheduler.WaitReason, waited time.Duration) {
	m.waitSeconds.WithLabelValues(reason.String()).Add(waited.Seconds())
}

// ObserveResult implements coordinator.Observer.
func (m *itemMetrics) ObserveResult(outcome string) { m.results.WithLabelValues(outcome).Inc() }

// ObserveLoad implements coordinator.Observer.
func (m *itemMetrics) ObserveLoad(loaded bool) {
	outcome := "failed"
	if loaded {
		outcome = "loaded"
	}
	m.loads.WithLabelValues(outcome).Inc()
}

// ObserveReward implements coordinator.Observer.
func (m *itemMetrics) ObserveReward(verdict reward.Verdict, waited time.Duration) {
	m.rewardCalls.WithLabelValues(verdict.String()).Inc()
	if verdict == reward.VerdictScored {
		m.rewardSeconds.Observe(waited.Seconds())
	}
}
