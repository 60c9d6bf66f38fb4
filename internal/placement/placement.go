// Package placement maps keys to nodes by rendezvous hashing. Every node with the same view
// computes the same group, and when a view loses or gains a node, only the keys of that node move.
// All functions are pure.
package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/cluster"
)

// GroupSize is the number of replicas of a key.
const GroupSize = 3

// SlotCount is the number of slots that Slot distributes keys over.
const SlotCount = 4096

// Group returns the replicas of a key in the view, best first: up to GroupSize distinct nodes. It
// takes at most one node per zone while there are enough zones. After the first member it prefers
// a region that is not in the group yet, so that a group spans regions if the view does. In a view
// with fewer than GroupSize zones, several nodes may share a zone.
func Group(view cluster.View, key string) []cluster.Node {
	candidates := scoreAll(view.Members, key)
	group := make([]cluster.Node, 0, GroupSize)
	group = fillGroup(group, candidates, inNewRegion)
	group = fillGroup(group, candidates, inNewZone)
	return fillGroup(group, candidates, notInGroup)
}

// Owner returns the highest ranked node for a key. It returns false if there are no nodes.
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

// Score is the rendezvous weight of a holder for a key. The holder with the highest score wins.
func Score(holder, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(holder)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// candidate is a member with its score for a key.
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

// before reports whether c ranks before other: by descending score, then by ascending ID.
func (c candidate) before(other candidate) bool {
	if c.score != other.score {
		return c.score > other.score
	}
	return c.node.ID < other.node.ID
}

// fillGroup adds the best matching candidates to the group until it is full or none match.
// Scanning all candidates for each place is much cheaper than sorting them, as a group has few
// places.
func fillGroup(group []cluster.Node, candidates []candidate, fits func(group []cluster.Node, node *cluster.Node) bool) []cluster.Node {
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

// inNewRegion accepts a node whose region and zone are not in the group yet.
func inNewRegion(group []cluster.Node, node *cluster.Node) bool {
	return !slices.ContainsFunc(group, func(other cluster.Node) bool {
		return other.Region == node.Region || sameZone(other, *node)
	})
}

// inNewZone accepts a node whose zone is not in the group yet.
func inNewZone(group []cluster.Node, node *cluster.Node) bool {
	return !slices.ContainsFunc(group, func(other cluster.Node) bool { return sameZone(other, *node) })
}

// notInGroup accepts a node that is not in the group yet.
func notInGroup(group []cluster.Node, node *cluster.Node) bool {
	return !slices.ContainsFunc(group, func(other cluster.Node) bool { return other.ID == node.ID })
}

// sameZone reports whether two nodes are in the same zone, and therefore fail together with it.
func sameZone(a, b cluster.Node) bool { return a.Region == b.Region && a.Zone == b.Zone }
