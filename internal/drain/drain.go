// Package drain ends an HTTP/1.1 server without cutting what its callers have sent.
//
// net/http's own Shutdown closes every connection that counts as idle, and one counts as idle
// until the whole head of its next request was parsed: a request that has arrived, or was read
// in part, is closed under its caller. Here a connection is ended only by the goroutine that
// reads it, after a last look whether anything has arrived. From Leave on, answers say that
// they are their connection's last, so that callers move on by themselves; from Drain on, no
// connection is accepted once those that wait were, connections that rest are ended, and what
// is under way is waited for. What lasts too long is told to end, so that it is answered.
package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// restTime is how long a connection must have rested before it is ended: a caller that has
// just connected, or just read an answer, is likely to send.
const restTime = 250 * time.Millisecond

// lastAnswerTime is how long handlers that were told to end have for their answers.
const lastAnswerTime = 200 * time.Millisecond

// ErrTimeUp is the cause of the end of a request's context once a drain has no more time.
var ErrTimeUp = errors.New("the server has no more time")

// acceptTime bounds the accepting of a connection that waits, should it be gone by then.
const acceptTime = 100 * time.Millisecond

// Options configure a Server.
type Options struct {
	// HTTP serves the connections. Its handler and BaseContext are wrapped and its ConnState is
	// taken; it is served and ended by this package alone.
	HTTP *http.Server
}

// Server serves an HTTP server's connections and keeps account of them. Its methods may be
// called by several goroutines.
type Server struct {
	http    *http.Server
	leaving atomic.Bool
	// ended is closed once no connection is accepted any more.
	ended chan struct{}

	mutex    sync.Mutex
	listener net.Listener
	// endRequests ends the contexts of all requests; nil before Serve.
	endRequests context.CancelCauseFunc
	draining    bool
	conns       map[*conn]struct{}
	// gone is closed and replaced each time a connection has ended; it wakes all that drain.
	gone chan struct{}
}

// NewServer returns a server that accepts nothing yet.
func NewServer(options Options) *Server {
	s := &Server{
		http: options.HTTP, ended: make(chan struct{}), conns: make(map[*conn]struct{}), gone: make(chan struct{}),
	}
	s.http.Handler = s.closing(s.http.Handler)
	s.http.BaseContext = s.ending(s.http.BaseContext)
	s.http.ConnState = func(accepted net.Conn, state http.ConnState) {
		if c, ok := accepted.(*conn); ok {
			c.setState(state)
		}
	}
	return s
}

// closing has a handler's answers say, once the server leaves, that they are their
// connection's last.
func (s *Server) closing(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// ending gives requests contexts that the server can end. The parent may be nil.
func (s *Server) ending(parent func(net.Listener) context.Context) func(net.Listener) context.Context {
	return func(listener net.Listener) context.Context {
		base := context.Background()
		if parent != nil {
			base = parent(listener)
		}
		ctx, end := context.WithCancelCause(base)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.endRequests = end
		return ctx
	}
}

// Serve serves the connections of a listener, once in the life of a server. It returns nil
// once a Drain or a Close has ended it, and closes the listener.
func (s *Server) Serve(listener net.Listener) error {
	defer close(s.ended)
	s.mutex.Lock()
	s.listener = listener
	s.mutex.Unlock()
	err := s.http.Serve(&acceptor{Listener: listener, server: s})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, errDrained) {
		return nil
	}
	return eris.Wrap(err, "accept connections")
}

// Leave has answers say from now on that they are their connection's last.
func (s *Server) Leave() { s.leaving.Store(true) }

// Drain leaves, accepts what waits to be accepted, and ends connections as soon as they rest.
// It returns when no connection is left. When the context ends before, it ends the contexts of
// all requests, with the cause ErrTimeUp, gives their handlers a moment for an answer, and
// closes what is left; late is the number of connections that had a request by then, in part or
// whole.
func (s *Server) Drain(ctx context.Context) (late int) {
	s.Leave()
	for _, c := range s.beginDrain() {
		c.drain()
	}
	if s.awaitEnd(ctx) {
		return 0
	}
	late = s.requests()
	s.tellToEnd()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastAnswerTime)
	defer cancel()
	s.awaitEnd(last)
	s.Close()
	return late
}

// awaitEnd waits until no connection is left; it returns false when the context ends before.
func (s *Server) awaitEnd(ctx context.Context) bool {
	accepting := s.ended
	for {
		open, gone := s.open()
		if accepting == nil && open == 0 {
			return true
		}
		select {
		case <-accepting:
			accepting = nil
		case <-gone:
		case <-ctx.Done():
			return false
		}
	}
}

// tellToEnd ends the contexts of all requests.
func (s *Server) tellToEnd() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.endRequests != nil {
		s.endRequests(ErrTimeUp)
	}
}

// beginDrain wakes whoever waits for a connection, and returns the open ones.
func (s *Server) beginDrain() []*conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
	if s.listener != nil {
		wake(s.listener)
	}
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// requests returns how many connections have a request.
func (s *Server) requests() (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		if !c.resting() {
			count++
		}
	}
	return count
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	// What the listener has to say at its end helps nobody.
	_ = s.http.Close()
}

// open returns the number of connections, and what is closed when one of them has ended.
func (s *Server) open() (count int, gone <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.conns), s.gone
}

// add takes account of a connection. One that comes in the midst of a drain rests first like
// any other.
func (s *Server) add(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, server: s, since: time.Now()}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.conns[c] = struct{}{}
	c.draining = s.draining
	return c
}

func (s *Server) remove(c *conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, c)
	close(s.gone)
	s.gone = make(chan struct{})
}

// errDrained ends the accepting of connections.
var errDrained = errors.New("the server is drained")

// acceptor is a listener whose connections a server keeps account of.
type acceptor struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. Once the server drains, it accepts what waits.
func (a *acceptor) Accept() (net.Conn, error) {
	for {
		if a.drained() {
			if !readable(a.Listener) {
				a.Listener.Close()
				return nil, errDrained
			}
			setDeadline(a.Listener, time.Now().Add(acceptTime))
		}
		accepted, err := a.Listener.Accept()
		if err == nil {
			return a.server.add(accepted), nil
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, net.ErrClosed) && a.drained():
			return nil, errDrained
		default:
			return nil, err
		}
	}
}

func (a *acceptor) drained() bool {
	a.server.mutex.Lock()
	defer a.server.mutex.Unlock()
	return a.server.draining
}

// longAgo is a deadline that ends what waits.
var longAgo = time.Unix(1, 0)

// wake ends a listener's wait for a connection; one that can not be woken is closed.
func wake(listener net.Listener) {
	if !setDeadline(listener, longAgo) {
		listener.Close()
	}
}

// setDeadline bounds a listener's wait, if it knows deadlines.
func setDeadline(listener net.Listener, at time.Time) (known bool) {
	bounded, known := listener.(interface{ SetDeadline(time.Time) error })
	if known {
		// It fails only at a closed listener, which waits no more.
		_ = bounded.SetDeadline(at)
	}
	return known
}

// readable says whether a read, or an accept, of a socket would find something. It waits for
// nothing, whatever the socket's deadline. What is no socket has nothing.
func readable(socket any) bool {
	system, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false // closed
	}
	found := false
	err = raw.Control(func(descriptor uintptr) {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		for {
			count, err := unix.Poll(polled, 0)
			if !errors.Is(err, unix.EINTR) {
				found = err == nil && count > 0
				return
			}
		}
	})
	return err == nil && found
}
