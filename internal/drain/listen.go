package drain

import (
	"context"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// ListenOptions bound what clients make the kernel hold of what they send before it is read, which counts as memory of
// the process.
type ListenOptions struct {
	// ReceiveBuffer is the size of the receive buffers of accepted connections in bytes; the kernel takes up to half as
	// much again. WidenReceiveBuffer enlarges it for large bodies.
	ReceiveBuffer int
	// QueueLength is the number of connections that wait to be accepted. A client whose connection finds no room tries
	// again after a second.
	QueueLength int
}

// Listen listens on a TCP address.
func Listen(ctx context.Context, address string, options ListenOptions) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		return control(socket, func(descriptor int) error {
			return unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, options.ReceiveBuffer)
		})
	}}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	if err := setQueueLength(listener.(*net.TCPListener), options.QueueLength); err != nil {
		listener.Close()
		return nil, eris.Wrap(err, "set the length of the queue of connections")
	}
	return listener, nil
}

// setQueueLength sets the number of connections that wait to be accepted, which package net sets to the system's
// maximum.
func setQueueLength(listener *net.TCPListener, length int) error {
	socket, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	return control(socket, func(descriptor int) error { return unix.Listen(descriptor, length) })
}

// control calls a function with a socket's descriptor.
func control(socket syscall.RawConn, call func(descriptor int) error) error {
	var failure error
	if err := socket.Control(func(descriptor uintptr) { failure = call(int(descriptor)) }); err != nil {
		return err
	}
	return failure
}
