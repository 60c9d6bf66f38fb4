// Package request decides where callers' requests to services run and what is
// answered: repeatable requests may be tried again within a budget, unrepeatable
// ones run at most once.
package request

import (
	"time"

	"dalehook/internal/admission"
	"dalehook/internal/cluster"
	"dalehook/internal/idempotency"
	"dalehook/internal/machine"
	"dalehook/internal/routing"
)

// Defaults of the limits.
const (
	defaultLeaveGrace   = 3 * time.Second
	defaultLeaveTimeout = 30 * time.Second
	defaultMostAttempts = 3
	defaultDeadline     = 30 * time.Second

	// plansEvery is the time between two looks at the shedding order in force.
	plansEvery = time.Second
)

// Options configure a Machine. Zero limits take defaults.
type Options struct {
	// Self is this process.
	Self cluster.Node
	// Outbox takes the outputs.
	Outbox *machine.Outbox
	// Environment is the rest of the node.
	Environment Environment
	// Seed feeds the choices between servers.
	Seed uint64
	// LeaveGrace is how long a leaving node goes on taking calls, since callers'
	// lists lag.
	LeaveGrace time.Duration
	// LeaveTimeout bounds the wait for the successors of the node's markers,
	// counted from Leave.
	LeaveTimeout time.Duration
	// MostAttempts bounds how often one request is sent.
	MostAttempts int
	// Deadline is that of a call that names none.
	Deadline time.Duration
	// Admission bounds queues and retries.
	Admission admission.Options
	// KeyLifetime, MostKeys, MostKeyBytes and MostAnswer are the limits of
	// idempotency.Options.
	KeyLifetime  time.Duration
	MostKeys     int
	MostKeyBytes int
	MostAnswer   int
}

// withDefaults fills in the limits.
func (o Options) withDefaults() Options {
	if o.LeaveGrace == 0 {
		o.LeaveGrace = defaultLeaveGrace
	}
	if o.LeaveTimeout == 0 {
		o.LeaveTimeout = defaultLeaveTimeout
	}
	if o.MostAttempts == 0 {
		o.MostAttempts = defaultMostAttempts
	}
	if o.Deadline == 0 {
		o.Deadline = defaultDeadline
	}
	return o
}

// Machine is the state of all open service calls of one node.
type Machine struct {
	options   Options
	keys      *idempotency.Machine
	admission *admission.Controller
	chooser   *routing.ServerChooser
	calls     map[machine.CallID]*call
	// sent holds the attempts without a result.
	sent map[attemptKey]sentAttempt
	// services holds the services with calls, in the order of their first one.
	services []string
	// lapsed holds calls whose right to be sent was gone when their turn came.
	lapsed    []*call
	now       time.Time
	nextPlans time.Time
	// leavesAt ends the grace of a planned stop, leftAt its wait for successors;
	// both zero while there is none.
	leavesAt time.Time
	leftAt   time.Time
	stats    Stats
}

// Stats counts what the machine has done since its start, and what it holds.
type Stats struct {
	Calls    uint64
	Answered uint64
	// Replayed counts answers from the record of an earlier request.
	Replayed uint64
	Refused  uint64
	// Shed counts the refused calls that made room for a class that goes later.
	Shed uint64
	// Retries counts attempts after the first one.
	Retries uint64
	// Unknown counts calls answered with "outcome unknown".
	Unknown uint64
	Open    int
	Queued  int
	Keys    idempotency.Stats
}

// New returns a machine without calls.
func New(options Options) *Machine {
	options = options.withDefaults()
	return &Machine{
		options: options,
		keys: idempotency.New(idempotency.Options{
			Self:        options.Self,
			Outbox:      options.Outbox,
			Environment: options.Environment,
			Lifetime:    options.KeyLifetime,
			MostKeys:    options.MostKeys,
			MostBytes:   options.MostKeyBytes,
			MostAnswer:  options.MostAnswer,
		}),
		admission: admission.New(options.Admission),
		chooser:   routing.NewServerChooser(routing.ServerChooserOptions{Zone: options.Self.Zone, Seed: options.Seed}),
		calls:     make(map[machine.CallID]*call),
		sent:      make(map[attemptKey]sentAttempt),
	}
}

// HandleCall takes a caller's request.
func (m *Machine) HandleCall(now time.Time, input machine.ServiceCall) {
	m.now = now
	m.stats.Calls++
	m.accept(now, newCall(now, input, m.options, m.keys.Lifetime()))
	m.settle(now)
}

// HandleResult takes the end of an attempt. Results of unknown attempts, doubled
// ones among them, are ignored.
func (m *Machine) HandleResult(now time.Time, result machine.ServiceResult) {
	m.now = now
	m.endAttempt(now, result)
	m.settle(now)
}

// HandleGone takes that a caller has closed its connection. It reports whether
// the call is one of this machine's.
func (m *Machine) HandleGone(now time.Time, gone machine.CallGone) bool {
	m.now = now
	c := m.calls[gone.Call]
	if c == nil {
		return false
	}
	m.callerGone(now, c)
	m.settle(now)
	return true
}

// HandleMessage takes a peer's message. It reports whether the message is one of
// this machine's.
func (m *Machine) HandleMessage(now time.Time, message machine.PeerMessage) bool {
	m.now = now
	taken := m.keys.HandleMessage(now, message)
	if taken {
		m.settle(now)
	}
	return taken
}

// HandleView takes a placement view that came into force; views come in the
// order of their numbers. First says that it is the first view on the log.
func (m *Machine) HandleView(now time.Time, view cluster.View, first bool) {
	m.now = now
	m.keys.HandleView(now, view, first)
	m.settle(now)
}

// Tick drives everything that depends on time.
func (m *Machine) Tick(now time.Time) {
	m.now = now
	if !now.Before(m.nextPlans) {
		m.nextPlans = now.Add(plansEvery)
		m.readShedOrder()
		m.forgetBackends()
	}
	m.readShares()
	m.keys.Tick(now)
	m.expireAttempts(now)
	m.drainWithoutBackend(now)
	m.admission.Tick(now)
	m.settle(now)
}

// readShedOrder takes the shedding order in force.
func (m *Machine) readShedOrder() { m.admission.SetShedOrder(m.options.Environment.ShedOrder()) }

// readShares takes what this node may use of the limits in force.
func (m *Machine) readShares() { m.admission.SetShares(m.options.Environment.Shares(m.now)) }

// Demands returns the recent traffic of each class that had a call.
func (m *Machine) Demands() []admission.Demand { return m.admission.Demands() }

// forgetBackends drops what is known of servers that no longer exist.
func (m *Machine) forgetBackends() {
	known := make(map[cluster.BackendID]bool)
	for _, service := range m.services {
		for _, server := range m.options.Environment.Servers(service) {
			known[server.ID] = true
		}
	}
	keep := func(id cluster.BackendID) bool { return known[id] }
	m.admission.Forget(keep)
	m.chooser.Forget(keep)
}

// Leave begins the planned stop: calls are taken for the grace time, then refused;
// what runs is finished, and markers stay until their successors hold them.
func (m *Machine) Leave(now time.Time) {
	m.now = now
	if !m.leavesAt.IsZero() {
		return
	}
	m.leavesAt = now.Add(m.options.LeaveGrace)
	m.leftAt = now.Add(m.options.LeaveTimeout)
	m.keys.Leave()
}

// leaving reports whether new calls are refused.
func (m *Machine) leaving(now time.Time) bool {
	return !m.leavesAt.IsZero() && !now.Before(m.leavesAt)
}

// Busy reports whether calls or markers are left that a planned stop waits for.
func (m *Machine) Busy() bool {
	if len(m.calls) > 0 {
		return true
	}
	if m.leavesAt.IsZero() {
		return m.keys.Stats().Open > 0
	}
	if m.now.Before(m.leavesAt) {
		return true
	}
	if !m.now.Before(m.leftAt) {
		return false
	}
	if m.options.Environment.Nodes() <= 1 {
		// There is no successor to wait for.
		return m.keys.Stats().Open > 0
	}
	return m.keys.Busy()
}

// Stats returns the counters.
func (m *Machine) Stats() Stats {
	stats := m.stats
	stats.Open = len(m.calls)
	stats.Queued = m.admission.Queued()
	stats.Keys = m.keys.Stats()
	return stats
}

// settle carries out what follows from an input until nothing more does.
func (m *Machine) settle(now time.Time) {
	for {
		events := m.keys.TakeEvents()
		for _, event := range events {
			m.handleKeyEvent(now, event)
		}
		m.admission.Dispatch(now, func(item admission.Item) bool { return m.place(now, item) })
		refusals := m.admission.TakeRefused()
		for _, refusal := range refusals {
			m.refuseQueued(now, refusal)
		}
		lapsed := m.takeLapsed(now)
		if len(events) == 0 && len(refusals) == 0 && lapsed == 0 {
			return
		}
	}
}
