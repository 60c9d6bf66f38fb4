// Package lease claims duties that one node holds at a time. The claim's offset
// on the control log is the epoch and the fencing token: of several claims that
// supersede the same epoch the first on the log is valid. A node claims by its
// own failure detection, so taking over too early costs churn and never safety.
// The package does no I/O; see internal/machine for the contract.
package lease

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/logwriter"
	"dalehook/internal/record"
)

// Appender writes records to a log; *logwriter.Writer implements it.
type Appender interface {
	Append(now time.Time, log string, body any, done func(now time.Time, result logwriter.Result), options ...logwriter.AppendOption) record.ID
}

// Environment is what a Manager reads of the rest of the node.
type Environment interface {
	// Control returns the fold of the control log.
	Control() *record.Control
	// Alive reports whether this node's own failure detection takes the node
	// for alive and not leaving. Self is alive.
	Alive(cluster.NodeID) bool
	// Members returns the nodes that this node takes for alive and not leaving,
	// itself included unless it is leaving, sorted by id, in their newest life.
	Members() []cluster.Node
	// StoreDown reports whether the platform's log cannot be reached.
	StoreDown() bool
	// LastContact is the last time at which a peer or the log was heard.
	LastContact() time.Time
	// CaughtUpAt is the last time at which the control fold was known to hold
	// everything on the log, by the log's own answer or by a peer's.
	CaughtUpAt() time.Time
}

// Options configure a Manager.
type Options struct {
	Self        cluster.Node
	Writer      Appender
	Environment Environment
	Timing      Timing
}

// Timing holds the times of a Manager; zero fields take the defaults.
type Timing struct{}

// Manager claims the duties that its node wants and knows which it holds.
type Manager struct{ options Options }

// New returns a Manager that wants nothing.
func New(options Options) *Manager { return &Manager{options: options} }

// Want says whether this node is ready to hold a duty.
func (m *Manager) Want(duty record.Duty, wanted bool) {}

// Holds reports whether this node surely holds a duty now, and under which epoch.
func (m *Manager) Holds(now time.Time, duty record.Duty) (record.Epoch, bool) { return 0, false }

// Tick drives everything that depends on time.
func (m *Manager) Tick(now time.Time) {}

// HandleChange takes what an entry of the control log changed.
func (m *Manager) HandleChange(now time.Time, entry record.Entry, change record.Change) {}
