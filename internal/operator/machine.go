// Package operator serves the operators' calls: it makes plans from intents,
// keeps them until they are confirmed, and puts a confirmed plan on the control
// log. Who wins a race of confirmations is decided by position on the log, see
// internal/record. The package does no I/O; see internal/machine.
package operator

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/logwriter"
	"dalehook/internal/machine"
	"dalehook/internal/planner"
	"dalehook/internal/record"
)

// Writer appends records; *logwriter.Writer implements it.
type Writer interface {
	Append(now time.Time, log string, body any, done func(now time.Time, result logwriter.Result), options ...logwriter.AppendOption) record.ID
}

// Environment is what a Machine reads of the rest of the node.
type Environment interface {
	// Control returns the fold of the control log.
	Control() *record.Control
	// PlannerSnapshot returns what a plan made now depends on.
	PlannerSnapshot(now time.Time) planner.Snapshot
	// PlanKeepers returns the peers that hold the plan of a digest besides the
	// node that made it.
	PlanKeepers(digest string) []cluster.Node
	// StoreDown reports whether the platform's log cannot be reached.
	StoreDown() bool
}

// Options configure a Machine. All fields are required.
type Options struct {
	Self        cluster.Node
	Outbox      *machine.Outbox
	Writer      Writer
	Environment Environment
}

// The bounds of what a Machine holds.
const (
	// maxPlans is the number of unconfirmed plans that a node keeps.
	maxPlans = 256
	// fetchTimeout is how long peers may take to send a plan.
	fetchTimeout = 1500 * time.Millisecond
	// settleTimeout is how long a confirmation may stay unsettled before it is
	// answered with an unknown outcome.
	settleTimeout = 8 * time.Second
	// retryAfter is what a caller is told when the store is down.
	retryAfter = 5 * time.Second
)

// Machine holds the plans and the open calls of operators at one node.
type Machine struct {
	options  Options
	plans    planMemory
	fetches  []fetch
	confirms []confirmation
}

// fetch is a call that waits for a plan from a peer. Exactly one of its two
// inputs is set.
type fetch struct {
	digest   string
	deadline time.Time
	get      *machine.GetPlan
	confirm  *machine.ConfirmPlan
}

// confirmation is a call that waits for its record to be folded. It confirms the
// plan of a digest, or withdraws an event.
type confirmation struct {
	call     machine.CallID
	id       record.ID
	digest   string
	event    string
	deadline time.Time
}

// New returns a Machine without plans.
func New(options Options) *Machine {
	return &Machine{options: options, plans: newPlanMemory(maxPlans)}
}

// HandlePost makes a plan and keeps it here and at its keepers.
func (m *Machine) HandlePost(now time.Time, in machine.PostPlan) {
	if faults := planner.Check(in.Event); len(faults) > 0 {
		m.fail(in.Call, badField(faults[0]))
		return
	}
	plan := planner.Make(m.options.Environment.PlannerSnapshot(now), in.Event)
	m.plans.put(plan)
	for _, keeper := range m.options.Environment.PlanKeepers(plan.Digest) {
		m.send(keeper, KeepPlan{Plan: plan})
	}
	m.reply(in.Call, machine.PlanMade{Plan: plan})
}

// HandleGet answers with a plan that this node or a keeper holds.
func (m *Machine) HandleGet(now time.Time, in machine.GetPlan) {
	if made, ok := m.find(in.Digest); ok {
		m.reply(in.Call, made)
		return
	}
	m.fetch(now, fetch{digest: in.Digest, get: &in})
}

// HandleConfirm puts a plan on the control log.
func (m *Machine) HandleConfirm(now time.Time, in machine.ConfirmPlan) {
	control := m.options.Environment.Control()
	if event, ok := control.PlanByDigest(in.Digest); ok {
		m.reply(in.Call, machine.PlanInForce{Digest: in.Digest, Revision: event.Revision})
		return
	}
	plan, ok := m.planToConfirm(in)
	switch {
	case in.Plan != nil && !ok:
		m.fail(in.Call, wrongDigest())
	case !ok:
		m.fetch(now, fetch{digest: in.Digest, confirm: &in})
	case in.Revision != plan.Base:
		m.fail(in.Call, wrongRevision(in.Revision, plan.Base))
	case control.Revision() != plan.Base:
		m.fail(in.Call, revisionPassed(control, plan.Base))
	case m.options.Environment.StoreDown():
		m.fail(in.Call, storeDown())
	default:
		m.append(now, in, plan)
	}
}

// planToConfirm returns the plan that the call brought, if its digest is right,
// or else the one that this node holds.
func (m *Machine) planToConfirm(in machine.ConfirmPlan) (record.Plan, bool) {
	if in.Plan == nil {
		return m.plans.get(in.Digest)
	}
	sound := len(planner.Check(in.Plan.Event)) == 0
	return *in.Plan, sound && in.Plan.Digest == in.Digest && planner.Intact(*in.Plan)
}

func (m *Machine) append(now time.Time, in machine.ConfirmPlan, plan record.Plan) {
	body := record.PlanConfirmed{Base: plan.Base, Operator: in.Operator, Plan: plan}
	m.propose(now, body, confirmation{call: in.Call, digest: in.Digest})
}

// propose appends a change of the configuration and waits for the fold.
func (m *Machine) propose(now time.Time, body any, open confirmation) {
	done := func(now time.Time, result logwriter.Result) { m.appended(now, open.call, result) }
	open.id = m.options.Writer.Append(now, record.ControlLog, body, done, logwriter.GiveUpAfter(settleTimeout))
	open.deadline = now.Add(settleTimeout)
	m.confirms = append(m.confirms, open)
}

// appended ends a confirmation whose record is not on the log, or may not be.
// One that is on the log is answered when it is folded.
func (m *Machine) appended(now time.Time, call machine.CallID, result logwriter.Result) {
	switch result.Outcome {
	case logwriter.NotDone:
		m.finish(call, storeDown())
	case logwriter.Unknown:
		m.finish(call, outcomeUnknown())
	}
}

// HandleChange takes what an entry of the control log changed.
func (m *Machine) HandleChange(entry record.Entry, change record.Change) {
	if change.Reason == record.ReasonDuplicate || change.Reason == record.ReasonApplied {
		return
	}
	for _, open := range m.confirms {
		if open.id != entry.Record.ID {
			continue
		}
		if change.Valid {
			m.finish(open.call, m.done(open))
		} else {
			m.finish(open.call, lostTo(change))
		}
		return
	}
}

// done returns the answer to a change that is in force.
func (m *Machine) done(open confirmation) any {
	control := m.options.Environment.Control()
	if open.event != "" {
		return machine.EventOut{Event: open.event, Revision: control.Revision()}
	}
	event, _ := control.PlanByDigest(open.digest)
	return machine.PlanInForce{Digest: open.digest, Revision: event.Revision}
}

// HandleRestore settles open confirmations by a fold that replaced the old one.
func (m *Machine) HandleRestore() {
	control := m.options.Environment.Control()
	for _, open := range append([]confirmation(nil), m.confirms...) {
		_, inForce := control.PlanByDigest(open.digest)
		_, eventInForce := control.Event(open.event)
		if open.event == "" && inForce || open.event != "" && !eventInForce {
			m.finish(open.call, m.done(open))
		}
	}
}

// HandleGone drops a call. It reports whether the call was one of this machine's.
func (m *Machine) HandleGone(in machine.CallGone) bool {
	return m.dropFetch(in.Call) || m.dropConfirm(in.Call)
}

// Tick ends calls whose time is over.
func (m *Machine) Tick(now time.Time) {
	for _, open := range append([]fetch(nil), m.fetches...) {
		if !now.Before(open.deadline) {
			m.dropFetch(open.call())
			m.fail(open.call(), unknownPlan(open.digest))
		}
	}
	for _, open := range append([]confirmation(nil), m.confirms...) {
		if !now.Before(open.deadline) {
			m.finish(open.call, outcomeUnknown())
		}
	}
}

// Busy reports whether calls of operators are open.
func (m *Machine) Busy() bool { return len(m.fetches)+len(m.confirms) > 0 }

// find returns a plan with its confirmation, where there is one.
func (m *Machine) find(digest string) (machine.PlanMade, bool) {
	if event, ok := m.options.Environment.Control().PlanByDigest(digest); ok {
		return machine.PlanMade{Plan: event.Plan, Confirmed: true, Revision: event.Revision}, true
	}
	plan, ok := m.plans.get(digest)
	return machine.PlanMade{Plan: plan}, ok
}

// finish answers an open confirmation.
func (m *Machine) finish(call machine.CallID, body any) {
	if !m.dropConfirm(call) {
		return
	}
	if failure, ok := body.(machine.Failure); ok {
		m.fail(call, failure)
		return
	}
	m.reply(call, body)
}

func (m *Machine) dropConfirm(call machine.CallID) bool {
	for i, open := range m.confirms {
		if open.call == call {
			m.confirms = append(m.confirms[:i], m.confirms[i+1:]...)
			return true
		}
	}
	return false
}

func (m *Machine) dropFetch(call machine.CallID) bool {
	for i, open := range m.fetches {
		if open.call() == call {
			m.fetches = append(m.fetches[:i], m.fetches[i+1:]...)
			return true
		}
	}
	return false
}

func (m *Machine) reply(call machine.CallID, body any) {
	m.options.Outbox.Add(machine.Reply{Call: call, Body: body})
}

func (m *Machine) fail(call machine.CallID, failure machine.Failure) {
	failure.Peer = string(m.options.Self.ID)
	m.reply(call, failure)
}

func (m *Machine) send(to cluster.Node, message any) {
	m.options.Outbox.Add(machine.SendPeer{To: to.ID, Address: to.PeerAddress, Message: message})
}
