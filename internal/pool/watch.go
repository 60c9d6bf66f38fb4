package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
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

// Subscribe turns polling of all engines of a pool on or off. Engines whose
// report is old are polled at once, so that a subscriber knows the whole pool
// after one round trip.
func (m *Machine) Subscribe(pool string, on bool) {
	if _, subscribed := m.subscribed[pool]; subscribed == on {
		return
	}
	if on {
		m.subscribed[pool] = struct{}{}
	} else {
		delete(m.subscribed, pool)
	}
	m.stale.polled = true
	if on {
		m.pollStale(pool)
	}
}

// pollStale polls engines of a pool whose report is not recent. A large pool is
// polled in part, which begins at a place of this node's own.
func (m *Machine) pollStale(pool string) {
	group := m.groups[pool]
	if len(group) == 0 {
		return
	}
	first := int(xxhash.Sum64String(string(m.options.Self.ID)) % uint64(len(group)))
	asked := 0
	for i := range group {
		e := group[(first+i)%len(group)]
		recent := !e.reportAt.IsZero() && m.now.Sub(e.reportAt) < recentAnswer
		if recent || !m.subscribes(e) {
			continue
		}
		if asked++; asked > subscribedBurst {
			return
		}
		m.poll(e)
	}
}

// Refresh polls a back end at once, such as after an order to load a version.
func (m *Machine) Refresh(now time.Time, id cluster.BackendID) {
	m.now = now
	if e := m.index[id]; e != nil {
		m.poll(e)
	}
}

// subscribes reports whether this node polls a back end as a subscriber.
func (m *Machine) subscribes(e *entry) bool {
	_, subscribed := m.subscribed[e.rumor.Machine.Pool]
	return subscribed && e.rumor.Machine.Kind == cluster.KindEngine && e.state() != cluster.StateDead
}

// interval returns the time between two polls of a back end by this node.
func (m *Machine) interval(e *entry) time.Duration {
	shortest := time.Duration(0)
	if e.rank >= 0 && e.rank < pollingWatchers {
		shortest = watchInterval
		if e.state() == cluster.StateDead && e.answers == 0 {
			shortest = deadInterval
		}
	}
	if m.subscribes(e) {
		subscribed := max(subscribedInterval, time.Duration(len(m.polled))*time.Second/subscribedRate)
		if e.report.Loading != 0 {
			subscribed = loadingInterval
		}
		if shortest == 0 || subscribed < shortest {
			shortest = subscribed
		}
	}
	return shortest
}

// nextDue returns the next time at which a back end is to be polled. The times
// of its watchers lie evenly apart when their clocks agree.
func (m *Machine) nextDue(e *entry) time.Time {
	interval := m.interval(e)
	if interval == 0 {
		return time.Time{}
	}
	phase := time.Duration(e.hash%uint64(interval)) + time.Duration(max(0, e.rank))*interval/pollingWatchers
	since := time.Duration(m.now.UnixNano()) - phase
	return m.now.Add(interval - since%interval)
}

// tickEntry polls a back end when it is due, counts a poll that was not answered
// in time, and closes an inquiry that is over.
func (m *Machine) tickEntry(e *entry) {
	if !e.polledAt.IsZero() && m.now.Sub(e.polledAt) >= pollTimeout {
		m.fail(e)
	}
	m.decide(e)
	if e.nextPoll.IsZero() || m.now.Before(e.nextPoll) {
		return
	}
	m.poll(e)
}

// poll asks a back end for its report, unless a poll is running.
func (m *Machine) poll(e *entry) {
	e.nextPoll = m.nextDue(e)
	if !e.polledAt.IsZero() {
		return
	}
	e.polledAt = m.now
	if !slices.Contains(m.polled, e) {
		m.polled = append(m.polled, e)
	}
	subject := e.rumor.Machine
	m.outbox.Add(machine.PollBackend{Backend: subject.ID, Kind: subject.Kind, Address: subject.Address})
}

// HandleReport takes the answer to a poll.
func (m *Machine) HandleReport(now time.Time, report machine.BackendReport) {
	m.now = now
	e := m.index[report.Backend]
	if e == nil {
		return
	}
	if report.Err != "" {
		if !e.polledAt.IsZero() {
			m.fail(e)
		}
		return
	}
	e.polledAt = time.Time{}
	e.report, e.reportAt = report, now
	e.load = report.Running + report.Waiting
	e.failures = 0
	e.answers++
	e.avoidUntil, e.avoidFor = time.Time{}, 0
	e.inquiry = inquiry{}
	m.answerAskers(e, true)
	m.judgeAnswer(e)
}

// judgeAnswer publishes what an answer shows: that the back end is leaving, or
// that it is back.
func (m *Machine) judgeAnswer(e *entry) {
	leaving := e.report.Leaving
	switch {
	case leaving && e.state() == cluster.StateLive:
		m.setState(e, cluster.StateLeaving)
	case !e.watched() || e.answers < answersUntilLive:
		return
	case e.state() == cluster.StateDead && leaving:
		m.setState(e, cluster.StateLeaving)
	case e.state() == cluster.StateDead && !leaving:
		m.setState(e, cluster.StateLive)
	case e.state() == cluster.StateLeaving && !leaving && !e.rumor.Listed:
		m.setState(e, cluster.StateLive)
	}
}

// fail counts a poll without an answer. A watcher asks the others, and polls
// again at once.
func (m *Machine) fail(e *entry) {
	e.polledAt = time.Time{}
	e.answers = 0
	e.failures++
	m.answerAskers(e, false)
	if e.failures >= failuresUntilDead {
		m.avoid(e)
	}
	if !e.watched() || e.state() == cluster.StateDead {
		return
	}
	if e.inquiry.since.IsZero() {
		e.inquiry = inquiry{since: m.now}
		m.askWatchers(e, doubt{Backend: e.id(), Vote: true})
		m.poll(e)
	}
	m.decide(e)
}

// askWatchers sends a message to the other watchers.
func (m *Machine) askWatchers(e *entry, message doubt) {
	for _, node := range e.watchers {
		if node.ID != m.options.Self.ID {
			m.outbox.Add(machine.SendPeer{To: node.ID, Address: node.PeerAddress, Message: message})
		}
	}
}

// decide ends a watcher's inquiry: the back end is dead when enough polls have
// failed and no other watcher has reached it. A watcher that others contradict
// only avoids it for itself.
func (m *Machine) decide(e *entry) {
	if e.inquiry.since.IsZero() {
		return
	}
	if e.inquiry.answered > 0 {
		m.avoid(e)
		e.inquiry = inquiry{}
		return
	}
	waited := m.now.Sub(e.inquiry.since)
	heardAll := e.inquiry.failed >= len(e.watchers)-1
	enough := e.failures+e.inquiry.failed >= failuresUntilDead
	if enough && (heardAll || waited >= verdictTimeout) && m.mayJudge(e) {
		m.setState(e, cluster.StateDead)
		return
	}
	if waited >= lonelyTimeout {
		m.avoid(e)
		e.inquiry = inquiry{}
	}
}

// mayJudge reports whether this node's failures say something about the back end
// and not about its own network. Another watcher's failure is enough. A node that
// no other watcher answers waits for the membership to replace them, and one that
// has lost all its peers does not judge while most of its polls fail.
func (m *Machine) mayJudge(e *entry) bool {
	if e.inquiry.failed > 0 {
		return true
	}
	if len(e.watchers) > 1 {
		return false
	}
	if len(m.members) == 1 {
		return true
	}
	failing := 0
	for _, polled := range m.polled {
		if polled.failures > 0 {
			failing++
		}
	}
	return 2*failing <= len(m.polled)
}

// alarm asks the watchers of a back end to poll it at once.
func (m *Machine) alarm(e *entry) {
	if m.now.Sub(e.alarmedAt) < alarmInterval || e.state() == cluster.StateDead {
		return
	}
	e.alarmedAt = m.now
	if e.watched() {
		m.poll(e)
	}
	m.askWatchers(e, doubt{Backend: e.id()})
}

// handleDoubt polls a back end for another node.
func (m *Machine) handleDoubt(from cluster.NodeID, in doubt) {
	e := m.index[in.Backend]
	if e == nil {
		return
	}
	if in.Vote && !slices.Contains(e.askers, from) && len(e.askers) < len(m.members) {
		e.askers = append(e.askers, from)
	}
	m.poll(e)
}

// answerAskers tells the watchers that asked how a poll ended.
func (m *Machine) answerAskers(e *entry, answered bool) {
	for _, asker := range e.askers {
		at, found := slices.BinarySearchFunc(m.members, asker, func(known membership.Member, id cluster.NodeID) int {
			return cmp.Compare(known.ID, id)
		})
		if found {
			node := m.members[at].Node
			message := vote{Backend: e.id(), Answered: answered}
			m.outbox.Add(machine.SendPeer{To: node.ID, Address: node.PeerAddress, Message: message})
		}
	}
	e.askers = nil
}

// handleVote counts what another watcher saw.
func (m *Machine) handleVote(in vote) {
	e := m.index[in.Backend]
	if e == nil || e.inquiry.since.IsZero() {
		return
	}
	if in.Answered {
		e.inquiry.answered++
	} else {
		e.inquiry.failed++
	}
	m.decide(e)
}
