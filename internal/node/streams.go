package node

import (
	"context"
	"sync"
	"sync/atomic"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// streamKey names an attempt on one engine.
type streamKey struct {
	id     machine.AttemptID
	engine cluster.BackendID
}

// stream is a running attempt.
type stream struct {
	cancel context.CancelFunc
	// replaced is set when a newer stream of the same attempt runs; this one's
	// inputs would be taken for the newer one's.
	replaced atomic.Bool
	// ended is set once AttemptEnded was emitted. The stream's goroutine alone
	// uses it.
	ended bool
}

// streams holds the running attempts of a node.
type streams struct {
	mutex   sync.Mutex
	running map[streamKey]*stream
}

// newStreams returns a set without attempts.
func newStreams() *streams {
	return &streams{running: make(map[streamKey]*stream)}
}

// add registers a stream and cancels the one that it replaces.
func (s *streams) add(key streamKey, added *stream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if older, ok := s.running[key]; ok {
		older.replaced.Store(true)
		older.cancel()
	}
	s.running[key] = added
}

// remove forgets a stream that has ended.
func (s *streams) remove(key streamKey, ended *stream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running[key] == ended {
		delete(s.running, key)
	}
}

// cancel ends the stream of an attempt, if it runs here.
func (s *streams) cancel(key streamKey) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found, ok := s.running[key]; ok {
		found.cancel()
	}
}

// size returns the number of running attempts.
func (s *streams) size() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.running)
}

// startAttempt runs an attempt in a goroutine of its own.
func (n *Node) startAttempt(start machine.StartAttempt) {
	key := streamKey{id: start.ID, engine: start.Engine}
	ctx, cancel := context.WithCancel(n.work)
	started := &stream{cancel: cancel}
	n.streams.add(key, started)
	n.group.Go(func() {
		defer cancel()
		n.options.Engines.Generate(ctx, start, func(in machine.Input) { n.emit(started, in) })
		n.streams.remove(key, started)
		if !started.ended {
			n.emit(started, machine.AttemptEnded{
				ID:     start.ID,
				Engine: start.Engine,
				Reason: machine.EndCut,
				Err:    "the stream ended without a reason",
			})
		}
	})
}

// emit passes an input of a stream on, unless the stream was replaced.
func (n *Node) emit(from *stream, in machine.Input) {
	if _, ended := in.(machine.AttemptEnded); ended {
		from.ended = true
	}
	if !from.replaced.Load() {
		n.inbox.putWhenRoom(in)
	}
}

// cancelAttempt ends an attempt here and on its engine.
func (n *Node) cancelAttempt(cancel machine.CancelAttempt) {
	n.streams.cancel(streamKey{id: cancel.ID, engine: cancel.Engine})
	n.group.Go(func() {
		if err := n.options.Engines.Cancel(n.work, cancel); err != nil {
			n.logAttempt("node: Cancel failed.", cancel.ID, cancel.Engine, err)
		}
	})
}
