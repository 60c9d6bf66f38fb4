package sim

import (
	"math/rand/v2"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/sim/fault"
	"dalehook/internal/sim/kernel"
)

// outside is the zone of clients and of the platform.
const outside = "outside"

// Times of connections.
const (
	connectTimeout = time.Second
	localLatency   = 100 * time.Microsecond
	jitterMost     = 300 * time.Millisecond
)

// network carries bytes between places. Messages between nodes may be lost,
// doubled and reordered; connections to and from the outside either work or
// break.
type network struct {
	kernel  *kernel.Kernel
	faults  *fault.Set
	random  *rand.Rand
	between time.Duration
	client  time.Duration
}

func newNetwork(k *kernel.Kernel, faults *fault.Set, d Deployment) *network {
	return &network{kernel: k, faults: faults, random: k.Rand("network"), between: d.Between, client: d.Client}
}

// latency draws the one-way delay between two places: the base value and up to
// a fifth more.
func (n *network) latency(from, to fault.Place) time.Duration {
	base := n.between
	switch {
	case from.Zone == outside || to.Zone == outside:
		base = n.client
	case from.Zone == to.Zone:
		base = localLatency
	}
	delay := base + time.Duration(n.random.Int64N(int64(base)/5+1))
	if n.faults.On(fault.Jitter, fault.Network) {
		delay += time.Duration(n.random.Int64N(int64(jitterMost)))
	}
	return delay
}

func (n *network) draws(name fault.Name, oneIn int) bool {
	return n.faults.On(name, fault.Network) && n.random.IntN(oneIn) == 0
}

// One message in lossOneIn is lost and one in doubleOneIn is doubled while the
// fault is active.
const (
	lossOneIn   = 5
	doubleOneIn = 4
)

// message carries a message between nodes.
func (n *network) message(from, to fault.Place, deliver func()) {
	if n.faults.Blocked(from, to) || n.draws(fault.Loss, lossOneIn) {
		return
	}
	n.kernel.After(n.latency(from, to), deliver)
	if n.draws(fault.Duplicate, doubleOneIn) {
		n.kernel.After(n.latency(from, to)+n.latency(from, to), deliver)
	}
}

// connect opens a connection and runs open at the far side; when there is a cut
// in either direction it runs failed instead, after the timeout.
func (n *network) connect(from, to fault.Place, open, failed func()) {
	if n.faults.Blocked(from, to) || n.faults.Blocked(to, from) {
		n.kernel.After(connectTimeout, failed)
		return
	}
	n.kernel.After(n.latency(from, to), open)
}

// answer carries an answer back over an open connection. A cut loses it: the
// waiting side sees nothing until its own deadline.
func (n *network) answer(from, to fault.Place, deliver func()) {
	if n.faults.Blocked(from, to) {
		return
	}
	n.kernel.After(n.latency(from, to), deliver)
}

// place returns where a process of a zone is.
func place[T ~string](name T, zone cluster.ZoneName) fault.Place {
	return fault.Place{Name: string(name), Zone: string(zone)}
}
