package pause

import (
	"context"
	"testing"
	"time"
)

func TestFor(t *testing.T) {
	if !For(context.Background(), time.Millisecond) || !For(context.Background(), 0) {
		t.Error("For returned false though its context was not done")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if For(ctx, time.Hour) || For(ctx, 0) {
		t.Error("For returned true though its context was done")
	}
}
