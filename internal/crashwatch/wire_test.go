package crashwatch

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	wiretest.Check(t, []wiretest.Message{
		{Name: "end", Codec: wiretest.Gob, Value: endRecord{}, Added: map[string]string{
			"Age": "0 from builds that do not tell it: the end was seen at some time before it is read; they go by At, and leave Age unread",
		}},
		{Name: "cases", Codec: wiretest.Gob, Value: CasesReply{}},
		{Name: "release-request", Codec: wiretest.Gob, Value: ReleaseRequest{}},
		{Name: "released", Codec: wiretest.Gob, Value: ReleaseReply{}},
	})
}
