package pool

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/membership"
)

// Backend is a back end as this node knows it.
type Backend struct {
	cluster.Machine
	// Report is the newest report that this node has polled, zero when there is
	// none. Only watchers and subscribers poll.
	Report machine.BackendReport
	// ReportAt is when Report came in.
	ReportAt time.Time
	// Load is the number of requests the back end stated on its last answer or
	// report, negative when it never did.
	Load int
	// Usable is set when new work may go there: it is live, and this node can
	// reach it as far as it knows.
	Usable bool
}

// entry is what this node knows of one back end.
type entry struct {
	rumor  membership.BackendRumor
	hash   uint64
	deadAt time.Time

	report   machine.BackendReport
	reportAt time.Time
	load     int

	// watchers are the nodes that watch it, best first, and rank this node's
	// place among them, negative for none.
	watchers []cluster.Node
	rank     int

	nextPoll time.Time
	// polledAt is when the running poll was sent, zero for none.
	polledAt time.Time
	// failures and answers count the last polls in a row with one outcome.
	failures int
	answers  int
	inquiry  inquiry
	// askers want to know the result of the next poll.
	askers []cluster.NodeID

	// avoidUntil is set while this node can't reach it though others may.
	avoidUntil time.Time
	avoidFor   time.Duration
	alarmedAt  time.Time
}

// inquiry is a watcher's question to the other watchers.
type inquiry struct {
	// since is when it began, zero for none.
	since    time.Time
	answered int
	failed   int
}

// id returns the back end's id.
func (e *entry) id() cluster.BackendID { return e.rumor.Machine.ID }

// state returns the state that all nodes agree on.
func (e *entry) state() cluster.MachineState { return e.rumor.Machine.State }

// watched reports whether this node is one of its watchers.
func (e *entry) watched() bool { return e.rank >= 0 }

// usable reports whether new work may go there.
func (e *entry) usable(now time.Time) bool {
	return e.state() == cluster.StateLive && !now.Before(e.avoidUntil)
}

// backend returns the exported form.
func (e *entry) backend(now time.Time) Backend {
	return Backend{
		Machine:  e.rumor.Machine,
		Report:   e.report,
		ReportAt: e.reportAt,
		Load:     e.load,
		Usable:   e.usable(now),
	}
}
