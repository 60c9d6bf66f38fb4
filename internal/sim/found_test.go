package sim

import "testing"

// TestFoundSeeds repeats runs that once broke a property.
func TestFoundSeeds(t *testing.T) {
	runs := []struct {
		// found names the fault that the run showed.
		found    string
		scenario string
		seed     uint64
		schedule string
	}{
		{
			"a commit voided by the owner's own renewed claim was taken for appended", "arequipa/operators", 1274,
			"jitter:network@36.1s+3.9s,report_lag:engine-1@20.2s+500ms,swap_wrong:engine-9@28.6s+2.3s,cut_stream:engine-5@36.7s+8s,freeze:node-4@29.9s+10.2s,slow:bridge-1@35.1s+5.6s,freeze:engine-6@29s+13.2s",
		},
		{
			"the same, with the answers of appends lost", "medellin/operators", 1279,
			"replace:node-3@31.4s+400ms,crash:portal-2@30.7s+1.5s,truncate:portal-1@29s+1.7s,report_lag:engine-10@26.3s+15.4s,loss:network@28.9s+16.3s,stop:node-6@47.9s+7.4s,append_answer_lost:platform@46.3s+25.1s,refuse:engine-2@9.2s+5.4s",
		},
	}
	for _, r := range runs {
		t.Run(r.found, func(t *testing.T) {
			t.Parallel()
			trial{scenario: r.scenario, seed: r.seed, schedule: plan(r.schedule)}.holds(t)
		})
	}
}
