package idempotency

import (
	"slices"
	"strconv"

	"dalehook/internal/cluster"
	"dalehook/internal/placement"
)

// SlotCount is the number of groups that keys are spread over. Markers are taken
// over from view to view by slot.
const SlotCount = 256

// slotOf returns the slot of a key.
func slotOf(key string) int { return placement.Slot(key) % SlotCount }

// groupOf returns the replicas of a slot in a view.
func groupOf(view cluster.View, slot int) []cluster.Node {
	return placement.Group(view, "idempotency/"+strconv.Itoa(slot))
}

// majority returns the least number of members that any two majorities share one of.
func majority(group []cluster.Node) int { return len(group)/2 + 1 }

// indexOf finds a process in a group. A process with the same name and another
// incarnation is another member.
func indexOf(group []cluster.Node, id cluster.NodeID, incarnation cluster.Incarnation) int {
	return slices.IndexFunc(group, func(node cluster.Node) bool {
		return node.ID == id && node.Incarnation == incarnation
	})
}

// sameGroup reports whether two groups have the same members.
func sameGroup(a, b []cluster.Node) bool {
	if len(a) != len(b) {
		return false
	}
	return !slices.ContainsFunc(a, func(node cluster.Node) bool {
		return indexOf(b, node.ID, node.Incarnation) < 0
	})
}

// groupCache keeps the groups of the newest view that was asked for. Finding a
// group ranks all members of the view.
type groupCache struct {
	number uint64
	groups [SlotCount][]cluster.Node
}

// group returns the replicas of a slot in a view.
func (c *groupCache) group(view cluster.View, slot int) []cluster.Node {
	if view.Number < c.number {
		return groupOf(view, slot)
	}
	if view.Number > c.number {
		c.number = view.Number
		clear(c.groups[:])
	}
	if c.groups[slot] == nil {
		c.groups[slot] = groupOf(view, slot)
	}
	return c.groups[slot]
}
