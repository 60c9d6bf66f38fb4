package placement

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dalehook/internal/cluster"
)

func drawView(t *rapid.T) cluster.View {
	var view cluster.View
	regions, zones := rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(1, 5).Draw(t, "zones")
	for i := range rapid.IntRange(0, 12).Draw(t, "members") {
		view.Members = append(view.Members, cluster.Node{
			ID:     cluster.NodeID(fmt.Sprintf("node-%02d", i)),
			Region: cluster.RegionName(fmt.Sprintf("r%d", rapid.IntRange(1, regions).Draw(t, "region"))),
			Zone:   cluster.ZoneName(fmt.Sprintf("z%d", rapid.IntRange(1, zones).Draw(t, "zone"))),
		})
	}
	return view
}

// referenceGroup is the definition of Group: for each rule, go through the ranked members and take
// those that match.
func referenceGroup(view cluster.View, key string) []cluster.Node {
	ranked := slices.SortedFunc(slices.Values(view.Members), func(a, b cluster.Node) int {
		return cmp.Or(cmp.Compare(Score(string(b.ID), key), Score(string(a.ID), key)), cmp.Compare(a.ID, b.ID))
	})
	var group []cluster.Node
	for _, fits := range []func([]cluster.Node, *cluster.Node) bool{inNewRegion, inNewZone, notInGroup} {
		for _, node := range ranked {
			if len(group) < GroupSize && fits(group, &node) {
				group = append(group, node)
			}
		}
	}
	return group
}

func TestGroupMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view, key := drawView(t), rapid.String().Draw(t, "key")
		if got, want := Group(view, key), referenceGroup(view, key); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func BenchmarkGroup(b *testing.B) {
	var view cluster.View
	for i := range 340 {
		view.Members = append(view.Members, cluster.Node{
			ID:     cluster.NodeID(fmt.Sprintf("node-%03d", i)),
			Zone:   cluster.ZoneName(fmt.Sprintf("z%d", i%4)),
			Region: cluster.RegionName(fmt.Sprintf("r%d", i%2)),
		})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		Group(view, fmt.Sprintf("slot/%d", i%256))
	}
}
