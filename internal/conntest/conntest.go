// Package conntest has servers for tests that speak for themselves on each connection.
package conntest

import (
	"context"
	"net"
	"testing"
)

// Serve listens on a local port, handles each connection in a goroutine of its own, and returns the address. The
// listener and the connections are closed at the end of the test.
func Serve(t testing.TB, handle func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handleUntilTestEnds(t.Context(), conn, handle)
		}
	}()
	return listener.Addr().String()
}

// handleUntilTestEnds handles a connection, and closes it once the context of the test ends.
func handleUntilTestEnds(ctx context.Context, conn net.Conn, handle func(net.Conn)) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	handle(conn)
}
