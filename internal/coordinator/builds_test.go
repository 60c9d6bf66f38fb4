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

// When a planned stop ends a coordinator's term, its runs go on until the successor asks for them. A successor of
// a build that does not ask after a release begins the items anew at once, so that each runs at two engines
// for up to 1.5 s (by this test; found by listing what builds count on).
//
// Cause: one build counted on what another does not do: the only other bound was the time after which the
// lease could have been claimed in other ways. What proves it: nobody asks, and the lease is another's.

// endedRuns is a pool of engines that tells when a run is ended.
type endedRuns struct {
	oneEvent
	ended chan time.Time
}

func (e endedRuns) Run(ctx context.Context, start scheduler.Start, emit func(scheduler.Event)) (scheduler.EndReason, error) {
	reason, err := e.oneEvent.Run(ctx, start, emit)
	e.ended <- time.Now()
	return reason, err
}

// sideBySide is how long an item may run at two engines.
const sideBySide = 400 * time.Millisecond

func TestRunsEndSoonAfterASuccessorThatDoesNotAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 3
		engines := endedRuns{oneEvent: oneEvent{made: make(chan string, items)}, ended: make(chan time.Time, items)}
		c, jobs := run(t, storetest.NewMemory(), engines, items, zap.NewNop())
		appendJob(t, jobs, "j", items)
		leads(c, 1)
		for range items {
			<-engines.made
		}
		c.Resign()
		c.ObserveLease(election.State{})
		time.Sleep(100 * time.Millisecond)
		claimed := time.Now()
		for range 5 {
			// The state is reported with each read of the lease.
			c.ObserveLease(election.State{Coordinator: "successor"})
			time.Sleep(50 * time.Millisecond)
		}
		for range items {
			if late := (<-engines.ended).Sub(claimed); late > sideBySide {
				t.Errorf("a run ended %v after the successor's claim", late)
			}
		}
		if left := c.HandOver(1); handedTexts(left) != items {
			t.Errorf("%d texts for a successor that asks later", handedTexts(left))
		}
	})
}
