// Package placement maps keys to nodes by rendezvous hashing: every node that
// holds the same view computes the same group, and a view that loses or gains
// one node moves only the keys of that node. All functions are pure.
package placement

import (
	"slices"

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
	candidates := scoreAll(view.Members, key)
	group := make([]cluster.Node, 0, GroupSize)
	group = take(group, candidates, newRegion)
	group = take(group, candidates, newZone)
	return take(group, candidates, newNode)
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

// candidate is a member with its score for one key.
type candidate struct {
	node  *cluster.Node
	score uint64
}

func scoreAll(members []cluster.Node, key string) []candidate {
	candidates := make([]candidate, len(members))
	for i := range members {
		candidates[i] = candidate{node: &members[i], score: Score(string(members[i].ID), key)}
	}
	return candidates
}

// before reports whether c ranks before other: by falling score, equal scores
// by id.
func (c candidate) before(other candidate) bool {
	if c.score != other.score {
		return c.score > other.score
	}
	return c.node.ID < other.node.ID
}

// take adds the best candidates that fit to the group, one after another, until
// it is full or none fits. A look at all of them for each place is much cheaper
// than to sort them, as a group has few places.
func take(group []cluster.Node, candidates []candidate, fits func(group []cluster.Node, node *cluster.Node) bool) []cluster.Node {
	for len(group) < GroupSize {
		best := -1
		for i, next := range candidates {
			if (best < 0 || next.before(candidates[best])) && fits(group, next.node) {
				best = i
			}
		}
		if best < 0 {
			return group
		}
		group = append(group, *candidates[best].node)
	}
	return group
}

// newRegion accepts a node whose region and zone the group does not have yet.
func newRegion(group []cluster.Node, node *cluster.Node) bool {
	return !slices.ContainsFunc(group, func(other cluster.Node) bool {
		return other.Region == node.Region || sameZone(other, *node)
	})
}

// newZone accepts a node whose zone the group does not have yet.
func newZone(group []cluster.Node, node *cluster.Node) bool {
	return !slices.ContainsFunc(group, func(other cluster.Node) bool { return sameZone(other, *node) })
}

// newNode accepts a node that is not in the group yet.
func newNode(group []cluster.Node, node *cluster.Node) bool {
	return !slices.ContainsFunc(group, func(other cluster.Node) bool { return other.ID == node.ID })
}

// sameZone reports whether two nodes fail together with their zone.
func sameZone(a, b cluster.Node) bool { return a.Region == b.Region && a.Zone == b.Zone }
