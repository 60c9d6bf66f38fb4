// Package node runs one dalehook process in real time: it drives the node's
// state machine, carries out its outputs and assembles the listeners.
package node

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
)

// ErrLeaveTimeout is returned by Run when a planned stop took too long.
var ErrLeaveTimeout = eris.New("node: leaving took longer than allowed")

// Listeners are the open sockets of a node.
type Listeners struct {
	Client net.Listener
	Peer   net.Listener
}

// Node is one running dalehook process.
type Node struct {
	options Options
}

// New assembles a node. Nothing runs before Run.
func New(options Options) *Node { return &Node{options: options} }

// Run drives the node until the machine has left (nil), the context ends, Stop
// is called, or a part fails.
func (n *Node) Run(ctx context.Context) error { return nil }

// Leave begins a planned stop: the first SIGTERM.
func (n *Node) Leave() {}

// Stop ends Run at once: the second SIGTERM.
func (n *Node) Stop() {}
