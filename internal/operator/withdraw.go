package operator

import (
	"time"

	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// HandleWithdraw takes an event out of force. Withdrawing twice is the same as
// once, and so is withdrawing an event that was never in force.
func (m *Machine) HandleWithdraw(now time.Time, in machine.WithdrawEvent) {
	control := m.options.Environment.Control()
	_, inForce := control.Event(in.Event)
	switch {
	case !inForce:
		m.reply(in.Call, machine.EventOut{Event: in.Event, Revision: control.Revision()})
	case control.Revision() != in.Revision:
		m.fail(in.Call, revisionPassed(control, in.Revision))
	case m.options.Environment.StoreDown():
		m.fail(in.Call, storeDown())
	default:
		body := record.EventWithdrawn{Base: in.Revision, Operator: in.Operator, Event: in.Event}
		m.propose(now, body, confirmation{call: in.Call, event: in.Event})
	}
}
