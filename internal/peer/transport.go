// Package peer carries typed messages between dalehook nodes: one persistent
// TCP connection for each peer and direction, with one gob encoder each, since
// gob describes a type once a stream. Delivery is best effort.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"dalehook/internal/cluster"
	"dalehook/internal/supervise"
)

// destination names a connection for sending. The same address under another
// node id is another destination, as a machine's address may be reused.
type destination struct {
	to      cluster.NodeID
	address string
}

// state is where a Transport stands in its life.
type state int

const (
	stateNew state = iota
	stateRunning
	stateStopped
)

// Transport sends messages to other nodes and receives theirs.
type Transport struct {
	options Options
	metrics *metrics
	log     *zap.Logger
	group   *supervise.Group

	// stopping is closed at the start of the stop; drained ends when the time
	// for queued messages is over.
	stopping     chan struct{}
	drained      context.Context
	drainedOver  context.CancelFunc
	stopOnce     sync.Once
	mutex        sync.Mutex
	state        state
	senders      map[destination]*sender
	inboundConns map[net.Conn]struct{}
}

// NewTransport returns a transport. It sends from now on, so that no message of
// a starting node is lost, and accepts from Run on.
func NewTransport(options Options) *Transport {
	options = options.withDefaults()
	drained, drainedOver := context.WithCancel(context.Background())
	return &Transport{
		options:      options,
		metrics:      newMetrics(options.Registerer),
		log:          options.Logger.Named("peer"),
		group:        supervise.NewGroup(),
		stopping:     make(chan struct{}),
		drained:      drained,
		drainedOver:  drainedOver,
		senders:      make(map[destination]*sender),
		inboundConns: make(map[net.Conn]struct{}),
	}
}

// Run accepts connections until the context ends or Stop is called, then sends
// what is queued, and returns when no goroutine is left. The error is the panic
// of a goroutine or the listener's failure. Run may be called once.
func (t *Transport) Run(ctx context.Context) error {
	if !t.start() {
		return eris.New("peer: transport was run or stopped before")
	}
	accepted := make(chan error, 1)
	t.group.Go(func() { accepted <- t.accept() })
	var err error
	select {
	case <-ctx.Done():
	case <-t.stopping:
	case err = <-t.group.Failed():
	case err = <-accepted:
	}
	t.Stop()
	t.close()
	drainTimer := time.AfterFunc(t.options.DrainTimeout, t.drainedOver)
	defer drainTimer.Stop()
	t.group.Wait()
	t.drainedOver()
	return eris.Wrap(err, "peer: run transport")
}

// Stop ends Run.
func (t *Transport) Stop() {
	t.stopOnce.Do(func() { close(t.stopping) })
}

// Send queues a message for the node at the address and returns at once. An
// empty NodeID addresses whoever listens there. A message that finds the queue
// full is dropped and counted.
func (t *Transport) Send(to cluster.NodeID, address string, message any) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.state == stateStopped {
		t.drop(dropStopped, 1)
		return
	}
	select {
	case t.sender(destination{to: to, address: address}).queue <- message:
	default:
		t.drop(dropQueueFull, 1)
	}
}

// start moves a new transport to running.
func (t *Transport) start() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.state != stateNew {
		return false
	}
	t.state = stateRunning
	return true
}

// sender returns the running sender of a destination. The mutex is held.
func (t *Transport) sender(to destination) *sender {
	if known, ok := t.senders[to]; ok {
		return known
	}
	added := newSender(t, to)
	t.senders[to] = added
	t.group.Go(added.run)
	return added
}

// forget removes an idle sender, unless a message has come for it meanwhile.
func (t *Transport) forget(s *sender) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(s.queue) > 0 {
		return false
	}
	delete(t.senders, s.destination)
	return true
}

// close refuses further messages and closes what came in.
func (t *Transport) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.state = stateStopped
	t.options.Listener.Close()
	for conn := range t.inboundConns {
		conn.Close()
	}
}

// drop counts messages that are not sent.
func (t *Transport) drop(reason string, messages int) {
	t.metrics.dropped.WithLabelValues(reason).Add(float64(messages))
}
