//go:build soakclock

package clock

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Builds for the soak test take offsets of the time of day from the environment, since a test must
// not change the machine's clock.
const (
	// offsetsVariable holds comma-separated durations by which the time of day is ahead, used in
	// turn.
	offsetsVariable = "DALEHOOK_SOAK_CLOCK_OFFSETS"
	// stepVariable holds the time between steps from one offset to the next.
	stepVariable = "DALEHOOK_SOAK_CLOCK_STEP"
)

// offsetClock is a time of day that steps from one offset to the next.
type offsetClock struct {
	start   time.Time
	offsets []time.Duration
	step    time.Duration
}

var soakClock = sync.OnceValue(readOffsetClock)

// readOffsetClock returns the clock that the environment specifies; it panics if a variable is
// malformed.
func readOffsetClock() offsetClock {
	clock := offsetClock{start: time.Now(), step: time.Hour}
	for _, value := range strings.FieldsFunc(os.Getenv(offsetsVariable), func(r rune) bool { return r == ',' }) {
		clock.offsets = append(clock.offsets, mustParse(offsetsVariable, value))
	}
	if value := os.Getenv(stepVariable); value != "" {
		clock.step = mustParse(stepVariable, value)
	}
	return clock
}

func mustParse(variable, value string) time.Duration {
	duration, err := time.ParseDuration(value)
	if err != nil {
		panic(fmt.Sprintf("read %s: %v", variable, err))
	}
	return duration
}

func (c offsetClock) offset(now time.Time) time.Duration {
	if len(c.offsets) == 0 {
		return 0
	}
	return c.offsets[int(now.Sub(c.start)/c.step)%len(c.offsets)]
}

func timeOfDay() time.Time {
	now := time.Now()
	return now.Round(0).Add(soakClock().offset(now))
}
