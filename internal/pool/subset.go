package pool

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/cluster"
	"dalehook/internal/membership"
)

// Services returns this node's share of the live servers of a service, those of
// its own zone first. Every server is in the shares of nearly equally many nodes.
func (m *Machine) Services(name string) []Backend {
	m.refresh()
	subset, computed := m.subsets[name]
	if !computed {
		subset = m.subset(name)
		m.subsets[name] = subset
	}
	backends := make([]Backend, 0, len(subset))
	for _, e := range subset {
		backends = append(backends, e.backend(m.now))
	}
	return backends
}

// subset places the live nodes and the live servers on one circle, each ordered
// by zone, and takes a window of servers around this node's place. Windows begin
// evenly spaced, so that the numbers of nodes of any two servers differ by at
// most a few, and zones with their fair part of the servers use their own.
func (m *Machine) subset(name string) []*entry {
	servers := m.orderedServers(name)
	position, nodes := m.position()
	if nodes == 0 || len(servers) == 0 {
		return servers
	}
	size := max(subsetSize, (subsetCover*len(servers)+nodes-1)/nodes)
	if size >= len(servers) {
		return m.ownZoneFirst(servers)
	}
	middle := (2*position + 1) * len(servers) / (2 * nodes)
	start := middle - size/2 + len(servers)
	window := make([]*entry, 0, size)
	for i := range size {
		window = append(window, servers[(start+i)%len(servers)])
	}
	return m.ownZoneFirst(window)
}

// orderedServers returns the live servers of a service by region, zone and hash.
func (m *Machine) orderedServers(name string) []*entry {
	var servers []*entry
	for _, e := range m.groups[name] {
		subject := e.rumor.Machine
		if subject.Kind == cluster.KindService && subject.State == cluster.StateLive {
			servers = append(servers, e)
		}
	}
	slices.SortStableFunc(servers, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(a.rumor.Machine.Region, b.rumor.Machine.Region),
			cmp.Compare(a.rumor.Machine.Zone, b.rumor.Machine.Zone),
			cmp.Compare(a.hash, b.hash),
		)
	})
	return servers
}

// position returns this node's place among the live nodes by region, zone and
// hash, and their number.
func (m *Machine) position() (position, count int) {
	own := xxhash.Sum64String(string(m.options.Self.ID))
	for _, known := range m.members {
		if known.ID == m.options.Self.ID {
			count++
			continue
		}
		if known.State != membership.StateAlive && known.State != membership.StateSuspect {
			continue
		}
		count++
		before := cmp.Or(
			cmp.Compare(known.Region, m.options.Self.Region),
			cmp.Compare(known.Zone, m.options.Self.Zone),
			cmp.Compare(xxhash.Sum64String(string(known.ID)), own),
		)
		if before < 0 {
			position++
		}
	}
	return position, count
}

// ownZoneFirst moves the servers of this node's zone to the front and sorts each
// part by id.
func (m *Machine) ownZoneFirst(servers []*entry) []*entry {
	ordered := slices.Clone(servers)
	slices.SortFunc(ordered, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(m.distance(a), m.distance(b)), cmp.Compare(a.id(), b.id()))
	})
	return ordered
}

// distance is 0 for a server of this node's zone and 1 for others.
func (m *Machine) distance(e *entry) int {
	if e.rumor.Machine.Zone == m.options.Self.Zone && e.rumor.Machine.Region == m.options.Self.Region {
		return 0
	}
	return 1
}
