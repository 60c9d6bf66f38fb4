package usage

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	wiretest.Check(t, []wiretest.Message{
		{Name: "append-question", Codec: wiretest.Gob, Value: AppendRequest{}},
		{Name: "record", Codec: wiretest.JSON, Value: record{}},
	})
}
