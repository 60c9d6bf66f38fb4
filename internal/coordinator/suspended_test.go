package coordinator

import (
	"testing"
	"time"

	"dalehook/internal/clock"
	"dalehook/internal/election"
	"dalehook/internal/scheduler"
)

// Seen: none; read in the code. A coordinator whose machine was suspended for longer than its lease
// gave orders afterwards, as if no time had passed.
// Cause: the lease's end was compared by a clock that stands still during a suspension.
func TestALeaseEndsWhileTheMachineIsSuspended(t *testing.T) {
	c := New(Options{})
	c.machine = scheduler.NewMachine(scheduler.Options{})
	c.lease = election.Lease{Epoch: 3, Until: clock.Now().Add(2 * time.Second)}
	order := scheduler.LoadOrder{Epoch: 3}
	if !c.mayOrder(order) {
		t.Fatal("no order under a lease in force")
	}
	clock.NoteSuspended(5 * time.Second)
	defer clock.NoteSuspended(-5 * time.Second)
	if c.mayOrder(order) {
		t.Error("an order under a lease that ended during the suspension")
	}
}
