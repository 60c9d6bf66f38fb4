package membership

import (
	"time"

	"dalehook/internal/cluster"
)

// newsKind says which table a piece of news is from.
type newsKind uint8

const (
	memberNews newsKind = iota
	backendNews
)

// news names a fact that is yet to be told to the neighbours. The fact itself is
// read when it is sent, so that only the newest state travels.
type news struct {
	kind newsKind
	key  string
	// source is the node the fact came from; it is not told again.
	source cluster.NodeID
}

// newsKey tells pieces of news apart.
type newsKey struct {
	kind newsKind
	key  string
}

// spreadQueue holds news in the order in which it came, each fact once.
type spreadQueue struct {
	waiting []news
	queued  map[newsKey]struct{}
}

// add queues a fact. A fact that waits already is sent to every neighbour, since
// it now has two sources.
func (q *spreadQueue) add(kind newsKind, key string, source cluster.NodeID) {
	name := newsKey{kind: kind, key: key}
	if _, waits := q.queued[name]; waits {
		for i := range q.waiting {
			if q.waiting[i].kind == kind && q.waiting[i].key == key {
				q.waiting[i].source = ""
			}
		}
		return
	}
	if q.queued == nil {
		q.queued = map[newsKey]struct{}{}
	}
	q.queued[name] = struct{}{}
	q.waiting = append(q.waiting, news{kind: kind, key: key, source: source})
}

// take removes the oldest news, at most limit.
func (q *spreadQueue) take(limit int) []news {
	count := min(limit, len(q.waiting))
	taken := q.waiting[:count]
	q.waiting = q.waiting[count:]
	for _, item := range taken {
		delete(q.queued, newsKey{kind: item.kind, key: item.key})
	}
	return taken
}

// sendNews tells the neighbours the oldest facts that wait, in one bounded
// message each.
func (m *Machine) sendNews() {
	if len(m.news.waiting) == 0 || m.now.Before(m.nextSpread) {
		return
	}
	m.nextSpread = m.now.Add(m.options.SpreadInterval)
	batch := m.news.take(maxFacts)
	for _, n := range m.neighbours {
		message := m.collect(batch, n.node.ID)
		if len(message.Members)+len(message.Backends) > 0 {
			m.send(n.node, message)
		}
	}
}

// collect reads the facts of a batch that did not come from the receiver.
func (m *Machine) collect(batch []news, receiver cluster.NodeID) facts {
	var message facts
	for _, item := range batch {
		if item.source == receiver {
			continue
		}
		if item.kind == backendNews {
			if known := m.backends.find(item.key); known != nil {
				live := known.fact.Machine.State == cluster.StateLive
				message.Backends = append(message.Backends, m.backendFact(known, live))
			}
			continue
		}
		if item.key == string(m.options.Self.ID) {
			message.Members = append(message.Members, m.selfFact(m.sequence == 0))
			continue
		}
		if known := m.members.find(item.key); known != nil {
			joined := known.fact.state == StateAlive && known.fact.sequence == 0
			message.Members = append(message.Members, m.memberFact(known, joined))
		}
	}
	return message
}

// selfFact returns this node's own state.
func (m *Machine) selfFact(full bool) memberFact {
	own := &row[member]{fact: member{node: m.options.Self, sequence: m.sequence, state: m.state}}
	return m.memberFact(own, full)
}

// memberFact returns a member's state; full includes zone and addresses.
func (m *Machine) memberFact(known *row[member], full bool) memberFact {
	fact := memberFact{
		ID:          known.fact.node.ID,
		Incarnation: known.fact.node.Incarnation,
		Sequence:    known.fact.sequence,
		State:       known.fact.state,
		AgeSeconds:  m.age(known.deadAt),
	}
	if full {
		fact.Zone = known.fact.node.Zone
		fact.Region = known.fact.node.Region
		fact.PeerAddress = known.fact.node.PeerAddress
		fact.ClientAddress = known.fact.node.ClientAddress
	}
	return fact
}

// backendFact returns a back end's state; full includes what it is and where.
func (m *Machine) backendFact(known *row[BackendRumor], full bool) backendFact {
	subject := known.fact.Machine
	fact := backendFact{
		ID:          subject.ID,
		Incarnation: subject.Incarnation,
		Sequence:    known.fact.Sequence,
		State:       subject.State,
		Listed:      known.fact.Listed,
		AgeSeconds:  m.age(known.deadAt),
	}
	if full {
		fact.Kind = subject.Kind
		fact.Pool = subject.Pool
		fact.Zone = subject.Zone
		fact.Region = subject.Region
		fact.Address = subject.Address
	}
	return fact
}

// age returns the seconds since a death, zero for the living. It is rounded up,
// so that a death that is told on and on ages all the same.
func (m *Machine) age(deadAt time.Time) uint32 {
	if deadAt.IsZero() {
		return 0
	}
	return uint32((max(0, m.now.Sub(deadAt)) + time.Second - 1) / time.Second)
}

// handleFacts takes news and passes on what is new here.
func (m *Machine) handleFacts(from cluster.NodeID, in facts) {
	for _, fact := range in.Members {
		m.learned = m.learnMember(from, fact) || m.learned
	}
	for _, fact := range in.Backends {
		m.learned = m.learnBackend(from, fact) || m.learned
	}
	if in.Last {
		m.endAnswer(from, in.More)
	}
}
