package sim

import (
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/sim/backend"
	"dalehook/internal/sim/fault"
)

// streamTimeout is how long a driver waits on a connection that went dead.
const streamTimeout = 5 * time.Second

// attemptStream is the connection over which an engine streams one attempt to a
// node. It keeps order, as a connection does.
type attemptStream struct {
	node    *Node
	life    int
	id      machine.AttemptID
	engine  *backend.Engine
	from    fault.Place
	arrival time.Duration
	closed  bool
}

// startAttempt opens an attempt's stream. One that this node already has for the
// same attempt and engine is closed.
func (n *Node) startAttempt(out machine.StartAttempt) {
	engine := n.world.engine(out.Engine)
	if engine == nil {
		n.world.violate("%s started %s on %q, which does not exist", n.identity.ID, out.ID, out.Engine)
		return
	}
	s := &attemptStream{
		node: n, life: n.Life(), id: out.ID, engine: engine,
		from: place(out.Engine, n.world.backendZone(out.Engine)),
	}
	for _, other := range n.streams {
		if other.id == s.id && other.engine == engine {
			other.closed = true
		}
	}
	n.forget(func(other *attemptStream) bool { return other.closed })
	n.streams = append(n.streams, s)
	n.world.kernel.Record("attempt", out.ID.String(), string(out.Engine), uint64(out.ResumeFrom))
	n.world.network.connect(n.place(), s.from, func() {
		if !engine.Deliver(func() { engine.Generate(out, s) }) {
			s.Ended(machine.EndUnreachable, 0, "connection refused")
		}
	}, func() {
		s.deliver(machine.AttemptEnded{ID: s.id, Engine: engine.ID(), Reason: machine.EndUnreachable, Err: "connect timeout"})
	})
}

func (n *Node) forget(drop func(*attemptStream) bool) {
	n.streams = slices.DeleteFunc(n.streams, drop)
}

// Chunk implements backend.Listener.
func (s *attemptStream) Chunk(from, tokens int, text string, version cluster.Version) {
	s.send(machine.AttemptChunk{
		ID: s.id, Engine: s.engine.ID(), FromToken: from, Tokens: tokens, Text: text, Version: version,
	})
}

// Ended implements backend.Listener.
func (s *attemptStream) Ended(reason machine.EndReason, retryAfter time.Duration, detail string) {
	s.send(machine.AttemptEnded{ID: s.id, Engine: s.engine.ID(), Reason: reason, RetryAfter: retryAfter, Err: detail})
}

// send carries a piece of the stream to the node, after what was sent before. A
// cut breaks the connection: the node learns of it after a timeout.
func (s *attemptStream) send(in machine.Input) {
	if s.closed {
		return
	}
	w := s.node.world
	if w.faults.Blocked(s.from, s.node.place()) {
		s.closed = true
		s.engine.Detach(s.id, s)
		w.kernel.After(streamTimeout, func() {
			s.node.input(s.life, machine.AttemptEnded{ID: s.id, Engine: s.engine.ID(), Reason: machine.EndCut, Err: "read timeout"})
		})
		return
	}
	s.arrival = max(s.arrival, w.kernel.Elapsed()+w.network.latency(s.from, s.node.place()))
	w.kernel.At(s.arrival, func() { s.deliver(in) })
}

func (s *attemptStream) deliver(in machine.Input) {
	if s.closed {
		return
	}
	if _, ended := in.(machine.AttemptEnded); ended {
		s.closed = true
		s.node.forget(func(other *attemptStream) bool { return other == s })
	}
	s.node.input(s.life, in)
}

func (n *Node) cancelAttempt(out machine.CancelAttempt) {
	engine := n.world.engine(out.Engine)
	if engine == nil {
		return
	}
	to := place(out.Engine, n.world.backendZone(out.Engine))
	n.world.network.connect(n.place(), to, func() {
		engine.Deliver(func() { engine.Cancel(out.ID) })
	}, func() {})
}
