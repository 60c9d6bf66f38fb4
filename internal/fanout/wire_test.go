package fanout

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	wiretest.Check(t, []wiretest.Message{
		{Name: "question", Codec: wiretest.Gob, Value: Question{}},
		{Name: "answer", Codec: wiretest.Gob, Value: Answer{}},
	})
}
