package sim

import (
	"bytes"
	"encoding/gob"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/machine"
)

// link carries messages from one life of a node to one life of another through
// gob, as the real connection does, so that no memory is shared.
type link struct {
	fromLife int
	toLife   int
	buffer   bytes.Buffer
	encoder  *gob.Encoder
	decoder  *gob.Decoder
}

type envelope struct{ Message any }

func newLink(fromLife, toLife int) *link {
	l := &link{fromLife: fromLife, toLife: toLife}
	l.encoder = gob.NewEncoder(&l.buffer)
	l.decoder = gob.NewDecoder(&l.buffer)
	return l
}

// copyMessage returns a copy of the message, its encoded size and the hash of
// its bytes.
func (l *link) copyMessage(message any) (copied any, size int, hash uint64, err error) {
	if err := l.encoder.Encode(envelope{Message: message}); err != nil {
		return nil, 0, 0, err
	}
	size, hash = l.buffer.Len(), xxhash.Sum64(l.buffer.Bytes())
	var decoded envelope
	if err := l.decoder.Decode(&decoded); err != nil {
		return nil, 0, 0, err
	}
	return decoded.Message, size, hash, nil
}

// sendPeer carries a message to another node.
func (n *Node) sendPeer(out machine.SendPeer) {
	w := n.world
	target := w.node(out.To)
	if out.To == "" {
		target = w.nodeAt(out.Address)
	}
	if target == nil || !target.Up() {
		return
	}
	l := n.links[target.identity.ID]
	if l == nil || l.fromLife != n.Life() || l.toLife != target.Life() {
		l = newLink(n.Life(), target.Life())
		n.links[target.identity.ID] = l
	}
	message, size, hash, err := l.copyMessage(out.Message)
	if err != nil {
		w.violate("%s sent %T, which gob can't carry: %v", n.identity.ID, out.Message, err)
		delete(n.links, target.identity.ID)
		return
	}
	n.peerBytes += uint64(size)
	w.kernel.Record("peer", string(n.identity.ID), string(target.identity.ID), hash)
	from, life := n.identity, target.Life()
	w.network.message(n.place(), target.place(), func() {
		target.input(life, machine.PeerMessage{From: from.ID, FromIncarnation: from.Incarnation, Message: message})
	})
}

// nodeAt returns the node that listens on a peer address.
func (w *World) nodeAt(address string) *Node {
	for _, n := range w.nodes {
		if n.identity.PeerAddress == address {
			return n
		}
	}
	return nil
}
