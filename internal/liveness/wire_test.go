package liveness

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	wiretest.Check(t, []wiretest.Message{
		{Name: "question", Codec: wiretest.Gob, Value: Question{}, Added: map[string]string{
			"From": "empty from builds that do not tell where they answer; they are not asked to read the store",
		}},
		{Name: "answer", Codec: wiretest.Gob, Value: Answer{}},
		{Name: "handed-over", Codec: wiretest.Gob, Value: Handover{}, Added: map[string]string{
			"Whole": "false from builds that hand over only what they had not appended; others read the store beside it",
		}},
	})
}
