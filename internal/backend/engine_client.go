package backend

import (
	"context"

	"dalehook/internal/machine"
)

// EngineClient speaks to model engines. It is safe for concurrent use.
type EngineClient struct{}

// NewEngineClient returns a client. It opens no connection yet.
func NewEngineClient(options Options) *EngineClient { return &EngineClient{} }

// Close closes idle connections.
func (c *EngineClient) Close() {}

// Generate runs one attempt on an engine and returns when its stream has ended.
// It emits an AttemptChunk for each piece and then exactly one AttemptEnded, all
// from the calling goroutine.
func (c *EngineClient) Generate(ctx context.Context, start machine.StartAttempt, emit func(machine.Input)) {
}

// Cancel closes the attempt's stream, if this client runs it, and asks the
// engine to forget the request.
func (c *EngineClient) Cancel(ctx context.Context, cancel machine.CancelAttempt) error { return nil }

// Order gives a fenced order to load a version.
func (c *EngineClient) Order(ctx context.Context, order machine.OrderEngine) machine.OrderResult {
	return machine.OrderResult{}
}

// Report asks an engine or a service server for its report.
func (c *EngineClient) Report(ctx context.Context, poll machine.PollBackend) machine.BackendReport {
	return machine.BackendReport{}
}
