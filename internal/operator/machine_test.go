package operator_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/cluster"
	"dalehook/internal/logwriter"
	"dalehook/internal/machine"
	"dalehook/internal/operator"
	"dalehook/internal/planner"
	"dalehook/internal/record"
)

var start = time.Date(2026, 12, 7, 8, 0, 0, 0, time.UTC)

// bench is one operator machine with its fold and writer; the test plays the log.
type bench struct {
	outbox  machine.Outbox
	control *record.Control
	writer  *logwriter.Writer
	machine *operator.Machine
	keepers []cluster.Node
	down    bool
}

func newBench() *bench {
	b := &bench{control: record.NewControl()}
	self := cluster.Node{ID: "node-1", Incarnation: 1}
	b.writer = logwriter.New(logwriter.Options{Outbox: &b.outbox, Self: self})
	b.machine = operator.New(operator.Options{Self: self, Outbox: &b.outbox, Writer: b.writer, Environment: b})
	return b
}

func (b *bench) Control() *record.Control                 { return b.control }
func (b *bench) PlanKeepers(digest string) []cluster.Node { return b.keepers }
func (b *bench) StoreDown() bool                          { return b.down }
func (b *bench) PlannerSnapshot(now time.Time) planner.Snapshot {
	return planner.Snapshot{Now: now, Revision: b.control.Revision(), Events: b.control.Events()}
}

// fold puts a record on the log.
func (b *bench) fold(written record.Record) {
	entry := record.Entry{Offset: b.control.Offset() + 1, Record: written}
	change := b.control.Apply(entry)
	b.writer.HandleEntry(start, record.ControlLog, entry)
	b.machine.HandleChange(entry, change)
}

// replies returns the answers since the last call, with failures by their code.
func (b *bench) replies() map[machine.CallID]any {
	found := map[machine.CallID]any{}
	for _, output := range b.outbox.Take() {
		if reply, ok := output.(machine.Reply); ok {
			found[reply.Call] = reply.Body
			if failure, failed := reply.Body.(machine.Failure); failed {
				found[reply.Call] = failure.Code
			}
		}
	}
	return found
}

// appended returns the record that the machine asked to append last.
func (b *bench) appended(t *testing.T) record.Record {
	t.Helper()
	var last *record.Record
	for _, output := range b.outbox.Take() {
		if wanted, ok := output.(machine.AppendLog); ok {
			last = &wanted.Record
		}
	}
	if last == nil {
		t.Fatal("nothing was appended")
	}
	return *last
}

func event(name string) record.Event {
	return record.Event{
		Name: name, Start: start.Add(time.Hour), Duration: record.Duration(time.Hour), Crowd: 10,
		Services: []record.ServiceDemand{{Service: "exam", RequestsPerCaller: 1}},
	}
}

func (b *bench) plan(t *testing.T, name string) record.Plan {
	t.Helper()
	b.machine.HandlePost(start, machine.PostPlan{Call: 99, Event: event(name)})
	made, ok := b.replies()[99].(machine.PlanMade)
	if !ok {
		t.Fatal("no plan was made")
	}
	return made.Plan
}

func confirmed(plan record.Plan, id record.ID) record.Record {
	return record.Record{ID: id, Body: record.PlanConfirmed{Base: plan.Base, Operator: "other", Plan: plan}}
}

func confirm(call machine.CallID, plan record.Plan) machine.ConfirmPlan {
	return machine.ConfirmPlan{Call: call, Digest: plan.Digest, Revision: plan.Base}
}

func TestConfirm(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, b *bench)
		want map[machine.CallID]any
	}{
		{"in force once folded", func(t *testing.T, b *bench) {
			plan := b.plan(t, "exam week")
			b.machine.HandleConfirm(start, confirm(1, plan))
			b.fold(b.appended(t))
		}, map[machine.CallID]any{1: 1}},
		{"twice is the same as once", func(t *testing.T, b *bench) {
			plan := b.plan(t, "exam week")
			b.fold(confirmed(plan, "other.1"))
			b.machine.HandleConfirm(start, confirm(1, plan))
		}, map[machine.CallID]any{1: 1}},
		{"another plan came first", func(t *testing.T, b *bench) {
			mine, theirs := b.plan(t, "mine"), b.plan(t, "theirs")
			b.machine.HandleConfirm(start, confirm(1, mine))
			late := b.appended(t)
			b.fold(confirmed(theirs, "other.1"))
			b.fold(late)
		}, map[machine.CallID]any{1: machine.CodeRevisionChanged}},
		{"the plan is out of date", func(t *testing.T, b *bench) {
			mine, theirs := b.plan(t, "mine"), b.plan(t, "theirs")
			b.fold(confirmed(theirs, "other.1"))
			b.machine.HandleConfirm(start, confirm(1, mine))
		}, map[machine.CallID]any{1: machine.CodeRevisionChanged}},
		{"withdrawn once folded", func(t *testing.T, b *bench) {
			b.fold(confirmed(b.plan(t, "exam week"), "other.1"))
			b.machine.HandleWithdraw(start, machine.WithdrawEvent{Call: 1, Event: "exam week", Revision: 1})
			b.fold(b.appended(t))
		}, map[machine.CallID]any{1: machine.EventOut{Event: "exam week", Revision: 2}}},
		{"withdrawn twice", func(_ *testing.T, b *bench) {
			b.machine.HandleWithdraw(start, machine.WithdrawEvent{Call: 1, Event: "exam week", Revision: 7})
		}, map[machine.CallID]any{1: machine.EventOut{Event: "exam week"}}},
		{"withdrawn out of date", func(t *testing.T, b *bench) {
			b.fold(confirmed(b.plan(t, "exam week"), "other.1"))
			b.machine.HandleWithdraw(start, machine.WithdrawEvent{Call: 1, Event: "exam week"})
		}, map[machine.CallID]any{1: machine.CodeRevisionChanged}},
		{"the store is down", func(t *testing.T, b *bench) {
			plan := b.plan(t, "exam week")
			b.down = true
			b.machine.HandleConfirm(start, confirm(1, plan))
		}, map[machine.CallID]any{1: machine.CodeStoreDown}},
		{"the answer is lost and the record never shows", func(t *testing.T, b *bench) {
			plan := b.plan(t, "exam week")
			b.machine.HandleConfirm(start, confirm(1, plan))
			id := b.appended(t).ID
			b.writer.HandleResult(start, machine.AppendResult{Log: record.ControlLog, ID: id, Outcome: machine.AppendUnknown})
			b.writer.Tick(start.Add(time.Minute))
		}, map[machine.CallID]any{1: machine.CodeOutcomeUnknown}},
		{"the plan was changed on the way", func(t *testing.T, b *bench) {
			plan := b.plan(t, "exam week")
			plan.Event.Crowd = 1
			call := confirm(1, plan)
			call.Plan = &plan
			b.machine.HandleConfirm(start, call)
		}, map[machine.CallID]any{1: machine.CodeBadRequest}},
		{"nobody knows the plan", func(_ *testing.T, b *bench) {
			b.machine.HandleConfirm(start, machine.ConfirmPlan{Call: 1, Digest: "none"})
		}, map[machine.CallID]any{1: machine.CodeUnknownPlan}},
		{"no keeper answers", func(_ *testing.T, b *bench) {
			b.keepers = []cluster.Node{{ID: "node-2"}}
			b.machine.HandleConfirm(start, machine.ConfirmPlan{Call: 1, Digest: "none"})
			b.machine.Tick(start.Add(time.Minute))
		}, map[machine.CallID]any{1: machine.CodeUnknownPlan}},
		{"a keeper sends the plan", func(t *testing.T, b *bench) {
			plan := newBench().plan(t, "exam week")
			b.keepers = []cluster.Node{{ID: "node-2"}}
			b.machine.HandleConfirm(start, confirm(1, plan))
			b.machine.HandleMessage(start, machine.PeerMessage{From: "node-2", Message: operator.KeepPlan{Plan: plan}})
			b.fold(b.appended(t))
		}, map[machine.CallID]any{1: 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := newBench()
			test.run(t, b)
			got := b.replies()
			for call, body := range got {
				if inForce, ok := body.(machine.PlanInForce); ok {
					got[call] = int(inForce.Revision)
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Fatalf("answers (-want +got):\n%s", diff)
			}
			if b.machine.Busy() {
				t.Fatal("a call is still open")
			}
		})
	}
}
