package storeproxy

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	wiretest.Check(t, []wiretest.Message{
		{Name: "question", Codec: wiretest.Gob, Value: Question{}, Added: map[string]string{
			"Topic": "zero, the operator's, from builds that read no other; other topics have a call that such builds do not have",
		}},
		{Name: "answer", Codec: wiretest.Gob, Value: Answer{}, Added: map[string]string{
			"Age": "zero from builds that do not tell: the store was asked just then",
		}},
		{Name: "outcome", Codec: wiretest.Gob, Value: Outcome{}},
		{Name: "addition", Codec: wiretest.Gob, Value: Addition{}},
	})
}
