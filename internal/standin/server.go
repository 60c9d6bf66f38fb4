package standin

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// readHeaderTimeout bounds the time to read request headers.
const readHeaderTimeout = 10 * time.Second

// relistenDelay is the pause between attempts to rebind the address.
const relistenDelay = 20 * time.Millisecond

// Server serves a stand-in on a TCP address. While it is down, for example after
// a crash, connections to the address are refused.
type Server struct {
	address string
	tasks   conc.WaitGroup

	mu       sync.Mutex
	handler  http.Handler
	listener net.Listener
	http     *http.Server
	closed   bool
}

// Listen opens a listener without serving yet, so that the bound address can be
// used in the stand-in's options. An address such as 127.0.0.1:0 picks a free
// port.
func Listen(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return &Server{address: listener.Addr().String(), listener: listener}, nil
}

// Address returns the bound host:port.
func (s *Server) Address() string { return s.address }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.address }

// Serve starts serving a handler in the background.
func (s *Server) Serve(handler http.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = handler
	s.serveLocked()
}

func (s *Server) serveLocked() {
	if s.closed || s.listener == nil {
		return
	}
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
	listener := s.listener
	s.http = server
	s.tasks.Go(func() { _ = server.Serve(listener) })
}

// down closes the listener and all connections.
func (s *Server) down() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopLocked()
}

func (s *Server) stopLocked() {
	if s.http != nil {
		_ = s.http.Close()
		s.http = nil
	}
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
}

// up listens and serves again after down.
func (s *Server) up() {
	for !s.tryUp() {
		time.Sleep(relistenDelay)
	}
}

// tryUp tries to listen again. It returns false if the address is still in use
// and the call must be retried.
func (s *Server) tryUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.listener != nil {
		return true
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return false
	}
	s.listener = listener
	s.serveLocked()
	return true
}

// Close closes the listener and all connections and waits for the server's
// goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.stopLocked()
	s.mu.Unlock()
	s.tasks.Wait()
}
