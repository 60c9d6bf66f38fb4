package membership

import (
	"slices"
	"time"

	"dalehook/internal/cluster"
)

const (
	// mismatchesBeforeSync is the number of heartbeats in a row from one
	// neighbour with other digests that show a lost fact and not one on its way.
	mismatchesBeforeSync = 2
	// sweepInterval is the time between two searches for facts to be forgotten.
	sweepInterval = 10 * time.Second
)

// candidate is a listed node that may be contacted.
type candidate struct {
	id      cluster.NodeID
	address string
}

// requestSync asks a neighbour for missing facts, at most once a SyncInterval.
func (m *Machine) requestSync(to cluster.Node, members, backends bool) {
	if m.now.Before(m.nextSync) {
		return
	}
	m.nextSync = m.now.Add(m.options.SyncInterval)
	m.stats.Syncs++
	var request syncRequest
	if members {
		request.Members = m.memberDigests()
	}
	if backends {
		request.Backends = m.backends.digests()
	}
	m.send(to, request)
}

// endAnswer asks for the rest of an answer that was cut short, as long as answers
// bring anything new. A whole answer ends the joining.
func (m *Machine) endAnswer(from cluster.NodeID, more bool) {
	if more && m.learned {
		m.learned = false
		m.reply(from, syncRequest{Members: m.memberDigests(), Backends: m.backends.digests()})
		return
	}
	m.joined = true
}

// memberDigests returns the digests of the members' buckets, with this node in
// its own bucket.
func (m *Machine) memberDigests() []byte {
	own := m.ownRow()
	m.members.buckets[own.bucket] ^= own.contribution
	encoded := m.members.digests()
	m.members.buckets[own.bucket] ^= own.contribution
	return encoded
}

// ownRow returns the row that others hold of this node.
func (m *Machine) ownRow() *row[member] {
	scratch := newTable[member]()
	own := scratch.insert(string(m.options.Self.ID))
	own.fact = member{node: m.options.Self, sequence: m.sequence, state: m.state}
	own.contribution = m.selfContribution()
	return own
}

// syncAnswer collects facts into a bounded number of bounded messages.
type syncAnswer struct {
	messages []facts
	// cut is set when a fact found no room.
	cut bool
}

// room returns the message that takes the next fact, nil when all are full.
func (a *syncAnswer) room() *facts {
	last := len(a.messages) - 1
	if last >= 0 && len(a.messages[last].Members)+len(a.messages[last].Backends) < maxFacts {
		return &a.messages[last]
	}
	if len(a.messages) == maxSyncMessages {
		a.cut = true
		return nil
	}
	a.messages = append(a.messages, facts{})
	return &a.messages[last+1]
}

func (a *syncAnswer) addMember(fact memberFact) {
	if message := a.room(); message != nil {
		message.Members = append(message.Members, fact)
	}
}

func (a *syncAnswer) addBackend(fact backendFact) {
	if message := a.room(); message != nil {
		message.Backends = append(message.Backends, fact)
	}
}

// answerSync sends the facts in the buckets that differ, in bounded messages.
// The first bucket is random, so that an answer that is cut short does not leave
// out the same facts each time.
func (m *Machine) answerSync(from cluster.NodeID, in syncRequest) {
	first := m.random.IntN(bucketCount)
	var answer syncAnswer
	if len(in.Members) > 0 {
		answer.addMember(m.selfFact(true))
	}
	for _, known := range m.differingMembers(in.Members, first) {
		answer.addMember(m.memberFact(known, true))
	}
	for _, known := range m.backends.differing(in.Backends, first) {
		answer.addBackend(m.backendFact(known, true))
	}
	for i, message := range answer.messages {
		message.Last = i == len(answer.messages)-1
		message.More = answer.cut && message.Last
		m.reply(from, message)
	}
}

// differingMembers compares with this node in its own bucket, as others hold it.
func (m *Machine) differingMembers(digests []byte, first int) []*row[member] {
	own := m.ownRow()
	m.members.buckets[own.bucket] ^= own.contribution
	found := m.members.differing(digests, first)
	m.members.buckets[own.bucket] ^= own.contribution
	return found
}

// handleJoin takes a node that presents itself, and answers what it asks for.
func (m *Machine) handleJoin(from cluster.NodeID, in join) {
	if in.Self.ID != from {
		return
	}
	m.learnMember(from, in.Self)
	if len(in.Sync.Members) > 0 {
		m.answerSync(from, in.Sync)
		return
	}
	m.reply(from, facts{Members: []memberFact{m.selfFact(true)}})
}

// setCandidates keeps the listed nodes that are no live members.
func (m *Machine) setCandidates(machines []cluster.Machine) {
	m.candidates = m.candidates[:0]
	for _, listed := range machines {
		if listed.Kind != cluster.KindNode || listed.PeerAddress == "" || listed.State == cluster.StateDead {
			continue
		}
		if m.Alive(cluster.NodeID(listed.ID)) || len(m.candidates) >= maxCandidates {
			continue
		}
		m.candidates = append(m.candidates, candidate{id: cluster.NodeID(listed.ID), address: listed.PeerAddress})
	}
}

// seekMembers asks for all that others know until one of them has answered, and
// later presents this node now and then to members it has lost.
func (m *Machine) seekMembers() {
	if !m.joined || len(m.neighbours) == 0 {
		m.join()
		return
	}
	if m.now.Before(m.nextRetry) {
		return
	}
	m.nextRetry = m.now.Add(m.options.RetryInterval/2 + m.jitter(m.options.RetryInterval))
	addresses := m.lostAddresses()
	if len(addresses) > 0 {
		m.present(addresses[m.random.IntN(len(addresses))], false)
	}
}

// join presents this node to a few addresses and asks for all they know.
func (m *Machine) join() {
	if m.now.Before(m.nextJoin) {
		return
	}
	m.nextJoin = m.now.Add(m.options.JoinInterval)
	addresses := m.lostAddresses()
	for _, n := range m.neighbours {
		addresses = append(addresses, n.node.PeerAddress)
	}
	m.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(joinFanout, len(addresses))] {
		m.present(address, true)
	}
}

// lostAddresses returns the addresses of dead members, seeds and listed nodes
// at which no live member is known.
func (m *Machine) lostAddresses() []string {
	live := map[string]struct{}{m.options.Self.PeerAddress: {}}
	var addresses []string
	for _, known := range m.members.rows {
		if known.fact.state != StateDead {
			live[known.fact.node.PeerAddress] = struct{}{}
			continue
		}
		addresses = append(addresses, known.fact.node.PeerAddress)
	}
	addresses = append(addresses, m.options.SeedAddresses...)
	for _, listed := range m.candidates {
		addresses = append(addresses, listed.address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool {
		_, taken := live[address]
		return taken
	})
}

// present sends this node's identity to an address.
func (m *Machine) present(address string, sync bool) {
	message := join{Self: m.selfFact(true)}
	if sync {
		message.Sync = syncRequest{Members: m.memberDigests(), Backends: m.backends.digests()}
	}
	m.send(cluster.Node{PeerAddress: address}, message)
}

// sweep forgets what has been dead for long.
func (m *Machine) sweep() {
	if m.now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = m.now.Add(sweepInterval)
	m.fadeMembers()
	m.fadeBackends()
	m.dropOldestDead()
}

// fadeMembers takes old deaths out of the digests and then forgets them.
func (m *Machine) fadeMembers() {
	for _, known := range m.deadMembers() {
		if m.now.Sub(known.deadAt) >= m.options.ForgetAfter {
			m.members.remove(known)
			m.invalidate()
			continue
		}
		m.members.contribute(known, m.memberContribution(known))
	}
}

// fadeBackends does the same for back ends.
func (m *Machine) fadeBackends() {
	for _, known := range slices.Clone(m.backends.rows) {
		if known.deadAt.IsZero() {
			continue
		}
		if m.now.Sub(known.deadAt) >= m.options.ForgetAfter {
			m.backends.remove(known)
			continue
		}
		m.backends.contribute(known, m.backendContribution(known))
	}
}

// dropOldestDead bounds the number of dead members by that of live ones.
func (m *Machine) dropOldestDead() {
	excess := m.excessDead()
	if excess <= 0 {
		return
	}
	dead := m.deadMembers()
	slices.SortStableFunc(dead, func(a, b *row[member]) int { return a.deadAt.Compare(b.deadAt) })
	for _, known := range dead[:excess] {
		m.members.remove(known)
	}
	m.invalidate()
}

// excessDead returns by how many the dead members exceed their bound, negative
// while there is room.
func (m *Machine) excessDead() int {
	dead := len(m.deadMembers())
	return dead - max(minDeadKept, len(m.members.rows)-dead+1)
}

// deadMembers returns the dead, sorted by id.
func (m *Machine) deadMembers() []*row[member] {
	var dead []*row[member]
	for _, known := range m.members.rows {
		if known.fact.state == StateDead {
			dead = append(dead, known)
		}
	}
	return dead
}
