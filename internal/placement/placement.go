// Package placement maps keys to nodes by rendezvous hashing: every node that
// holds the same view computes the same group, and a view that loses or gains
// one node moves only the keys of that node. All functions are pure.
package placement

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/cluster"
)

// GroupSize is the number of replicas of a key.
const GroupSize = 3

// SlotCount is the number of slots that Slot spreads keys over.
const SlotCount = 4096

// Group returns the replicas of a key in the view, best first: up to GroupSize
// distinct nodes. It takes one node a zone while there are zones enough, and
// prefers a region that the group does not have yet as soon as the first member
// is chosen, so that a group spans regions where the view does. A view with
// fewer than GroupSize zones gives distinct nodes instead.
func Group(view cluster.View, key string) []cluster.Node {
	ranked := rank(view.Members, key)
	group := make([]cluster.Node, 0, GroupSize)
	group = take(group, ranked, newRegion)
	group = take(group, ranked, newZone)
	return take(group, ranked, newNode)
}

// Owner returns the node that ranks highest for a key among nodes, and false
// when there is none.
func Owner(nodes []cluster.Node, key string) (cluster.Node, bool) {
	if len(nodes) == 0 {
		return cluster.Node{}, false
	}
	best := nodes[0]
	bestScore := Score(string(best.ID), key)
	for _, node := range nodes[1:] {
		score := Score(string(node.ID), key)
		if score > bestScore || score == bestScore && node.ID < best.ID {
			best, bestScore = node, score
		}
	}
	return best, true
}

// Slot returns the slot of a key, from 0 to SlotCount-1.
func Slot(key string) int { return int(xxhash.Sum64String(key) % SlotCount) }

// Score is the rendezvous weight of a holder for a key: the holder with the
// highest score wins.
func Score(holder, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(holder)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// rank sorts the members by falling score, equal scores by id.
func rank(members []cluster.Node, key string) []cluster.Node {
	type scored struct {
		node  cluster.Node
		score uint64
	}
	all := make([]scored, len(members))
	for i, node := range members {
		all[i] = scored{node: node, score: Score(string(node.ID), key)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.node.ID), string(b.node.ID))
	})
	nodes := make([]cluster.Node, len(all))
	for i, entry := range all {
		nodes[i] = entry.node
	}
	return nodes
}

// take adds the ranked nodes that fit to the group until it is full.
func take(group, ranked []cluster.Node, fits func(group []cluster.Node, node cluster.Node) bool) []cluster.Node {
	for _, node := range ranked {
		if len(group) == GroupSize {
			return group
		}
		if fits(group, node) {
			group = append(group, node)
		}
	}
	return group
}

// newRegion accepts a node whose region and zone the group does not have yet.
func newRegion(group []cluster.Node, node cluster.Node) bool {
	return !slices.ContainsFunc(group, func(other cluster.Node) bool {
		return other.Region == node.Region || sameZone(other, node)
	})
}

// newZone accepts a node whose zone the group does not have yet.
func newZone(group []cluster.Node, node cluster.Node) bool {
	return !slices.ContainsFunc(group, func(other cluster.Node) bool { return sameZone(other, node) })
}

// newNode accepts a node that is not in the group yet.
func newNode(group []cluster.Node, node cluster.Node) bool {
	return !slices.ContainsFunc(group, func(other cluster.Node) bool { return other.ID == node.ID })
}

// sameZone reports whether two nodes fail together with their zone.
func sameZone(a, b cluster.Node) bool { return a.Region == b.Region && a.Zone == b.Zone }
