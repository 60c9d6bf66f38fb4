package gateway

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"dalehook/internal/clock"
	"dalehook/internal/routetable"
)

// Seen: none; read in the code. A request that was under way when the machine was suspended was
// sent to another server afterwards, with the time that its caller had left before.
// Cause: deadlines were compared by a clock that stands still during a suspension.
func TestADeadlinePassesWhileTheMachineIsSuspended(t *testing.T) {
	const slept = 5 * time.Second
	suspendedMeanwhile := func(context.Context, Attempt) (*Answer, *SendError) {
		clock.NoteSuspended(slept)
		return nil, &SendError{Cause: errors.New("connection reset"), Sent: true}
	}
	defer clock.NoteSuspended(-slept)
	response, _, backend := serve(t, routetable.KindSafe, false, 2*time.Second, suspendedMeanwhile, whole(200, "ok"))
	if response.StatusCode != http.StatusGatewayTimeout || backend.count() != 1 {
		t.Errorf("status %d after %d attempts", response.StatusCode, backend.count())
	}
}
