// Package core composes the state machines of one node into a single
// machine.Machine. It holds no logic of its own beyond passing inputs to the
// part that they belong to.
package core

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// Options configure a Core.
type Options struct {
	// Self is this process; its Incarnation is set by the driver.
	Self cluster.Node
	// SeedAddresses are peer addresses (host:port) to join by.
	SeedAddresses []string
	// Seed feeds the node's random numbers.
	Seed uint64
}

// Core is the state of one node.
type Core struct {
	outbox machine.Outbox
}

// New returns a node that has just started and knows nothing.
func New(options Options) *Core {
	return &Core{}
}

// Step implements machine.Machine.
func (c *Core) Step(now time.Time, in machine.Input) {}

// Take implements machine.Machine.
func (c *Core) Take() []machine.Output { return c.outbox.Take() }

// Ready reports whether the node may take callers' requests: it has state from
// its peers or from the log, and it is not leaving.
func (c *Core) Ready() bool { return false }
