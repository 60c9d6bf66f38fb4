package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"

	"dalehook/internal/api"
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// defaultLeaveTimeout bounds a planned stop when Options name no time.
const defaultLeaveTimeout = 2 * time.Minute

// Options configure a Node. Self, Listeners, Machine, Ready and the clients are
// required.
type Options struct {
	// Self is this process as Listen completed it.
	Self cluster.Node
	// Listeners are the open sockets of the node; the node closes them.
	Listeners Listeners
	// Machine is the node's state; the node's own goroutine alone calls it.
	Machine machine.Machine
	// Ready reports whether the machine may take callers' requests. It is
	// called on the machine's goroutine only.
	Ready func() bool
	// Log, Machines, Engines and Services are the clients of the outside.
	Log      LogClient
	Machines MachineClient
	Engines  EngineClient
	Services ServiceClient

	Limits api.Limits
	Logger *zap.Logger
	// Registry takes the metrics of the node and of its parts; nil for a
	// registry of its own.
	Registry *prometheus.Registry
	// LeaveTimeout bounds a planned stop; after it Run returns ErrLeaveTimeout.
	LeaveTimeout time.Duration
}

// withDefaults fills the fields that were left zero.
func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
		o.Registry.MustRegister(
			collectors.NewGoCollector(),
			collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		)
	}
	if o.LeaveTimeout == 0 {
		o.LeaveTimeout = defaultLeaveTimeout
	}
	return o
}
