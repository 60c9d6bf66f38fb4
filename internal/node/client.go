package node

import (
	"context"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// LogClient appends to the platform's logs and reads them.
type LogClient interface {
	// Append adds one payload. The outcome says what is known when err is not nil.
	Append(ctx context.Context, log string, payload []byte) (offset uint64, outcome machine.AppendOutcome, err error)
}

// MachineLister reads the platform's machine list.
type MachineLister interface {
	Machines(ctx context.Context) ([]cluster.Machine, error)
}

// Registrar puts a machine on the platform's list.
type Registrar interface {
	Register(ctx context.Context, self cluster.Machine) error
}

// EngineClient speaks to model engines.
type EngineClient interface {
	// Generate runs one attempt to its end. It emits AttemptChunk inputs and,
	// as the last, one AttemptEnded.
	Generate(ctx context.Context, start machine.StartAttempt, emit func(machine.Input))
	// Cancel ends an attempt on its engine.
	Cancel(ctx context.Context, cancel machine.CancelAttempt)
	// Order gives a fenced order.
	Order(ctx context.Context, order machine.OrderEngine) machine.OrderResult
	// Report asks a back end of either kind for its report.
	Report(ctx context.Context, poll machine.PollBackend) machine.BackendReport
}

// ServiceClient sends requests to service servers.
type ServiceClient interface{}

var _ = time.Second
