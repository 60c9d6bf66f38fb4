package node

import "github.com/prometheus/client_golang/prometheus"

// metrics counts the work of the driver.
type metrics struct {
	inputs      prometheus.Counter
	outputs     prometheus.Counter
	turn        prometheus.Histogram
	undecodable prometheus.Counter
}

// newMetrics returns registered metrics.
func newMetrics(registerer prometheus.Registerer, inbox *inbox, streams *streams) *metrics {
	m := &metrics{
		inputs: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dalehook_node_inputs_total",
			Help: "Inputs that the machine has taken, ticks included.",
		}),
		outputs: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dalehook_node_outputs_total",
			Help: "Outputs of the machine that were carried out.",
		}),
		turn: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "dalehook_node_turn_seconds",
			Help:    "Time in which one batch of inputs was stepped and its outputs were begun.",
			Buckets: prometheus.ExponentialBuckets(0.00001, 4, 10),
		}),
		undecodable: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dalehook_node_undecodable_entries_total",
			Help: "Log entries that are no records of dalehook.",
		}),
	}
	waiting := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "dalehook_node_waiting_inputs",
		Help: "Inputs that wait for the machine.",
	}, func() float64 { return float64(inbox.size()) })
	running := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "dalehook_node_running_attempts",
		Help: "Attempts of samples whose streams this node reads.",
	}, func() float64 { return float64(streams.size()) })
	registerer.MustRegister(m.inputs, m.outputs, m.turn, m.undecodable, waiting, running)
	return m
}
