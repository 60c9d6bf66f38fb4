package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/election"
	"dalehook/internal/scheduler"
	"dalehook/internal/store/storetest"
)

// runEndEngines report the time at which each run ends.
type runEndEngines struct {
	oneEventEngines
	ended chan time.Time
}

func (e runEndEngines) Run(ctx context.Context, start scheduler.Start, emit func(scheduler.Event)) (scheduler.EndReason, error) {
	reason, err := e.oneEventEngines.Run(ctx, start, emit)
	e.ended <- time.Now()
	return reason, err
}

// maxOverlap is how long an item may run at two engines at once.
const maxOverlap = 400 * time.Millisecond

// After a planned stop, the runs of the ended term continue until the successor requests the handover. A
// successor whose build does not request it after a release restarts the items at once; if only
// resignedGracePeriod bounds the runs, each item runs at two engines for up to 1.5 s.
func TestRunsEndSoonWhenSuccessorDoesNotAskForHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 3
		engines := runEndEngines{oneEventEngines: oneEventEngines{emitted: make(chan string, items)}, ended: make(chan time.Time, items)}
		c, jobs := startCoordinator(t, storetest.NewMemory(), engines, items, zap.NewNop())
		appendJob(t, jobs, "j", items)
		grantLease(c, 1)
		for range items {
			<-engines.emitted
		}
		c.Resign()
		c.HandleLease(election.State{})
		time.Sleep(100 * time.Millisecond)
		claimed := time.Now()
		for range 5 {
			// Each read of the lease reports the standing again.
			c.HandleLease(election.State{Coordinator: "successor"})
			time.Sleep(50 * time.Millisecond)
		}
		for range items {
			if overlap := (<-engines.ended).Sub(claimed); overlap > maxOverlap {
				t.Errorf("run ended %v after the successor's claim", overlap)
			}
		}
		if handover := c.HandOver(1); countProgressRecords(handover) != items {
			t.Errorf("%d progress records for a successor that asks later", countProgressRecords(handover))
		}
	})
}
