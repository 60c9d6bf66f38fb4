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

// pipes is a network in memory. Its connections block only in ways that
// testing/synctest knows, so that tests run on a virtual clock.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

func (p *pipes) dial(ctx context.Context, _, address string) (net.Conn, error) {
	p.mu.Lock()
	listener, ok := p.listeners[address]
	p.mu.Unlock()
	if !ok {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case listener.conns <- far:
		return near, nil
	case <-listener.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve serves a handler at an address until the test ends.
func (p *pipes) serve(t *testing.T, address string, handler http.Handler) {
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

func (p *pipes) engineClient(t *testing.T) *backend.EngineClient {
	client := backend.NewEngineClient(backend.Options{Dial: p.dial})
	t.Cleanup(client.Close)
	return client
}

func (p *pipes) serviceClient(t *testing.T) *backend.ServiceClient {
	client := backend.NewServiceClient(backend.Options{Dial: p.dial})
	t.Cleanup(client.Close)
	return client
}

func (p *pipes) platformClient(t *testing.T, address string) *platform.Client {
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
