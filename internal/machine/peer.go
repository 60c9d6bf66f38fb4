package machine

import (
	"encoding/gob"

	"dalehook/internal/cluster"
)

// SendPeer sends a message to another node. Delivery is best effort: a message
// may be lost, delayed, doubled or reordered. Message is a registered gob type
// (see RegisterMessage in internal/peer).
// With Address empty internal/core fills in the address that membership knows.
// With To empty the message goes to whoever listens on Address; that is how a
// node joins by a seed address.
type SendPeer struct {
	To      cluster.NodeID
	Address string
	Message any
}

func (SendPeer) output() {}

// PeerMessage is a message from another node.
type PeerMessage struct {
	From            cluster.NodeID
	FromIncarnation cluster.Incarnation
	Message         any
}

func (PeerMessage) input() {}

// RegisterMessage makes a message type known to gob under a short name, so that
// it can travel as SendPeer.Message. Call it from an init function of the
// package that owns the type; names start with the package's name.
func RegisterMessage(name string, message any) { gob.RegisterName(name, message) }
