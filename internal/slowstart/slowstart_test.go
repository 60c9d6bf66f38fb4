package slowstart

import (
	"testing"
	"time"
)

func TestLimit(t *testing.T) {
	cases := []struct {
		name    string
		rate    float64
		slots   int
		warming bool
		want    int
	}{
		{"no rate", 0, 8, true, Unlimited},
		{"warming up", 7.9, 8, true, 7},
		{"warm, but possibly slow again", 7.9, 8, false, 15},
		{"at least one request", 0.4, 8, true, 1},
	}
	for _, c := range cases {
		if got := Limit(c.rate, c.slots, c.warming); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// No window contains more requests than the limit, whatever the arrival times are.
func TestNoWindowExceedsLimit(t *testing.T) {
	const limit = 7
	var window Window
	var sends []time.Time
	start := time.Unix(0, 0)
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(9 * time.Millisecond) {
		if window.Full(now, limit) {
			continue
		}
		window.Record(now)
		sends = append(sends, now)
	}
	for i := limit; i < len(sends); i++ {
		if sends[i].Sub(sends[i-limit]) < WindowLength {
			t.Fatalf("%d requests within %v", limit+1, sends[i].Sub(sends[i-limit]))
		}
	}
	if len(sends) < 10*limit {
		t.Errorf("%d requests in 10 s, though %d per second are allowed", len(sends), limit)
	}
}
