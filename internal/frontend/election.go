package frontend

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/election"
	"dalehook/internal/liveness"
)

// Timing of the coordinator's lease. Each node suspects the holder after a different time, spread
// by a hash of its name, so that not all of them probe it at once.
const (
	leaseTTL           = 2500 * time.Millisecond
	leaseSilentTTL     = 1400 * time.Millisecond
	leaseRenewal       = 500 * time.Millisecond
	leaseMargin        = 200 * time.Millisecond
	leaseSuspectAfter  = 600 * time.Millisecond
	leaseSuspectSpread = 300 * time.Millisecond
	// coordinatorProcessorShare is the share of a core that the coordinator of a large fleet needs.
	// Nodes with less wait up to maxLeaseHandicap longer before they claim the lease: a node with a
	// fifth of a core falls behind the events of some hundred runs, so it must wait longer than the
	// oldest process waits for younger ones.
	coordinatorProcessorShare = 0.5
	maxLeaseHandicap          = 800 * time.Millisecond
)

// leaseTiming returns a node's timing in the election.
func leaseTiming(settings *Settings) election.Timing {
	spread := float64(xxhash.Sum64String(settings.Node)%1000) / 1000
	shortfall := 0.0
	if settings.ProcessorShare > 0 {
		shortfall = max(1-settings.ProcessorShare/coordinatorProcessorShare, 0)
	}
	return election.Timing{
		TTL: leaseTTL, UnresponsiveTTL: leaseSilentTTL, RenewInterval: leaseRenewal, SafetyMargin: leaseMargin,
		SuspectAfter: leaseSuspectAfter + time.Duration(spread*float64(leaseSuspectSpread)),
		ClaimDelay:   time.Duration(shortfall * float64(maxLeaseHandicap)),
	}
}

// observeLease handles a change of this node's standing in the election.
func (n *Node) observeLease(state election.State) {
	n.jobReader.observeCoordinator(state.Leading, state.Coordinator)
	n.electionState.Store(&state)
	n.peers.Note(state.Coordinator)
	n.coordinator.HandleLease(state)
	n.updateOperatorGuide(state)
}

// coordinatorEstablished reports whether another node has been the coordinator since before this
// process started.
func (n *Node) coordinatorEstablished() bool {
	state := n.electionState.Load()
	return state != nil && state.Established
}

// Yield implements liveness.Holder.
func (n *Node) Yield(epoch int64) bool {
	if !n.leaseHold.Yield(epoch) {
		return false
	}
	n.coordinator.Yield(epoch)
	return true
}

// HandOver implements liveness.Holder.
func (n *Node) HandOver(epoch int64) liveness.Handover { return n.coordinator.HandOver(epoch) }

// probeHolder asks the node of the lease's holder whether the holder's process still runs.
func (n *Node) probeHolder(ctx context.Context, address, holder string, epoch int64) liveness.Verdict {
	return liveness.Ask(ctx, n.options.Settings.Listen.Internal, address, holder, epoch)
}

// NoteCaller implements liveness.Holder.
func (n *Node) NoteCaller(address string) { n.peers.Note(address) }
