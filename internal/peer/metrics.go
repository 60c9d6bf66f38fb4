package peer

import "github.com/prometheus/client_golang/prometheus"

// Reasons for which a message is dropped, as the metric's label.
const (
	dropQueueFull   = "queue_full"
	dropUnreachable = "unreachable"
	dropWrite       = "write"
	dropEncode      = "encode"
	dropTooLarge    = "too_large"
	dropStopped     = "stopped"
)

// Directions of traffic, as the metrics' label.
const (
	directionSent     = "sent"
	directionReceived = "received"
)

// metrics counts the control traffic between nodes.
type metrics struct {
	sentBytes        prometheus.Counter
	receivedBytes    prometheus.Counter
	sentMessages     prometheus.Counter
	receivedMessages prometheus.Counter
	dropped          *prometheus.CounterVec
	malformed        prometheus.Counter
	misdirected      prometheus.Counter
	connections      *prometheus.GaugeVec
}

// newMetrics returns counters, registered unless the registerer is nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "dalehook_peer_bytes_total",
		Help: "Bytes exchanged with other nodes, without TCP and IP headers.",
	}, []string{"direction"})
	messages := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "dalehook_peer_messages_total",
		Help: "Messages exchanged with other nodes.",
	}, []string{"direction"})
	m := &metrics{
		sentBytes:        bytes.WithLabelValues(directionSent),
		receivedBytes:    bytes.WithLabelValues(directionReceived),
		sentMessages:     messages.WithLabelValues(directionSent),
		receivedMessages: messages.WithLabelValues(directionReceived),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dalehook_peer_dropped_total",
			Help: "Messages to other nodes that were not sent, by reason.",
		}, []string{"reason"}),
		malformed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dalehook_peer_malformed_total",
			Help: "Connections of other nodes that were closed for what came in on them.",
		}),
		misdirected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dalehook_peer_misdirected_total",
			Help: "Connections that were meant for another node at this address.",
		}),
		connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dalehook_peer_connections",
			Help: "Open connections with other nodes.",
		}, []string{"direction"}),
	}
	if registerer != nil {
		registerer.MustRegister(bytes, messages, m.dropped, m.malformed, m.misdirected, m.connections)
	}
	return m
}
