package coordinator

import (
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/clock"
)

// Guards against jobs that count as older than they are after the coordinator's machine was suspended. The
// scheduler's clock is then ahead of the time of day, in which jobs state their time of acceptance.
func TestTimeOfAcceptanceIsOnTheSchedulerClock(t *testing.T) {
	clock.AddSuspension(5 * time.Second)
	defer clock.AddSuspension(-5 * time.Second)
	accepted := &batch.Job{ID: "j", AcceptedAt: clock.TimeOfDay().Add(-time.Second).UnixMilli()}
	before := accepted.AcceptedAt
	now := clock.Now()
	age := now.Sub(time.UnixMilli(onSchedulerClock(now, accepted).AcceptedAt))
	if age < 900*time.Millisecond || age > 3*time.Second {
		t.Errorf("job of a second ago is %v old", age)
	}
	if accepted.AcceptedAt != before {
		t.Error("the job that other readers share was changed")
	}
	if earlier := (&batch.Job{ID: "k"}); onSchedulerClock(now, earlier).AcceptedAt != 0 {
		t.Error("a job that an earlier build accepted has a time of acceptance")
	}
}
