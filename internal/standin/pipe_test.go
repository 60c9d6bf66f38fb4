package standin_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"

	"dalehook/internal/backend"
	"dalehook/internal/platform"
)

// pipeNetwork is an in-memory network. Its connections block only in ways that
// testing/synctest recognizes, so that tests run on a virtual clock.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

func (p *pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	p.mu.Lock()
	listener, ok := p.listeners[address]
	p.mu.Unlock()
	if !ok {
		return nil, errors.New("connection refused")
	}
	clientConn, serverConn := net.Pipe()
	select {
	case listener.conns <- serverConn:
		return clientConn, nil
	case <-listener.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve serves a handler at an address until the test ends.
func (p *pipeNetwork) serve(t *testing.T, address string, handler http.Handler) {
	t.Helper()
	listener := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	p.mu.Lock()
	if p.listeners == nil {
		p.listeners = make(map[string]*pipeListener)
	}
	p.listeners[address] = listener
	p.mu.Unlock()
	server := &http.Server{Handler: handler}
	var done sync.WaitGroup
	done.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		server.Close()
		done.Wait()
	})
}

func (p *pipeNetwork) engineClient(t *testing.T) *backend.EngineClient {
	client := backend.NewEngineClient(backend.Options{Dial: p.dial})
	t.Cleanup(client.Close)
	return client
}

func (p *pipeNetwork) serviceClient(t *testing.T) *backend.ServiceClient {
	client := backend.NewServiceClient(backend.Options{Dial: p.dial})
	t.Cleanup(client.Close)
	return client
}

func (p *pipeNetwork) platformClient(t *testing.T, address string) *platform.Client {
	client := platform.NewClient(platform.Options{LogURL: "http://" + address, Dial: p.dial})
	t.Cleanup(client.Close)
	return client
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddress(l.address) }

type pipeAddress string

func (pipeAddress) Network() string  { return "pipe" }
func (a pipeAddress) String() string { return string(a) }
