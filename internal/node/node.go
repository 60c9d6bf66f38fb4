// Package node runs one dalehook process in real time: it drives the node's
// state machine, carries out its outputs and assembles the listeners.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"dalehook/internal/api"
	"dalehook/internal/cluster"
	"dalehook/internal/drain"
	"dalehook/internal/machine"
	"dalehook/internal/peer"
	"dalehook/internal/supervise"
)

// ErrLeaveTimeout is returned by Run when a planned stop took too long.
var ErrLeaveTimeout = eris.New("node: leaving took longer than allowed")

// ErrStopped is returned by Run when the node was stopped at once.
var ErrStopped = eris.New("node: stopped before it had left")

// Bounds of the HTTP server.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// shutdownTimeout bounds the end of the calls that are open when the machine
	// has left, stopTimeout that of a stop at once.
	shutdownTimeout = 10 * time.Second
	stopTimeout     = 500 * time.Millisecond
)

// turnLimit is the largest number of inputs that are stepped before outputs are
// carried out.
const turnLimit = 256

// Node is one running dalehook process.
type Node struct {
	options   Options
	log       *zap.Logger
	metrics   *metrics
	group     *supervise.Group
	inbox     *inbox
	streams   *streams
	reads     *logReads
	api       *api.Handler
	transport *peer.Transport
	server    *drain.Server

	// work is the context of everything that the node does; endWork ends it.
	work    context.Context
	endWork context.CancelFunc
	// leaving is closed by Leave, stopped by Stop, shutDown when the listener is
	// closed after the machine has left.
	leaving   chan struct{}
	leaveOnce sync.Once
	stopped   chan struct{}
	stopOnce  sync.Once
	shutDown  chan struct{}
	// failed takes the first failure of a part.
	failed  chan error
	ready   atomic.Bool
	listing atomic.Bool
	// left is set once the machine has left. The driver's goroutine alone uses it.
	left bool
}

// New assembles a node. Nothing runs before Run.
func New(options Options) *Node {
	options = options.withDefaults()
	n := &Node{
		options:  options,
		log:      options.Logger.Named("node"),
		group:    supervise.NewGroup(),
		inbox:    newInbox(),
		streams:  newStreams(),
		reads:    newLogReads(),
		leaving:  make(chan struct{}),
		stopped:  make(chan struct{}),
		shutDown: make(chan struct{}),
		failed:   make(chan error, 2),
	}
	n.work, n.endWork = context.WithCancel(context.Background())
	n.metrics = newMetrics(options.Registry, n.inbox, n.streams)
	n.transport = peer.NewTransport(peer.Options{
		Self:       options.Self,
		Listener:   options.Listeners.Peer,
		Receive:    func(message machine.PeerMessage) { n.inbox.putWhenRoom(message) },
		Logger:     options.Logger,
		Registerer: options.Registry,
	})
	n.api = api.New(api.Options{
		Self:     options.Self,
		Submit:   n.inbox.put,
		Ready:    n.ready.Load,
		Leaving:  n.isLeaving,
		Limits:   options.Limits,
		Logger:   options.Logger,
		Registry: options.Registry,
	})
	n.server = n.newServer()
	return n
}

// newServer returns the HTTP server for callers and operators.
func (n *Node) newServer() *drain.Server {
	return drain.NewServer(drain.Options{HTTP: &http.Server{
		Handler:           n.api,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(n.options.Logger.Named("http")),
		BaseContext:       func(net.Listener) context.Context { return n.work },
	}})
}

// Run drives the node. It returns nil once the machine has left, ErrStopped
// when Stop is called or the context ends before that, ErrLeaveTimeout when
// leaving takes too long, and otherwise the failure of a part. It may be called
// once.
func (n *Node) Run(ctx context.Context) error {
	n.group.Go(n.serveHTTP)
	n.group.Go(n.runTransport)
	n.group.Go(n.keepRegistered)
	n.log.Info("node: Started.",
		zap.String("id", string(n.options.Self.ID)),
		zap.String("client_address", n.options.Self.ClientAddress),
		zap.String("peer_address", n.options.Self.PeerAddress))
	err := n.drive(ctx)
	n.close()
	n.log.Info("node: Stopped.", zap.Error(err))
	return err
}

// Leave begins a planned stop: the first SIGTERM. The node goes on listening
// until the machine has left.
func (n *Node) Leave() {
	n.leaveOnce.Do(func() {
		close(n.leaving)
		n.inbox.put(machine.Leave{})
	})
}

// Stop ends Run at once: the second SIGTERM.
func (n *Node) Stop() {
	n.stopOnce.Do(func() { close(n.stopped) })
}

// isLeaving reports whether Leave was called.
func (n *Node) isLeaving() bool {
	select {
	case <-n.leaving:
		return true
	default:
		return false
	}
}

// drive steps the machine until the node ends.
func (n *Node) drive(ctx context.Context) error {
	ticker := time.NewTicker(machine.TickInterval)
	defer ticker.Stop()
	leaving := n.leaving
	var expired <-chan time.Time
	var batch []machine.Input
	for {
		select {
		case <-ctx.Done():
			return ErrStopped
		case <-n.stopped:
			return ErrStopped
		case <-n.shutDown:
			return nil
		case err := <-n.failed:
			return err
		case err := <-n.group.Failed():
			return eris.Wrap(err, "node: goroutine panicked")
		case <-expired:
			return ErrLeaveTimeout
		case <-leaving:
			leaving = nil
			timer := time.NewTimer(n.options.LeaveTimeout)
			defer timer.Stop()
			expired = timer.C
		case <-ticker.C:
			n.turn([]machine.Input{machine.Tick{}})
		case <-n.inbox.signal:
			batch = n.inbox.take(batch)
			n.turns(batch)
		}
	}
}

// turns steps a batch of any size in turns of at most turnLimit inputs.
func (n *Node) turns(batch []machine.Input) {
	for rest := batch; len(rest) > 0; {
		size := min(len(rest), turnLimit)
		n.turn(rest[:size])
		rest = rest[size:]
	}
	clear(batch)
}

// turn steps inputs in order and carries out what the machine then wants.
// Time is read anew for each step, as the process may be paused at any place.
func (n *Node) turn(inputs []machine.Input) {
	started := time.Now()
	for _, in := range inputs {
		n.options.Machine.Step(time.Now(), in)
	}
	outputs := n.options.Machine.Take()
	for _, output := range outputs {
		n.perform(output)
	}
	n.ready.Store(n.options.Ready())
	n.metrics.inputs.Add(float64(len(inputs)))
	n.metrics.outputs.Add(float64(len(outputs)))
	n.metrics.turn.Observe(time.Since(started).Seconds())
}

// serveHTTP serves callers and operators until the server is shut down.
func (n *Node) serveHTTP() {
	if err := n.server.Serve(n.options.Listeners.Client); err != nil {
		n.failed <- eris.Wrap(err, "node: serve callers")
	}
}

// runTransport runs the transport until it is stopped.
func (n *Node) runTransport() {
	if err := n.transport.Run(context.Background()); err != nil {
		n.failed <- err
	}
}

// beginShutdown closes the listener after the machine has left. The machine
// goes on answering until the calls that are still open have ended.
func (n *Node) beginShutdown() {
	if n.left {
		return
	}
	n.left = true
	n.log.Info("node: Left.")
	n.group.Go(func() {
		ctx, cancel := context.WithTimeout(n.work, shutdownTimeout)
		defer cancel()
		if late := n.server.Drain(ctx); late > 0 {
			n.log.Warn("node: Calls were open at the end.", zap.Int("calls", late))
		}
		n.register(ctx, cluster.StateDead)
		close(n.shutDown)
	})
}

// close ends everything that runs. Calls that are still open are answered as
// of unknown outcome.
func (n *Node) close() {
	n.inbox.close()
	n.api.Close()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	n.server.Drain(ctx)
	n.transport.Stop()
	n.endWork()
	n.group.Wait()
}
