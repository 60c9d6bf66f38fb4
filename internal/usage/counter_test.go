package usage

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const testWindowLength = 5 * time.Second

func at(seconds float64) time.Time { return time.Unix(0, int64(seconds*1e9)) }

func TestWindowsStartAtUnixEpoch(t *testing.T) {
	cases := []struct {
		at   float64
		want Window
	}{{0, 0}, {4.999, 0}, {5, 1}, {1767225600, 353445120}, {1767225604.9, 353445120}}
	for _, c := range cases {
		if got := WindowAt(at(c.at), testWindowLength); got != c.want {
			t.Errorf("%v s is in window %d", c.at, got)
		}
	}
	if got := Window(1).End(testWindowLength); !got.Equal(at(10)) {
		t.Errorf("window 1 ends at %v", got)
	}
}

func TestCounterKeepsBatchUntilAppended(t *testing.T) {
	counter := NewCounter("p", testWindowLength, time.Minute)
	if next, _ := counter.NextBatch(at(1)); next != nil || counter.Pending() {
		t.Errorf("nothing was counted: %+v", next)
	}
	counter.Add("b", at(6))
	counter.Add("a", at(1))
	counter.Add("a", at(2))
	first, _ := counter.NextBatch(at(7))
	want := &Batch{Process: "p", Sequence: 1, Counts: []Count{{0, "a", 2}, {1, "b", 1}}}
	if diff := cmp.Diff(want, first); diff != "" {
		t.Fatal(diff)
	}
	counter.Add("a", at(7))
	if again, _ := counter.NextBatch(at(8)); again != first {
		t.Errorf("another batch before the first one was appended: %+v", again)
	}
	counter.HandleAppended()
	second, _ := counter.NextBatch(at(9))
	if diff := cmp.Diff(&Batch{Process: "p", Sequence: 2, Counts: []Count{{1, "a", 1}}}, second); diff != "" {
		t.Error(diff)
	}
	counter.HandleAppended()
	if counter.Pending() {
		t.Error("counts are pending after all batches were appended")
	}
}

func TestExpiredCountsAreDropped(t *testing.T) {
	counter := NewCounter("p", testWindowLength, time.Minute)
	counter.Add("a", at(1))
	if batch, dropped := counter.NextBatch(at(64)); batch == nil || dropped != 0 {
		t.Fatalf("batch %+v, dropped %d", batch, dropped)
	}
	counter.Add("b", at(2))
	counter.Add("c", at(66))
	next, dropped := counter.NextBatch(at(66))
	if dropped != 2 || next == nil || next.Sequence != 2 || len(next.Counts) != 1 || next.Counts[0].Tenant != "c" {
		t.Errorf("dropped %d, next %+v", dropped, next)
	}
}

// A step of the machine's time of day does not move a Clock.
func TestClockIgnoresTimeOfDaySteps(t *testing.T) {
	clock := NewClock()
	reading := time.Now()
	if diff := clock.At(reading).Sub(reading.Round(0)); diff > time.Millisecond || diff < -time.Millisecond {
		t.Errorf("the clock is off by %v at its start", diff)
	}
	if got := clock.At(reading.Add(time.Hour)).Sub(clock.At(reading)); got != time.Hour {
		t.Errorf("an hour took %v", got)
	}
}
