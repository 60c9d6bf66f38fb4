package rollout

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/logwriter"
	"dalehook/internal/record"
	"dalehook/internal/routing"
)

// LogWriter appends records and settles appends whose outcome is unknown. It is
// implemented by *logwriter.Writer.
type LogWriter interface {
	// Append writes body to log. It calls done once the outcome is settled,
	// never before it has returned the record's id.
	Append(now time.Time, log string, body any, done func(now time.Time, result logwriter.Result),
		options ...logwriter.AppendOption) record.ID
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
	// Engines lists what the node knows of the engines of a pool, sorted by id,
	// with Placed empty. An engine that is loading a version, or is to load one
	// within a few seconds, has Loading set.
	Engines(pool string) []routing.Engine
	// Subscribe asks for fresh reports of a whole pool, or no longer.
	Subscribe(pool string, on bool)
	// StoreDown reports whether the platform's log can't be reached.
	StoreDown() bool
	// ClassLimit returns the largest number of samples of a class that may run
	// at once on the whole cluster, zero for no limit.
	ClassLimit(class string) int
}
