package peer

import (
	"encoding/gob"
	"errors"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"dalehook/internal/machine"
)

// idleFactor is how many of the sender's idle times a receiver waits before it
// takes the sender for gone.
const idleFactor = 2

// acceptPause is the pause after a failed accept, such as for want of file
// descriptors.
const acceptPause = 50 * time.Millisecond

// accept takes connections until the listener is closed.
func (t *Transport) accept() error {
	for {
		conn, err := t.options.Listener.Accept()
		switch {
		case err == nil:
			t.receiveFrom(conn)
		case errors.Is(err, net.ErrClosed):
			return eris.Wrap(err, "peer: listener closed")
		default:
			t.log.Warn("peer: Accept failed.", zap.Error(err))
			t.pause(acceptPause)
		}
	}
}

// pause waits, but not beyond the start of the stop.
func (t *Transport) pause(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.stopping:
	}
}

// receiveFrom serves a connection in a goroutine of its own.
func (t *Transport) receiveFrom(conn net.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.state != stateRunning {
		conn.Close()
		return
	}
	t.inboundConns[conn] = struct{}{}
	t.group.Go(func() {
		defer t.release(conn)
		t.serve(conn)
	})
}

// release closes a connection that came in.
func (t *Transport) release(conn net.Conn) {
	conn.Close()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.inboundConns, conn)
}

// serve reads one connection to its end.
func (t *Transport) serve(conn net.Conn) {
	open := t.metrics.connections.WithLabelValues(directionReceived)
	open.Inc()
	defer open.Dec()
	in := &inbound{
		transport: t,
		conn:      conn,
		reader:    newFrameReader(conn, t.options.FrameLimit, t.metrics.receivedBytes),
	}
	in.decoder = gob.NewDecoder(in.reader)
	err := in.run()
	if !in.isClosed(err) {
		t.metrics.malformed.Inc()
		t.log.Warn("peer: Closed a malformed connection.",
			zap.String("peer", string(in.hello.From)),
			zap.Stringer("address", conn.RemoteAddr()),
			zap.Error(err))
	}
}

// inbound is a connection on which another node sends.
type inbound struct {
	transport *Transport
	conn      net.Conn
	reader    *frameReader
	decoder   *gob.Decoder
	hello     hello
}

// isClosed reports whether the connection ended as connections do. A node that
// dies in the middle of a message leaves an unexpected end.
func (in *inbound) isClosed(err error) bool {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return in.hello.From != ""
	}
	var networkError net.Error
	return err == nil ||
		errors.Is(err, io.EOF) ||
		errors.Is(err, net.ErrClosed) ||
		errors.As(err, &networkError)
}

// run reads the hello and then messages until the connection ends.
func (in *inbound) run() error {
	if err := in.decode(&in.hello); err != nil {
		return err
	}
	if in.hello.Version != protocolVersion {
		return eris.Errorf("peer: protocol version %d", in.hello.Version)
	}
	self := in.transport.options.Self
	if in.hello.To != "" && in.hello.To != self.ID {
		in.transport.metrics.misdirected.Inc()
		return nil
	}
	for {
		var next envelope
		if err := in.decode(&next); err != nil {
			return err
		}
		in.transport.metrics.receivedMessages.Inc()
		in.transport.options.Receive(machine.PeerMessage{
			From:            in.hello.From,
			FromIncarnation: in.hello.FromIncarnation,
			Message:         next.Message,
		})
	}
}

// decode reads one value. A decoder that panics on what a peer sent must not
// take the node down.
func (in *inbound) decode(value any) error {
	limit := time.Now().Add(idleFactor * in.transport.options.IdleTimeout)
	if err := in.conn.SetReadDeadline(limit); err != nil {
		return err
	}
	in.reader.begin()
	var err error
	if recovered := panics.Try(func() { err = in.decoder.Decode(value) }); recovered != nil {
		return recovered.AsError()
	}
	return err
}
