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

// echo answers with what it is asked.
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

func serve(t *testing.T) (listener net.Listener, ended <-chan error) {
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
	listener, ended := serve(t)
	address := listener.Addr().String()
	var answer string
	if err := Call(context.Background(), address, "Echo.Say", "hello", &answer); err != nil || answer != "hello" {
		t.Errorf("answer %q, %v", answer, err)
	}
	err := Call(context.Background(), address, "Echo.Fail", "hello", &answer)
	if err == nil || !strings.Contains(err.Error(), "Echo.Fail at node "+address) {
		t.Errorf("an error names neither step nor peer: %v", err)
	}
	if err := Call(context.Background(), address, "Echo.Unknown", "hello", &answer); err == nil {
		t.Error("a call that the node does not know has no error")
	}
	listener.Close()
	if err := <-ended; err != nil {
		t.Errorf("the end of the listener: %v", err)
	}
	if err := Call(context.Background(), address, "Echo.Say", "hello", &answer); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a node that takes no connections: %v", err)
	}
}

func TestACallToASilentNodeEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var answer string
	err := Call(ctx, listen(t).Addr().String(), "Echo.Say", "hello", &answer)
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v", err)
	}
}
