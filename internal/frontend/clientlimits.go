package frontend

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"dalehook/internal/bytebudget"
	"dalehook/internal/drain"
)

// What connections of callers may use of a machine.
const (
	// connectionBytes is the memory of a connection without a request: goroutine, buffers, and what its receive
	// buffer holds unread.
	connectionBytes = 32 << 10
	// connectionMemoryShare is the share of the process's memory for connections.
	connectionMemoryShare = 0.2
	// waitingReadsShare is the share of the connections whose reads of results may wait for one, since a read that
	// waits does not give way to other connections.
	waitingReadsShare = 0.25
	// reservedDescriptors are kept for files and for the connections to the store and to other nodes. Of the others
	// callers get one half, since a request in progress also needs a connection to a server.
	reservedDescriptors = 200
	// maxProbeConnections bounds the connections of the readiness probe, and those of the metrics.
	maxProbeConnections = 256
)

// maxConnections returns the number of callers' connections that the settings allow; 0 if they set no bound.
func (s *Settings) maxConnections() int {
	if s.Clients.Connections > 0 {
		return s.Clients.Connections
	}
	bound := connectionsWithin(s.Descriptors)
	if s.MemoryMB > 0 {
		bound = lowerBound(bound, int(connectionMemoryShare*float64(s.MemoryMB)*megabyte/connectionBytes))
	}
	return bound
}

// connectionsWithin returns the number of callers' connections for which the descriptors suffice; 0 stands for any
// number of both.
func connectionsWithin(descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return max(1, (descriptors-reservedDescriptors)/2)
}

// lowerBound returns the lower one of two bounds, where 0 stands for none.
func lowerBound(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// openFileLimit returns the number of files and connections that the system lets this process open; 0 if it has no
// bound.
func openFileLimit() int {
	const unlimited = 1 << 30
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > unlimited {
		return 0
	}
	return int(limit.Cur)
}

// headLimits returns the limits on callers' heads and idle connections, as the configuration in force has them.
func (n *Node) headLimits() drain.HeadLimits {
	limits := drain.HeadLimits{Bytes: defaultMaxHeaderBytes, Timeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	table := n.table.Load()
	if table == nil {
		return limits
	}
	if table.Limits.HeaderBytes > 0 {
		limits.Bytes = table.Limits.HeaderBytes
	}
	if table.Limits.HeaderTimeout > 0 {
		limits.Timeout = table.Limits.HeaderTimeout
	}
	if table.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = table.Limits.IdleTimeout
	}
	return limits
}

// What the kernel holds of connections: small requests arrive whole, and a crowd of connections holds little.
var (
	callerListenOptions = drain.ListenOptions{ReceiveBuffer: 8 << 10, QueueLength: 512}
	probeListenOptions  = drain.ListenOptions{ReceiveBuffer: 2 << 10, QueueLength: 2048}
)

// listenOptions returns how the node listens on one of its addresses.
func (s *Settings) listenOptions(address string) drain.ListenOptions {
	if address == s.Listen.Requests {
		return callerListenOptions
	}
	return probeListenOptions
}

// maxProbeHeadBytes is the largest head of a readiness probe or a read of metrics, probeMemoryBytes the memory for all
// of them at one address: they must be answered also when callers use their memory up.
const (
	maxProbeHeadBytes = 16 << 10
	probeMemoryBytes  = 4 << 20
)

// probeHeadLimits are the limits on the heads of readiness probes and reads of metrics.
func probeHeadLimits() drain.HeadLimits {
	return drain.HeadLimits{Bytes: maxProbeHeadBytes, Timeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
}

// maxConnections returns the number of callers' connections; 0 if they are not bounded.
func (n *Node) maxConnections() int {
	return lowerBound(n.options.Settings.maxConnections(), connectionsWithin(openFileLimit()))
}

// newClientServer returns the server of one of the node's addresses.
func (n *Node) newClientServer(address string, handler http.Handler) *drain.Server {
	limits := drain.Limits{
		Heads: probeHeadLimits, Connections: maxProbeConnections, Memory: bytebudget.New(probeMemoryBytes), Observe: n.metrics.limits.observe,
		ReceiveBuffer: n.options.Settings.listenOptions(address).ReceiveBuffer,
	}
	if address == n.options.Settings.Listen.Requests {
		limits.Heads, limits.Connections, limits.Memory = n.headLimits, n.maxConnections(), n.clientMemory
	}
	return drain.NewServer(drain.Options{WriteStall: n.options.Settings.clientStall(), Limits: limits, HTTP: &http.Server{
		Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: defaultMaxHeaderBytes,
		ErrorLog: zap.NewStdLog(n.options.Logger.Named("http").WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}})
}

// limitLogInterval is the time in which the effects of a limit are logged once.
const limitLogInterval = time.Second

// limitMetrics counts what limits on clients have closed and refused, and logs it by reason.
type limitMetrics struct {
	counter *prometheus.CounterVec
	notices chan drain.Reason
}

// limitNotices is the number of notices that wait to be logged; further ones are only counted.
const limitNotices = 256

func newLimitMetrics(registry *prometheus.Registry) *limitMetrics {
	m := &limitMetrics{
		counter: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dalehook_client_limits_total", Help: "Connections closed and requests refused by the limits on clients, by reason.",
		}, []string{"reason"}),
		notices: make(chan drain.Reason, limitNotices),
	}
	for _, reason := range drain.Reasons() {
		m.counter.WithLabelValues(reason.String())
	}
	registry.MustRegister(m.counter)
	return m
}

// observe records that a limit took effect. It does not block.
func (m *limitMetrics) observe(reason drain.Reason) {
	m.counter.WithLabelValues(reason.String()).Inc()
	select {
	case m.notices <- reason:
	default:
	}
}

// log logs the first effect of each limit in an interval until the context ends.
func (m *limitMetrics) log(ctx context.Context, logger *zap.Logger) {
	var loggedAt [drain.ReasonCount]time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case reason := <-m.notices:
			if now := time.Now(); now.Sub(loggedAt[reason]) >= limitLogInterval {
				loggedAt[reason] = now
				logger.Warn("a limit on clients took effect", zap.Stringer("reason", reason))
			}
		}
	}
}
