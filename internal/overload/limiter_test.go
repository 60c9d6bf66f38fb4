package overload

import (
	"testing"
	"time"
)

// Guards against a probe that holds requests back although there is no queue to drain, and against a
// pressed limit that is never probed.
func TestLimiterProbesOnlyUnderPressure(t *testing.T) {
	probe := start.Truncate(probeEvery).Add(probeEvery)
	quiet, pressed := NewLimiter(), NewLimiter()
	for range int(initialLimit) {
		pressed.Acquire()
	}
	pressed.HasRoom(probe.Add(-time.Second))
	pressed.Dropped()
	for range int(initialLimit) - 1 {
		quiet.Acquire()
	}
	if !quiet.HasRoom(probe) {
		t.Error("a limit that was not reached is cut")
	}
	if pressed.HasRoom(probe) || !pressed.HasRoom(probe.Add(probeTime)) {
		t.Error("a limit that was reached is not cut for the probe's time")
	}
}
