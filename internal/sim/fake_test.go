package sim

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// gossip is the message of the fake machine.
type gossip struct {
	Count int
	Names []string
}

func init() { machine.RegisterMessage("simtest.gossip", gossip{}) }

// fakeMachine is a node without any of the product's mechanisms: it greets its
// peers, reads the machine list and passes each request to some server.
type fakeMachine struct {
	machine.Outbox
	self    cluster.Node
	seeds   []string
	servers []cluster.Machine
	ticks   int
	heard   []gossip
	sent    gossip
}

func newFake(self cluster.Node, seeds []string, _ uint64) machine.Machine {
	return &fakeMachine{self: self, seeds: seeds, sent: gossip{Names: []string{"a", "b"}}}
}

func (f *fakeMachine) Step(now time.Time, in machine.Input) {
	switch in := in.(type) {
	case machine.Tick:
		f.tick()
	case machine.PeerMessage:
		f.heard = append(f.heard, in.Message.(gossip))
	case machine.MachineList:
		f.learn(in)
	case machine.ServiceCall:
		f.send(in.Call, 1, in.Deadline)
	case machine.ServiceResult:
		f.settle(in)
	case machine.GetStatus:
		f.Add(machine.Reply{Call: in.Call, Body: machine.StatusReport{Node: f.self}})
	case machine.Leave:
		f.Add(machine.Left{})
	}
}

func (f *fakeMachine) tick() {
	f.ticks++
	if f.ticks%20 != 1 {
		return
	}
	f.Add(machine.ReadMachines{})
	for _, seed := range f.seeds {
		f.sent.Count++
		f.Add(machine.SendPeer{Address: seed, Message: f.sent})
	}
}

func (f *fakeMachine) learn(list machine.MachineList) {
	f.servers = nil
	for _, m := range list.Machines {
		if m.Kind == cluster.KindService && m.State == cluster.StateLive {
			f.servers = append(f.servers, m)
		}
	}
}

func (f *fakeMachine) send(call machine.CallID, attempt int, deadline time.Time) {
	if len(f.servers) == 0 {
		f.Add(machine.Reply{Call: call, Body: machine.Failure{Code: machine.CodeNoBackend, NotRun: true, RetryAfter: time.Second}})
		return
	}
	server := f.servers[int(call)%len(f.servers)]
	f.Add(machine.SendService{
		Call: call, Attempt: attempt, Backend: server.ID, Address: server.Address, Deadline: deadline,
		Relay: true,
	})
}

func (f *fakeMachine) settle(result machine.ServiceResult) {
	if !result.Relayed {
		f.Add(machine.Reply{Call: result.Call, Body: machine.Failure{Code: machine.CodeBackendFailed}})
	}
}
