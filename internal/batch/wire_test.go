package batch

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	tenant := "empty if callers need no keys, and in messages of builds without tenants"
	prompt := "the length of the prompt is unknown, and its memory is not counted"
	wiretest.Check(t, []wiretest.Message{
		{Name: "message", Codec: wiretest.JSON, Value: message{}, Added: map[string]string{
			"Job[].Tenant": tenant, "End[].Tenant": tenant, "Job[].Items[].Prompt": prompt,
			"Job[].AcceptedAt": "0 in jobs that earlier builds accepted: due times count from when the coordinator first reads the job; earlier builds ignore it",
		}},
		{Name: "progress", Codec: wiretest.JSON, Value: Progress{}, Added: map[string]string{"Tenant": tenant}},
	})
}
