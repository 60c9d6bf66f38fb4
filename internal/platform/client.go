// Package platform holds the clients of what the platform gives: the log
// service, the machine list and the weight store.
package platform

import (
	"context"
	"encoding/json"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// Options configure a Client.
type Options struct {
	// LogURL, MachinesURL and WeightsURL are base URLs, such as
	// http://10.0.0.1:7000. An empty MachinesURL or WeightsURL means LogURL.
	LogURL      string
	MachinesURL string
	WeightsURL  string
	// Timeout bounds each call; a long poll may take its waiting time besides.
	// Zero means DefaultTimeout.
	Timeout time.Duration
}

// DefaultTimeout bounds a call when Options.Timeout is zero.
const DefaultTimeout = 5 * time.Second

// Entry is one entry of a log. Offsets start at 1.
type Entry struct {
	Offset  uint64          `json:"offset"`
	Payload json.RawMessage `json:"payload"`
}

// Client speaks to the platform. It is safe for concurrent use.
type Client struct {
	options Options
}

// NewClient returns a client. It opens no connection yet.
func NewClient(options Options) *Client {
	return &Client{options: options}
}

// Close closes idle connections.
func (c *Client) Close() {}

// Append puts one JSON payload on a log. The outcome is AppendNotDone only when
// the log surely did not take the payload. The call is never repeated.
func (c *Client) Append(ctx context.Context, log string, payload []byte) (uint64, machine.AppendOutcome, error) {
	return 0, machine.AppendUnknown, nil
}

// Read returns the entries of a log from an offset on, inclusive, and the offset
// of the last entry on the log. The log may hold its answer back for wait when
// there is nothing new.
func (c *Client) Read(ctx context.Context, log string, from uint64, wait time.Duration) ([]Entry, uint64, error) {
	return nil, 0, nil
}

// Machines returns the platform's machine list, which lags.
func (c *Client) Machines(ctx context.Context) ([]cluster.Machine, error) { return nil, nil }

// RegisterMachine puts a machine on the list or replaces its line.
func (c *Client) RegisterMachine(ctx context.Context, m cluster.Machine) error { return nil }

// PutWeights stores the weights of one version of a model.
func (c *Client) PutWeights(ctx context.Context, model cluster.ModelName, version cluster.Version, weights []byte) error {
	return nil
}

// GetWeights fetches the weights of one version of a model. The error is a
// *RateLimitedError when the store asks to come back later.
func (c *Client) GetWeights(ctx context.Context, model cluster.ModelName, version cluster.Version) ([]byte, error) {
	return nil, nil
}

// RateLimitedError says that the weight store is busy.
type RateLimitedError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return "weight store is rate-limited, retry after " + e.RetryAfter.String()
}
