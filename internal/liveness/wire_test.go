package liveness

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	wiretest.Check(t, []wiretest.Message{
		{Name: "question", Codec: wiretest.Gob, Value: Request{}, Added: map[string]string{
			"From": "empty from builds that do not send their address; such nodes are not used as relays to the store",
		}},
		{Name: "answer", Codec: wiretest.Gob, Value: Answer{}},
		{Name: "handed-over", Codec: wiretest.Gob, Value: Handover{}, Added: map[string]string{
			"Whole": "false from builds that hand over only records they had not appended; the successor then reads the store as well",
		}},
	})
}
