package nodecall

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"strings"
	"syscall"
	"testing"
	"time"
)

// echo is a service that returns its argument.
type echo struct{}

func (echo) Say(text string, answer *string) error {
	*answer = text
	return nil
}

func (echo) Fail(string, *string) error { return errors.New("no answer") }

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

func serve(t *testing.T) (listener net.Listener, serveErr <-chan error) {
	t.Helper()
	server := rpc.NewServer()
	if err := server.RegisterName("Echo", echo{}); err != nil {
		t.Fatal(err)
	}
	listener = listen(t)
	result := make(chan error, 1)
	go func() { result <- Serve(listener, server) }()
	return listener, result
}

func TestCall(t *testing.T) {
	listener, serveErr := serve(t)
	address := listener.Addr().String()
	var answer string
	if err := Call(context.Background(), address, "Echo.Say", "hello", &answer); err != nil || answer != "hello" {
		t.Errorf("answer %q, %v", answer, err)
	}
	err := Call(context.Background(), address, "Echo.Fail", "hello", &answer)
	if err == nil || !strings.Contains(err.Error(), "Echo.Fail at node "+address) {
		t.Errorf("the error does not name the method and the node: %v", err)
	}
	if err := Call(context.Background(), address, "Echo.Unknown", "hello", &answer); err == nil {
		t.Error("a call of an unknown method has no error")
	}
	listener.Close()
	if err := <-serveErr; err != nil {
		t.Errorf("Serve after the listener was closed: %v", err)
	}
	if err := Call(context.Background(), address, "Echo.Say", "hello", &answer); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a call to a node that refuses connections: %v", err)
	}
}

func TestCallToSilentNodeEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var answer string
	err := Call(ctx, listen(t).Addr().String(), "Echo.Say", "hello", &answer)
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v", err)
	}
}
