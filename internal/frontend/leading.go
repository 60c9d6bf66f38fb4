package frontend

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/election"
	"dalehook/internal/liveness"
)

// The timing of the coordinator's lease. Nodes doubt the holder at different times, so
// that not all of them ask it at once.
const (
	leaseTTL         = 2500 * time.Millisecond
	leaseSilentTTL   = 1400 * time.Millisecond
	leaseRenewal     = 500 * time.Millisecond
	leaseMargin      = 200 * time.Millisecond
	leaseDoubt       = 600 * time.Millisecond
	leaseDoubtSpread = 300 * time.Millisecond
	// coordinatorShare is the share of a core that the coordinator of a large fleet
	// needs; processes with less leave the lease to others for up to leaseHandicap: one with a
	// fifth of a core, which falls behind the events of some hundred runs, for longer than the
	// oldest process leaves it to younger ones.
	coordinatorShare = 0.5
	leaseHandicap    = 800 * time.Millisecond
)

// leaseTiming returns the timing of a node's part in the election.
func leaseTiming(settings *Settings) election.Timing {
	spread := float64(xxhash.Sum64String(settings.Node)%1000) / 1000
	missing := 0.0
	if settings.ProcessorShare > 0 {
		missing = max(1-settings.ProcessorShare/coordinatorShare, 0)
	}
	return election.Timing{
		TTL: leaseTTL, UnresponsiveTTL: leaseSilentTTL, RenewInterval: leaseRenewal, SafetyMargin: leaseMargin,
		SuspectAfter: leaseDoubt + time.Duration(spread*float64(leaseDoubtSpread)),
		ClaimDelay:   time.Duration(missing * float64(leaseHandicap)),
	}
}

// observeLease takes this node's state in the election.
func (n *Node) observeLease(state election.State) {
	n.jobReader.observeCoordinator(state.Leading, state.Coordinator)
	n.electionState.Store(&state)
	n.peers.Note(state.Coordinator)
	n.coordinator.ObserveLease(state)
	n.guideOperator(state)
}

// coordinatorEstablished says whether another node has coordinated since before this process started.
func (n *Node) coordinatorEstablished() bool {
	state := n.electionState.Load()
	return state != nil && state.Established
}

// Yield implements liveness.Holder.
func (n *Node) Yield(epoch int64) bool {
	if !n.yielder.Yield(epoch) {
		return false
	}
	n.coordinator.Yield(epoch)
	return true
}

// HandOver implements liveness.Holder.
func (n *Node) HandOver(epoch int64) liveness.Handover { return n.coordinator.HandOver(epoch) }

// askHolder asks at the node of a holder of the lease whether its process runs.
func (n *Node) askHolder(ctx context.Context, address, holder string, epoch int64) liveness.Verdict {
	return liveness.Ask(ctx, n.options.Settings.Listen.Internal, address, holder, epoch)
}

// NoteCaller implements liveness.Holder.
func (n *Node) NoteCaller(address string) { n.peers.Note(address) }
