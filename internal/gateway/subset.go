package gateway

import (
	"cmp"
	"slices"

	"dalehook/internal/directory"
	"dalehook/internal/placement"
)

const (
	// subsetSize is the number of servers of a service that a node sends to while they take requests. A
	// node of a large fleet sends a request every few seconds: over hundreds of servers it would
	// never meet a warm connection, nor learn how busy a server is. Two that leave of eight are no
	// loss.
	subsetSize = 8
	// subsetFrom is the number of servers from which on a node keeps to some of them.
	subsetFrom = 2 * subsetSize
)

// subsets keeps the servers of each service that this node sends to. It is not safe for concurrent use.
type subsets struct {
	// node and zone are the node's own.
	node, zone string
	kept       map[string]subset
}

type subset struct {
	// of is the list that the subset was chosen from.
	of []*directory.Server
	// ranked holds all of them in the order of this node's preference.
	ranked []*directory.Server
}

// of returns the servers of a service to send to, of those listed, and all of them in the order of this
// node's preference: those of its own zone by rendezvous hashing, then the others. Nodes choose
// apart, so that all servers get as much; a server that comes or goes changes the choice of the
// nodes that have it alone.
func (s *subsets) of(service string, listed []*directory.Server) (first, all []*directory.Server) {
	if len(listed) < subsetFrom {
		return listed, listed
	}
	known, ok := s.kept[service]
	if !ok || !sameList(known.of, listed) {
		known = subset{of: listed, ranked: s.rank(listed)}
		if s.kept == nil {
			s.kept = make(map[string]subset)
		}
		s.kept[service] = known
	}
	return known.ranked[:subsetSize], known.ranked
}

// sameList says whether two lists are one: lists are not changed once published.
func sameList(a, b []*directory.Server) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

func (s *subsets) rank(listed []*directory.Server) []*directory.Server {
	ranked := rendezvous(s.node, listed)
	// Servers that are equally near stay in their order.
	slices.SortStableFunc(ranked, func(a, b *directory.Server) int { return cmp.Compare(s.distance(a), s.distance(b)) })
	return ranked
}

// distance is 0 for servers of the node's own zone, and 1 for others.
func (s *subsets) distance(server *directory.Server) int {
	if server.Zone == s.zone {
		return 0
	}
	return 1
}

// rendezvous orders servers by rendezvous hashing for a key, in the same way wherever it is done.
func rendezvous(key string, servers []*directory.Server) []*directory.Server {
	type scored struct {
		server *directory.Server
		score  uint64
	}
	all := make([]scored, 0, len(servers))
	for _, server := range servers {
		all = append(all, scored{server, placement.Score(server.Address, key)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.server.ID, b.server.ID))
	})
	ranked := make([]*directory.Server, 0, len(servers))
	for _, one := range all {
		ranked = append(ranked, one.server)
	}
	return ranked
}
