package traffic

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/client"
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/standin"
)

// newSampleView returns the valid view of a sample, produced entirely by one
// version.
func newSampleView(sample record.Sample, version cluster.Version) machine.SampleView {
	tokens := standin.CompletionLength(sample.Prompt, sample.MaxTokens)
	return machine.SampleView{
		ID:       sample.ID,
		Text:     standin.CompletionText(sample.Prompt, 0, tokens),
		Versions: []record.Segment{{Version: version, FromToken: 0, ToToken: tokens}},
	}
}

func TestLedgerDetectsInvalidSamples(t *testing.T) {
	samples := []record.Sample{
		{ID: "a", Prompt: "first", MaxTokens: 100},
		{ID: "b", Prompt: "second", MaxTokens: 100},
	}
	valid := func() []machine.SampleView {
		return []machine.SampleView{newSampleView(samples[0], 3), newSampleView(samples[1], 2)}
	}
	tests := []struct {
		name   string
		change func([]machine.SampleView) []machine.SampleView
		want   SampleCounts
	}{
		{
			name:   "valid",
			change: func(views []machine.SampleView) []machine.SampleView { return views },
			want:   SampleCounts{Steps: 1, Samples: 2, Delivered: 2},
		},
		{
			name:   "lost",
			change: func(views []machine.SampleView) []machine.SampleView { return views[:1] },
			want:   SampleCounts{Steps: 1, Samples: 2, Delivered: 1, Lost: 1},
		},
		{
			name:   "duplicated",
			change: func(views []machine.SampleView) []machine.SampleView { return append(views, views[0]) },
			want:   SampleCounts{Steps: 1, Samples: 2, Delivered: 2, Duplicated: 1},
		},
		{
			name: "oldest segment is stale",
			change: func(views []machine.SampleView) []machine.SampleView {
				whole := views[0].Versions[0]
				views[0].Versions = []record.Segment{
					{Version: 1, FromToken: 0, ToToken: 4},
					{Version: 3, FromToken: 4, ToToken: whole.ToToken},
				}
				return views
			},
			want: SampleCounts{Steps: 1, Samples: 2, Delivered: 2, Stale: 1},
		},
		{
			name: "text of another prompt",
			change: func(views []machine.SampleView) []machine.SampleView {
				views[0].Text = views[1].Text
				return views
			},
			want: SampleCounts{Steps: 1, Samples: 2, Delivered: 1, Lost: 1,
				Errors: []string{"step s: sample a: its text is not the whole answer to its prompt"}},
		},
		{
			name: "gap between segments",
			change: func(views []machine.SampleView) []machine.SampleView {
				views[0].Versions[0].FromToken = 1
				return views
			},
			want: SampleCounts{Steps: 1, Samples: 2, Delivered: 1, Lost: 1,
				Errors: []string{fmt.Sprintf("step s: sample a: broken version segments [{3 1 %d}]", standin.CompletionLength("first", 100))}},
		},
		{
			name: "never posted",
			change: func(views []machine.SampleView) []machine.SampleView {
				return append(views, machine.SampleView{ID: "z"})
			},
			want: SampleCounts{Steps: 1, Samples: 2, Delivered: 2, Errors: []string{"step s: sample z was never posted"}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := NewLedger()
			ledger.RecordStep(client.Step{ID: "s", Samples: samples}, 1)
			ledger.RecordAnnouncement(3)
			ledger.RecordReceived("s", ledger.NewestVersion(), test.change(valid()))
			if diff := cmp.Diff(test.want, ledger.Counts()); diff != "" {
				t.Errorf("counts differ (-want +got):\n%s", diff)
			}
		})
	}
}
