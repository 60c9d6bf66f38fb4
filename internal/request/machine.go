// Package request decides where callers' requests to services run and what is
// answered: repeatable requests may be tried again within a budget, unrepeatable
// ones run at most once.
package request

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// Options configure a Machine.
type Options struct {
	// Self is this process.
	Self cluster.Node
	// Outbox takes the outputs.
	Outbox *machine.Outbox
	// Environment is the rest of the node.
	Environment Environment
	// Seed feeds the choices between servers.
	Seed uint64
	// LeaveGrace is how long a leaving node goes on taking calls, since callers'
	// lists lag. Default 3 s.
	LeaveGrace time.Duration
}

// Machine is the state of all open service calls of one node.
type Machine struct {
	options Options
}

// Stats counts what the machine has done since its start.
type Stats struct {
	Calls uint64
}

// New returns a machine without calls.
func New(options Options) *Machine { return &Machine{options: options} }

// HandleCall takes a caller's request.
func (m *Machine) HandleCall(now time.Time, call machine.ServiceCall) {
	m.options.Outbox.Add(machine.Reply{Call: call.Call, Body: machine.Failure{
		Status: 503, Code: machine.CodeStarting, Message: "not ready", NotRun: true,
	}})
}

// HandleResult takes the end of an attempt.
func (m *Machine) HandleResult(now time.Time, result machine.ServiceResult) {}

// HandleGone takes that a caller has closed its connection. It reports whether
// the call is one of this machine's.
func (m *Machine) HandleGone(now time.Time, gone machine.CallGone) bool { return false }

// HandleMessage takes a peer's message. It reports whether the message is one of
// this machine's.
func (m *Machine) HandleMessage(now time.Time, message machine.PeerMessage) bool { return false }

// HandleView takes a placement view that came into force. First says that it is
// the first view on the log.
func (m *Machine) HandleView(now time.Time, view cluster.View, first bool) {}

// Tick drives everything that depends on time.
func (m *Machine) Tick(now time.Time) {}

// Leave begins the planned stop.
func (m *Machine) Leave(now time.Time) {}

// Busy reports whether calls or markers are left that a planned stop waits for.
func (m *Machine) Busy() bool { return false }

// Stats returns the counters.
func (m *Machine) Stats() Stats { return Stats{} }
