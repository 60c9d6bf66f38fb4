package sim

import (
	"bytes"
	"testing"
	"time"

	"dalehook/internal/sim/fault"
)

// fakeScenario has callers only: the fake machine knows neither steps nor plans.
func fakeScenario() Scenario {
	s := Hearing(Arequipa())
	s.Events, s.Trainers = nil, nil
	s.Callers = []CallerOptions{{Name: "lookups", Service: "bridge", Rate: 20, Deadline: 5 * time.Second}}
	s.RunFor, s.SettleFor = 20*time.Second, 10*time.Second
	return s
}

func runFake(seed uint64, schedule fault.Schedule, trace *bytes.Buffer) *World {
	options := Options{Seed: seed, Scenario: fakeScenario(), Schedule: schedule, Factory: newFake}
	if trace != nil {
		options.Trace = trace
	}
	w := NewWorld(options)
	w.Run()
	return w
}

func TestSameSeedGivesSameTrace(t *testing.T) {
	schedule, err := fault.ParseSchedule("crash:node-2@5s+3s,truncate:bridge-1@6s+5s,cut:cercado|cayma@8s+2s,loss:network@2s+9s,duplicate:network@3s+9s,freeze:node-3@9s+4s")
	if err != nil {
		t.Fatal(err)
	}
	var first, second bytes.Buffer
	a, b := runFake(7, schedule, &first), runFake(7, schedule, &second)
	if a.Hash() != b.Hash() {
		t.Errorf("hashes %x and %x differ", a.Hash(), b.Hash())
	}
	if !bytes.Equal(first.Bytes(), second.Bytes()) {
		t.Error("the traces' texts differ")
	}
	if silent := runFake(7, schedule, nil); silent.Hash() != a.Hash() {
		t.Error("writing the trace changed the run")
	}
	if other := runFake(8, schedule, nil); other.Hash() == a.Hash() {
		t.Error("another seed gave the same run")
	}
	if first.Len() == 0 {
		t.Error("no trace was written")
	}
}

func TestRequestsReachServersAndAnswersComeBack(t *testing.T) {
	w := runFake(1, nil, nil)
	requests := w.callers[0].Requests()
	answered := 0
	for _, r := range requests {
		if r.Answered && r.Wrong == "" && w.runs[r.ID] == 1 {
			answered++
		}
	}
	if len(requests) < 200 || answered < len(requests)*8/10 {
		t.Errorf("%d of %d requests were answered", answered, len(requests))
	}
	if len(w.Violations()) > 0 {
		t.Errorf("violations without a fault: %v", w.Violations())
	}
}

func TestMessagesShareNoMemory(t *testing.T) {
	w := runFake(1, nil, nil)
	for _, n := range w.nodes {
		f := n.machine.(*fakeMachine)
		for _, heard := range f.heard {
			heard.Names[0] = "changed"
		}
	}
	for _, n := range w.nodes {
		if f := n.machine.(*fakeMachine); f.sent.Names[0] != "a" {
			t.Fatalf("%s's own message was changed by its receiver", n.identity.ID)
		}
	}
}

func TestScheduleTextRoundTrip(t *testing.T) {
	text := "crash:node-1@10s+5s,cut_one_way:cercado>node-2@1m0s+30m0s,store_down:platform@20s+30m0s"
	schedule, err := fault.ParseSchedule(text)
	if err != nil {
		t.Fatal(err)
	}
	if schedule.String() != text {
		t.Errorf("schedule became %q", schedule)
	}
	for _, bad := range []string{"crash", "crash:node-1", "crash:node-1@x+1s", "crash:node-1@1s+y"} {
		if _, err := fault.ParseSchedule(bad); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}
