package coordinator

import (
	"testing"
	"time"

	"dalehook/internal/clock"
	"dalehook/internal/election"
	"dalehook/internal/scheduler"
)

// A machine may be suspended for longer than the lease lasts. If the end of the lease is compared with
// a clock that stops during suspension, the coordinator sends orders after its lease has ended.
func TestLeaseEndsWhileMachineIsSuspended(t *testing.T) {
	c := New(Options{})
	c.machine = scheduler.NewMachine(scheduler.Options{})
	c.lease = election.Lease{Epoch: 3, ExpiresAt: clock.Now().Add(2 * time.Second)}
	order := scheduler.LoadOrder{Epoch: 3}
	if !c.mayOrder(order) {
		t.Fatal("order not allowed under a lease in force")
	}
	clock.AddSuspension(5 * time.Second)
	defer clock.AddSuspension(-5 * time.Second)
	if c.mayOrder(order) {
		t.Error("order allowed under a lease that ended during the suspension")
	}
}
