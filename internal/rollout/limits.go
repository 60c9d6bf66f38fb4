package rollout

import "time"

// Limits bound the time and the memory that a Machine uses.
type Limits struct {
	// PostTimeout is how long a post waits before it is answered with an unknown
	// outcome.
	PostTimeout time.Duration
}
