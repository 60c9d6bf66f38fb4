// Package nodecall carries calls between nodes by net/rpc, which encodes messages with gob. Each call uses
// its own short-lived connection: among hundreds of nodes, a node rarely calls the same one twice.
package nodecall

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"
)

// connectionTimeout is how long a connection is served. It exceeds the longest call; connections left open by
// callers that are gone are closed after it.
const connectionTimeout = 5 * time.Second

// Serve answers calls until the listener is closed.
func Serve(listener net.Listener, server *rpc.Server) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept a call from another node")
		}
		if err := conn.SetDeadline(time.Now().Add(connectionTimeout)); err != nil {
			conn.Close()
			continue // the caller has gone
		}
		go server.ServeConn(newBoundedConn(conn, maxMessageBytes))
	}
}

// Call makes one call to the node at an address, IP:PORT, on a connection of its own. If the node refuses
// connections, the error wraps syscall.ECONNREFUSED.
func Call(ctx context.Context, address, method string, arguments, reply any) error {
	return CallForLongReply(ctx, address, method, arguments, reply, maxMessageBytes)
}

// CallForLongReply is Call for a reply of at most maxBytes bytes, which may be longer than replies usually are.
func CallForLongReply(ctx context.Context, address, method string, arguments, reply any, maxBytes int) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "%s at node %s", method, address)
	}
	client := rpc.NewClient(newBoundedConn(conn, maxBytes))
	defer client.Close()
	call := client.Go(method, arguments, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		client.Close()
		<-call.Done // a reply that is being decoded is no longer written to
		return eris.Wrapf(ctx.Err(), "%s at node %s", method, address)
	case <-call.Done:
		return eris.Wrapf(call.Error, "%s at node %s", method, address)
	}
}
