//go:build soakclock

package clock

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Programs that are built for the soak take a wrong time of day from their environment: the machine's clock is no
// test's to move.
const (
	// offsetsVariable holds durations, separated by commas, by which the time of day is ahead in turn.
	offsetsVariable = "DALEHOOK_SOAK_CLOCK_OFFSETS"
	// stepVariable holds the time between two steps from one to the next.
	stepVariable = "DALEHOOK_SOAK_CLOCK_STEP"
)

// wrongClock is a time of day that steps from one offset to the next.
type wrongClock struct {
	began   time.Time
	offsets []time.Duration
	step    time.Duration
}

var soakClock = sync.OnceValue(readWrongClock)

// readWrongClock returns what the environment asks for; a variable that can not be read ends the program.
func readWrongClock() wrongClock {
	wrong := wrongClock{began: time.Now(), step: time.Hour}
	for _, text := range strings.FieldsFunc(os.Getenv(offsetsVariable), func(r rune) bool { return r == ',' }) {
		wrong.offsets = append(wrong.offsets, mustParse(offsetsVariable, text))
	}
	if text := os.Getenv(stepVariable); text != "" {
		wrong.step = mustParse(stepVariable, text)
	}
	return wrong
}

func mustParse(variable, text string) time.Duration {
	length, err := time.ParseDuration(text)
	if err != nil {
		panic(fmt.Sprintf("read %s: %v", variable, err))
	}
	return length
}

func (w wrongClock) offset(now time.Time) time.Duration {
	if len(w.offsets) == 0 {
		return 0
	}
	return w.offsets[int(now.Sub(w.began)/w.step)%len(w.offsets)]
}

func timeOfDay() time.Time {
	now := time.Now()
	return now.Round(0).Add(soakClock().offset(now))
}
