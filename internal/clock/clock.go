// Package clock tells time that goes on while the machine is suspended.
//
// The time package measures by a clock that stands still during a suspension: what was read
// before looks as fresh afterwards, and a lease as valid. Ages, leases and deadlines are therefore
// measured by Now. Its times compare with each other only; they are ahead of time.Now by what was
// slept, so that a deadline becomes that of a context by way of Until.
package clock

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// suspended is the time that the machine was seen to be suspended, in nanoseconds.
var suspended atomic.Int64

// Now returns the time with the suspensions that were noted.
func Now() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }

// TimeOfDay returns the machine's time of day. It differs between machines and may step: it is for people and
// for what the outside names by a date, and no rule compares it with another machine's.
func TimeOfDay() time.Time { return timeOfDay() }

// Since returns the time since a moment that Now told.
func Since(moment time.Time) time.Duration { return Now().Sub(moment) }

// Until returns the time until a moment that was reckoned from one that Now told.
func Until(moment time.Time) time.Duration { return moment.Sub(Now()) }

// NoteSuspended adds to the time that the machine was suspended. Tests play suspensions by it.
func NoteSuspended(length time.Duration) { suspended.Add(int64(length)) }

// The watching for suspensions.
const (
	// watchInterval is the time between two looks, each of which wakes a resting node. What must not
	// act on an old belief looks by itself, with Refresh.
	watchInterval = 500 * time.Millisecond
	// shortest is the shortest suspension that is noted: two clocks are not read at once.
	shortest = 5 * time.Millisecond
)

// readClock reads a clock of the system by its number.
type readClock func(number int32) (time.Duration, error)

func readSystem(number int32) (time.Duration, error) {
	var at unix.Timespec
	err := unix.ClockGettime(number, &at)
	return time.Duration(at.Nano()), err
}

// gapTries bounds the reads of the clocks for one look: a busy machine may hold the process
// still between two of them.
const gapTries = 5

var errStoodStill = eris.New("the process stood still between the reads of the clocks")

// gap is by how much the clock that goes on is ahead of the one that does not, to within shortest.
// The reads of the one are taken right before and after that of the other, so that a stall
// between them is not taken for a suspension.
func gap(read readClock) (time.Duration, error) {
	for range gapTries {
		before, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		running, err := read(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		after, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		if after-before < shortest {
			return running - before, nil
		}
	}
	return 0, errStoodStill
}

// detector notes suspensions since it was made.
type detector struct {
	mutex sync.Mutex
	known bool
	last  time.Duration
}

// note takes the gap between the clocks and returns how long the machine was suspended since the
// last one.
func (d *detector) note(now time.Duration) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.known {
		d.known, d.last = true, now
		return 0
	}
	slept := now - d.last
	if slept < shortest {
		return 0
	}
	d.last = now
	return slept
}

var ofThisMachine detector

// Refresh notes a suspension that has just ended and returns its length, 0 for none.
func Refresh() time.Duration {
	now, err := gap(readSystem)
	if err != nil {
		return 0 // the next look tells; that the clocks can not be read at all is told by Watch
	}
	slept := ofThisMachine.note(now)
	if slept > 0 {
		NoteSuspended(slept)
	}
	return slept
}

// Watch notes suspensions until the context ends.
func Watch(ctx context.Context, logger *zap.Logger) {
	if _, err := gap(readSystem); err != nil && !errors.Is(err, errStoodStill) {
		logger.Error("suspensions of the machine are not seen", zap.Error(err))
		return
	}
	Refresh()
	logged := suspended.Load()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		Refresh()
		// Others look as well, and may have noted it before.
		if noted := suspended.Load(); noted > logged {
			logger.Warn("machine was suspended", zap.Duration("lasted", time.Duration(noted-logged)))
			logged = noted
		}
	}
}
