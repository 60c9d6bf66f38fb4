// Package rollout runs the steps of trainers: it accepts a step, holds the
// lease on it, runs its samples on model engines, commits each finished sample
// and hands it to the trainer. It is a state machine without I/O; see
// docs/design/rollout.md.
package rollout

import (
	"math/rand/v2"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/routing"
)

// Options configure a Machine.
type Options struct {
	// Self is this process.
	Self        cluster.Node
	Outbox      *machine.Outbox
	Writer      LogWriter
	Environment Environment
	// Policy chooses engines; nil means routing's default.
	Policy routing.EnginePolicy
	// Seed feeds the jitter of retries.
	Seed uint64
	// Limits bound time and memory; zero fields take their defaults.
	Limits Limits
}

// Machine is the rollout part of one node.
type Machine struct {
	self        cluster.Node
	outbox      *machine.Outbox
	writer      LogWriter
	environment Environment
	policy      routing.EnginePolicy
	limits      Limits
	random      *rand.Rand

	steps map[string]*step
	order sortedNames
	hints ownerHints
	// opened says of each open step whose it is and where it was opened.
	opened   map[string]openedStep
	learned  learned
	settled  settledSteps
	tails    map[string]tailNote
	cadences map[cluster.ModelName]cadence

	posts     map[string]*post
	postOrder sortedNames
	// reads are the trainers' reads at this node, oldest first.
	reads        []*originRead
	readID       uint64
	pendingMoves []pendingMove

	replicaStore *replicaStore
	avoidances   map[cluster.BackendID]avoidance
	budget       retryBudget
	subscribed   sortedNames

	// seenAt is the time of the last input, wokeAt that of the last wake after a
	// pause.
	seenAt  time.Time
	wokeAt  time.Time
	scanAt  time.Time
	leaving bool
	leaveAt time.Time
}

// randomStream is the second half of the seed of a Machine's random numbers.
const randomStream = 0x726f6c6c6f7574

// New returns a Machine that knows no step.
func New(options Options) *Machine {
	limits := options.Limits.withDefaults()
	policy := options.Policy
	if policy == nil {
		policy, _ = routing.NewEnginePolicy(routing.PolicyDalehook, options.Seed)
	}
	return &Machine{
		self:         options.Self,
		outbox:       options.Outbox,
		writer:       options.Writer,
		environment:  options.Environment,
		policy:       policy,
		limits:       limits,
		random:       rand.New(rand.NewPCG(options.Seed, randomStream)),
		steps:        map[string]*step{},
		hints:        ownerHints{hints: map[string]ownerHint{}},
		opened:       map[string]openedStep{},
		settled:      settledSteps{},
		tails:        map[string]tailNote{},
		cadences:     map[cluster.ModelName]cadence{},
		posts:        map[string]*post{},
		replicaStore: newReplicaStore(limits),
		avoidances:   map[cluster.BackendID]avoidance{},
	}
}

// send leaves an output for the driver.
func (m *Machine) send(output machine.Output) { m.outbox.Add(output) }

// sendTo leaves a message for another node.
func (m *Machine) sendTo(to cluster.NodeID, message any) {
	address := ""
	if node, ok := m.environment.Node(to); ok {
		address = node.PeerAddress
	}
	m.send(machine.SendPeer{To: to, Address: address, Message: message})
}

// reply answers a call.
func (m *Machine) reply(call machine.CallID, body any) {
	m.send(machine.Reply{Call: call, Body: body})
}

// failure returns an error that arose at this node.
func (m *Machine) failure(status int, code machine.Code, step, message string) machine.Failure {
	return machine.Failure{Status: status, Code: code, Message: message, Step: step, Peer: string(m.self.ID)}
}

// all returns the known steps, sorted by id.
func (m *Machine) all() []*step {
	list := make([]*step, 0, len(m.steps))
	for _, id := range m.order.names {
		list = append(list, m.steps[id])
	}
	return list
}

// observe notes the time of an input. After a pause another node may hold the
// steps of this one: nothing is handed over before that is clear.
func (m *Machine) observe(now time.Time) {
	paused := !m.seenAt.IsZero() && now.Sub(m.seenAt) > m.limits.PauseThreshold
	m.seenAt = now
	if !paused {
		return
	}
	m.wokeAt = now
	for _, s := range m.all() {
		if s.phase >= phaseClaiming {
			m.suspend(now, s)
		}
	}
}

// HandleGone drops a call whose caller has gone. It reports whether the call was
// one of this machine's.
func (m *Machine) HandleGone(now time.Time, in machine.CallGone) bool {
	m.observe(now)
	return m.gonePost(in.Call) || m.goneRead(in.Call)
}

// HandleMessage takes a peer's message. It reports whether the message was one
// of this machine's.
func (m *Machine) HandleMessage(now time.Time, in machine.PeerMessage) bool {
	m.observe(now)
	switch message := in.Message.(type) {
	case ReadRequest:
		m.handleReadRequest(now, in.From, in.FromIncarnation, message)
	case ReadHeld:
		m.handleReadHeld(now, in.From, message)
	case ReadAnswer:
		m.handleReadAnswer(now, in.From, message)
	case ReadCancel:
		m.handleReadCancel(in.From, message)
	case OwnerAnnounced:
		m.hints.set(message.Step, ownerHint{node: in.From, incarnation: in.FromIncarnation, epoch: message.Epoch})
	case StepSettled:
		m.handleSettled(message)
	case TailRunning:
		m.handleTail(now, message)
	case StepHandover:
		m.handleHandover(now, message)
	case Mirror:
		m.sendTo(in.From, m.replicaStore.mirror(now, message))
	case MirrorAck:
		m.handleMirrorAck(now, in, message)
	case MirrorForget:
		m.replicaStore.forget(message)
	case MirrorCollect:
		epochs := m.replicaStore.collect(now, message.Step, message.Epoch)
		m.sendTo(in.From, MirrorState{Step: message.Step, Epoch: message.Epoch, Epochs: epochs})
	case MirrorState:
		m.handleMirrorState(now, in, message)
	default:
		return false
	}
	m.movePending(now)
	return true
}

// HandleChange is called after the fold of the control log took an entry.
func (m *Machine) HandleChange(now time.Time, _ record.Entry, change record.Change) {
	m.observe(now)
	if !change.Valid {
		return
	}
	switch body := change.Body.(type) {
	case record.StepOpened:
		m.opened[body.Step] = openedStep{trainer: trainerOf(body), offset: change.Offset}
		m.postOpened(body)
		if s := m.steps[body.Step]; s != nil || m.wantsOpen(body.Step) {
			m.advance(now, m.find(now, body.Step))
		}
	case record.StepClosed:
		m.stepClosed(now, body)
	case record.VersionAnnounced:
		m.cadences[body.Model] = m.cadences[body.Model].add(body.At)
		for _, s := range m.all() {
			m.checkStreams(now, s)
		}
	case record.ViewPublished:
		m.scanAt = time.Time{}
	}
	m.movePending(now)
}

// stepClosed lets go of a step that was closed.
func (m *Machine) stepClosed(now time.Time, closed record.StepClosed) {
	m.learned.take(m.opened[closed.Step].trainer, closed.Lengths)
	delete(m.opened, closed.Step)
	delete(m.settled, closed.Step)
	m.replicaStore.drop(closed.Step)
	if s := m.steps[closed.Step]; s != nil && s.closedAt.IsZero() {
		s.closedAt = now
	}
}

// HandleRestore is called after the fold of the control log was replaced by a
// peer's snapshot.
func (m *Machine) HandleRestore(now time.Time) {
	m.observe(now)
	clear(m.opened)
	control := m.environment.Control()
	m.settled.keepOpen(control)
	for _, open := range control.Steps() {
		m.opened[open.Step] = openedStep{trainer: trainerOf(open)}
		m.postOpened(open)
	}
	for _, model := range control.Models() {
		m.cadences[model] = m.cadences[model].add(control.NewestAt(model))
	}
	m.scanAt = time.Time{}
}

// Tick drives everything that depends on time.
func (m *Machine) Tick(now time.Time) {
	m.observe(now)
	m.tickPosts(now)
	m.scan(now)
	m.tickLeave(now)
	for _, s := range m.all() {
		m.checkStreams(now, s)
	}
	m.schedule(now)
	for _, s := range m.all() {
		m.tickStep(now, s)
	}
	m.tickReads(now)
	m.movePending(now)
	m.replicaStore.expire(now)
}

// tickStep drives one step.
func (m *Machine) tickStep(now time.Time, s *step) {
	if s.phase == phaseOwning {
		m.loadDemand(s)
		m.tellSettled(s)
		m.tellTail(now, s)
		m.moveStragglers(now, s)
		if !s.handing {
			m.flushFinished(now, s)
			m.flushPlacements(now, s)
		}
		if !s.sure {
			m.followLog(now, s)
		}
		m.retire(now, s)
	}
	m.flushJournal(now, s)
	m.serveReads(now, s)
}

// subscribe asks for reports of the pools on which this node has samples to run.
func (m *Machine) subscribe() {
	var wanted sortedNames
	for _, s := range m.all() {
		if s.phase == phaseOwning && s.demand.Pool != "" && s.unfinished() > 0 {
			wanted.insert(s.demand.Pool)
		}
	}
	for _, pool := range m.subscribed.clone() {
		if !wanted.has(pool) {
			m.environment.Subscribe(pool, false)
		}
	}
	for _, pool := range wanted.names {
		if !m.subscribed.has(pool) {
			m.environment.Subscribe(pool, true)
		}
	}
	m.subscribed = wanted
}
