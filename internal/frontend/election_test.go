package frontend

import (
	"testing"
	"time"
)

// maxClaimDelay equals election.maxClaimDelay: the longest time that the oldest process waits for
// younger ones before it claims a released lease.
const maxClaimDelay = 400 * time.Millisecond

// A coordinator on a fifth of a core falls behind the events of some hundred runs, so such a node
// must claim a lease later than any node with enough processor time, even the oldest.
func TestSmallNodesYieldTheLeaseToLargerOnes(t *testing.T) {
	claimDelay := func(share float64) time.Duration {
		return leaseTiming(&Settings{Node: "n", ProcessorShare: share}).ClaimDelay
	}
	for _, strong := range []float64{0, 0.5, 0.8, 4} {
		if got := claimDelay(strong); got != 0 {
			t.Errorf("share %v: handicap %v", strong, got)
		}
	}
	for _, weak := range []float64{0.05, 0.12, 0.2} {
		if got := claimDelay(weak); got <= maxClaimDelay {
			t.Errorf("share %v: handicap %v", weak, got)
		}
	}
}
