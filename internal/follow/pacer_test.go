package follow

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"dalehook/internal/store"
)

func TestPacerAdaptsToStoreRate(t *testing.T) {
	pacer := Pacer{Base: 10 * time.Millisecond, Max: time.Second, Retry: 100 * time.Millisecond}
	if got := pacer.Next(nil); got != pacer.Base {
		t.Errorf("after a success: %v", got)
	}
	if got := pacer.Next(errors.New("silent")); got != pacer.Retry {
		t.Errorf("after a failure: %v", got)
	}
	throttled := fmt.Errorf("read: %w", store.ErrThrottled)
	previous := time.Duration(0)
	for range 10 {
		next := pacer.Next(throttled)
		if next < previous || next > pacer.Max {
			t.Fatalf("%v after %v", next, previous)
		}
		previous = next
	}
	if previous != pacer.Max {
		t.Errorf("after 10 throttled calls: %v", previous)
	}
	for range 300 {
		previous = pacer.Next(nil)
	}
	if previous != pacer.Base {
		t.Errorf("after 300 successful calls: %v", previous)
	}
	if !errors.Is(throttled, store.ErrRefused) {
		t.Error("a throttled call does not count as refused")
	}
}

func TestPacerBacksOffAfterFailures(t *testing.T) {
	pacer := Pacer{Base: 10 * time.Millisecond, Max: time.Second, Retry: 100 * time.Millisecond}
	silent := errors.New("silent")
	for failure, want := range []int{100, 200, 300, 400, 400} {
		if got := pacer.Next(silent); got != time.Duration(want)*time.Millisecond {
			t.Errorf("after %d failures: %v", failure+1, got)
		}
	}
	pacer.Next(nil)
	if got := pacer.Next(silent); got != pacer.Retry {
		t.Errorf("after a success and a failure: %v", got)
	}
}
