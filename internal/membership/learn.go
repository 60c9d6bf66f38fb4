package membership

import (
	"cmp"
	"time"

	"dalehook/internal/cluster"
)

// learnMember takes a fact about a member and reports whether it was news.
func (m *Machine) learnMember(from cluster.NodeID, fact memberFact) bool {
	if fact.ID == "" || fact.State > StateDead {
		return false
	}
	if fact.ID == m.options.Self.ID {
		return m.learnOfSelf(fact)
	}
	known := m.members.find(string(fact.ID))
	switch {
	case known == nil:
		return m.addMember(from, fact)
	case fact.Incarnation > known.fact.node.Incarnation:
		return m.replaceMember(from, known, fact)
	case fact.Incarnation < known.fact.node.Incarnation:
		return false
	default:
		return m.updateMember(from, known, fact)
	}
}

// learnOfSelf refutes a suspicion, or the death, of this node.
func (m *Machine) learnOfSelf(fact memberFact) bool {
	switch {
	case fact.Incarnation > m.options.Self.Incarnation:
		m.superseded = true
		return false
	case fact.Incarnation < m.options.Self.Incarnation || fact.Sequence < m.sequence:
		return false
	case fact.State < StateSuspect && fact.Sequence == m.sequence:
		return false
	}
	m.sequence = fact.Sequence + 1
	m.stats.Refuted++
	m.health.worsen(m.now, 1)
	m.news.add(memberNews, string(m.options.Self.ID), m.options.Self.ID)
	if fact.State == StateDead {
		m.reviewVerdicts()
	}
	return true
}

// reviewVerdicts takes back this node's own verdicts when it had lost most of
// the cluster: it is told that it was dead to others, so the silence was its own.
// Those that truly died meanwhile are learned from the others.
func (m *Machine) reviewVerdicts() {
	var mine []*row[member]
	for _, known := range m.members.rows {
		if known.fact.state == StateDead && known.fact.ownVerdict {
			mine = append(mine, known)
		}
	}
	if 2*len(mine) <= len(m.members.rows) {
		return
	}
	for _, known := range mine {
		m.revive(known, StateAlive)
	}
}

// addMember inserts a member that this node did not know. The short form is not
// enough; digests bring the full one. A dead member is kept as a tombstone and
// not passed on.
func (m *Machine) addMember(from cluster.NodeID, fact memberFact) bool {
	if fact.PeerAddress == "" || len(m.members.rows) >= maxMembers {
		return false
	}
	deadAt := m.now.Add(-time.Duration(fact.AgeSeconds) * time.Second)
	if fact.State == StateDead && (m.now.Sub(deadAt) >= m.options.ForgetAfter/2 || m.excessDead() >= 0) {
		return false
	}
	added := m.members.insert(string(fact.ID))
	m.assign(added, fact)
	if fact.State == StateDead {
		m.markDead(added, deadAt)
		return true
	}
	m.news.add(memberNews, added.key, from)
	return true
}

// replaceMember takes a new life of a known id.
func (m *Machine) replaceMember(from cluster.NodeID, known *row[member], fact memberFact) bool {
	if fact.PeerAddress == "" || fact.State == StateDead {
		return false
	}
	known.deadAt = time.Time{}
	known.fact = member{}
	m.assign(known, fact)
	m.news.add(memberNews, known.key, from)
	return true
}

// assign sets a row from the full form of a fact.
func (m *Machine) assign(known *row[member], fact memberFact) {
	known.fact.node = cluster.Node{
		ID:            fact.ID,
		Incarnation:   fact.Incarnation,
		Zone:          fact.Zone,
		Region:        fact.Region,
		PeerAddress:   fact.PeerAddress,
		ClientAddress: fact.ClientAddress,
	}
	known.fact.sequence = fact.Sequence
	known.fact.state = fact.State
	if fact.State == StateSuspect {
		known.fact.suspectAt = m.now
		m.suspects = true
	}
	m.members.contribute(known, m.memberContribution(known))
	m.invalidateOverlay()
}

// updateMember takes a fact about a known life of a member.
func (m *Machine) updateMember(from cluster.NodeID, known *row[member], fact memberFact) bool {
	if fact.Sequence < known.fact.sequence {
		return false
	}
	if fact.Sequence > known.fact.sequence {
		return m.advanceMember(from, known, fact)
	}
	if fact.State == StateDead && known.fact.state == StateLeaving {
		m.loseLeaving(known, from)
		return true
	}
	if fact.State <= known.fact.state || fact.State < StateSuspect || known.fact.state >= StateSuspect {
		return false
	}
	// Even a death is only suspected at first: the member may refute what a
	// cut-off node brings back.
	m.suspect(known, from)
	return true
}

// advanceMember takes a later sequence of a member.
func (m *Machine) advanceMember(from cluster.NodeID, known *row[member], fact memberFact) bool {
	known.fact.sequence = fact.Sequence
	switch {
	case fact.State < StateSuspect:
		// Only the member itself makes such a fact, so it is a sign of life.
		m.hearOf(known.fact.node.ID)
		m.revive(known, fact.State)
	case known.fact.state == StateDead:
		m.members.contribute(known, m.memberContribution(known))
	default:
		m.suspect(known, from)
		m.members.contribute(known, m.memberContribution(known))
		return true
	}
	m.news.add(memberNews, known.key, from)
	return true
}

// revive sets a member alive or leaving.
func (m *Machine) revive(known *row[member], state State) {
	wasDead := known.fact.state == StateDead
	if known.fact.state >= StateSuspect {
		m.countRefutation()
	}
	known.fact.state = state
	known.fact.ownVerdict = false
	known.deadAt = time.Time{}
	m.members.contribute(known, m.memberContribution(known))
	if wasDead {
		m.stats.Revived++
		m.invalidateOverlay()
		return
	}
	m.invalidate()
}

// memberContribution hashes what two tables should agree on. A suspicion is not
// part of it: each node runs its own time-out.
func (m *Machine) memberContribution(known *row[member]) uint32 {
	if known.fact.state != StateDead {
		return contributionOf(known.key, uint64(known.fact.node.Incarnation), known.fact.sequence, "")
	}
	if m.now.Sub(known.deadAt) >= m.options.ForgetAfter/2 {
		return 0
	}
	return contributionOf(known.key, uint64(known.fact.node.Incarnation), known.fact.sequence, "dead")
}

// learnBackend takes a fact about a back end and reports whether it was news.
func (m *Machine) learnBackend(from cluster.NodeID, fact backendFact) bool {
	if fact.ID == "" {
		return false
	}
	rumor, complete := m.completeRumor(fact)
	if !complete || !m.storeBackend(rumor, time.Duration(fact.AgeSeconds)*time.Second) {
		return false
	}
	if fact.Sequence > 0 {
		m.news.add(backendNews, string(fact.ID), from)
	}
	if m.options.OnBackendRumor != nil {
		m.options.OnBackendRumor(m.now, rumor)
	}
	return true
}

// completeRumor fills the short form of a fact from what is known of the same
// life of the back end, and reports false when that is not known.
func (m *Machine) completeRumor(fact backendFact) (BackendRumor, bool) {
	rumor := BackendRumor{
		Machine: cluster.Machine{
			ID:          fact.ID,
			Kind:        fact.Kind,
			Pool:        fact.Pool,
			Zone:        fact.Zone,
			Region:      fact.Region,
			Address:     fact.Address,
			State:       fact.State,
			Incarnation: fact.Incarnation,
		},
		Sequence: fact.Sequence,
		Listed:   fact.Listed,
	}
	if fact.Kind != "" {
		return rumor, true
	}
	known := m.backends.find(string(fact.ID))
	if known == nil || known.fact.Machine.Incarnation != fact.Incarnation {
		return BackendRumor{}, false
	}
	rumor.Machine = known.fact.Machine
	rumor.Machine.State = fact.State
	return rumor, true
}

// storeBackend keeps a fact if it is newer, and reports whether it was. Age is
// the time since a dead back end was found dead.
func (m *Machine) storeBackend(rumor BackendRumor, age time.Duration) bool {
	known := m.backends.find(string(rumor.Machine.ID))
	if known != nil && !rumor.Newer(known.fact) {
		return false
	}
	dead := rumor.Machine.State == cluster.StateDead
	if known == nil {
		if len(m.backends.rows) >= maxBackends || dead && age >= m.options.ForgetAfter/2 {
			return false
		}
		known = m.backends.insert(string(rumor.Machine.ID))
	}
	known.fact = rumor
	known.deadAt = time.Time{}
	if dead {
		known.deadAt = m.now.Add(-age)
	}
	m.backends.contribute(known, m.backendContribution(known))
	return true
}

// backendContribution hashes what two tables should agree on.
func (m *Machine) backendContribution(known *row[BackendRumor]) uint32 {
	if !known.deadAt.IsZero() && m.now.Sub(known.deadAt) >= m.options.ForgetAfter/2 {
		return 0
	}
	subject := known.fact.Machine
	return contributionOf(known.key, uint64(subject.Incarnation), known.fact.Sequence, string(subject.State)+subject.Address)
}

// stateOrder is the order in which states of one sequence override each other.
var stateOrder = map[cluster.MachineState]int{
	cluster.StateLive:    0,
	cluster.StateLeaving: 1,
	cluster.StateDead:    2,
}

// Newer reports whether the rumour replaces other, which is about the same back
// end. Any two different rumours have an order, so that all nodes agree.
func (r BackendRumor) Newer(other BackendRumor) bool {
	return cmp.Or(
		cmp.Compare(r.Machine.Incarnation, other.Machine.Incarnation),
		cmp.Compare(r.Sequence, other.Sequence),
		cmp.Compare(stateOrder[r.Machine.State], stateOrder[other.Machine.State]),
		cmp.Compare(r.Machine.Address, other.Machine.Address),
	) > 0
}
