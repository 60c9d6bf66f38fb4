package bench

import (
	"slices"
	"time"
)

// observedKind says what an observation waits for.
type observedKind string

// The kinds of observations.
const (
	observedConfiguration observedKind = "configuration in force"
	observedDeadNode      observedKind = "dead node seen"
	observedLeavingServer observedKind = "leaving server seen"
	observedDeadServer    observedKind = "dead server seen"
)

// observation waits until every running node has seen something.
type observation struct {
	kind    observedKind
	started time.Time
	pending []*hollowNode
	seen    func(node *hollowNode) bool
}

// latencies holds, for each kind, the time that each node took to see what it
// was to see.
type latencies struct {
	times map[observedKind][]time.Duration
}

func newLatencies() *latencies { return &latencies{times: map[observedKind][]time.Duration{}} }

// quantile returns a quantile of a kind, and false when nothing was observed.
func (l *latencies) quantile(kind observedKind, q float64) (time.Duration, bool) {
	times := l.times[kind]
	if len(times) == 0 {
		return 0, false
	}
	slices.Sort(times)
	return times[min(len(times)-1, int(q*float64(len(times))))], true
}

// observe starts an observation by all nodes that run now.
func (r *run) observe(kind observedKind, seen func(node *hollowNode) bool) {
	r.observations = append(r.observations, &observation{
		kind: kind, started: r.world.now, pending: r.world.running(), seen: seen,
	})
}

// checkObservations notes which nodes have seen what they were to see.
func (r *run) checkObservations() {
	for _, o := range r.observations {
		o.pending = slices.DeleteFunc(o.pending, func(node *hollowNode) bool {
			if node.down {
				return true
			}
			if !o.seen(node) {
				return false
			}
			r.latencies.times[o.kind] = append(r.latencies.times[o.kind], r.world.now.Sub(o.started))
			return true
		})
	}
	r.observations = slices.DeleteFunc(r.observations, func(o *observation) bool { return len(o.pending) == 0 })
}
