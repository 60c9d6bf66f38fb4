package overload

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 5, 9, 0, 1, 0, time.UTC)

// Guards against retries that exceed their share of the successes, and against a node with little
// traffic that may not retry at all.
func TestRetryBudgetIsAShareOfSuccesses(t *testing.T) {
	budget := NewBudget(BudgetOptions{Share: 0.1, Floor: 1, Initial: 1, Capacity: 20})
	taken := 0
	budget.Take(start)
	for range 200 {
		budget.Earn()
		if budget.Take(start) {
			taken++
		}
	}
	if taken < 19 || taken > 20 {
		t.Errorf("%d retries for 200 successes, want 20", taken)
	}
	if !budget.Take(start.Add(2 * time.Second)) {
		t.Error("the floor allowed nothing")
	}
}

// Guards against a share of none that is taken for the default.
func TestServiceWithoutBudget(t *testing.T) {
	service := NewService(ServiceOptions{HedgeShare: NoBudget, RetryShare: NoBudget})
	service.Throttle.Observe(start, Sample{Rejected: true, Target: time.Second, Utilization: -1})
	for range 100 {
		service.Earn()
	}
	if service.AllowRetry(start, false) {
		t.Error("a retry is allowed without a budget")
	}
}
