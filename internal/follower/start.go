package follower

import (
	"time"

	"dalehook/internal/cluster"
)

const (
	// askInterval is the time between two rounds of questions to peers.
	askInterval = time.Second
	// askFanout is the number of peers asked in a round.
	askFanout = 5
	// aloneAfter is how long a starting node that knows no peer waits for one
	// before it reads the log from the start. It goes on asking meanwhile.
	aloneAfter = time.Second
	// patience is how long a starting node waits for a peer that is ready before
	// it reads the log although it is not one of its zone's readers.
	patience = 5 * time.Second
)

// startPhase is the time before a node may serve.
type startPhase struct {
	ready   bool
	since   time.Time
	nextAsk time.Time
	// asked are the peers of the current round, answers their offers.
	asked   []cluster.NodeID
	answers []answer
	// target is the offset to reach, from ready peers; hasTarget tells zero from
	// none.
	target    uint64
	hasTarget bool
}

// answer is one peer's offer in the current round.
type answer struct {
	from  cluster.NodeID
	offer offer
}

// take notes an offer of a peer that was asked.
func (s *startPhase) take(from cluster.NodeID, in offer) {
	if s.ready {
		return
	}
	for i := range s.answers {
		if s.answers[i].from == from {
			s.answers[i].offer = in
			return
		}
	}
	s.answers = append(s.answers, answer{from: from, offer: in})
}

// settled reports whether all peers of the round have answered.
func (s *startPhase) settled() bool {
	for _, id := range s.asked {
		answered := false
		for _, a := range s.answers {
			answered = answered || a.from == id
		}
		if !answered {
			return false
		}
	}
	return len(s.asked) > 0
}

// best returns the ready peer with the highest offset.
func (s *startPhase) best() (answer, bool) {
	var found answer
	ok := false
	for _, a := range s.answers {
		if a.offer.Ready && (!ok || a.offer.Offset > found.offer.Offset) {
			found, ok = a, true
		}
	}
	return found, ok
}

// tickStart asks peers for the state until this node is ready.
func (m *Machine) tickStart() {
	if m.start.ready {
		return
	}
	if m.start.since.IsZero() {
		m.start.since = m.now
	}
	roundOver := !m.now.Before(m.start.nextAsk)
	if m.start.settled() || roundOver {
		m.adopt()
	}
	if m.start.hasTarget && m.control.Offset() >= m.start.target {
		m.becomeReady()
		return
	}
	if roundOver {
		m.askPeers()
	}
}

// adopt takes the highest offset of the ready peers that answered as the target.
func (m *Machine) adopt() {
	best, found := m.start.best()
	if !found {
		return
	}
	m.start.target = best.offer.Offset
	m.start.hasTarget = true
	if best.offer.Offset > m.control.Offset() {
		m.want(best.from, best.offer.Offset)
	}
}

// askPeers begins a round: it asks some peers, of different zones first.
func (m *Machine) askPeers() {
	m.start.nextAsk = m.now.Add(askInterval)
	m.start.asked = m.start.asked[:0]
	m.start.answers = m.start.answers[:0]
	for _, peer := range m.choosePeers(askFanout) {
		m.start.asked = append(m.start.asked, peer.ID)
		m.send(peer, ask{})
	}
}

// choosePeers returns some peers at random, one of each zone before any second
// one of a zone.
func (m *Machine) choosePeers(count int) []cluster.Node {
	peers := m.peers()
	m.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var chosen, rest []cluster.Node
	for _, peer := range peers {
		if hasZone(chosen, peer) {
			rest = append(rest, peer)
			continue
		}
		chosen = append(chosen, peer)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(count, len(chosen))]
}

// hasZone reports whether one of the nodes stands in the zone of another.
func hasZone(nodes []cluster.Node, other cluster.Node) bool {
	for _, node := range nodes {
		if node.Region == other.Region && node.Zone == other.Zone {
			return true
		}
	}
	return false
}

// mayReadAtStart reports whether a starting node should read the log itself:
// it has waited for long, it knows no peer, or it is one of its zone's readers
// and its peers are starting too. What it reads there is the truth, so this can't
// bring an older state than the peers have.
func (m *Machine) mayReadAtStart() bool {
	waited := m.now.Sub(m.start.since)
	if waited >= patience || waited >= aloneAfter && len(m.peers()) == 0 {
		return true
	}
	_, found := m.start.best()
	return m.reader.elected && !found && m.start.settled()
}

// becomeReady ends the start; neighbours that start too learn it at once.
func (m *Machine) becomeReady() {
	if m.start.ready {
		return
	}
	m.start = startPhase{ready: true}
	for _, neighbour := range m.options.Neighbours() {
		m.send(neighbour, m.offer())
	}
}
