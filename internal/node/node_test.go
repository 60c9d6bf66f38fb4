package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"dalehook/internal/backend"
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/platform"
	"dalehook/internal/record"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// greeting is a message between nodes.
type greeting struct{ Text string }

func init() { machine.RegisterMessage("node.testGreeting", greeting{}) }

// scripted is a machine that records its inputs and reacts by a function.
type scripted struct {
	machine.Outbox
	inputs chan machine.Input
	react  func(machine.Input) []machine.Output
	ready  atomic.Bool
}

// Step implements machine.Machine. Ticks are not recorded.
func (s *scripted) Step(_ time.Time, in machine.Input) {
	if _, tick := in.(machine.Tick); tick {
		return
	}
	s.inputs <- in
	if s.react != nil {
		s.Add(s.react(in)...)
	}
}

// outside stands for everything that a node's clients speak to.
type outside struct {
	registered chan cluster.MachineState
	generate   func(context.Context, machine.StartAttempt, func(machine.Input))
	canceled   chan machine.CancelAttempt
	send       func(context.Context, backend.ServiceRequest) machine.ServiceResult
	onRead     func(context.Context, uint64) ([]platform.Entry, uint64, error)
}

func (o *outside) Append(_ context.Context, log string, payload []byte) (uint64, machine.AppendOutcome, error) {
	if log == "down" {
		return 0, machine.AppendUnknown, errors.New("no answer")
	}
	return uint64(len(payload)), machine.AppendDone, nil
}

func (o *outside) Read(ctx context.Context, _ string, from uint64, _ time.Duration) ([]platform.Entry, uint64, error) {
	return o.onRead(ctx, from)
}

func (o *outside) Machines(context.Context) ([]cluster.Machine, error) {
	return []cluster.Machine{{ID: "engine-1"}}, nil
}

func (o *outside) RegisterMachine(_ context.Context, line cluster.Machine) error {
	o.registered <- line.State
	return nil
}

func (o *outside) Generate(ctx context.Context, start machine.StartAttempt, emit func(machine.Input)) {
	o.generate(ctx, start, emit)
}

func (o *outside) Cancel(_ context.Context, cancel machine.CancelAttempt) error {
	o.canceled <- cancel
	return errors.New("no such request")
}

func (o *outside) Order(_ context.Context, order machine.OrderEngine) machine.OrderResult {
	return machine.OrderResult{Engine: order.Engine, Fence: order.Fence, Accepted: true}
}

func (o *outside) Report(_ context.Context, poll machine.PollBackend) machine.BackendReport {
	return machine.BackendReport{Backend: poll.Backend, Slots: 4}
}

func (o *outside) Send(ctx context.Context, request backend.ServiceRequest) machine.ServiceResult {
	return o.send(ctx, request)
}

// fixture is a running node with its machine and its outside.
type fixture struct {
	*Node
	*outside
	machine *scripted
	ended   chan error
}

// newFixture assembles a node; run starts it.
func newFixture(t testing.TB, react func(machine.Input) []machine.Output) *fixture {
	t.Helper()
	listeners, self, err := Listen(cluster.Node{ID: "node-1"}, "127.0.0.1:0", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{
		outside: &outside{
			registered: make(chan cluster.MachineState, 8),
			canceled:   make(chan machine.CancelAttempt, 8),
		},
		machine: &scripted{inputs: make(chan machine.Input, 1<<16), react: react},
		ended:   make(chan error, 1),
	}
	f.machine.ready.Store(true)
	f.Node = New(Options{
		Self: self, Listeners: listeners, Machine: f.machine, Ready: f.machine.ready.Load,
		Log: f.outside, Machines: f.outside, Engines: f.outside, Services: f.outside,
	})
	return f
}

// run starts the node and stops it at the end of the test.
func (f *fixture) run(t testing.TB) *fixture {
	go func() { f.ended <- f.Node.Run(context.Background()) }()
	t.Cleanup(func() {
		f.Stop()
		f.ended <- <-f.ended
		http.DefaultClient.CloseIdleConnections()
	})
	return f
}

// end waits for the end of Run.
func (f *fixture) end() error {
	err := <-f.ended
	f.ended <- err
	return err
}

// expect takes the next recorded input and compares it.
func (f *fixture) expect(t *testing.T, want machine.Input) {
	t.Helper()
	if diff := cmp.Diff(want, <-f.machine.inputs); diff != "" {
		t.Errorf("input (-want +got):\n%s", diff)
	}
}

// get calls the node over HTTP and returns the status and the body.
func (f *fixture) get(t *testing.T, path string) (int, string) {
	t.Helper()
	response, err := http.Get("http://" + f.options.Self.ClientAddress + path)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Error(err)
	}
	return response.StatusCode, string(body)
}

// on returns a reaction that leaves outputs when the node is asked to leave; a
// test drives its node by that input.
func on(outputs ...machine.Output) func(machine.Input) []machine.Output {
	return func(in machine.Input) []machine.Output {
		if _, leave := in.(machine.Leave); leave {
			return outputs
		}
		return nil
	}
}

func TestResultsOfOutputs(t *testing.T) {
	body := record.Record{ID: "r1", Body: record.StepClosed{Step: "s"}}
	payload, err := record.Encode(body)
	if err != nil {
		t.Fatal(err)
	}
	fence := machine.Fence{Epoch: 3, Sequence: 1}
	for _, test := range []struct {
		name   string
		output machine.Output
		want   machine.Input
	}{
		{"append", machine.AppendLog{Log: "control", Record: body},
			machine.AppendResult{Log: "control", ID: "r1", Outcome: machine.AppendDone, Offset: uint64(len(payload))}},
		{"append of unknown outcome", machine.AppendLog{Log: "down", Record: body},
			machine.AppendResult{Log: "down", ID: "r1", Outcome: machine.AppendUnknown, Err: "no answer"}},
		{"read", machine.ReadLog{Log: "control", From: 4},
			machine.LogEntries{Log: "control", From: 4, End: 5, Entries: []record.Entry{{Offset: 4}, {Offset: 5, Record: body}}}},
		{"failed read", machine.ReadLog{Log: "control", From: 9},
			machine.LogEntries{Log: "control", From: 9, Err: "no answer"}},
		{"machines", machine.ReadMachines{},
			machine.MachineList{Machines: []cluster.Machine{{ID: "engine-1"}}}},
		{"order", machine.OrderEngine{Engine: "engine-1", Fence: fence},
			machine.OrderResult{Engine: "engine-1", Fence: fence, Accepted: true}},
		{"poll", machine.PollBackend{Backend: "engine-1"},
			machine.BackendReport{Backend: "engine-1", Slots: 4}},
		{"send for a caller that is gone", machine.SendService{Call: 9, Attempt: 2, Backend: "exam-1"},
			machine.ServiceResult{Call: 9, Attempt: 2, Backend: "exam-1", Outcome: machine.SendNotSent, Load: -1, Err: "the caller is gone"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, on(test.output))
			f.onRead = func(_ context.Context, from uint64) ([]platform.Entry, uint64, error) {
				if from == 9 {
					return nil, 0, errors.New("no answer")
				}
				return []platform.Entry{{Offset: 4, Payload: []byte(`{"kind":"?"}`)}, {Offset: 5, Payload: payload}}, 5, nil
			}
			f.run(t).Leave()
			f.expect(t, machine.Leave{})
			f.expect(t, test.want)
		})
	}
}

func TestOneReadOfALogAtATime(t *testing.T) {
	var running atomic.Int32
	f := newFixture(t, on(machine.ReadLog{Log: "l", From: 1}, machine.ReadLog{Log: "l", From: 2}, machine.ReadLog{Log: "l", From: 3}))
	f.onRead = func(context.Context, uint64) ([]platform.Entry, uint64, error) {
		if running.Add(1) > 1 {
			t.Error("two reads of one log run at a time")
		}
		defer running.Add(-1)
		return nil, 7, nil
	}
	f.run(t).Leave()
	f.expect(t, machine.Leave{})
	for from := range uint64(3) {
		f.expect(t, machine.LogEntries{Log: "l", From: from + 1, End: 7, Entries: []record.Entry{}})
	}
}

func TestCancelEndsTheStream(t *testing.T) {
	id := machine.AttemptID{Step: "s", Sample: 1, Attempt: 2}
	chunk := machine.AttemptChunk{ID: id, Tokens: 3, Version: 7}
	cancel := machine.CancelAttempt{ID: id, Engine: "engine-1"}
	f := newFixture(t, func(in machine.Input) []machine.Output {
		switch in.(type) {
		case machine.Leave:
			return []machine.Output{machine.StartAttempt{ID: id, Engine: "engine-1"}}
		case machine.AttemptChunk:
			return []machine.Output{cancel}
		}
		return nil
	})
	f.generate = func(ctx context.Context, _ machine.StartAttempt, emit func(machine.Input)) {
		emit(chunk)
		<-ctx.Done()
	}
	f.run(t).Leave()
	f.expect(t, machine.Leave{})
	f.expect(t, chunk)
	f.expect(t, machine.AttemptEnded{ID: id, Engine: "engine-1", Reason: machine.EndCut, Err: "the stream ended without a reason"})
	if got := <-f.canceled; got != cancel {
		t.Errorf("got %+v", got)
	}
}

func TestReplacedStreamIsSilent(t *testing.T) {
	start := machine.StartAttempt{ID: machine.AttemptID{Step: "s"}, Engine: "engine-1"}
	second := start
	second.ResumeFrom = 5
	f := newFixture(t, on(start, second))
	ended := make(chan struct{})
	f.generate = func(ctx context.Context, start machine.StartAttempt, emit func(machine.Input)) {
		reason := machine.EndComplete
		if start.ResumeFrom == 0 {
			<-ctx.Done()
			reason = machine.EndCanceled
			defer close(ended)
		} else {
			<-ended
		}
		emit(machine.AttemptEnded{ID: start.ID, Reason: reason})
	}
	f.run(t).Leave()
	f.expect(t, machine.Leave{})
	f.expect(t, machine.AttemptEnded{ID: start.ID, Reason: machine.EndComplete})
}

func TestServiceCallIsRelayed(t *testing.T) {
	f := newFixture(t, func(in machine.Input) []machine.Output {
		if call, ok := in.(machine.ServiceCall); ok {
			return []machine.Output{machine.SendService{Call: call.Call, Attempt: 1, Backend: "exam-1", Relay: true}}
		}
		return nil
	})
	f.send = func(_ context.Context, request backend.ServiceRequest) machine.ServiceResult {
		io.WriteString(request.Relay, request.Path)
		return machine.ServiceResult{Call: request.Call, Outcome: machine.SendAnswered}
	}
	f.run(t)
	if status, body := f.get(t, "/v1/services/exam/session?a=1"); status != http.StatusOK || body != "/session?a=1" {
		t.Errorf("got %d %q", status, body)
	}
	call := (<-f.machine.inputs).(machine.ServiceCall)
	f.expect(t, machine.ServiceResult{Call: call.Call, Outcome: machine.SendAnswered, Relayed: true})
}

func TestNodesTalk(t *testing.T) {
	b := newFixture(t, nil).run(t)
	a := newFixture(t, on(machine.SendPeer{Address: b.options.Self.PeerAddress, Message: greeting{Text: "hello"}})).run(t)
	a.Leave()
	b.expect(t, machine.PeerMessage{
		From:            "node-1",
		FromIncarnation: a.options.Self.Incarnation,
		Message:         greeting{Text: "hello"},
	})
}

// A call that is open when the machine has left is still answered, readiness
// fails from the moment of leaving, and the list of machines is kept up.
func TestPlannedStopAnswersOpenCalls(t *testing.T) {
	var open machine.CallID
	f := newFixture(t, func(in machine.Input) []machine.Output {
		switch in := in.(type) {
		case machine.GetStatus:
			open = in.Call
			return []machine.Output{machine.Left{}, machine.AppendLog{Log: "l", Record: record.Record{ID: "last", Body: record.StepClosed{}}}}
		case machine.AppendResult:
			return []machine.Output{machine.Reply{Call: open, Body: machine.StatusReport{Leaving: true}}}
		}
		return nil
	}).run(t)
	if state := <-f.registered; state != cluster.StateLive {
		t.Errorf("registered as %s", state)
	}
	f.Leave()
	f.expect(t, machine.Leave{})
	if status, _ := f.get(t, "/readyz"); status != http.StatusServiceUnavailable {
		t.Errorf("readiness is %d while leaving", status)
	}
	if state := <-f.registered; state != cluster.StateLeaving {
		t.Errorf("registered as %s", state)
	}
	if status, body := f.get(t, "/v1/status"); status != http.StatusOK || !strings.Contains(body, `"leaving":true`) {
		t.Errorf("got %d %s", status, body)
	}
	if err := f.end(); err != nil {
		t.Errorf("a planned stop ended with %v", err)
	}
	if state := <-f.registered; state != cluster.StateDead {
		t.Errorf("registered as %s", state)
	}
}

func TestEndsThatAreNotPlanned(t *testing.T) {
	t.Run("stop", func(t *testing.T) {
		f := newFixture(t, nil).run(t)
		f.Stop()
		if err := f.end(); !errors.Is(err, ErrStopped) {
			t.Errorf("got %v", err)
		}
	})
	t.Run("leaving takes too long", func(t *testing.T) {
		f := newFixture(t, nil)
		f.options.LeaveTimeout = time.Millisecond
		f.run(t).Leave()
		if err := f.end(); !errors.Is(err, ErrLeaveTimeout) {
			t.Errorf("got %v", err)
		}
	})
	t.Run("a panic of a client", func(t *testing.T) {
		f := newFixture(t, on(machine.StartAttempt{}))
		f.generate = func(context.Context, machine.StartAttempt, func(machine.Input)) { panic("broken client") }
		f.run(t).Leave()
		if err := f.end(); err == nil || !strings.Contains(err.Error(), "broken client") {
			t.Errorf("got %v", err)
		}
	})
	t.Run("the listener fails", func(t *testing.T) {
		f := newFixture(t, nil)
		f.options.Listeners.Client.Close()
		if err := f.run(t).end(); err == nil || errors.Is(err, ErrStopped) {
			t.Errorf("got %v", err)
		}
	})
}

func TestInboxHoldsBackProducersThatCanWait(t *testing.T) {
	queue := newInbox()
	for range inboxHighWater {
		queue.put(machine.Tick{})
	}
	queued := make(chan struct{})
	go func() {
		queue.putWhenRoom(machine.Leave{})
		close(queued)
	}()
	queue.put(machine.Tick{})
	if taken := queue.take(nil); len(taken) < inboxHighWater+1 || taken[inboxHighWater] != (machine.Tick{}) {
		t.Errorf("took %d inputs", len(taken))
	}
	<-queued
	queue.close()
	queue.put(machine.Tick{})
	if queue.size() != 0 {
		t.Error("a closed queue takes inputs")
	}
}
