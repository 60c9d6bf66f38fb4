// Package machine defines the contract between dalehook's state machines and
// their drivers, after the model of etcd's raft: a machine takes an Input and
// the time, changes its state, and leaves Outputs for the driver to carry out.
// A machine starts no goroutine, does no I/O, reads no clock, draws randomness
// only from the seed it was given, and ranges over no map where order shows.
//
// Two drivers exist: internal/node (real time, sockets) and internal/sim (an
// event heap on a virtual clock).
package machine

import "time"

// Input is one thing that happened. The types of this package that end in a
// result of the driver's work implement it.
type Input interface{ input() }

// Output is one thing that the driver is to do.
type Output interface{ output() }

// Machine is what both drivers run.
type Machine interface {
	// Step takes one input. Time never runs backwards for one machine, but it
	// may jump forward when the process was paused.
	Step(now time.Time, in Input)
	// Take returns the outputs left since the last call, in order.
	Take() []Output
}

// Tick drives everything that depends on time. The driver steps it every
// TickInterval.
type Tick struct{}

func (Tick) input() {}

// TickInterval is the time between two ticks.
const TickInterval = 50 * time.Millisecond

// Outbox collects outputs. Machines share their composition's outbox.
type Outbox struct {
	outputs []Output
}

// Add leaves outputs for the driver.
func (b *Outbox) Add(outputs ...Output) { b.outputs = append(b.outputs, outputs...) }

// Take returns and forgets what was left.
func (b *Outbox) Take() []Output {
	taken := b.outputs
	b.outputs = nil
	return taken
}
