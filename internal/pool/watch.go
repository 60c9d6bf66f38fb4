package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/cluster"
	"dalehook/internal/membership"
)

// refreshInterval is the shortest time between two choices of all watchers, so
// that the loss of many nodes costs few of them.
const refreshInterval = 500 * time.Millisecond

// watcher is a live node as a candidate to watch back ends.
type watcher struct {
	node cluster.Node
	hash uint64
	// zone numbers the zones.
	zone int
}

// refresh follows changes of the members, the back ends and the subscriptions.
func (m *Machine) refresh() {
	m.lookAtMembers()
	if m.stale.watchers && !m.now.Before(m.nextRefresh) {
		m.nextRefresh = m.now.Add(refreshInterval)
		m.stale.watchers = false
		m.stale.polled = true
		m.reassignWatchers()
	}
	if m.stale.polled {
		m.stale.polled = false
		m.choosePolled()
	}
}

// reassignWatchers chooses watchers again for the back ends that a change of the
// live nodes may concern.
func (m *Machine) reassignWatchers() {
	added, removed := changes(m.assigned, m.watchers)
	fewZones := min(zones(m.assigned), zones(m.watchers)) < watcherCount
	m.assigned = m.watchers
	for _, e := range m.entries {
		if fewZones || len(e.watchers) < watcherCount || concerns(e, added, removed) {
			m.assignWatchers(e)
		}
	}
}

// zones counts the zones of a list that is grouped by zone.
func zones(watchers []watcher) int {
	if len(watchers) == 0 {
		return 0
	}
	return watchers[len(watchers)-1].zone + 1
}

// changes returns the nodes that came and went between two lists.
func changes(before, after []watcher) (added, removed []watcher) {
	lives := make(map[cluster.Node]struct{}, len(before))
	for _, w := range before {
		lives[w.node] = struct{}{}
	}
	for _, w := range after {
		if _, stayed := lives[w.node]; !stayed {
			added = append(added, w)
		}
		delete(lives, w.node)
	}
	for _, w := range before {
		if _, gone := lives[w.node]; gone {
			removed = append(removed, w)
		}
	}
	return added, removed
}

// concerns reports whether the watchers of a back end, one of each of three or
// more zones, change with the nodes that came and went: one of them went, or a
// new one scores higher than the one of its zone, or than the lowest of them.
func concerns(e *entry, added, removed []watcher) bool {
	for _, w := range removed {
		if slices.Contains(e.watchers, w.node) {
			return true
		}
	}
	for _, w := range added {
		rival := e.watchers[len(e.watchers)-1]
		if at := slices.IndexFunc(e.watchers, func(node cluster.Node) bool { return sameZone(node, w.node) }); at >= 0 {
			rival = e.watchers[at]
		}
		if rendezvous(w.hash, e.hash) >= rendezvous(xxhash.Sum64String(string(rival.ID)), e.hash) {
			return true
		}
	}
	return false
}

// lookAtMembers notices a change of the live nodes.
func (m *Machine) lookAtMembers() {
	members := m.options.Members()
	if sameSlice(members, m.members) {
		return
	}
	m.members = members
	watchers := m.candidates()
	if slices.Equal(watchers, m.watchers) {
		return
	}
	m.watchers = watchers
	m.stale.watchers = true
	clear(m.subsets)
}

// choosePolled collects the entries that this node polls.
func (m *Machine) choosePolled() {
	m.polled = m.polled[:0]
	for _, e := range m.entries {
		if m.interval(e) > 0 || !e.polledAt.IsZero() || len(e.askers) > 0 {
			m.polled = append(m.polled, e)
		}
	}
	for _, e := range m.polled {
		if e.nextPoll.IsZero() {
			e.nextPoll = m.nextDue(e)
		}
	}
}

// sameSlice reports whether two lists are one and the same.
func sameSlice(a, b []membership.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// candidates returns the nodes that may watch, grouped by zone. Suspected ones
// are among them, so that a suspicion that is refuted moves nothing.
func (m *Machine) candidates() []watcher {
	live := make([]watcher, 0, len(m.members))
	for _, known := range m.members {
		if known.State == membership.StateAlive || known.State == membership.StateSuspect {
			live = append(live, watcher{node: known.Node, hash: xxhash.Sum64String(string(known.ID))})
		}
	}
	slices.SortStableFunc(live, func(a, b watcher) int {
		return cmp.Or(cmp.Compare(a.node.Region, b.node.Region), cmp.Compare(a.node.Zone, b.node.Zone))
	})
	for i := range live {
		if i > 0 {
			live[i].zone = live[i-1].zone
			if !sameZone(live[i].node, live[i-1].node) {
				live[i].zone++
			}
		}
	}
	return live
}

// scored is a candidate with its rendezvous score for one back end.
type scored struct {
	at    int
	score uint64
}

// assignWatchers chooses the back end's watchers by rendezvous hashing: the best
// node of each of the best zones, and the next best nodes where zones are few.
func (m *Machine) assignWatchers(e *entry) {
	candidates := m.watchers
	var best [watcherCount]scored
	count := 0
	for start := 0; start < len(candidates); {
		end, top := bestOfZone(candidates, start, e.hash)
		count = keepBest(&best, count, top)
		start = end
	}
	if count < min(watcherCount, len(candidates)) {
		count = fillFromZones(&best, count, candidates, e.hash)
	}
	previous := e.rank
	e.rank = -1
	e.watchers = e.watchers[:0]
	for rank, chosen := range best[:count] {
		node := candidates[chosen.at].node
		e.watchers = append(e.watchers, node)
		if node.ID == m.options.Self.ID {
			e.rank = rank
		}
	}
	if e.rank != previous {
		e.nextPoll = m.nextDue(e)
		e.inquiry = inquiry{}
	}
}

// bestOfZone returns the end of the zone that begins at start, and its best node.
func bestOfZone(candidates []watcher, start int, hash uint64) (int, scored) {
	top := scored{at: start, score: rendezvous(candidates[start].hash, hash)}
	end := start + 1
	for ; end < len(candidates) && candidates[end].zone == candidates[start].zone; end++ {
		if score := rendezvous(candidates[end].hash, hash); score > top.score {
			top = scored{at: end, score: score}
		}
	}
	return end, top
}

// keepBest inserts a candidate into the list of the best, highest score first.
func keepBest(best *[watcherCount]scored, count int, next scored) int {
	at := 0
	for at < count && best[at].score >= next.score {
		at++
	}
	if at == watcherCount {
		return count
	}
	count = min(count+1, watcherCount)
	copy(best[at+1:count], best[at:count-1])
	best[at] = next
	return count
}

// fillFromZones adds the best nodes that are not chosen yet, whatever their zone.
func fillFromZones(best *[watcherCount]scored, count int, candidates []watcher, hash uint64) int {
	for count < min(watcherCount, len(candidates)) {
		var top scored
		found := false
		for at, candidate := range candidates {
			if slices.ContainsFunc(best[:count], func(s scored) bool { return s.at == at }) {
				continue
			}
			if score := rendezvous(candidate.hash, hash); !found || score > top.score {
				top, found = scored{at: at, score: score}, true
			}
		}
		best[count] = top
		count++
	}
	return count
}

// rendezvous scores a node for a back end; splitmix64's finalizer spreads it.
func rendezvous(node, backend uint64) uint64 {
	value := node ^ (backend * 0x9e3779b97f4a7c15)
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9
	value = (value ^ (value >> 27)) * 0x94d049bb133111eb
	return value ^ (value >> 31)
}

// sameZone reports whether two nodes stand in one zone.
func sameZone(a, b cluster.Node) bool { return a.Zone == b.Zone && a.Region == b.Region }
