package serverlist

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	wiretest.Check(t, []wiretest.Message{{Name: "list", Codec: wiretest.Gob, Value: relayRecord{}}})
}
