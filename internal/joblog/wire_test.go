package joblog

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	earlyEnd := "the entry tells of a job or an offset; earlier builds pass an entry of an early end over, as one without a job"
	wiretest.Check(t, []wiretest.Message{{Name: "index-entry", Codec: wiretest.JSON, Value: IndexEntry{}, Added: map[string]string{
		"EarlyEnd": earlyEnd, "EarlyEnd[]": earlyEnd, "EarlyEnd[].ID": earlyEnd,
		"EarlyEnd[].Tenant": "the end of a job without a tenant",
	}}})
}
