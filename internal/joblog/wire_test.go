package joblog

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	wiretest.Check(t, []wiretest.Message{{Name: "index-entry", Codec: wiretest.JSON, Value: IndexEntry{}}})
}
