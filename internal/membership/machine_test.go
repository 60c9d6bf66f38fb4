package membership

import (
	"testing"
	"time"

	"dalehook/internal/cluster"
)

func TestLargeClusterJoinsAndSpreads(t *testing.T) {
	n := newNetwork(t)
	n.measure = true
	n.addMany(340)
	joined := n.runUntil(time.Minute, "all joined", n.agree)
	t.Logf("joined after %s, %d bytes a node", joined, n.bytes/340)
	n.run(20 * time.Second)
	n.bytes, n.sent = 0, 0
	n.run(30 * time.Second)
	t.Logf("steady: %d bytes/s, %.1f messages/s a node", n.bytes/30/340, float64(n.sent)/30/340)

	n.nodes[17].SpreadBackend(BackendRumor{Machine: cluster.Machine{ID: "b1", Kind: cluster.KindService, Pool: "p", State: cluster.StateDead, Address: "a"}, Sequence: 1})
	took := n.runUntil(3*time.Second, "rumour everywhere", func() bool {
		for _, node := range n.nodes {
			if _, known := node.rumors["b1"]; !known && node != n.nodes[17] {
				return false
			}
		}
		return true
	})
	t.Logf("rumour everywhere after %s", took)
	n.nodes[200].down = true
	took = n.runUntil(15*time.Second, "death seen", n.agree)
	t.Logf("death seen after %s", took)
	for _, node := range n.nodes {
		if len(node.Neighbours()) < 3 || len(node.Neighbours()) > 6 {
			t.Errorf("%s has %d neighbours", node.self.ID, len(node.Neighbours()))
		}
	}
	t.Logf("largest %d", n.largest)
}
