package clock

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sys/unix"
)

func TestTimeGoesOnWhileSuspended(t *testing.T) {
	before := Now()
	ends := before.Add(time.Minute)
	NoteSuspended(10 * time.Second)
	defer NoteSuspended(-10 * time.Second)
	if age := Since(before); age < 10*time.Second || age > 20*time.Second {
		t.Errorf("age %v", age)
	}
	if left := Until(ends); left > 50*time.Second {
		t.Errorf("%v left", left)
	}
}

func TestSuspensionsAreSeenByTheGapOfTheClocks(t *testing.T) {
	var d detector
	steps := []struct{ gap, slept time.Duration }{
		{7 * time.Second, 0}, {7*time.Second + time.Millisecond, 0}, {7*time.Second - time.Millisecond, 0},
		{9 * time.Second, 2 * time.Second}, {9 * time.Second, 0}, {12 * time.Second, 3 * time.Second},
	}
	for number, step := range steps {
		if got := d.note(step.gap); got != step.slept {
			t.Errorf("step %d: slept %v instead of %v", number, got, step.slept)
		}
	}
}

func TestTheClocksAreRead(t *testing.T) {
	if _, err := gap(readSystem); err != nil {
		t.Fatal(err)
	}
	Refresh()
	if slept := Refresh(); slept != 0 {
		t.Errorf("slept %v between two looks", slept)
	}
}

// Seen: none; read in the code. A process that was held still between its reads of the two clocks took
// that for a suspension, and what it knew for older than it was, for good.
// Cause: the clock that goes on was read after the other, without a look at what passed between.
func TestAStallBetweenTheReadsIsNoSuspension(t *testing.T) {
	for stalled := range 4 {
		now, reads := time.Hour, 0
		read := func(number int32) (time.Duration, error) {
			if reads == stalled {
				now += 3 * time.Second
			}
			reads++
			now += time.Microsecond
			if number == unix.CLOCK_BOOTTIME {
				return now + time.Minute, nil
			}
			return now, nil
		}
		var d detector
		for look := range 3 {
			seen, err := gap(read)
			if err != nil {
				continue // not known is no suspension
			}
			if slept := d.note(seen); slept != 0 {
				t.Errorf("stalled at read %d: slept %v at look %d", stalled, slept, look)
			}
		}
	}
}

// Seen: none; read in the code. A suspension that an order or an election noticed first was never
// logged.
// Cause: the watch compared with what was known just before its own look.
func TestASuspensionIsLoggedWhoeverNoticedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		ctx, cancel := context.WithCancel(t.Context())
		var watching sync.WaitGroup
		watching.Go(func() { Watch(ctx, zap.New(core)) })
		time.Sleep(2 * watchInterval)
		NoteSuspended(7 * time.Second)
		defer NoteSuspended(-7 * time.Second)
		time.Sleep(2 * watchInterval)
		cancel()
		watching.Wait()
		if logged := logs.FilterMessage("machine was suspended").Len(); logged != 1 {
			t.Errorf("logged %d times", logged)
		}
	})
}
