package storeproxy

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	wiretest.Check(t, []wiretest.Message{
		{Name: "question", Codec: wiretest.Gob, Value: ReadRequest{}, Added: map[string]string{
			"Topic": "zero, the operator's topic, from builds that read no other; other topics are read by a method that such builds do not have",
		}},
		{Name: "answer", Codec: wiretest.Gob, Value: ReadReply{}, Added: map[string]string{
			"Age": "zero from builds that do not send it: the store is taken to have been read just then",
		}},
		{Name: "outcome", Codec: wiretest.Gob, Value: Outcome{}},
		{Name: "addition", Codec: wiretest.Gob, Value: PutRequest{}},
	})
}
