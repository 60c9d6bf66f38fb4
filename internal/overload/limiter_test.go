package overload

import (
	"testing"
	"time"
)

// Guards against a probe that holds requests back although there is no queue to drain, and against a
// reached limit that is never probed.
func TestLimiterProbesOnlyReachedLimits(t *testing.T) {
	probe := start.Truncate(probeEvery).Add(probeEvery)
	unreached, reached := NewLimiter(), NewLimiter()
	for range int(initialLimit) {
		reached.Acquire()
	}
	reached.HasRoom(probe.Add(-time.Second))
	reached.Dropped()
	for range int(initialLimit) - 1 {
		unreached.Acquire()
	}
	if !unreached.HasRoom(probe) {
		t.Error("a limit that was not reached is cut")
	}
	if reached.HasRoom(probe) || !reached.HasRoom(probe.Add(probeTime)) {
		t.Error("a limit that was reached is not cut for the probe's time")
	}
}

// Guards against a limit that stays low after the load, exceeds the slots, or admits nothing.
func TestBoundedLimitRecoversWithinASecond(t *testing.T) {
	const slots = 24
	limiter := NewBoundedLimiter(slots)
	now := start
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		limiter.Acquire()
		limiter.Failed(now)
	}
	if limiter.Limit() != 1 || !limiter.HasRoom(now) {
		t.Errorf("limit %d while all requests are rejected", limiter.Limit())
	}
	if limiter.HasRoom(now.Add(recoveryHold - windowTime)); limiter.Limit() != 1 {
		t.Errorf("limit %d right after the last rejections", limiter.Limit())
	}
	if limiter.HasRoom(now.Add(recoveryTime)); limiter.Limit() != slots {
		t.Errorf("limit %d a second after the last rejection", limiter.Limit())
	}
	limiter.Acquire()
	limiter.Answered(now.Add(time.Minute), time.Millisecond)
	limiter.Acquire()
	limiter.Answered(now.Add(2*time.Minute), time.Millisecond)
	if limiter.Limit() != slots {
		t.Errorf("limit %d: the rejections counted a minute later", limiter.Limit())
	}
	if limiter.SetBound(6); limiter.Limit() != 6 {
		t.Errorf("limit %d at a server with 6 slots", limiter.Limit())
	}
}

// Guards against a limit that ignores a queue at a server that rejects nothing.
func TestBoundedLimitFollowsLatency(t *testing.T) {
	const slots = 24
	limiter := NewBoundedLimiter(slots)
	observe := func(from time.Time, latency time.Duration) {
		for i := range 100 {
			for range slots {
				limiter.Acquire()
			}
			for range slots {
				limiter.Answered(from.Add(time.Duration(i)*50*time.Millisecond), latency)
			}
		}
	}
	if observe(start, 25*time.Millisecond); limiter.Limit() != slots {
		t.Errorf("limit %d without a queue", limiter.Limit())
	}
	if observe(start.Add(10*time.Second), 200*time.Millisecond); limiter.Limit() > slots/2 {
		t.Errorf("limit %d at eight times the latency", limiter.Limit())
	}
}
