package gateway

import (
	"cmp"
	"slices"

	"dalehook/internal/directory"
	"dalehook/internal/placement"
)

const (
	// subsetSize is the number of servers of a service that a node sends to while they accept
	// requests. A node of a large fleet sends a request every few seconds: spread over hundreds of
	// servers it would never reuse a connection or learn the load of a server. Eight tolerate the
	// loss of two.
	subsetSize = 8
	// minServersForSubset is the size of a service from which on nodes use a subset.
	minServersForSubset = 2 * subsetSize
)

// subsets holds the servers of each service that this node sends to. It is not safe for concurrent
// use.
type subsets struct {
	// node and zone are those of this node.
	node, zone string
	byService  map[string]subset
}

type subset struct {
	// source is the list that the subset was chosen from.
	source []*directory.Server
	// ranked holds all servers in this node's order of preference.
	ranked []*directory.Server
}

// preferred returns the subset of the listed servers to send to, and all of them in this node's
// order of preference: its own zone first, each zone group by rendezvous hashing. Each node ranks
// independently, which spreads load over all servers; adding or removing a server changes only the
// subsets that contain it.
func (s *subsets) preferred(service string, listed []*directory.Server) (selected, all []*directory.Server) {
	if len(listed) < minServersForSubset {
		return listed, listed
	}
	cached, ok := s.byService[service]
	if !ok || !isSameSlice(cached.source, listed) {
		cached = subset{source: listed, ranked: s.rank(listed)}
		if s.byService == nil {
			s.byService = make(map[string]subset)
		}
		s.byService[service] = cached
	}
	return cached.ranked[:subsetSize], cached.ranked
}

// isSameSlice reports whether two slices are identical: published lists are immutable.
func isSameSlice(a, b []*directory.Server) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

func (s *subsets) rank(listed []*directory.Server) []*directory.Server {
	ranked := rankByRendezvous(s.node, listed)
	// A stable sort keeps the hash order within each distance.
	slices.SortStableFunc(ranked, func(a, b *directory.Server) int { return cmp.Compare(s.zoneDistance(a), s.zoneDistance(b)) })
	return ranked
}

// zoneDistance is 0 for servers of the node's own zone and 1 for others.
func (s *subsets) zoneDistance(server *directory.Server) int {
	if server.Zone == s.zone {
		return 0
	}
	return 1
}

// rankByRendezvous orders servers by rendezvous hashing for a key; every node computes the same
// order.
func rankByRendezvous(key string, servers []*directory.Server) []*directory.Server {
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
	for _, entry := range all {
		ranked = append(ranked, entry.server)
	}
	return ranked
}
