package sim

import (
	"strings"
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/sim/fault"
)

// saboteur is a node of the product with one mechanism switched off: what goes
// in or what comes out is changed on the way. It proves that a checker can fail.
type saboteur struct {
	machine.Machine
	// in changes an input; false swallows it. Nil changes nothing.
	in func(now time.Time, in machine.Input) (machine.Input, bool)
	// out returns what takes an output's place. Nil changes nothing.
	out func(machine.Output) []machine.Output
}

func (s *saboteur) Step(now time.Time, in machine.Input) {
	if s.in != nil {
		changed, ok := s.in(now, in)
		if !ok {
			return
		}
		in = changed
	}
	s.Machine.Step(now, in)
}

func (s *saboteur) Take() []machine.Output {
	outputs := s.Machine.Take()
	if s.out == nil {
		return outputs
	}
	var changed []machine.Output
	for _, out := range outputs {
		changed = append(changed, s.out(out)...)
	}
	return changed
}

// Ready passes the question on to the node.
func (s *saboteur) Ready() bool { return s.Machine.(readiness).Ready() }

// onReply changes the bodies of replies of one type.
func onReply[T any](change func(*T)) func(*saboteur) {
	return func(s *saboteur) {
		s.out = func(out machine.Output) []machine.Output {
			if reply, ok := out.(machine.Reply); ok {
				if body, ok := reply.Body.(T); ok {
					change(&body)
					reply.Body = body
					return []machine.Output{reply}
				}
			}
			return []machine.Output{out}
		}
	}
}

// nameAnotherVersion claims that other weights produced a sample.
func nameAnotherVersion(read *machine.SamplesRead) {
	for i := range read.Samples {
		segments := append([]record.Segment{}, read.Samples[i].Versions...)
		if len(segments) > 0 {
			segments[0].Version++
		}
		read.Samples[i].Versions = segments
	}
}

// ignoreVersions hides the newest version, both from trainers and from the log.
func ignoreVersions(s *saboteur) {
	s.in = func(_ time.Time, in machine.Input) (machine.Input, bool) {
		switch in := in.(type) {
		case machine.ReadSamples:
			in.Version = 0
			return in, true
		case machine.LogEntries:
			for i, e := range in.Entries {
				if body, ok := e.Record.Body.(record.VersionAnnounced); ok {
					body.Version = 1
					in.Entries[i].Record.Body = body
				}
			}
			return in, true
		}
		return in, true
	}
}

// sendTwice sends each buffered request to its server twice.
func sendTwice(s *saboteur) {
	const second = 1000
	s.out = func(out machine.Output) []machine.Output {
		send, ok := out.(machine.SendService)
		if !ok || send.Relay {
			return []machine.Output{out}
		}
		again := send
		again.Attempt += second
		return []machine.Output{send, again}
	}
	s.in = func(_ time.Time, in machine.Input) (machine.Input, bool) {
		result, ok := in.(machine.ServiceResult)
		return in, !ok || result.Attempt < second
	}
}

// pinServer sends every request to one server, whatever is known of it.
func pinServer(s *saboteur) {
	s.out = func(out machine.Output) []machine.Output {
		if send, ok := out.(machine.SendService); ok {
			send.Backend, send.Address = "bridge-1", "bridge-1:80"
			return []machine.Output{send}
		}
		return []machine.Output{out}
	}
}

// leaveAtOnce ends the process without finishing anything.
func leaveAtOnce(s *saboteur) {
	leave := false
	s.in = func(_ time.Time, in machine.Input) (machine.Input, bool) {
		_, leaving := in.(machine.Leave)
		leave = leave || leaving
		return in, true
	}
	s.out = func(out machine.Output) []machine.Output {
		if leave {
			leave = false
			return []machine.Output{machine.Left{}}
		}
		return []machine.Output{out}
	}
}

// deafAfter stops following the log and the peers.
func deafAfter(after time.Duration) func(*saboteur) {
	return func(s *saboteur) {
		s.in = func(now time.Time, in machine.Input) (machine.Input, bool) {
			switch in.(type) {
			case machine.LogEntries, machine.PeerMessage:
				return in, now.Before(startTime().Add(after))
			}
			return in, true
		}
	}
}

// needTheStore refuses service requests while the log can't be read.
func needTheStore(s *saboteur) {
	down := false
	var refused []machine.Output
	s.in = func(_ time.Time, in machine.Input) (machine.Input, bool) {
		switch in := in.(type) {
		case machine.LogEntries:
			down = in.Err != ""
		case machine.ServiceCall:
			if down {
				refused = append(refused, machine.Reply{Call: in.Call, Body: machine.Failure{Code: machine.CodeStoreDown, NotRun: true, RetryAfter: time.Second}})
				return nil, false
			}
		}
		return in, true
	}
	s.out = func(out machine.Output) []machine.Output {
		outputs := append(refused, out)
		refused = nil
		return outputs
	}
}

// swallowFailures leaves callers without an answer to what failed.
func swallowFailures(s *saboteur) {
	s.out = func(out machine.Output) []machine.Output {
		if reply, ok := out.(machine.Reply); ok {
			if _, failed := reply.Body.(machine.Failure); failed {
				return nil
			}
		}
		return []machine.Output{out}
	}
}

// deliverAgain hands each answer's first sample over in the next answer again.
func deliverAgain(s *saboteur) {
	var last *machine.SampleView
	onReply(func(read *machine.SamplesRead) {
		before := last
		if len(read.Samples) > 0 {
			view := read.Samples[0]
			last = &view
		}
		if before != nil && len(read.Samples) > 0 && before.Cursor != "" {
			read.Samples = append(read.Samples, *before)
		}
	})(s)
}

func TestEachCheckerCanFail(t *testing.T) {
	servers := []string{"bridge-1", "bridge-2", "bridge-3"}
	cases := []struct {
		property string
		schedule fault.Schedule
		sabotage func(*saboteur)
		// only names the one node that is sabotaged, empty for all.
		only cluster.NodeID
	}{
		{property: versionsAreTrue, sabotage: onReply(nameAnotherVersion)},
		{property: withinBound, sabotage: ignoreVersions},
		{property: exactlyOnce, sabotage: deliverAgain},
		{property: exactlyOnce, sabotage: onReply(func(read *machine.SamplesRead) { read.Samples = read.Samples[:len(read.Samples)/2] })},
		{property: wholeOwnAnswer, sabotage: onReply(func(r *machine.ServiceResponse) {
			r.Response.Body = r.Response.Body[:len(r.Response.Body)/2]
		})},
		{
			property: notRunIsTrue, schedule: every(fault.DropAfter, servers, 8*time.Second, 40*time.Second),
			sabotage: onReply(func(f *machine.Failure) { f.NotRun, f.RetryAfter = true, time.Second }),
		},
		{property: atMostOnce, sabotage: sendTwice},
		{
			property: noNewWork, schedule: join(every(fault.Leave, servers[:1], 12*time.Second, 30*time.Second), plan("list_lag:platform@1s+60s")),
			sabotage: pinServer,
		},
		{property: contractIsObeyed, schedule: plan("stop:node-1@15s+30s"), sabotage: leaveAtOnce},
		{property: nothingCut, schedule: plan("stop:node-1@15s+30s,stop:node-2@15s+30s,stop:node-3@15s+30s"), sabotage: leaveAtOnce},
		{property: inForce, sabotage: deafAfter(14 * time.Second), only: "node-5"},
		{property: answeredInTime, schedule: every(fault.Crash, servers, 12*time.Second, 20*time.Second), sabotage: swallowFailures},
	}
	for _, c := range cases {
		t.Run(c.property, func(t *testing.T) {
			t.Parallel()
			factory := func(self cluster.Node, seeds []string, seed uint64) machine.Machine {
				inner := newCore(self, seeds, seed)
				if c.only != "" && self.ID != c.only {
					return inner
				}
				s := &saboteur{Machine: inner}
				c.sabotage(s)
				return s
			}
			w := trial{scenario: "arequipa/operators", seed: 1, schedule: c.schedule}.run(t, factory, nil)
			broken := checkAll(w)
			found := false
			for _, line := range broken {
				found = found || strings.HasPrefix(line, c.property+": ")
			}
			if !found {
				t.Errorf("the sabotaged node passed; found only %q", broken)
			} else {
				t.Logf("found:\n  %s", strings.Join(broken, "\n  "))
			}
		})
	}
}

// TestStoreDownCheckCanFail runs the check of the outage against nodes that need
// the store.
func TestStoreDownCheckCanFail(t *testing.T) {
	factory := func(self cluster.Node, seeds []string, seed uint64) machine.Machine {
		s := &saboteur{Machine: newCore(self, seeds, seed)}
		needTheStore(s)
		return s
	}
	w := trial{scenario: "arequipa", seed: 1, schedule: plan("store_down:platform@12s+40s")}.run(t, factory, nil)
	if faults := goesOn(w, 12*time.Second, 52*time.Second); len(faults) == 0 {
		t.Error("nodes that need the store passed")
	} else {
		t.Log(strings.Join(faults, "\n"))
	}
}
