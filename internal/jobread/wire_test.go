package jobread

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	job := "zero from builds that know no tenants, which name the job by JobID alone; such builds leave it unread"
	legacy := "empty from builds that name the job by Job alone, and for a tenant's job; such builds leave it unread"
	answered := "zero from nodes that do not tell which job they looked for: that it is absent is not believed from them"
	wiretest.Check(t, []wiretest.Message{
		{Name: "results-question", Codec: wiretest.Gob, Value: ResultsQuestion{}, Added: map[string]string{"Job": job, "JobID": legacy}},
		{Name: "results", Codec: wiretest.Gob, Value: Results{}, Added: map[string]string{"Job": answered}},
		{Name: "body-question", Codec: wiretest.Gob, Value: BodyQuestion{}, Added: map[string]string{"Job": job, "JobID": legacy}},
		{Name: "body", Codec: wiretest.Gob, Value: Body{}, Added: map[string]string{"Job": answered}},
	})
}
