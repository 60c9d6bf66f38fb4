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

// answerTo returns what a node should hand over for a sample, all of it made by
// one version.
func answerTo(sample record.Sample, version cluster.Version) machine.SampleView {
	tokens := standin.CompletionLength(sample.Prompt, sample.MaxTokens)
	return machine.SampleView{
		ID:       sample.ID,
		Text:     standin.CompletionText(sample.Prompt, 0, tokens),
		Versions: []record.Segment{{Version: version, FromToken: 0, ToToken: tokens}},
	}
}

func TestLedgerFindsWhatIsWrong(t *testing.T) {
	samples := []record.Sample{
		{ID: "a", Prompt: "first", MaxTokens: 100},
		{ID: "b", Prompt: "second", MaxTokens: 100},
	}
	good := func() []machine.SampleView {
		return []machine.SampleView{answerTo(samples[0], 3), answerTo(samples[1], 2)}
	}
	tests := []struct {
		name   string
		change func([]machine.SampleView) []machine.SampleView
		want   SampleCounts
	}{
		{
			name:   "all as it should be",
			change: func(views []machine.SampleView) []machine.SampleView { return views },
			want:   SampleCounts{Steps: 1, Samples: 2, Delivered: 2},
		},
		{
			name:   "lost",
			change: func(views []machine.SampleView) []machine.SampleView { return views[:1] },
			want:   SampleCounts{Steps: 1, Samples: 2, Delivered: 1, Lost: 1},
		},
		{
			name:   "doubled",
			change: func(views []machine.SampleView) []machine.SampleView { return append(views, views[0]) },
			want:   SampleCounts{Steps: 1, Samples: 2, Delivered: 2, Duplicated: 1},
		},
		{
			name: "stale by its oldest segment",
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
				Faults: []string{"step s: sample a: its text is not the whole answer to its prompt"}},
		},
		{
			name: "gap between segments",
			change: func(views []machine.SampleView) []machine.SampleView {
				views[0].Versions[0].FromToken = 1
				return views
			},
			want: SampleCounts{Steps: 1, Samples: 2, Delivered: 1, Lost: 1,
				Faults: []string{fmt.Sprintf("step s: sample a: broken version segments [{3 1 %d}]", standin.CompletionLength("first", 100))}},
		},
		{
			name: "never posted",
			change: func(views []machine.SampleView) []machine.SampleView {
				return append(views, machine.SampleView{ID: "z"})
			},
			want: SampleCounts{Steps: 1, Samples: 2, Delivered: 2, Faults: []string{"step s: sample z was never posted"}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := NewLedger()
			ledger.Posted(client.Step{Step: "s", Samples: samples}, 1)
			ledger.Announced(3)
			ledger.Took("s", ledger.Newest(), test.change(good()))
			if diff := cmp.Diff(test.want, ledger.Counts()); diff != "" {
				t.Errorf("counts differ (-want +got):\n%s", diff)
			}
		})
	}
}
