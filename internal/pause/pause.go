// Package pause provides a sleep that ends with its context.
package pause

import (
	"context"
	"time"
)

// For sleeps for the given duration. It returns false, without waiting further, if the context is
// done.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
