package frontend

import (
	"testing"
	"time"
)

// mostOfYouth is how long the oldest process leaves a lease that was released to younger ones
// (election.maxClaimDelay).
const mostOfYouth = 400 * time.Millisecond

// A coordinator on a fifth of a core falls behind the events of some hundred runs: no such node
// claims a lease before those that can carry it, be these as old as they may.
func TestWeakNodesLeaveTheLeaseToStrongOnes(t *testing.T) {
	handicap := func(share float64) time.Duration {
		return leaseTiming(&Settings{Node: "n", ProcessorShare: share}).ClaimDelay
	}
	for _, strong := range []float64{0, 0.5, 0.8, 4} {
		if got := handicap(strong); got != 0 {
			t.Errorf("share %v waits %v", strong, got)
		}
	}
	for _, weak := range []float64{0.05, 0.12, 0.2} {
		if got := handicap(weak); got <= mostOfYouth {
			t.Errorf("share %v waits %v", weak, got)
		}
	}
}
