// Package quota shares the cluster-wide limits of classes among the nodes by
// their demand. For each class one node, chosen by placement, is the allocator:
// nodes whose traffic is above their reserve ask it for a share, which they
// have on a short lease. Idle nodes send nothing.
//
// What the nodes of a view may use in sum is at most the limit times
// 1 + reserveShare, also when messages are lost, late or doubled, when the
// allocator changes and when the cluster is cut, as long as a node's list of live
// nodes lags by no more than listLag; docs/design/quota.md says what else it
// rests on.
package quota

import (
	"slices"
	"strings"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/placement"
	"dalehook/internal/record"
)

const (
	// reserveShare is the part of a class's limit that is divided evenly and
	// needs no lease.
	reserveShare = 0.25
	// leaseTime is how long a granted share counts, from its Ask on.
	leaseTime = 15 * time.Second
	// listLag is the longest time for which two nodes' lists of live nodes are
	// taken to differ. Membership finds a dead node after 5 s.
	listLag = 6 * time.Second
	// lookEvery is the time between two looks at limits and live nodes.
	lookEvery = 500 * time.Millisecond
	// surveyEvery is the time between two surveys of nodes that did not answer.
	surveyEvery = time.Second
	// pauseThreshold is the jump of its own time after which an allocator begins
	// a new term: others may have taken its place.
	pauseThreshold = time.Second
	// keyPrefix goes before the class in the key by which an allocator is placed.
	keyPrefix = "quota/"
)

// Demand is the recent traffic of one class at this node.
type Demand struct {
	Class string
	// Rate is the number of requests that come each second.
	Rate float64
	// InFlight counts running requests, Queued those that wait.
	InFlight int
	Queued   int
}

// Environment is what the machine reads from the rest of the node.
type Environment interface {
	// Limits returns the limits in force for the whole cluster, sorted by class.
	Limits() []record.ClassLimit
	// View returns the placement view in force.
	View() cluster.View
	// LiveNodes lists the nodes that are alive and not leaving, sorted by id.
	LiveNodes() []cluster.Node
	// Demands returns the traffic of the classes that this node has seen.
	Demands() []Demand
}

// Options configure a Machine.
type Options struct {
	// Self is this process.
	Self cluster.Node
	// Outbox takes the outputs.
	Outbox *machine.Outbox
	// Environment is the rest of the node.
	Environment Environment
}

// class is one class with a limit.
type class struct {
	limit  record.ClassLimit
	holder *holder
	// listed is the allocator by this node's list of live nodes.
	listed cluster.NodeID
	// allocator is set while this node is the class's allocator.
	allocator *allocator
}

// Machine is the state of one node.
type Machine struct {
	options  Options
	classes  []*class
	live     []cluster.Node
	now      time.Time
	nextLook time.Time
}

// New returns a machine that knows no limits.
func New(options Options) *Machine { return &Machine{options: options} }

// Shares returns what this node may use now of each class with a limit, sorted by
// class.
func (m *Machine) Shares(now time.Time) []record.ClassLimit {
	shares := make([]record.ClassLimit, 0, len(m.classes))
	for _, class := range m.classes {
		share := class.holder.share(now)
		limit := class.limit
		limit.Rate = share.Rate
		limit.Concurrent = int(share.Concurrent)
		shares = append(shares, limit)
	}
	return shares
}

// Tick looks at limits, live nodes and demand, and asks where it is time to.
func (m *Machine) Tick(now time.Time) {
	m.advance(now)
	if !now.Before(m.nextLook) {
		m.nextLook = now.Add(lookEvery)
		m.look(now)
	}
	demands := m.options.Environment.Demands()
	for _, class := range m.classes {
		index := slices.IndexFunc(demands, func(d Demand) bool { return d.Class == class.limit.Class })
		if index >= 0 {
			class.holder.setDemand(now, demands[index])
		}
		if class.allocator != nil {
			m.survey(now, class)
			m.rebalance(now, class)
		}
		if class.holder.due(now) {
			m.ask(now, class, 0)
		}
	}
}

// HandleMessage takes a peer's message. It reports whether the message is one of
// this machine's.
func (m *Machine) HandleMessage(now time.Time, in machine.PeerMessage) bool {
	m.advance(now)
	switch message := in.Message.(type) {
	case Ask:
		m.handleAsk(now, in.From, message)
	case Grant:
		m.handleGrant(now, in.From, message)
	case Survey:
		m.handleSurvey(now, in.From, message)
	default:
		return false
	}
	return true
}

// advance moves the time. A node that was paused is no allocator until it has
// looked at the live nodes and begun a new term.
func (m *Machine) advance(now time.Time) {
	if now.Sub(m.now) > pauseThreshold {
		for _, class := range m.classes {
			class.allocator = nil
		}
		m.nextLook = now
	}
	m.now = now
}

// look reads the limits in force and the live nodes.
func (m *Machine) look(now time.Time) {
	environment := m.options.Environment
	m.takeLimits(now, environment.Limits())
	if len(m.classes) == 0 {
		return
	}
	m.live = environment.LiveNodes()
	view := environment.View()
	candidates := visibleMembers(view, m.live)
	visible := 1.0
	if len(view.Members) > 0 {
		visible = float64(len(candidates)) / float64(len(view.Members))
	}
	for _, class := range m.classes {
		class.holder.setLimit(class.limit, max(len(view.Members), len(m.live)))
		owner, _ := placement.Owner(candidates, keyPrefix+class.limit.Class)
		class.listed = owner.ID
		if class.allocator != nil && visible > class.allocator.visible {
			// Another allocator may have served the nodes that have come back.
			class.allocator = nil
		}
		m.place(now, class, view)
		if class.allocator != nil {
			class.allocator.setLimit(class.limit, visible)
		}
	}
}

// takeLimits keeps one class for each limit, in the order of the limits.
func (m *Machine) takeLimits(now time.Time, limits []record.ClassLimit) {
	classes := make([]*class, 0, len(limits))
	for _, limit := range limits {
		index := slices.IndexFunc(m.classes, func(c *class) bool { return c.limit.Class == limit.Class })
		if index < 0 {
			classes = append(classes, &class{limit: limit, holder: newHolder(now, limit.Class)})
			continue
		}
		m.classes[index].limit = limit
		classes = append(classes, m.classes[index])
	}
	m.classes = classes
}

// visibleMembers returns the members of the view that are live. Only they may be
// allocators, so that a node that nobody knows yet is none.
func visibleMembers(view cluster.View, live []cluster.Node) []cluster.Node {
	if len(view.Members) == 0 {
		return live
	}
	members := make(map[cluster.NodeID]bool, len(view.Members))
	for _, member := range view.Members {
		members[member.ID] = true
	}
	return slices.DeleteFunc(slices.Clone(live), func(n cluster.Node) bool { return !members[n.ID] })
}

// place begins or ends this node's term as the allocator of a class.
func (m *Machine) place(now time.Time, class *class, view cluster.View) {
	self := m.options.Self.ID
	if class.holder.allocator(now, class.listed) != self {
		class.allocator = nil
		return
	}
	if class.allocator != nil {
		return
	}
	nodes := make([]cluster.NodeID, 0, len(view.Members)+len(m.live))
	for _, node := range slices.Concat(view.Members, m.live) {
		nodes = append(nodes, node.ID)
	}
	slices.Sort(nodes)
	class.allocator = newAllocator(now, slices.Compact(nodes))
}

// survey asks the nodes that have not answered yet what they hold. Those that are
// leaving answer too; those that are taken for dead may be back.
func (m *Machine) survey(now time.Time, class *class) {
	allocator := class.allocator
	if allocator.settled(now) || now.Before(allocator.nextSurvey) {
		return
	}
	allocator.nextSurvey = now.Add(surveyEvery)
	for _, id := range slices.Clone(allocator.missing) {
		if id == m.options.Self.ID {
			m.ask(now, class, allocator.term)
			continue
		}
		m.send(id, Survey{Class: class.limit.Class, Term: allocator.term})
	}
}

func (m *Machine) liveNode(id cluster.NodeID) (cluster.Node, bool) {
	index, found := slices.BinarySearchFunc(m.live, id, func(node cluster.Node, id cluster.NodeID) int {
		return strings.Compare(string(node.ID), string(id))
	})
	if !found {
		return cluster.Node{}, false
	}
	return m.live[index], true
}

// rebalance sends out grants that nobody asked for.
func (m *Machine) rebalance(now time.Time, class *class) {
	for _, push := range class.allocator.rebalance(now) {
		push.grant.Class = class.limit.Class
		if push.to == m.options.Self.ID {
			m.accept(now, class, push.to, push.grant)
		} else {
			m.send(push.to, push.grant)
		}
	}
}

// ask sends an Ask to the allocator, or answers it here when that is this node.
func (m *Machine) ask(now time.Time, class *class, term uint64) {
	allocator := class.holder.allocator(now, class.listed)
	if allocator == "" {
		return
	}
	ask := class.holder.ask(now, allocator)
	ask.Term = term
	if allocator != m.options.Self.ID {
		m.send(allocator, ask)
		return
	}
	if class.allocator == nil {
		return
	}
	if grant, due := class.allocator.handle(now, allocator, ask); due {
		m.accept(now, class, allocator, grant)
	}
}

// accept takes a grant, and tells the allocator at once when the share shrank:
// others wait for it.
func (m *Machine) accept(now time.Time, class *class, from cluster.NodeID, grant Grant) {
	if class.holder.accept(now, from, grant) {
		m.ask(now, class, 0)
	}
}

func (m *Machine) handleAsk(now time.Time, from cluster.NodeID, ask Ask) {
	class := m.find(ask.Class)
	if class == nil || class.allocator == nil {
		return
	}
	grant, due := class.allocator.handle(now, from, ask)
	if !due {
		return
	}
	grant.Class = ask.Class
	m.send(from, grant)
}

func (m *Machine) handleGrant(now time.Time, from cluster.NodeID, grant Grant) {
	if class := m.find(grant.Class); class != nil {
		m.accept(now, class, from, grant)
	}
}

// handleSurvey answers a new allocator. Nodes that this one takes for dead, and
// an allocator ranked below this node while it is the allocator itself, get no
// answer and have to wait until all leases have run out.
func (m *Machine) handleSurvey(now time.Time, from cluster.NodeID, survey Survey) {
	class := m.find(survey.Class)
	node, live := m.liveNode(from)
	if class == nil || !live {
		return
	}
	if class.allocator != nil {
		better, _ := placement.Owner([]cluster.Node{m.options.Self, node}, keyPrefix+survey.Class)
		if better.ID == m.options.Self.ID {
			return
		}
		class.allocator = nil
	}
	class.holder.pin(now, from)
	m.ask(now, class, survey.Term)
}

func (m *Machine) find(name string) *class {
	index := slices.IndexFunc(m.classes, func(c *class) bool { return c.limit.Class == name })
	if index < 0 {
		return nil
	}
	return m.classes[index]
}

// send sends a message to a node by its name; core fills in the address.
func (m *Machine) send(to cluster.NodeID, message any) {
	m.options.Outbox.Add(machine.SendPeer{To: to, Message: message})
}
