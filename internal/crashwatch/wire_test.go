package crashwatch

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	wiretest.Check(t, []wiretest.Message{
		{Name: "end", Codec: wiretest.Gob, Value: endRecord{}},
		{Name: "cases", Codec: wiretest.Gob, Value: CaseList{}},
		{Name: "release-request", Codec: wiretest.Gob, Value: ReleaseRequest{}},
		{Name: "released", Codec: wiretest.Gob, Value: Released{}},
	})
}
