package clock

import (
	"testing"
	"time"
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
	if _, err := gap(); err != nil {
		t.Fatal(err)
	}
	Refresh()
	if slept := Refresh(); slept != 0 {
		t.Errorf("slept %v between two looks", slept)
	}
}
