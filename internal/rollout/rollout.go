// Package rollout runs the steps of trainers: it accepts a step, holds the
// lease on it, runs its samples on model engines, commits each finished sample
// and hands it to the trainer. It is a state machine without I/O; see
// docs/design/rollout.md.
package rollout

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/routing"
)

// LogWriter appends records and settles appends whose outcome is unknown.
type LogWriter interface {
	// Append writes body to log and calls done once its outcome is settled.
	Append(now time.Time, log string, body any, done func(now time.Time, result WriteResult)) record.ID
}

// WriteResult is the settled outcome of an append.
type WriteResult struct {
	Outcome machine.AppendOutcome
	Offset  uint64
	Err     string
}

// Environment is what a Machine reads of the rest of its node.
type Environment interface {
	// Control is the fold of the control log.
	Control() *record.Control
	// Alive reports whether the node's own failure detection holds a peer for
	// alive. It is true for the node itself.
	Alive(id cluster.NodeID) bool
	// Node returns a member by its id, alive or not.
	Node(id cluster.NodeID) (cluster.Node, bool)
	// LiveNodes lists the members held for alive that are not leaving, with the
	// node itself unless it is leaving, sorted by id.
	LiveNodes() []cluster.Node
	// Engines lists what the node knows of the engines of a pool, sorted by id.
	Engines(pool string) []routing.Engine
	// Subscribe asks for fresh reports of a whole pool, or no longer.
	Subscribe(pool string, on bool)
	// StoreDown reports whether the platform's log can't be reached.
	StoreDown() bool
	// ClassLimit returns the largest number of samples of a class that may run
	// at once on the whole cluster, zero for no limit.
	ClassLimit(class string) int
}

// Options configure a Machine.
type Options struct {
	// Self is this process.
	Self        cluster.Node
	Outbox      *machine.Outbox
	Writer      LogWriter
	Environment Environment
	// Policy chooses engines; nil means routing's default.
	Policy routing.EnginePolicy
	// Seed feeds the jitter of retries.
	Seed uint64
	// Limits bound time and memory; zero fields take their defaults.
	Limits Limits
}

// Machine is the rollout part of one node.
type Machine struct {
	options Options
}

// New returns a Machine that knows no step.
func New(options Options) *Machine { return &Machine{options: options} }

// HandlePost takes a trainer's step.
func (m *Machine) HandlePost(now time.Time, in machine.PostStep) {}

// HandleRead takes a trainer's read.
func (m *Machine) HandleRead(now time.Time, in machine.ReadSamples) {}

// HandleGone drops a call whose caller has gone. It reports whether the call was
// one of this machine's.
func (m *Machine) HandleGone(now time.Time, in machine.CallGone) bool { return false }

// HandleChunk takes a piece of an attempt's stream.
func (m *Machine) HandleChunk(now time.Time, in machine.AttemptChunk) {}

// HandleEnded takes the end of an attempt's stream.
func (m *Machine) HandleEnded(now time.Time, in machine.AttemptEnded) {}

// HandleEntries takes what was read from a step's log.
func (m *Machine) HandleEntries(now time.Time, in machine.LogEntries) {}

// HandleMessage takes a peer's message. It reports whether the message was one
// of this machine's.
func (m *Machine) HandleMessage(now time.Time, in machine.PeerMessage) bool { return false }

// HandleChange is called after the fold of the control log took an entry.
func (m *Machine) HandleChange(now time.Time, entry record.Entry, change record.Change) {}

// HandleRestore is called after the fold of the control log was replaced by a
// peer's snapshot.
func (m *Machine) HandleRestore(now time.Time) {}

// Tick drives everything that depends on time.
func (m *Machine) Tick(now time.Time) {}

// Leave begins a planned stop.
func (m *Machine) Leave(now time.Time) {}

// Busy reports whether a planned stop still has something to finish here.
func (m *Machine) Busy() bool { return false }

// Status lists the steps that this node owns, sorted by step.
func (m *Machine) Status() []machine.StepStatus { return nil }
