package crashwatch

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	wiretest.Check(t, []wiretest.Message{
		{Name: "end", Codec: wiretest.Gob, Value: endRecord{}, Added: map[string]string{
			"Age": "0 in records of older builds: the end precedes the read of its record; older builds use At and ignore Age",
		}},
		{Name: "cases", Codec: wiretest.Gob, Value: CasesReply{}},
		{Name: "release-request", Codec: wiretest.Gob, Value: ReleaseRequest{}},
		{Name: "released", Codec: wiretest.Gob, Value: ReleaseReply{}},
	})
}
