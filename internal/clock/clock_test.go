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

func TestTimeAdvancesDuringSuspension(t *testing.T) {
	before := Now()
	ends := before.Add(time.Minute)
	AddSuspension(10 * time.Second)
	defer AddSuspension(-10 * time.Second)
	if age := Since(before); age < 10*time.Second || age > 20*time.Second {
		t.Errorf("age %v", age)
	}
	if left := Until(ends); left > 50*time.Second {
		t.Errorf("%v left", left)
	}
}

func TestDetectorFindsSuspensions(t *testing.T) {
	var d detector
	steps := []struct{ offset, suspension time.Duration }{
		{7 * time.Second, 0}, {7*time.Second + time.Millisecond, 0}, {7*time.Second - time.Millisecond, 0},
		{9 * time.Second, 2 * time.Second}, {9 * time.Second, 0}, {12 * time.Second, 3 * time.Second},
	}
	for number, step := range steps {
		if got := d.update(step.offset); got != step.suspension {
			t.Errorf("step %d: suspension %v, want %v", number, got, step.suspension)
		}
	}
}

func TestSystemClocksAreReadable(t *testing.T) {
	if _, err := suspensionOffset(readSystemClock); err != nil {
		t.Fatal(err)
	}
	Refresh()
	if suspension := Refresh(); suspension != 0 {
		t.Errorf("suspension of %v between two calls of Refresh", suspension)
	}
}

// A process that was delayed between its reads of the two clocks took the delay for a suspension,
// so that everything it knew looked older than it was, permanently: nothing bounded the time
// between the reads.
func TestDelayBetweenReadsIsNotASuspension(t *testing.T) {
	for delayed := range 4 {
		now, reads := time.Hour, 0
		read := func(number int32) (time.Duration, error) {
			if reads == delayed {
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
		for check := range 3 {
			offset, err := suspensionOffset(read)
			if err != nil {
				continue // an unknown offset is not a suspension
			}
			if suspension := d.update(offset); suspension != 0 {
				t.Errorf("delay before read %d: suspension of %v at check %d", delayed, suspension, check)
			}
		}
	}
}

// A suspension that another caller of Refresh detected first was not logged, since Watch compared
// the total with its value just before its own check.
func TestSuspensionFoundElsewhereIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		ctx, cancel := context.WithCancel(t.Context())
		var watching sync.WaitGroup
		watching.Go(func() { Watch(ctx, zap.New(core)) })
		time.Sleep(2 * watchInterval)
		AddSuspension(7 * time.Second)
		defer AddSuspension(-7 * time.Second)
		time.Sleep(2 * watchInterval)
		cancel()
		watching.Wait()
		if logged := logs.FilterMessage("machine was suspended").Len(); logged != 1 {
			t.Errorf("logged %d times", logged)
		}
	})
}
