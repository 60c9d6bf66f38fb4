package request

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

var start = time.Date(2026, 1, 5, 9, 0, 1, 0, time.UTC)

// fakeEnvironment is a node alone in its view, with three servers.
type fakeEnvironment struct {
	view    cluster.View
	servers []Server
	limits  []record.ClassLimit
	leaving []cluster.BackendID
	failed  []cluster.BackendID
}

func (e *fakeEnvironment) View() cluster.View                   { return e.view }
func (e *fakeEnvironment) PreviousView() cluster.View           { return cluster.View{} }
func (e *fakeEnvironment) Alive(cluster.NodeID) bool            { return true }
func (e *fakeEnvironment) Nodes() int                           { return 1 }
func (e *fakeEnvironment) Servers(string) []Server              { return e.servers }
func (e *fakeEnvironment) KnownService(service string) bool     { return service != "nobody" }
func (e *fakeEnvironment) ClassOf(service string) string        { return service }
func (e *fakeEnvironment) Limits() []record.ClassLimit          { return e.limits }
func (e *fakeEnvironment) Shares(time.Time) []record.ClassLimit { return e.limits }
func (e *fakeEnvironment) ShedOrder() []string                  { return nil }
func (e *fakeEnvironment) ObserveAnswer(_ time.Time, backend cluster.BackendID, _ int, leaving bool) {
	if leaving {
		e.leaving = append(e.leaving, backend)
	}
}
func (e *fakeEnvironment) ObserveFailure(_ time.Time, backend cluster.BackendID, _ string) {
	e.failed = append(e.failed, backend)
}

// fixture is a machine with its outputs.
type fixture struct {
	*testing.T
	machine *Machine
	outbox  *machine.Outbox
	env     *fakeEnvironment
	now     time.Time
}

func newFixture(t *testing.T) *fixture {
	self := cluster.Node{ID: "n1", Incarnation: 1, Zone: "z1"}
	f := &fixture{T: t, outbox: &machine.Outbox{}, now: start}
	f.env = &fakeEnvironment{
		view: cluster.View{Number: 5, Members: []cluster.Node{self}},
		servers: []Server{
			{ID: "s1", Address: "s1:1", Zone: "z1", Usable: true},
			{ID: "s2", Address: "s2:1", Zone: "z1", Usable: true},
			{ID: "s3", Address: "s3:1", Zone: "z2", Usable: true},
		},
	}
	f.machine = New(Options{Self: self, Outbox: f.outbox, Environment: f.env, Seed: 1, MostAnswer: 100})
	f.machine.HandleView(f.now, f.env.view, true)
	return f
}

// call takes a call and returns what it led to.
func (f *fixture) call(id machine.CallID, key string) []machine.Output {
	f.machine.HandleCall(f.now, machine.ServiceCall{
		Call: id, Service: "save", Key: key, Unrepeatable: key != "", Digest: "d", Deadline: f.now.Add(5 * time.Second),
	})
	return f.outbox.Take()
}

// sent returns the single order to send among outputs.
func (f *fixture) sent(outputs []machine.Output) machine.SendService {
	f.Helper()
	if len(outputs) == 1 {
		if send, ok := outputs[0].(machine.SendService); ok {
			return send
		}
	}
	f.Fatalf("outputs %+v, want one SendService", outputs)
	return machine.SendService{}
}

// end gives an attempt's result and returns what it led to.
func (f *fixture) end(send machine.SendService, outcome machine.SendOutcome, body string) []machine.Output {
	result := machine.ServiceResult{
		Call: send.Call, Attempt: send.Attempt, Backend: send.Backend, Outcome: outcome, Load: 1, Took: time.Millisecond,
	}
	if outcome == machine.SendAnswered && !send.Relay {
		result.Response = &machine.Response{Status: 200, Body: []byte(body)}
	}
	f.machine.HandleResult(f.now, result)
	return f.outbox.Take()
}

// failure returns the failure of a call among outputs.
func (f *fixture) failure(outputs []machine.Output, call machine.CallID) machine.Failure {
	f.Helper()
	for _, output := range outputs {
		if reply, ok := output.(machine.Reply); ok && reply.Call == call {
			if failure, ok := reply.Body.(machine.Failure); ok {
				return failure
			}
		}
	}
	f.Fatalf("outputs %+v, want a failure of call %d", outputs, call)
	return machine.Failure{}
}

func (f *fixture) tick(length time.Duration) []machine.Output {
	for end := f.now.Add(length); f.now.Before(end); {
		f.now = f.now.Add(machine.TickInterval)
		f.machine.Tick(f.now)
	}
	return f.outbox.Take()
}

func TestRepeatableIsRelayedAndRetried(t *testing.T) {
	f := newFixture(t)
	first := f.sent(f.call(1, ""))
	if !first.Relay {
		t.Error("a repeatable request is not relayed")
	}
	second := f.sent(f.end(first, machine.SendUnknown, ""))
	if second.Backend == first.Backend || second.Attempt != 2 {
		t.Errorf("tried again as %+v after %+v", second, first)
	}
	if late := f.end(first, machine.SendAnswered, ""); len(late) != 0 {
		t.Errorf("a doubled result led to %+v", late)
	}
	if outputs := f.end(second, machine.SendAnswered, ""); len(outputs) != 0 {
		t.Errorf("a relayed answer led to %+v", outputs)
	}
	if f.machine.Busy() {
		t.Error("busy after the last call")
	}
}

func TestUnrepeatableOutcomes(t *testing.T) {
	cases := []struct {
		name     string
		outcomes []machine.SendOutcome
		code     machine.Code
		notRun   bool
	}{
		{"unknown is never sent again", []machine.SendOutcome{machine.SendUnknown}, machine.CodeOutcomeUnknown, false},
		{"cut is never sent again", []machine.SendOutcome{machine.SendCut}, machine.CodeOutcomeUnknown, false},
		{"not sent, then unknown", []machine.SendOutcome{machine.SendNotSent, machine.SendUnknown}, machine.CodeOutcomeUnknown, false},
		{"never sent", []machine.SendOutcome{machine.SendNotSent, machine.SendRefused, machine.SendNotSent}, machine.CodeBackendFailed, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			outputs := f.call(1, "k")
			for _, outcome := range test.outcomes {
				send := f.sent(outputs)
				if send.Relay {
					t.Error("an unrepeatable request is relayed")
				}
				outputs = f.end(send, outcome, "")
			}
			failure := f.failure(outputs, 1)
			if failure.Code != test.code || failure.NotRun != test.notRun || failure.RetryAfter == 0 {
				t.Errorf("answered %+v", failure)
			}
			again := f.call(2, "k")
			if test.notRun {
				f.sent(again)
			} else if failure := f.failure(again, 2); failure.Code != machine.CodeOutcomeUnknown {
				t.Errorf("the repeat was answered %+v", failure)
			}
		})
	}
}

func TestUnrepeatableIsReplayed(t *testing.T) {
	f := newFixture(t)
	send := f.sent(f.call(1, "k"))
	if outputs := f.call(2, "k"); len(outputs) != 0 {
		t.Fatalf("a repeat led to %+v before the answer", outputs)
	}
	response := machine.Response{Status: 200, Body: []byte("saved")}
	want := []machine.Output{
		machine.Reply{Call: 1, Body: machine.ServiceResponse{Response: response}},
		machine.Reply{Call: 2, Body: machine.ServiceResponse{Response: response, Replayed: true}},
	}
	if diff := cmp.Diff(want, f.end(send, machine.SendAnswered, "saved")); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
	f.tick(time.Second)
	want = []machine.Output{machine.Reply{Call: 3, Body: machine.ServiceResponse{Response: response, Replayed: true}}}
	if diff := cmp.Diff(want, f.call(3, "k")); diff != "" {
		t.Errorf("later repeat (-want +got):\n%s", diff)
	}
	f.machine.HandleCall(f.now, machine.ServiceCall{Call: 4, Service: "save", Key: "k", Unrepeatable: true, Digest: "other"})
	if failure := f.failure(f.outbox.Take(), 4); failure.Code != machine.CodeKeyConflict {
		t.Errorf("another request under the key was answered %+v", failure)
	}
}

func TestTooLargeAnswerIsNotKept(t *testing.T) {
	f := newFixture(t)
	f.end(f.sent(f.call(1, "k")), machine.SendAnswered, string(make([]byte, 200)))
	if failure := f.failure(f.call(2, "k"), 2); failure.Code != machine.CodeTooLarge || failure.NotRun {
		t.Errorf("the repeat was answered %+v", failure)
	}
}

func TestGoneCallerOfSentSave(t *testing.T) {
	f := newFixture(t)
	send := f.sent(f.call(1, "k"))
	f.machine.HandleGone(f.now, machine.CallGone{Call: 1})
	if outputs := f.end(send, machine.SendAnswered, "saved"); len(outputs) != 0 {
		t.Errorf("a gone caller was answered %+v", outputs)
	}
	reply := f.call(2, "k")[0].(machine.Reply)
	if !reply.Body.(machine.ServiceResponse).Replayed {
		t.Errorf("the repeat was answered %+v", reply)
	}
}

func TestRefusals(t *testing.T) {
	f := newFixture(t)
	f.machine.HandleCall(f.now, machine.ServiceCall{Call: 1, Service: "nobody"})
	if failure := f.failure(f.outbox.Take(), 1); failure.Code != machine.CodeUnknownService || !failure.NotRun {
		t.Errorf("answered %+v", failure)
	}
	f.machine.HandleCall(f.now, machine.ServiceCall{Call: 9, Service: "nobody", Key: "k", Unrepeatable: true})
	if failure := f.failure(f.outbox.Take(), 9); failure.Code != machine.CodeUnknownService || !failure.NotRun {
		t.Errorf("answered %+v", failure)
	}
	f.env.servers[0].Usable, f.env.servers[1].Usable, f.env.servers[2].Usable = false, false, false
	for id, key := range []string{"", "k"} {
		call := machine.CallID(id + 2)
		failure := f.failure(f.call(call, key), call)
		if failure.Code != machine.CodeNoBackend || !failure.NotRun || failure.Status != 503 {
			t.Errorf("answered %+v", failure)
		}
	}
}

func TestLeave(t *testing.T) {
	f := newFixture(t)
	send := f.sent(f.call(1, "k"))
	f.machine.Leave(f.now)
	f.tick(time.Second)
	lookup := f.sent(f.call(2, ""))
	f.tick(2 * time.Second)
	for id, key := range []string{"", "new"} {
		call := machine.CallID(id + 3)
		failure := f.failure(f.call(call, key), call)
		if failure.Code != machine.CodeLeaving || !failure.NotRun {
			t.Errorf("answered %+v", failure)
		}
	}
	f.end(lookup, machine.SendAnswered, "")
	if !f.machine.Busy() {
		t.Error("not busy while a save runs")
	}
	f.end(send, machine.SendAnswered, "saved")
	f.tick(100 * time.Millisecond)
	if f.machine.Busy() {
		t.Error("busy after the last call")
	}
}

func TestLostResultEndsTheCall(t *testing.T) {
	f := newFixture(t)
	f.call(1, "")
	f.call(2, "k")
	outputs := f.tick(7 * time.Second)
	if failure := f.failure(outputs, 1); failure.Code != machine.CodeDeadline || failure.NotRun {
		t.Errorf("the lookup was answered %+v", failure)
	}
	if failure := f.failure(outputs, 2); failure.Code != machine.CodeOutcomeUnknown || failure.NotRun {
		t.Errorf("the save was answered %+v", failure)
	}
}
