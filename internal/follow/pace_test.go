package follow

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"dalehook/internal/store"
)

func TestPaceAdaptsToTheStoresRate(t *testing.T) {
	pace := Pace{Base: 10 * time.Millisecond, Most: time.Second, Retry: 100 * time.Millisecond}
	if got := pace.Next(nil); got != pace.Base {
		t.Errorf("at rest %v", got)
	}
	if got := pace.Next(errors.New("silent")); got != pace.Retry {
		t.Errorf("after a failure %v", got)
	}
	throttled := fmt.Errorf("read: %w", store.ErrThrottled)
	previous := time.Duration(0)
	for range 10 {
		next := pace.Next(throttled)
		if next < previous || next > pace.Most {
			t.Fatalf("%v after %v", next, previous)
		}
		previous = next
	}
	if previous != pace.Most {
		t.Errorf("throttled for long: %v", previous)
	}
	for range 300 {
		previous = pace.Next(nil)
	}
	if previous != pace.Base {
		t.Errorf("after 300 calls that went through: %v", previous)
	}
	if !errors.Is(throttled, store.ErrRefused) {
		t.Error("a throttled call may have been carried out")
	}
}

func TestFailuresInARowAreAskedAfterLessOften(t *testing.T) {
	pace := Pace{Base: 10 * time.Millisecond, Most: time.Second, Retry: 100 * time.Millisecond}
	silent := errors.New("silent")
	for failure, want := range []int{100, 200, 300, 400, 400} {
		if got := pace.Next(silent); got != time.Duration(want)*time.Millisecond {
			t.Errorf("after %d failures %v", failure+1, got)
		}
	}
	pace.Next(nil)
	if got := pace.Next(silent); got != pace.Retry {
		t.Errorf("after a call that went through and a failure %v", got)
	}
}
