package node

import (
	"context"
	"time"

	"dalehook/internal/backend"
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/platform"
)

// LogClient appends to the platform's logs and reads them.
type LogClient interface {
	// Append adds one payload. The outcome says what is known when err is not nil.
	Append(ctx context.Context, log string, payload []byte) (offset uint64, outcome machine.AppendOutcome, err error)
	// Read returns entries from an offset on and the offset of the log's last.
	Read(ctx context.Context, log string, from uint64, wait time.Duration) ([]platform.Entry, uint64, error)
}

// MachineClient reads the platform's machine list and puts this node on it.
type MachineClient interface {
	Machines(ctx context.Context) ([]cluster.Machine, error)
	RegisterMachine(ctx context.Context, line cluster.Machine) error
}

// EngineClient speaks to model engines.
type EngineClient interface {
	// Generate runs one attempt to its end. It emits AttemptChunk inputs and,
	// as the last, one AttemptEnded, all from the calling goroutine.
	Generate(ctx context.Context, start machine.StartAttempt, emit func(machine.Input))
	// Cancel ends an attempt on its engine.
	Cancel(ctx context.Context, cancel machine.CancelAttempt) error
	// Order gives a fenced order.
	Order(ctx context.Context, order machine.OrderEngine) machine.OrderResult
	// Report asks a back end of either kind for its report.
	Report(ctx context.Context, poll machine.PollBackend) machine.BackendReport
}

// ServiceClient sends requests to service servers.
type ServiceClient interface {
	// Send sends one request once and returns when its answer has ended.
	Send(ctx context.Context, request backend.ServiceRequest) machine.ServiceResult
}
