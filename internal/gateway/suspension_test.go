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

// A request that was in progress when the machine was suspended was sent to another server after
// the resume, with the time left from before: deadlines were compared by a clock that stops during
// a suspension.
func TestDeadlinePassesDuringSuspension(t *testing.T) {
	const suspension = 5 * time.Second
	suspendedMeanwhile := func(context.Context, Attempt) (*Response, *SendError) {
		clock.AddSuspension(suspension)
		return nil, &SendError{Cause: errors.New("connection reset"), Sent: true}
	}
	defer clock.AddSuspension(-suspension)
	response, _, backend := serve(t, routetable.KindSafe, false, 2*time.Second, suspendedMeanwhile, respondWith(200, "ok"))
	if response.StatusCode != http.StatusGatewayTimeout || backend.attemptCount() != 1 {
		t.Errorf("status %d after %d attempts", response.StatusCode, backend.attemptCount())
	}
}
