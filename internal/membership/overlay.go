package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/cluster"
)

// globalRings is the number of rings that join the zones.
const globalRings = 2

// overlay is the graph of neighbours. Every node that knows the same members
// computes the same graph; its edges go both ways. It is the union of
//
//   - one ring inside each zone, and
//   - globalRings rings over all members in which the zones alternate, so that
//     the next node on a ring stands in another zone where there is one.
//
// Each ring has its own pseudo-random order, so the union has few hops between
// any two nodes, and a node has at most 2+2*globalRings neighbours.
type overlay struct {
	nodes []cluster.Node
	// position is each node's index in nodes.
	position map[cluster.NodeID]int
	edges    [][]int
}

// ringNode is a member on its way to a place in a ring.
type ringNode struct {
	index int
	zone  string
	// zoneOrder is the zone's pseudo-random place among the zones of this ring.
	zoneOrder uint64
	order     uint64
	// fraction is the place in the own zone's order, from 0 to 1.
	fraction float64
}

// newOverlay computes the graph over nodes, which are sorted by id.
func newOverlay(nodes []cluster.Node) *overlay {
	o := &overlay{
		nodes:    nodes,
		position: make(map[cluster.NodeID]int, len(nodes)),
		edges:    make([][]int, len(nodes)),
	}
	hashed := make([]hashedNode, len(nodes))
	for i, node := range nodes {
		o.position[node.ID] = i
		zone := string(node.Region) + "/" + string(node.Zone)
		hashed[i] = hashedNode{zone: zone, zoneHash: xxhash.Sum64String(zone), hash: xxhash.Sum64String(string(node.ID))}
	}
	for ring := range globalRings + 1 {
		members := ringMembers(hashed, uint64(ring))
		if ring == 0 {
			o.addZoneRings(members)
			continue
		}
		o.addRing(interleave(members))
	}
	for i := range o.edges {
		slices.Sort(o.edges[i])
		o.edges[i] = slices.Compact(o.edges[i])
	}
	return o
}

// hashedNode is what the order of a node in each ring is computed from.
type hashedNode struct {
	zone     string
	zoneHash uint64
	hash     uint64
}

// ringMembers returns all members sorted by zone and then by the ring's order.
func ringMembers(hashed []hashedNode, ring uint64) []ringNode {
	members := make([]ringNode, len(hashed))
	for i, node := range hashed {
		members[i] = ringNode{
			index:     i,
			zone:      node.zone,
			zoneOrder: mix(node.zoneHash + ring),
			order:     mix(node.hash + ring),
		}
	}
	slices.SortFunc(members, func(a, b ringNode) int {
		return cmp.Or(
			cmp.Compare(a.zoneOrder, b.zoneOrder),
			cmp.Compare(a.zone, b.zone),
			cmp.Compare(a.order, b.order),
			cmp.Compare(a.index, b.index),
		)
	})
	return members
}

// addZoneRings adds a ring for each zone.
func (o *overlay) addZoneRings(members []ringNode) {
	for len(members) > 0 {
		size := zoneSize(members)
		o.addRing(members[:size])
		members = members[size:]
	}
}

// interleave orders members that are sorted by zone so that zones alternate:
// by the place in the own zone's order, as a fraction of the zone's size.
func interleave(members []ringNode) []ringNode {
	for start := 0; start < len(members); {
		size := zoneSize(members[start:])
		for i := range size {
			members[start+i].fraction = (float64(i) + 0.5) / float64(size)
		}
		start += size
	}
	slices.SortStableFunc(members, func(a, b ringNode) int { return cmp.Compare(a.fraction, b.fraction) })
	return members
}

// zoneSize returns how many of the first members share a zone.
func zoneSize(members []ringNode) int {
	size := 1
	for size < len(members) && members[size].zone == members[0].zone {
		size++
	}
	return size
}

// addRing joins each member with the next one, and the last with the first.
func (o *overlay) addRing(members []ringNode) {
	for i, member := range members {
		next := members[(i+1)%len(members)]
		if next.index == member.index {
			continue
		}
		o.edges[member.index] = append(o.edges[member.index], next.index)
		o.edges[next.index] = append(o.edges[next.index], member.index)
	}
}

// neighbours returns a node's neighbours sorted by id, nil for an unknown node.
func (o *overlay) neighbours(id cluster.NodeID) []cluster.Node {
	at, known := o.position[id]
	if !known {
		return nil
	}
	nodes := make([]cluster.Node, len(o.edges[at]))
	for i, edge := range o.edges[at] {
		nodes[i] = o.nodes[edge]
	}
	return nodes
}

// mix is the finalizer of splitmix64: it turns neighbouring numbers into
// unrelated ones.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9
	value = (value ^ (value >> 27)) * 0x94d049bb133111eb
	return value ^ (value >> 31)
}
