package rollout

import (
	"testing"
	"time"

	"dalehook/internal/routing"
)

func TestAwaitsReports(t *testing.T) {
	known, unknown := routing.Engine{ID: "e1", Model: testModel}, routing.Engine{ID: "e2", Unreported: true}
	gone := routing.Engine{ID: "e3", Unreported: true, Leaving: true}
	silent := routing.Engine{ID: "e4"}
	cases := []struct {
		name    string
		engines []routing.Engine
		owned   time.Duration
		want    bool
	}{
		{"all known", []routing.Engine{known, known}, 0, false},
		{"one unknown", []routing.Engine{known, unknown}, 0, true},
		{"one unknown for too long", []routing.Engine{known, unknown}, reportGrace, false},
		{"the unknown one leaves", []routing.Engine{known, gone}, 0, false},
		{"one has not said anything yet", []routing.Engine{known, silent}, 0, true},
		{"no engine", nil, 0, false},
	}
	for _, c := range cases {
		if got := awaitsReports(c.engines, c.owned); got != c.want {
			t.Errorf("%s: waits %v, want %v", c.name, got, c.want)
		}
	}
}
