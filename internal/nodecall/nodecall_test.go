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

// SlowReply is a reply that is being decoded until a test lets go of it.
type SlowReply struct {
	began   chan struct{}
	proceed chan struct{}
	text    string
}

// GobEncode implements gob.GobEncoder.
func (*SlowReply) GobEncode() ([]byte, error) { return []byte("late"), nil }

// GobDecode implements gob.GobDecoder.
func (r *SlowReply) GobDecode(text []byte) error {
	close(r.began)
	<-r.proceed
	r.text = string(text)
	return nil
}

func (echo) SaySlowly(string, *SlowReply) error { return nil }

// Guards against a reply that is still being written when its call has returned, which a race detector found.
func TestReplyIsNotWrittenAfterItsCall(t *testing.T) {
	listener, _ := serve(t)
	ctx, cancel := context.WithCancel(t.Context())
	reply := &SlowReply{began: make(chan struct{}), proceed: make(chan struct{})}
	returned := make(chan error, 1)
	go func() { returned <- Call(ctx, listener.Addr().String(), "Echo.SaySlowly", "hello", reply) }()
	select {
	case <-reply.began:
	case err := <-returned:
		t.Fatalf("returned before the reply: %v", err)
	}
	cancel()
	select {
	case err := <-returned:
		t.Errorf("returned while the reply was being decoded: %v", err)
		returned <- err
	case <-time.After(100 * time.Millisecond):
	}
	close(reply.proceed)
	if err := <-returned; !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	if text := reply.text; text != "late" {
		t.Errorf("the reply is %q", text)
	}
}
