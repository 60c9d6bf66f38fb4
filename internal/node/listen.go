package node

import (
	"net"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/cluster"
)

// Listeners are the open sockets of a node.
type Listeners struct {
	// Client takes callers and operators, Peer takes other nodes.
	Client net.Listener
	Peer   net.Listener
}

// Listen opens a node's listeners and completes its identity: the incarnation
// is the present time in milliseconds, and an address that self does not name
// is that of the listener. Each address is host:port; port 0 takes a free port.
func Listen(self cluster.Node, client, peer string) (Listeners, cluster.Node, error) {
	clientListener, err := net.Listen("tcp", client)
	if err != nil {
		return Listeners{}, self, eris.Wrapf(err, "node: listen for callers on %s", client)
	}
	peerListener, err := net.Listen("tcp", peer)
	if err != nil {
		clientListener.Close()
		return Listeners{}, self, eris.Wrapf(err, "node: listen for peers on %s", peer)
	}
	if self.ClientAddress == "" {
		self.ClientAddress = clientListener.Addr().String()
	}
	if self.PeerAddress == "" {
		self.PeerAddress = peerListener.Addr().String()
	}
	self.Incarnation = cluster.Incarnation(time.Now().UnixMilli())
	return Listeners{Client: clientListener, Peer: peerListener}, self, nil
}
