// Package pause waits without outliving a context.
package pause

import (
	"context"
	"time"
)

// For waits for a length of time. It returns false, early, when the context ends.
func For(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
