package lengths

import "testing"

// Guards against predictions that stay at zero, or above the length of the items that have ended.
func TestRemainingFollowsEndedItems(t *testing.T) {
	e := NewEstimator()
	for range 50 {
		e.Observe("r", 1000, 20)
	}
	for _, test := range []struct {
		estimate, events int
		want             float64
	}{{1000, 0, 20}, {500, 0, 10}, {1000, 15, 5}, {1000, 40, 20}, {1000, 1, 19}} {
		if got := e.Remaining("r", test.estimate, test.events); got < test.want-0.01 || got > test.want+0.01 {
			t.Errorf("Remaining(%d, %d) = %v, want %v", test.estimate, test.events, got, test.want)
		}
	}
}
