package liveness

import (
	"context"
	"net"
	"testing"
	"time"
)

func ask(address, process string) Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return Ask(ctx, address, process)
}

func TestAsk(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	ended := make(chan error, 1)
	go func() { ended <- Serve(listener, "node/2") }()
	if got := ask(address, "node/2"); got != Alive {
		t.Errorf("the process itself: %v", got)
	}
	if got := ask(address, "node/1"); got != Replaced {
		t.Errorf("an earlier process: %v", got)
	}
	listener.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if got := ask(address, "node/2"); got != Refused {
		t.Errorf("a node without a process: %v", got)
	}
}

func TestASilentNodeIsNotTakenForGone(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if got := Ask(ctx, listener.Addr().String(), "node/1"); got != Unknown {
		t.Errorf("a node that says nothing: %v", got)
	}
}
