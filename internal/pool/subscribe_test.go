package pool

import (
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// TestSubscriberKnowsThePoolAfterOneRoundTrip covers a node that begins to own a
// step: it places samples at once, and needs to know all engines by then.
func TestSubscriberKnowsThePoolAfterOneRoundTrip(t *testing.T) {
	n := newNetwork(t, 6, 0)
	for number := range 9 {
		id := cluster.BackendID(rune('a' + number))
		n.servers[id] = &testServer{machine: cluster.Machine{
			ID: id, Kind: cluster.KindEngine, Pool: "essay", Zone: zone(number), State: cluster.StateLive,
		}}
	}
	for _, node := range n.nodes {
		node.HandleMachines(n.now, n.list())
	}
	n.run(10 * time.Second)
	node := n.nodes[2]
	node.Subscribe("essay", true)
	n.run(2 * machine.TickInterval)
	for _, engine := range node.Engines("essay") {
		if engine.ReportAt.IsZero() || n.now.Sub(engine.ReportAt) > recentAnswer {
			t.Errorf("the report of %s came at %s", engine.ID, engine.ReportAt)
		}
	}
}
