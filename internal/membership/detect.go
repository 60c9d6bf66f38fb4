package membership

import (
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// neighbour is a member whose signs of life this node watches.
type neighbour struct {
	node cluster.Node
	// heardAt is when this node, or a helper of it, last heard the neighbour.
	heardAt time.Time
	// probedAt is when the running probe began, zero for none.
	probedAt time.Time
	// mismatches counts heartbeats in a row whose digests were not this node's.
	mismatches int
}

// relay is a probe that this node has taken on for another.
type relay struct {
	asker  cluster.NodeID
	target cluster.NodeID
	until  time.Time
}

// refreshOverlay computes the graph over all members that are not dead, when it
// has changed. It is called once a tick: many changes come together.
func (m *Machine) refreshOverlay() {
	if m.overlay != nil {
		return
	}
	nodes := make([]cluster.Node, 0, len(m.Members()))
	for _, known := range m.Members() {
		if known.State != StateDead {
			nodes = append(nodes, known.Node)
		}
	}
	m.overlay = newOverlay(nodes)
	m.updateNeighbours()
}

// updateNeighbours follows the graph. A neighbour that stays keeps its times; a
// new one, or a new life of an old one, counts as heard now.
func (m *Machine) updateNeighbours() {
	previous := m.neighbours
	nodes := m.overlay.neighbours(m.options.Self.ID)
	m.neighbours = make([]*neighbour, 0, len(nodes))
	for _, node := range nodes {
		at := slices.IndexFunc(previous, func(n *neighbour) bool { return n.node == node })
		if at >= 0 {
			m.neighbours = append(m.neighbours, previous[at])
			continue
		}
		m.neighbours = append(m.neighbours, &neighbour{node: node, heardAt: m.now})
	}
}

// findNeighbour returns a watched member, nil when the id is none.
func (m *Machine) findNeighbour(id cluster.NodeID) *neighbour {
	for _, n := range m.neighbours {
		if n.node.ID == id {
			return n
		}
	}
	return nil
}

// hear takes a message as a sign of life of its sender. A sender that is
// suspected or dead here is told so, so that it refutes.
func (m *Machine) hear(in machine.PeerMessage) {
	m.answerRelays(in.From)
	m.health.heardAt = m.now
	known := m.members.find(string(in.From))
	if known == nil || known.fact.node.Incarnation != in.FromIncarnation {
		return
	}
	if known.fact.state == StateSuspect || known.fact.state == StateDead {
		m.remind(known)
	}
	m.hearOf(in.From)
}

// hearOf notes a sign of life of a neighbour.
func (m *Machine) hearOf(id cluster.NodeID) {
	if n := m.findNeighbour(id); n != nil {
		n.heardAt = m.now
		n.probedAt = time.Time{}
	}
}

// remind tells a member that it is not alive here, at most once a heartbeat.
func (m *Machine) remind(known *row[member]) {
	if m.now.Sub(known.fact.remindedAt) < m.options.HeartbeatInterval {
		return
	}
	known.fact.remindedAt = m.now
	m.send(known.fact.node, facts{Members: []memberFact{m.memberFact(known, false)}})
}

// sendHeartbeats gives each neighbour a sign of life.
func (m *Machine) sendHeartbeats() {
	if m.now.Before(m.nextHeartbeat) {
		return
	}
	m.nextHeartbeat = nextAfter(m.nextHeartbeat, m.now, m.options.HeartbeatInterval)
	for _, n := range m.neighbours {
		silent := m.now.Sub(n.heardAt) > m.options.HeartbeatInterval
		m.send(n.node, m.heartbeat(silent))
	}
}

// heartbeat returns a sign of life.
func (m *Machine) heartbeat(ask bool) heartbeat {
	return heartbeat{Members: m.memberDigest(), Backends: m.backends.digest, Ask: ask}
}

// memberDigest covers this node too, which is not in its own table.
func (m *Machine) memberDigest() uint32 {
	return m.members.digest ^ m.selfContribution()
}

// selfContribution is what other nodes' tables hold of this node.
func (m *Machine) selfContribution() uint32 {
	return contributionOf(string(m.options.Self.ID), uint64(m.options.Self.Incarnation), m.sequence, "")
}

// handleHeartbeat answers a heartbeat that asks, and compares digests.
func (m *Machine) handleHeartbeat(from cluster.NodeID, in heartbeat) {
	if in.Ask {
		m.reply(from, m.heartbeat(false))
	}
	n := m.findNeighbour(from)
	if n == nil {
		return
	}
	if in.Members == m.memberDigest() && in.Backends == m.backends.digest {
		n.mismatches = 0
		return
	}
	n.mismatches++
	if n.mismatches >= mismatchesBeforeSync {
		m.requestSync(n.node, in.Members != m.memberDigest(), in.Backends != m.backends.digest)
	}
}

// checkNeighbours probes silent neighbours and suspects those whose probe was
// not answered in time.
func (m *Machine) checkNeighbours() {
	var silent []*neighbour
	probed := 0
	for _, n := range m.neighbours {
		switch {
		case m.now.Sub(n.heardAt) < m.options.ProbeAfter:
			n.probedAt = time.Time{}
		case n.probedAt.IsZero():
			m.startProbe(n)
			probed++
		case m.now.Sub(n.probedAt) >= m.probeTimeout():
			silent = append(silent, n)
			probed++
		default:
			probed++
		}
	}
	m.checkOwnHearing(probed)
	for _, n := range silent {
		m.suspectNeighbour(n)
	}
}

// startProbe asks a silent neighbour for an answer, and others whether they hear
// it.
func (m *Machine) startProbe(n *neighbour) {
	n.probedAt = m.now
	m.send(n.node, m.heartbeat(true))
	helpers := slices.DeleteFunc(m.overlay.neighbours(n.node.ID), func(node cluster.Node) bool {
		return node.ID == m.options.Self.ID
	})
	m.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	for _, helper := range helpers[:min(probeHelpers, len(helpers))] {
		m.send(helper, probe{Target: n.node.ID})
	}
}

// suspectNeighbour suspects a neighbour that did not answer.
func (m *Machine) suspectNeighbour(n *neighbour) {
	known := m.members.find(string(n.node.ID))
	if known == nil || known.fact.state == StateSuspect || known.fact.state == StateDead {
		return
	}
	m.stats.Suspected++
	if known.fact.state == StateLeaving {
		m.loseLeaving(known, m.options.Self.ID)
		return
	}
	m.suspect(known, m.options.Self.ID)
}

// loseLeaving declares a member dead that had announced its stop: no suspicion is
// needed.
func (m *Machine) loseLeaving(known *row[member], source cluster.NodeID) {
	m.markDead(known, m.now)
	m.stats.Died++
	m.news.add(memberNews, known.key, source)
}

// suspect starts a member's time to refute and tells the others.
func (m *Machine) suspect(known *row[member], source cluster.NodeID) {
	known.fact.state = StateSuspect
	known.fact.suspectAt = m.now
	m.suspects = true
	m.invalidate()
	m.news.add(memberNews, known.key, source)
}

// checkSuspects declares dead who did not refute in time.
func (m *Machine) checkSuspects() {
	if !m.suspects {
		return
	}
	suspects := m.countSuspects()
	m.suspects = suspects > 0
	timeout := m.suspicionTimeout(suspects)
	for _, known := range m.members.rows {
		if known.fact.state != StateSuspect {
			continue
		}
		if m.now.Sub(known.fact.suspectAt) < timeout {
			continue
		}
		if n := m.findNeighbour(known.fact.node.ID); n != nil && m.now.Sub(n.heardAt) < m.options.ProbeAfter {
			continue
		}
		known.fact.ownVerdict = true
		m.markDead(known, m.now)
		m.stats.Died++
	}
}

// countSuspects returns how many members are suspected.
func (m *Machine) countSuspects() int {
	suspects := 0
	for _, known := range m.members.rows {
		if known.fact.state == StateSuspect {
			suspects++
		}
	}
	return suspects
}

// markDead takes a member out of the graph.
func (m *Machine) markDead(known *row[member], at time.Time) {
	known.fact.state = StateDead
	known.deadAt = at
	m.members.contribute(known, m.memberContribution(known))
	m.invalidateOverlay()
}

// handleProbe tells the asker when the target was heard, at once or as soon as
// it answers.
func (m *Machine) handleProbe(from cluster.NodeID, in probe) {
	if in.Target == m.options.Self.ID {
		m.reply(from, m.heartbeat(false))
		return
	}
	if n := m.findNeighbour(in.Target); n != nil && m.now.Sub(n.heardAt) < m.options.HeartbeatInterval {
		m.reply(from, probeAnswer{Target: in.Target, AgoMillis: uint32(m.now.Sub(n.heardAt).Milliseconds())})
		return
	}
	if len(m.relays) >= maxRelays {
		return
	}
	m.relays = append(m.relays, relay{asker: from, target: in.Target, until: m.now.Add(m.options.ProbeTimeout)})
	m.reply(in.Target, m.heartbeat(true))
}

// answerRelays tells those who asked that a node was heard, and drops probes
// that are over.
func (m *Machine) answerRelays(heard cluster.NodeID) {
	if len(m.relays) == 0 {
		return
	}
	kept := m.relays[:0]
	for _, r := range m.relays {
		if r.target == heard {
			m.reply(r.asker, probeAnswer{Target: heard})
			continue
		}
		if m.now.Before(r.until) {
			kept = append(kept, r)
		}
	}
	m.relays = kept
}

// handleProbeAnswer takes a helper's word that a neighbour lives.
func (m *Machine) handleProbeAnswer(in probeAnswer) {
	n := m.findNeighbour(in.Target)
	if n == nil {
		return
	}
	heardAt := m.now.Add(-time.Duration(in.AgoMillis) * time.Millisecond)
	if heardAt.After(n.heardAt) {
		n.heardAt = heardAt
	}
}

// nextAfter returns the next due time of something that repeats; after a pause
// the missed times are not made up for.
func nextAfter(due, now time.Time, interval time.Duration) time.Time {
	next := due.Add(interval)
	if next.After(now) {
		return next
	}
	return now.Add(interval)
}
