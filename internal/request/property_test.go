package request

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dalehook/internal/fixedseed"

	"dalehook/internal/machine"
)

// model is what the callers and the back ends of a machine have seen.
type model struct {
	*fixture
	rapid *rapid.T
	// open holds the calls whose callers wait, by key; repeatable ones have a key
	// of their own.
	open map[machine.CallID]string
	// keys holds the keys of all calls, for results that come late.
	keys map[machine.CallID]string
	runs map[string]int
	// unrepeatable says which keys must not run twice.
	unrepeatable map[string]bool
	pending      []machine.SendService
	done         []machine.SendService
	calls        machine.CallID
}

func (m *model) take() {
	for _, output := range m.outbox.Take() {
		switch output := output.(type) {
		case machine.SendService:
			m.pending = append(m.pending, output)
		case machine.Reply:
			m.takeReply(output)
		}
	}
}

func (m *model) takeReply(reply machine.Reply) {
	key, open := m.open[reply.Call]
	if !open {
		m.rapid.Fatalf("call %d was answered twice or after it was gone", reply.Call)
	}
	delete(m.open, reply.Call)
	switch body := reply.Body.(type) {
	case machine.Failure:
		if body.NotRun && m.runs[key] > 0 {
			m.rapid.Fatalf("call %d of %s was called not run after %d runs", reply.Call, key, m.runs[key])
		}
	case machine.ServiceResponse:
		if string(body.Response.Body) != key {
			m.rapid.Fatalf("call %d of %s got the answer %q", reply.Call, key, body.Response.Body)
		}
	}
}

func (m *model) call() {
	m.calls++
	call := machine.ServiceCall{Call: m.calls, Service: "save", Digest: "d"}
	call.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(m.rapid, "deadline")) * time.Millisecond)
	key := fmt.Sprintf("call-%d", m.calls)
	if rapid.Bool().Draw(m.rapid, "unrepeatable") {
		key = fmt.Sprintf("key-%d", rapid.IntRange(0, 3).Draw(m.rapid, "key"))
		call.Key, call.Unrepeatable = key, true
		m.unrepeatable[key] = true
	}
	m.open[call.Call] = key
	m.keys[call.Call] = key
	m.machine.HandleCall(m.now, call)
}

// end gives a pending attempt its result.
func (m *model) end() {
	if len(m.pending) == 0 {
		return
	}
	index := rapid.IntRange(0, len(m.pending)-1).Draw(m.rapid, "attempt")
	send := m.pending[index]
	m.pending = append(m.pending[:index:index], m.pending[index+1:]...)
	m.done = append(m.done, send)
	key := m.keys[send.Call]
	result := machine.ServiceResult{Call: send.Call, Attempt: send.Attempt, Backend: send.Backend, Load: -1}
	result.Outcome = rapid.SampledFrom([]machine.SendOutcome{
		machine.SendAnswered, machine.SendNotSent, machine.SendRefused, machine.SendUnknown, machine.SendCut,
	}).Draw(m.rapid, "outcome")
	ran := result.Outcome != machine.SendNotSent && result.Outcome != machine.SendRefused
	if ran {
		m.runs[key]++
		if m.unrepeatable[key] && m.runs[key] > 1 {
			m.rapid.Fatalf("key %s ran %d times", key, m.runs[key])
		}
	}
	if result.Outcome == machine.SendAnswered && !send.Relay {
		result.Response = &machine.Response{Status: 200, Body: []byte(key)}
	}
	result.Relayed = send.Relay && (result.Outcome == machine.SendAnswered || result.Outcome == machine.SendCut)
	if result.Relayed {
		delete(m.open, send.Call)
	}
	m.machine.HandleResult(m.now, result)
}

// repeatResult doubles a result that was given before.
func (m *model) repeatResult() {
	if len(m.done) == 0 {
		return
	}
	send := rapid.SampledFrom(m.done).Draw(m.rapid, "done")
	m.machine.HandleResult(m.now, machine.ServiceResult{
		Call: send.Call, Attempt: send.Attempt, Backend: send.Backend, Outcome: machine.SendAnswered,
		Response: &machine.Response{Status: 200, Body: []byte("doubled")},
	})
}

func (m *model) gone() {
	call := machine.CallID(rapid.Uint64Range(0, uint64(m.calls)).Draw(m.rapid, "gone"))
	delete(m.open, call)
	m.machine.HandleGone(m.now, machine.CallGone{Call: call})
}

func (m *model) step() {
	switch rapid.IntRange(0, 9).Draw(m.rapid, "step") {
	case 0, 1, 2:
		m.call()
	case 3, 4, 5:
		m.end()
	case 6:
		m.repeatResult()
	case 7:
		m.gone()
	case 8:
		server := rapid.IntRange(0, 2).Draw(m.rapid, "server")
		m.env.servers[server].Usable = !m.env.servers[server].Usable
	case 9:
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(m.rapid, "wait")) * time.Millisecond)
		m.machine.Tick(m.now)
	}
	m.take()
}

// TestEveryCallEndsOnce checks, over drawn calls, results and times, that each
// waiting caller is answered once with its own answer, that unrepeatable keys run
// once, that "not run" is true, and that nothing stays behind.
func TestEveryCallEndsOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{
			fixture: newFixture(t), rapid: r,
			open: make(map[machine.CallID]string), keys: make(map[machine.CallID]string), runs: make(map[string]int), unrepeatable: make(map[string]bool),
		}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			m.step()
		}
		for len(m.pending) > 0 {
			m.end()
			m.take()
		}
		for range 200 {
			m.now = m.now.Add(machine.TickInterval)
			m.machine.Tick(m.now)
			m.take()
		}
		if len(m.open) > 0 {
			r.Fatalf("calls without an end: %v", m.open)
		}
		if stats := m.machine.Stats(); stats.Open > 0 || stats.Queued > 0 || stats.Keys.Open > 0 {
			r.Fatalf("left behind: %+v", stats)
		}
		for _, server := range m.env.servers {
			if n := m.machine.admission.Limiter(server.ID).InFlight(); n != 0 {
				r.Fatalf("%d requests still count at %s", n, server.ID)
			}
		}
	})
}
