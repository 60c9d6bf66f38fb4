package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "dalehook/internal/fixedseed"

	"dalehook/internal/cluster"
)

// evenView returns nodes spread evenly over zones, two zones per region.
func evenView(nodes, zones int) cluster.View {
	var view cluster.View
	for number := range nodes {
		zone := number % zones
		view.Members = append(view.Members, cluster.Node{
			ID:     cluster.NodeID(fmt.Sprintf("n%03d", number)),
			Zone:   cluster.ZoneName(fmt.Sprintf("z%d", zone)),
			Region: cluster.RegionName(fmt.Sprintf("r%d", zone/2)),
		})
	}
	return view
}

func TestGroupHasDistinctZonesAndSpansRegions(t *testing.T) {
	view := evenView(40, 4)
	for number := range 500 {
		group := Group(view, fmt.Sprint("key", number))
		zones, regions := map[cluster.ZoneName]bool{}, map[cluster.RegionName]bool{}
		for _, node := range group {
			zones[node.Zone] = true
			regions[node.Region] = true
		}
		if len(group) != 3 || len(zones) != 3 || len(regions) != 2 {
			t.Fatalf("key %d: %d members in %d zones and %d regions", number, len(group), len(zones), len(regions))
		}
	}
}

func TestGroupWithFewZonesOrNodes(t *testing.T) {
	for _, test := range []struct{ nodes, zones, members, distinctZones int }{
		{0, 1, 0, 0}, {1, 1, 1, 1}, {2, 2, 2, 2}, {5, 1, 3, 1}, {6, 2, 3, 2}, {3, 3, 3, 3},
	} {
		group := Group(evenView(test.nodes, test.zones), "key")
		zones, ids := map[cluster.ZoneName]bool{}, map[cluster.NodeID]bool{}
		for _, node := range group {
			zones[node.Zone] = true
			ids[node.ID] = true
		}
		if len(ids) != test.members || len(zones) != test.distinctZones {
			t.Errorf("%d nodes in %d zones: %d members in %d zones", test.nodes, test.zones, len(ids), len(zones))
		}
	}
}

func TestGroupsAreBalanced(t *testing.T) {
	view := evenView(40, 4)
	held := map[cluster.NodeID]int{}
	const keys = 20_000
	for number := range keys {
		for _, node := range Group(view, fmt.Sprint("key", number)) {
			held[node.ID]++
		}
	}
	mean := keys * GroupSize / len(view.Members)
	for _, node := range view.Members {
		if held[node.ID] < mean*85/100 || held[node.ID] > mean*115/100 {
			t.Errorf("%s holds %d keys, the mean is %d", node.ID, held[node.ID], mean)
		}
	}
}

func TestNodeLossMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := evenView(rapid.IntRange(4, 60).Draw(t, "nodes"), rapid.IntRange(1, 5).Draw(t, "zones"))
		lost := view.Members[rapid.IntRange(0, len(view.Members)-1).Draw(t, "lost")]
		rest := cluster.View{Members: slices.DeleteFunc(slices.Clone(view.Members), func(n cluster.Node) bool { return n.ID == lost.ID })}
		for number := range 50 {
			key := fmt.Sprint("key", number)
			before, after := Group(view, key), Group(rest, key)
			if !slices.Contains(before, lost) && !slices.Equal(before, after) {
				t.Fatalf("key %s moved from %v to %v though %s did not hold it", key, before, after, lost.ID)
			}
			owner, _ := Owner(view.Members, key)
			next, _ := Owner(rest.Members, key)
			if owner != lost && owner != next {
				t.Fatalf("the owner of key %s changed from %s to %s", key, owner.ID, next.ID)
			}
		}
	})
}

func TestSlotIsInRangeAndStable(t *testing.T) {
	if slot := Slot("a key"); slot != Slot("a key") || slot < 0 || slot >= SlotCount {
		t.Errorf("slot %d", slot)
	}
	if _, found := Owner(nil, "a key"); found {
		t.Error("Owner found a node in an empty list")
	}
}
