package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// batchLimit is the size in bytes from which a batch is written even though
// more messages wait.
const batchLimit = 64 << 10

// sender sends the messages of one destination, in order.
type sender struct {
	transport   *Transport
	destination destination
	queue       chan any
	// link is the open connection, nil for none.
	link    *link
	backoff time.Duration
}

// newSender returns a sender without a connection.
func newSender(t *Transport, to destination) *sender {
	return &sender{
		transport:   t,
		destination: to,
		queue:       make(chan any, t.options.QueueLimit),
		backoff:     t.options.MinBackoff,
	}
}

// run sends until the destination is idle or the transport stops.
func (s *sender) run() {
	defer s.disconnect()
	idleTimeout := s.transport.options.IdleTimeout
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case message := <-s.queue:
			s.deliver(message)
			idle.Reset(idleTimeout)
		case <-s.link.ended():
			s.disconnect()
		case <-idle.C:
			if s.transport.forget(s) {
				return
			}
			idle.Reset(idleTimeout)
		case <-s.transport.stopping:
			s.drain()
			return
		}
	}
}

// drain sends what is queued when the transport stops.
func (s *sender) drain() {
	for {
		select {
		case message := <-s.queue:
			s.deliver(message)
		default:
			return
		}
	}
}

// deliver sends a message and those that wait behind it in one write.
func (s *sender) deliver(message any) {
	if err := s.connect(); err != nil {
		s.transport.drop(dropUnreachable, 1+s.discard())
		s.transport.log.Debug("peer: Dial failed.",
			zap.String("peer", string(s.destination.to)),
			zap.String("address", s.destination.address),
			zap.Error(err))
		s.waitBackoff()
		return
	}
	s.add(message)
	for s.link != nil && s.link.batch.Len() < batchLimit {
		select {
		case message = <-s.queue:
			s.add(message)
			continue
		default:
		}
		break
	}
	s.flush()
}

// connect opens a connection unless a usable one is there.
func (s *sender) connect() error {
	select {
	case <-s.link.ended():
		s.disconnect()
	default:
	}
	if s.link != nil {
		return nil
	}
	opened, err := openLink(s.transport, s.destination)
	if err != nil {
		return err
	}
	s.link = opened
	s.backoff = s.transport.options.MinBackoff
	return nil
}

// add encodes a message into the batch. A message that can't travel costs the
// connection, as the encoder may have described types in the part cut off.
func (s *sender) add(message any) {
	reason, err := s.link.add(message)
	if err == nil {
		return
	}
	s.transport.drop(reason, 1)
	s.transport.log.Error("peer: Message can't be sent.",
		zap.String("peer", string(s.destination.to)), zap.Error(err))
	s.flush()
	s.disconnect()
}

// flush writes the batch.
func (s *sender) flush() {
	if s.link == nil {
		return
	}
	messages := s.link.messages
	if err := s.link.flush(); err != nil {
		s.transport.drop(dropWrite, messages)
		s.transport.log.Info("peer: Connection lost.",
			zap.String("peer", string(s.destination.to)),
			zap.String("address", s.destination.address),
			zap.Error(err))
		s.disconnect()
	}
}

// disconnect closes the connection, if there is one.
func (s *sender) disconnect() {
	if s.link == nil {
		return
	}
	s.link.close()
	s.link = nil
}

// discard empties the queue and returns how many messages it held.
func (s *sender) discard() int {
	for count := 0; ; count++ {
		select {
		case <-s.queue:
		default:
			return count
		}
	}
}

// waitBackoff waits after a failed dial, longer each time, with jitter so that
// nodes do not dial a returning peer all at once.
func (s *sender) waitBackoff() {
	jitter := time.Duration(rand.Int64N(int64(s.backoff)/2 + 1))
	s.transport.pause(s.backoff/2 + jitter)
	s.backoff = min(2*s.backoff, s.transport.options.MaxBackoff)
}

// link is an open connection for sending.
type link struct {
	transport *Transport
	conn      net.Conn
	encoder   *gob.Encoder
	// batch holds encoded messages that are not written yet.
	batch    bytes.Buffer
	messages int
	// over is closed when the peer has closed the connection.
	over chan struct{}
	// unwatch ends the closing of the connection at the end of draining.
	unwatch func() bool
}

// openLink dials and puts the hello into the first batch.
func openLink(t *Transport, to destination) (*link, error) {
	ctx, cancel := context.WithTimeout(t.drained, t.options.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", to.address)
	if err != nil {
		return nil, eris.Wrapf(err, "peer: dial %s at %s", to.to, to.address)
	}
	l := &link{transport: t, conn: conn, over: make(chan struct{})}
	l.encoder = gob.NewEncoder(&l.batch)
	self := t.options.Self
	greeting := hello{
		Version:         protocolVersion,
		From:            self.ID,
		FromIncarnation: self.Incarnation,
		To:              to.to,
	}
	if err := l.encoder.Encode(greeting); err != nil {
		conn.Close()
		return nil, eris.Wrap(err, "peer: encode hello")
	}
	l.unwatch = context.AfterFunc(t.drained, func() { conn.Close() })
	t.metrics.connections.WithLabelValues(directionSent).Inc()
	t.group.Go(l.watch)
	return l, nil
}

// watch waits for the end of the connection; the peer never writes on it.
func (l *link) watch() {
	defer close(l.over)
	var one [1]byte
	l.conn.Read(one[:])
}

// ended returns a channel that is closed when the peer has closed the
// connection; nil for a nil link.
func (l *link) ended() <-chan struct{} {
	if l == nil {
		return nil
	}
	return l.over
}

// add encodes a message at the end of the batch. On an error the batch keeps
// what it held before and the reason says why the message was dropped.
func (l *link) add(message any) (reason string, err error) {
	before := l.batch.Len()
	if err := l.encoder.Encode(envelope{Message: message}); err != nil {
		l.batch.Truncate(before)
		return dropEncode, eris.Wrapf(err, "peer: encode %T", message)
	}
	if size := l.batch.Len() - before; size > l.transport.options.FrameLimit {
		l.batch.Truncate(before)
		return dropTooLarge, eris.Wrapf(errFrameTooLarge, "%T of %d bytes", message, size)
	}
	l.messages++
	return "", nil
}

// flush writes the batch and forgets it.
func (l *link) flush() error {
	defer l.reset()
	deadline := time.Now().Add(l.transport.options.WriteTimeout)
	if err := l.conn.SetWriteDeadline(deadline); err != nil {
		return eris.Wrap(err, "peer: set write deadline")
	}
	written, err := l.conn.Write(l.batch.Bytes())
	l.transport.metrics.sentBytes.Add(float64(written))
	if err != nil {
		return eris.Wrap(err, "peer: write")
	}
	l.transport.metrics.sentMessages.Add(float64(l.messages))
	return nil
}

// reset forgets the batch, and its memory when one message was very large.
func (l *link) reset() {
	l.messages = 0
	if l.batch.Cap() > 2*batchLimit {
		l.batch = bytes.Buffer{}
		return
	}
	l.batch.Reset()
}

// close ends the connection.
func (l *link) close() {
	l.unwatch()
	l.conn.Close()
	l.transport.metrics.connections.WithLabelValues(directionSent).Dec()
}
