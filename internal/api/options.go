package api

import (
	"cmp"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// Defaults of Limits.
const (
	defaultStepBody    = 32 << 20
	defaultServiceBody = 8 << 20
	defaultPlanBody    = 1 << 20
	defaultBodyTimeout = time.Minute
	defaultDeadline    = 30 * time.Second
	defaultMaxDeadline = 10 * time.Minute
	defaultMaxWait     = time.Minute
	defaultOpenCalls   = 16384
)

// Limits bound what callers may ask. A zero field takes its default.
type Limits struct {
	// StepBody, ServiceBody and PlanBody are the largest request bodies in bytes.
	StepBody    int64
	ServiceBody int64
	PlanBody    int64
	// BodyTimeout bounds the time in which a request's body comes.
	BodyTimeout time.Duration
	// Deadline bounds a service request that names none; MaxDeadline is the
	// longest that a caller may name.
	Deadline    time.Duration
	MaxDeadline time.Duration
	// MaxWait caps the wait of a read of samples.
	MaxWait time.Duration
	// OpenCalls is the number of calls that may be open at once; a further one
	// is refused as overloaded.
	OpenCalls int
}

// withDefaults fills the fields that were left zero.
func (l Limits) withDefaults() Limits {
	l.StepBody = cmp.Or(l.StepBody, defaultStepBody)
	l.ServiceBody = cmp.Or(l.ServiceBody, defaultServiceBody)
	l.PlanBody = cmp.Or(l.PlanBody, defaultPlanBody)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, defaultBodyTimeout)
	l.Deadline = cmp.Or(l.Deadline, defaultDeadline)
	l.MaxDeadline = cmp.Or(l.MaxDeadline, defaultMaxDeadline)
	l.MaxWait = cmp.Or(l.MaxWait, defaultMaxWait)
	l.OpenCalls = cmp.Or(l.OpenCalls, defaultOpenCalls)
	return l
}

// Options configure a Handler.
type Options struct {
	// Self is this node; errors that arise in the API name it as the peer.
	Self cluster.Node
	// Submit passes an input to the machine. It does not block.
	Submit func(machine.Input)
	// Ready reports whether the node takes callers' requests.
	Ready func() bool
	// Leaving reports whether a planned stop has begun.
	Leaving func() bool
	Limits  Limits
	Logger  *zap.Logger
	// Registry takes the API's metrics and is what /metrics shows; nil for a
	// registry of its own.
	Registry *prometheus.Registry
}
