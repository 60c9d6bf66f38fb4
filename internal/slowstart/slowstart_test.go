package slowstart

import (
	"testing"
	"time"
)

func TestMost(t *testing.T) {
	cases := []struct {
		name    string
		rate    float64
		slots   int
		warming bool
		want    int
	}{
		{"no rate is told", 0, 8, true, Unbounded},
		{"it warms up", 7.9, 8, true, 7},
		{"it may have turned slow just now", 7.9, 8, false, 15},
		{"one request at least", 0.4, 8, true, 1},
	}
	for _, c := range cases {
		if got := Most(c.rate, c.slots, c.warming); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// However requests come, no span of a second holds more than may be sent.
func TestNoSecondHoldsMoreThanMayBeSent(t *testing.T) {
	const most = 7
	var window Window
	var sends []time.Time
	start := time.Unix(0, 0)
	for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(9 * time.Millisecond) {
		if window.Full(at, most) {
			continue
		}
		window.Sent(at)
		sends = append(sends, at)
	}
	for i := most; i < len(sends); i++ {
		if sends[i].Sub(sends[i-most]) < Span {
			t.Fatalf("%d requests within %v", most+1, sends[i].Sub(sends[i-most]))
		}
	}
	if len(sends) < 10*most {
		t.Errorf("%d requests in 10 s, though %d a second are borne", len(sends), most)
	}
}
