package rehearse

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// lazyLoads is a node that orders an engine to load a version only when the one
// that it runs is over the staleness bound: the baseline without preloading.
type lazyLoads struct {
	machine.Machine
	bound    cluster.Version
	versions map[cluster.BackendID]cluster.Version
}

func newLazyLoads(inner machine.Machine, bound int64) *lazyLoads {
	return &lazyLoads{Machine: inner, bound: cluster.Version(bound), versions: make(map[cluster.BackendID]cluster.Version)}
}

// Step implements machine.Machine.
func (l *lazyLoads) Step(now time.Time, in machine.Input) {
	if report, ok := in.(machine.BackendReport); ok && report.Err == "" {
		l.versions[report.Backend] = report.Version
	}
	l.Machine.Step(now, in)
}

// Take implements machine.Machine. It drops the orders that can wait.
func (l *lazyLoads) Take() []machine.Output {
	outputs := l.Machine.Take()
	kept := outputs[:0]
	for _, out := range outputs {
		order, ok := out.(machine.OrderEngine)
		if ok && order.Version-l.versions[order.Engine] <= l.bound {
			continue
		}
		kept = append(kept, out)
	}
	return kept
}

// Ready reports whether the node takes requests.
func (l *lazyLoads) Ready() bool { return l.Machine.(interface{ Ready() bool }).Ready() }
