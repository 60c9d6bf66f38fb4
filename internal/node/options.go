package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"dalehook/internal/api"
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// Options configure a Node.
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
	Machines MachineLister
	Engines  EngineClient
	Services ServiceClient
	// Registrar puts the node on the platform's machine list; nil for none.
	Registrar Registrar

	Limits api.Limits
	Logger *zap.Logger
	// Registry takes the metrics of the node and of its parts; nil for a
	// registry of its own.
	Registry *prometheus.Registry
	// LeaveTimeout bounds a planned stop; after it Run returns ErrLeaveTimeout.
	LeaveTimeout time.Duration
}
