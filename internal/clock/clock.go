// Package clock provides a clock that advances while the machine is suspended.
//
// The time package measures intervals with a clock that stops during a suspension: data read before
// it would still look fresh afterwards, and a lease valid. Ages, leases and deadlines are therefore
// measured with Now. Its times are comparable only with each other: they are ahead of time.Now by
// the total time suspended. Use Until to turn a deadline into that of a context.
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

// totalSuspended is the total time that the machine has been suspended, in nanoseconds.
var totalSuspended atomic.Int64

// Now returns the current time, including the suspensions detected so far.
func Now() time.Time { return time.Now().Add(time.Duration(totalSuspended.Load())) }

// TimeOfDay returns the machine's time of day. It differs between machines and may step. It is for
// display and for external interfaces that use dates; it must not be compared with another
// machine's.
func TimeOfDay() time.Time { return timeOfDay() }

// Since returns the time since a moment returned by Now.
func Since(moment time.Time) time.Duration { return Now().Sub(moment) }

// Until returns the time until a moment derived from Now.
func Until(moment time.Time) time.Duration { return moment.Sub(Now()) }

// AddSuspension adds a suspension to the total. Tests use it to simulate suspensions.
func AddSuspension(duration time.Duration) { totalSuspended.Add(int64(duration)) }

// Parameters of the detection of suspensions.
const (
	// watchInterval is the time between two checks, each of which wakes an idle node. Code that
	// must not act on stale state calls Refresh itself.
	watchInterval = 500 * time.Millisecond
	// minSuspension is the shortest suspension that is detected, since the two clocks can't be read
	// at the same instant.
	minSuspension = 5 * time.Millisecond
)

// clockReader reads a system clock by its id.
type clockReader func(number int32) (time.Duration, error)

func readSystemClock(number int32) (time.Duration, error) {
	var at unix.Timespec
	err := unix.ClockGettime(number, &at)
	return time.Duration(at.Nano()), err
}

// maxClockReads bounds the attempts to read the clocks together: on a busy machine the process may
// be delayed between two reads.
const maxClockReads = 5

var errReadsDelayed = eris.New("process delayed between clock reads")

// suspensionOffset returns how far CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC, which stops during
// suspensions; the error is less than minSuspension. The monotonic clock is read before and after
// the other one, so that a delay between the reads is not taken for a suspension.
func suspensionOffset(read clockReader) (time.Duration, error) {
	for range maxClockReads {
		before, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		boottime, err := read(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		after, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		if after-before < minSuspension {
			return boottime - before, nil
		}
	}
	return 0, errReadsDelayed
}

// detector detects suspensions from changes of the offset between the clocks.
type detector struct {
	mutex       sync.Mutex
	initialized bool
	lastOffset  time.Duration
}

// update takes the current offset between the clocks and returns the length of the suspension since
// the last update; 0 for none.
func (d *detector) update(offset time.Duration) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.initialized {
		d.initialized, d.lastOffset = true, offset
		return 0
	}
	suspension := offset - d.lastOffset
	if suspension < minSuspension {
		return 0
	}
	d.lastOffset = offset
	return suspension
}

var systemDetector detector

// Refresh detects a suspension that has just ended and returns its length; 0 for none.
func Refresh() time.Duration {
	offset, err := suspensionOffset(readSystemClock)
	if err != nil {
		return 0 // the next call detects it; Watch logs permanent errors
	}
	suspension := systemDetector.update(offset)
	if suspension > 0 {
		AddSuspension(suspension)
	}
	return suspension
}

// Watch detects and logs suspensions until the context ends.
func Watch(ctx context.Context, logger *zap.Logger) {
	if _, err := suspensionOffset(readSystemClock); err != nil && !errors.Is(err, errReadsDelayed) {
		logger.Error("suspensions of the machine cannot be detected", zap.Error(err))
		return
	}
	Refresh()
	logged := totalSuspended.Load()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		Refresh()
		// Other callers of Refresh may have detected the suspension first.
		if total := totalSuspended.Load(); total > logged {
			logger.Warn("machine was suspended", zap.Duration("lasted", time.Duration(total-logged)))
			logged = total
		}
	}
}
