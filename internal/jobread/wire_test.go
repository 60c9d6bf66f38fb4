package jobread

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	job := "zero from builds without tenants, which name the job by JobID only and ignore this field"
	legacy := "empty from builds that name the job by Job only and ignore this field, and for a tenant's job"
	answered := "zero from nodes that do not report which job they looked up; their Absent verdicts are not accepted"
	wiretest.Check(t, []wiretest.Message{
		{Name: "results-question", Codec: wiretest.Gob, Value: ResultsRequest{}, Added: map[string]string{"Job": job, "JobID": legacy}},
		{Name: "results", Codec: wiretest.Gob, Value: Results{}, Added: map[string]string{"Job": answered}},
		{Name: "body-question", Codec: wiretest.Gob, Value: BodyRequest{}, Added: map[string]string{"Job": job, "JobID": legacy}},
		{Name: "body", Codec: wiretest.Gob, Value: Body{}, Added: map[string]string{"Job": answered}},
	})
}
