package core

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/membership"
)

// TestTakeFillsAddresses covers answers to a peer, which name the peer only: a
// driver on real sockets cannot send them without an address.
func TestTakeFillsAddresses(t *testing.T) {
	self := cluster.Node{ID: "node-1", Incarnation: 1, Zone: "cercado", PeerAddress: "127.0.0.1:1"}
	peer := cluster.Node{ID: "node-2", Incarnation: 1, Zone: "cayma", PeerAddress: "127.0.0.1:2"}
	c := New(Options{Self: self})
	c.Take()
	learn(c, peer)
	c.Take()
	c.outbox.Add(
		machine.SendPeer{To: "node-2", Message: "answer"},
		machine.SendPeer{To: "node-9", Message: "to a stranger"},
		machine.SendPeer{Address: "127.0.0.1:3", Message: "to a seed"},
	)
	want := []machine.Output{
		machine.SendPeer{To: "node-2", Address: "127.0.0.1:2", Message: "answer"},
		machine.SendPeer{Address: "127.0.0.1:3", Message: "to a seed"},
	}
	if diff := cmp.Diff(want, c.Take()); diff != "" {
		t.Fatalf("outputs (-want +got):\n%s", diff)
	}
}

// learn makes a node known to the membership by letting it join.
func learn(c *Core, peer cluster.Node) {
	now := time.Unix(2, 0)
	var outbox machine.Outbox
	other := membership.New(membership.Options{Self: peer, SeedAddresses: []string{c.options.Self.PeerAddress}, Outbox: &outbox})
	for range 100 {
		now = now.Add(machine.TickInterval)
		other.Tick(now)
		c.Step(now, machine.Tick{})
		for _, output := range outbox.Take() {
			message := output.(machine.SendPeer).Message
			c.Step(now, machine.PeerMessage{From: peer.ID, FromIncarnation: peer.Incarnation, Message: message})
		}
		for _, output := range c.Take() {
			if sent, ok := output.(machine.SendPeer); ok {
				other.HandleMessage(now, machine.PeerMessage{From: c.options.Self.ID, FromIncarnation: 1, Message: sent.Message})
			}
		}
	}
}

// A node that does not watch a back end says so in its status; it does not show it
// as one without a model.
func TestStatusTellsWhatIsNotKnown(t *testing.T) {
	c := New(Options{Self: cluster.Node{ID: "node-1", Incarnation: 1, Zone: "cercado", PeerAddress: "127.0.0.1:1"}})
	now := time.Unix(2, 0)
	engine := cluster.Machine{ID: "engine-1", Kind: cluster.KindEngine, Pool: "language", Zone: "cercado", Address: "127.0.0.1:9", State: cluster.StateLive}
	c.Step(now, machine.MachineList{Machines: []cluster.Machine{engine}})
	status := c.status()
	if len(status.Backends) != 1 || !status.Backends[0].Unreported {
		t.Fatalf("back ends %+v", status.Backends)
	}
	c.Step(now, machine.BackendReport{Backend: "engine-1", Model: "captions", Version: 1})
	if got := c.status().Backends[0]; got.Unreported || got.Model != "captions" {
		t.Errorf("back end %+v", got)
	}
}
