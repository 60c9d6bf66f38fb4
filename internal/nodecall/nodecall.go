// Package nodecall carries the calls that nodes make to each other: net/rpc, whose messages
// are gob. A connection serves one caller for a few calls and is closed then, since of
// hundreds of nodes each rarely calls the same one twice.
package nodecall

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"
)

// connectionLimit is how long a connection is served, above the longest call: what a caller
// that is gone leaves open ends with it.
const connectionLimit = 5 * time.Second

// Serve answers calls until the listener is closed.
func Serve(listener net.Listener, server *rpc.Server) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept a call of another node")
		}
		if err := conn.SetDeadline(time.Now().Add(connectionLimit)); err != nil {
			conn.Close()
			continue // the caller has gone
		}
		go server.ServeConn(conn)
	}
}

// Call makes one call to the node at an address, IP:PORT, on a connection of its own. A node
// that takes no connections gives an error that is syscall.ECONNREFUSED.
func Call(ctx context.Context, address, method string, arguments, reply any) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "%s at node %s", method, address)
	}
	client := rpc.NewClient(conn)
	defer client.Close()
	call := client.Go(method, arguments, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "%s at node %s", method, address)
	case <-call.Done:
		return eris.Wrapf(call.Error, "%s at node %s", method, address)
	}
}
