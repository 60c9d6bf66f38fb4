package operator

import (
	"time"

	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// KeepPlan hands a plan to one of its keepers.
type KeepPlan struct{ Plan record.Plan }

// WantPlan asks a keeper for a plan.
type WantPlan struct{ Digest string }

func init() {
	machine.RegisterMessage("operator.KeepPlan", KeepPlan{})
	machine.RegisterMessage("operator.WantPlan", WantPlan{})
}

// call returns the call that waits.
func (f fetch) call() machine.CallID {
	if f.get != nil {
		return f.get.Call
	}
	return f.confirm.Call
}

// fetch asks the keepers of a digest for its plan.
func (m *Machine) fetch(now time.Time, open fetch) {
	keepers := m.options.Environment.PlanKeepers(open.digest)
	if len(keepers) == 0 {
		m.fail(open.call(), unknownPlan(open.digest))
		return
	}
	open.deadline = now.Add(fetchTimeout)
	m.fetches = append(m.fetches, open)
	for _, keeper := range keepers {
		m.send(keeper, WantPlan{Digest: open.digest})
	}
}

// HandleMessage takes a peer's message. It reports whether the message is one
// of this machine's.
func (m *Machine) HandleMessage(now time.Time, in machine.PeerMessage) bool {
	switch message := in.Message.(type) {
	case KeepPlan:
		m.plans.put(message.Plan)
		m.resume(now, message.Plan.Digest)
	case WantPlan:
		if made, ok := m.find(message.Digest); ok {
			m.options.Outbox.Add(machine.SendPeer{To: in.From, Message: KeepPlan{Plan: made.Plan}})
		}
	default:
		return false
	}
	return true
}

// resume goes on with the calls that waited for a plan.
func (m *Machine) resume(now time.Time, digest string) {
	for _, open := range append([]fetch(nil), m.fetches...) {
		if open.digest != digest {
			continue
		}
		m.dropFetch(open.call())
		if open.get != nil {
			m.HandleGet(now, *open.get)
		} else {
			m.HandleConfirm(now, *open.confirm)
		}
	}
}

// planMemory keeps the newest plans, the oldest going first.
type planMemory struct {
	limit int
	order []string
	plans map[string]record.Plan
}

func newPlanMemory(limit int) planMemory {
	return planMemory{limit: limit, plans: map[string]record.Plan{}}
}

func (p *planMemory) get(digest string) (record.Plan, bool) {
	plan, ok := p.plans[digest]
	return plan, ok
}

func (p *planMemory) put(plan record.Plan) {
	if _, ok := p.plans[plan.Digest]; ok {
		return
	}
	p.plans[plan.Digest] = plan
	p.order = append(p.order, plan.Digest)
	if len(p.order) > p.limit {
		delete(p.plans, p.order[0])
		p.order = p.order[1:]
	}
}
