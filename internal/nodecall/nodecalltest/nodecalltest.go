// Package nodecalltest serves calls between nodes in tests.
package nodecalltest

import (
	"net"
	"net/rpc"
	"testing"

	"dalehook/internal/nodecall"
)

// Serve answers calls at the returned address until the test ends. Each element of registers adds a
// service; without any the node has none.
func Serve(t testing.TB, registers ...func(*rpc.Server) error) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	server := rpc.NewServer()
	for _, register := range registers {
		if err := register(server); err != nil {
			t.Fatal(err)
		}
	}
	go func() {
		if err := nodecall.Serve(listener, server); err != nil {
			t.Errorf("serve calls: %v", err)
		}
	}()
	return listener.Addr().String()
}

// WithService returns a function that registers a service under a name, for Serve.
func WithService(name string, service any) func(*rpc.Server) error {
	return func(server *rpc.Server) error { return server.RegisterName(name, service) }
}
