package batch

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestProgressFoldJoinsOnlyConsecutiveRecords(t *testing.T) {
	first := Progress{ItemID: "i", Run: "a", Checkpoint: true, LastID: "2", Text: "1\n2", Versions: []int64{1}}
	next := Progress{ItemID: "i", Run: "a", From: "2", LastID: "3", Text: "3", Versions: []int64{2}}
	resumed := Progress{ItemID: "i", Run: "b", Checkpoint: true, LastID: "4", Text: "1\n2\n3\n4", Versions: []int64{1, 2}}
	both := &Partial{Run: "a", LastID: "3", Text: []string{"1\n2", "3"}, Versions: []int64{1, 2}}
	cases := []struct {
		name    string
		records []Progress
		want    *Partial
	}{
		{"one run", []Progress{first, next}, both},
		{"repeated append", []Progress{first, next, next}, both},
		{"checkpoint of another run", []Progress{first, next, resumed},
			&Partial{Run: "b", LastID: "4", Text: []string{"1\n2\n3\n4"}, Versions: []int64{1, 2}}},
		{"checkpoint after a trimmed start", []Progress{next, resumed},
			&Partial{Run: "b", LastID: "4", Text: []string{"1\n2\n3\n4"}, Versions: []int64{1, 2}}},
		{"previous run after a checkpoint of another", []Progress{first, resumed, next},
			&Partial{Run: "b", LastID: "4", Text: []string{"1\n2\n3\n4"}, Versions: []int64{1, 2}}},
		{"another run at the same position", []Progress{first, {ItemID: "i", Run: "b", From: "2", LastID: "3", Text: "x"}},
			&Partial{Run: "a", LastID: "2", Text: []string{"1\n2"}, Versions: []int64{1}}},
		{"gap in the run", []Progress{first, {ItemID: "i", Run: "a", From: "3", LastID: "4", Text: "4"}},
			&Partial{Run: "a", LastID: "2", Text: []string{"1\n2"}, Versions: []int64{1}}},
		{"new run from the start", []Progress{first, next, {ItemID: "i", Run: "c", Checkpoint: true, LastID: "1", Text: "1", Versions: []int64{3}}},
			&Partial{Run: "c", LastID: "1", Text: []string{"1"}, Versions: []int64{3}}},
		{"continuation of a run with a trimmed start", []Progress{next}, nil},
	}
	for _, c := range cases {
		fold := NewProgressFold()
		for i := range c.records {
			record, err := EncodeProgress(&c.records[i])
			if err != nil {
				t.Fatal(err)
			}
			if err := fold.Apply(record); err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff(c.want, fold.Partials()["i"]); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
