// Package drain shuts an HTTP/1.1 server down without dropping requests that clients have sent.
//
// The Shutdown method of net/http closes every connection in the idle state, and a connection is in
// that state until the header of its next request was parsed completely. A request that has arrived
// unread, or was read in part, is thereby lost. In this package only the goroutine that reads a
// connection closes it, after a last check for arrived data. After DisableKeepAlives, responses
// carry "Connection: close", so that clients move to other servers. A Drain accepts the pending
// connections and then closes the listener, closes idle connections, and waits for requests in
// progress. When its time is up, it cancels their contexts so that their handlers still respond.
//
// A response that its client does not read would keep its connection in progress for as long as the client
// likes. WriteStall ends such connections, also while there is no drain.
//
// Limits bound what clients make a server hold: the number of connections, of which those without progress give way to
// new ones; the memory of heads and of requests in progress, which is reserved before the head is parsed; and the time
// for a head. Clients that send ahead, or in tiny pieces, are slowed down.
package drain

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// IdleGracePeriod is how long a connection must have been idle before a drain closes it: a client
// that has just connected, or has just read a response, is likely to send a request.
const IdleGracePeriod = 250 * time.Millisecond

// finalResponseTimeout is how long handlers have for their responses after their contexts were
// canceled.
const finalResponseTimeout = 200 * time.Millisecond

// ErrDrainTimeout is the cancellation cause of a request's context when a drain's time is up.
var ErrDrainTimeout = errors.New("the server has no more time")

// acceptTimeout bounds the accept of a pending connection, which the client may have closed since the
// listener was polled.
const acceptTimeout = 100 * time.Millisecond

// Options configure a Server.
type Options struct {
	// HTTP serves the connections. The package wraps its Handler and BaseContext, replaces its
	// ConnState and ConnContext, and is the only one to start and stop it.
	HTTP *http.Server
	// WriteStall is the time within which a client must take each 16 KB of a response; otherwise its
	// connection is reset. 0 means no limit. HTTP must set no write deadlines then.
	WriteStall time.Duration
	// Limits bound the connections.
	Limits Limits
}

// Server serves and tracks the connections of an HTTP server. It is safe for concurrent use.
type Server struct {
	http               *http.Server
	writeStall         time.Duration
	limits             Limits
	keepAlivesDisabled atomic.Bool
	// evicting is the number of open connections that have been told to give way.
	evicting atomic.Int64
	// lingering is the number of connections that are closed a moment after a refusal.
	lingering atomic.Int64
	pacer     *pacer
	// acceptEnded is closed once no more connections are accepted.
	acceptEnded chan struct{}

	mutex    sync.Mutex
	listener net.Listener
	// cancelRequests cancels the contexts of all requests; nil before Serve.
	cancelRequests context.CancelCauseFunc
	draining       bool
	conns          map[*conn]struct{}
	// reclaimedAt is when stalled connections that hold memory were last searched.
	reclaimedAt time.Time
	// connClosed is closed and replaced whenever a connection was closed; that wakes all
	// concurrent drains.
	connClosed chan struct{}
}

// NewServer returns a server that does not accept connections yet.
func NewServer(options Options) *Server {
	s := &Server{
		http: options.HTTP, writeStall: options.WriteStall, limits: options.Limits, pacer: newPacer(), acceptEnded: make(chan struct{}), conns: make(map[*conn]struct{}), connClosed: make(chan struct{}),
	}
	s.http.Handler = s.withConnectionClose(s.withLimits(s.http.Handler))
	s.http.ConnContext = withConn
	s.http.BaseContext = s.withCancellation(s.http.BaseContext)
	s.http.ConnState = func(accepted net.Conn, state http.ConnState) {
		if c, ok := accepted.(*conn); ok {
			c.setState(state)
		}
	}
	return s
}

// withConnectionClose wraps a handler so that its responses carry "Connection: close" once
// keep-alives are disabled.
func (s *Server) withConnectionClose(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.keepAlivesDisabled.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// withCancellation wraps a BaseContext function, which may be nil, so that the server can cancel the
// contexts of requests.
func (s *Server) withCancellation(parent func(net.Listener) context.Context) func(net.Listener) context.Context {
	return func(listener net.Listener) context.Context {
		base := context.Background()
		if parent != nil {
			base = parent(listener)
		}
		ctx, cancel := context.WithCancelCause(base)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.cancelRequests = cancel
		return ctx
	}
}

// Serve serves the connections of a listener until a Drain or Close, and then returns nil. It closes
// the listener. It may be called only once.
func (s *Server) Serve(listener net.Listener) error {
	defer close(s.acceptEnded)
	s.mutex.Lock()
	s.listener = listener
	s.mutex.Unlock()
	err := s.http.Serve(&trackingListener{Listener: listener, server: s})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, errDrained) {
		return nil
	}
	return eris.Wrap(err, "accept connections")
}

// DisableKeepAlives makes each response from now on the last one of its connection.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// Drain disables keep-alives, accepts the pending connections and closes connections as soon as they
// have been idle for the grace period. It returns when no connection is left. If the context ends
// first, it cancels the contexts of all requests with the cause ErrDrainTimeout, gives their handlers
// a moment to respond, and closes the remaining connections; unfinished is the number of connections
// that had a complete or partial request at that time.
func (s *Server) Drain(ctx context.Context) (unfinished int) {
	s.DisableKeepAlives()
	for _, c := range s.beginDrain() {
		c.drain()
	}
	if s.awaitNoConns(ctx) {
		return 0
	}
	unfinished = s.activeConns()
	s.cancelAllRequests()
	finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalResponseTimeout)
	defer cancel()
	s.awaitNoConns(finalCtx)
	s.Close()
	return unfinished
}

// awaitNoConns waits until no connection is accepted any more and none is left. It returns false if
// the context ends first.
func (s *Server) awaitNoConns(ctx context.Context) bool {
	acceptEnded := s.acceptEnded
	for {
		open, connClosed := s.openConns()
		if acceptEnded == nil && open == 0 {
			return true
		}
		select {
		case <-acceptEnded:
			acceptEnded = nil
		case <-connClosed:
		case <-ctx.Done():
			return false
		}
	}
}

// cancelAllRequests cancels the contexts of all requests.
func (s *Server) cancelAllRequests() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.cancelRequests != nil {
		s.cancelRequests(ErrDrainTimeout)
	}
}

// beginDrain interrupts a waiting accept and returns the open connections.
func (s *Server) beginDrain() []*conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
	if s.listener != nil {
		interruptAccept(s.listener)
	}
	return slices.Collect(maps.Keys(s.conns))
}

// activeConns returns the number of connections with a complete or partial request.
func (s *Server) activeConns() (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		if !c.isIdle() {
			count++
		}
	}
	return count
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	// An error of closing the listener is of no use to the caller.
	_ = s.http.Close()
}

// openConns returns the number of open connections and a channel that is closed when one of them is
// closed.
func (s *Server) openConns() (count int, connClosed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.conns), s.connClosed
}

// track adds an accepted connection. One accepted during a drain has the idle grace period like any
// other.
func (s *Server) track(accepted net.Conn) *conn {
	now := time.Now()
	c := &conn{Conn: accepted, server: s, idleSince: now, progressAt: now}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.conns[c] = struct{}{}
	c.draining = s.draining
	return c
}

func (s *Server) untrack(c *conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, c)
	close(s.connClosed)
	s.connClosed = make(chan struct{})
}

// errDrained ends the accept loop of net/http.
var errDrained = errors.New("the server is drained")

// trackingListener is a listener whose connections a Server tracks.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. During a drain it accepts only pending connections and then closes
// the listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		if l.isDraining() {
			if !readable(l.Listener) {
				l.Listener.Close()
				return nil, errDrained
			}
			setDeadline(l.Listener, time.Now().Add(acceptTimeout))
		}
		accepted, err := l.Listener.Accept()
		switch {
		case err == nil && l.server.makeRoom():
			return l.server.track(accepted), nil
		case err == nil:
			l.server.refuseConnection(accepted)
		case errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, net.ErrClosed) && l.isDraining():
			return nil, errDrained
		default:
			return nil, err
		}
	}
}

func (l *trackingListener) isDraining() bool {
	l.server.mutex.Lock()
	defer l.server.mutex.Unlock()
	return l.server.draining
}

// pastDeadline is a deadline that interrupts a waiting call.
var pastDeadline = time.Unix(1, 0)

// interruptAccept interrupts a listener's waiting accept. A listener without deadlines is closed
// instead.
func interruptAccept(listener net.Listener) {
	if !setDeadline(listener, pastDeadline) {
		listener.Close()
	}
}

// setDeadline sets the accept deadline of a listener if it supports deadlines.
func setDeadline(listener net.Listener, deadline time.Time) (supported bool) {
	deadliner, supported := listener.(interface{ SetDeadline(time.Time) error })
	if supported {
		// It fails only on a closed listener, whose accept does not wait.
		_ = deadliner.SetDeadline(deadline)
	}
	return supported
}

// readable reports whether a read from a socket, or an accept on it, would return at once. It does
// not block and ignores the socket's deadline. It returns false for anything but a socket.
func readable(socket any) bool {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false // closed
	}
	found := false
	err = raw.Control(func(descriptor uintptr) {
		fds := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		for {
			count, err := unix.Poll(fds, 0)
			if !errors.Is(err, unix.EINTR) {
				found = err == nil && count > 0
				return
			}
		}
	})
	return err == nil && found
}
