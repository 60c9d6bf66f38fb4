package command

import (
	"testing"
	"time"
)

func TestParseStartRelativeToNow(t *testing.T) {
	now := time.Date(2026, 12, 7, 8, 0, 0, 500, time.UTC)
	got, err := parseStart(now, "+1m")
	if want := time.Date(2026, 12, 7, 8, 1, 0, 0, time.UTC); err != nil || !got.Equal(want) {
		t.Errorf("got %v and %v, want %v", got, err, want)
	}
	if _, err := parseStart(now, "+60"); err == nil {
		t.Error("parseStart accepted an offset without a unit")
	}
}
