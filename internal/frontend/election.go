package frontend

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/election"
	"dalehook/internal/liveness"
)

// Timing of the coordinator's lease.
const (
	// leaseTTL is how long after the last renewal any process may claim the lease. A longer one leaves
	// the fleet without a coordinator for longer after the loss of a machine; a shorter one costs the
	// holder its lease while the store is slow.
	leaseTTL = 2500 * time.Millisecond
	// leaseUnresponsiveTTL replaces leaseTTL for a holder whose node repeatedly failed to answer a probe:
	// that node has probably ended, so its successor need not wait for the whole TTL.
	leaseUnresponsiveTTL = 1400 * time.Millisecond
	// leaseRenewInterval is the time between two renewals. Each renewal wakes all nodes; with a longer
	// interval, fewer failed renewals fit into the TTL.
	leaseRenewInterval = 500 * time.Millisecond
	// leaseSafetyMargin is how long before the TTL the holder itself treats its lease as expired, so that
	// its last order is sent before a successor claims the lease.
	leaseSafetyMargin = 200 * time.Millisecond
	// Each node probes the holder after a different time without a renewal, leaseSuspectAfter and up to
	// leaseSuspectSpread more by a hash of its name, so that not all of them probe it at once. A holder that
	// renews in time, every leaseRenewInterval, is not suspected.
	leaseSuspectAfter  = 600 * time.Millisecond
	leaseSuspectSpread = 300 * time.Millisecond
	// coordinatorProcessorShare is the share of a core that the coordinator of a large fleet needs.
	// Nodes with less wait up to maxLeaseClaimDelay longer before they claim the lease: a node with a
	// fifth of a core falls behind the events of some hundred runs, so it must wait longer than the
	// oldest process waits for younger ones.
	coordinatorProcessorShare = 0.5
	maxLeaseClaimDelay        = 800 * time.Millisecond
)

// leaseTiming returns a node's timing in the election.
func leaseTiming(settings *Settings) election.Timing {
	spread := float64(xxhash.Sum64String(settings.Node)%1000) / 1000
	shortfall := 0.0
	if settings.ProcessorShare > 0 {
		shortfall = max(1-settings.ProcessorShare/coordinatorProcessorShare, 0)
	}
	return election.Timing{
		TTL: leaseTTL, UnresponsiveTTL: leaseUnresponsiveTTL, RenewInterval: leaseRenewInterval, SafetyMargin: leaseSafetyMargin,
		SuspectAfter: leaseSuspectAfter + time.Duration(spread*float64(leaseSuspectSpread)),
		ClaimDelay:   time.Duration(shortfall * float64(maxLeaseClaimDelay)),
	}
}

// observeLease handles a change of this node's state in the election.
func (n *Node) observeLease(state election.State) {
	n.jobReadRouter.observeCoordinator(state.Leading, state.Coordinator)
	n.electionState.Store(&state)
	n.peers.Add(state.Coordinator)
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
	if !n.leaseYielder.Yield(epoch) {
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
func (n *Node) NoteCaller(address string) { n.peers.Add(address) }
