package liveness

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/nodecall"
	"dalehook/internal/store"
)

func ask(address, process string) Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return Ask(ctx, "asker:1", address, process, 7)
}

// holder yields the lease of epoch 7 once it is to.
type holder struct {
	yields    bool
	askedFrom string
}

func (h *holder) Yield(epoch int64) bool { return h.yields && epoch == 7 }

func (h *holder) NoteAsked(address string) { h.askedFrom = address }

func (h *holder) HandOver(epoch int64) Handover {
	if epoch != 7 {
		return Handover{}
	}
	return Handover{Whole: true, Pending: []Pending{
		{Partition: store.Partition{Topic: store.TopicJobs, Number: 3}, Records: [][]byte{[]byte("a"), []byte("b")}},
	}}
}

func serve(listener net.Listener, process string, holder Holder) error {
	server := rpc.NewServer()
	if err := Register(server, process, holder); err != nil {
		return err
	}
	return nodecall.Serve(listener, server)
}

func TestAsk(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	held := &holder{}
	ended := make(chan error, 1)
	go func() { ended <- serve(listener, "node/2", held) }()
	if got := ask(address, "node/2"); got != Alive {
		t.Errorf("the process itself: %v", got)
	}
	if held.askedFrom != "asker:1" {
		t.Errorf("it was asked from %q", held.askedFrom)
	}
	if got := ask(address, "node/1"); got != Replaced {
		t.Errorf("an earlier process: %v", got)
	}
	held.yields = true
	if got := ask(address, "node/2"); got != Yielded {
		t.Errorf("a process that yields: %v", got)
	}
	if got := ask(address, "node/1"); got != Replaced {
		t.Errorf("an earlier process than one that yields: %v", got)
	}
	handed, err := TakeOver(context.Background(), address, 7)
	if diff := cmp.Diff(held.HandOver(7), handed); err != nil || diff != "" {
		t.Errorf("handed over: %v, %s", err, diff)
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
	if got := Ask(ctx, "asker:1", listener.Addr().String(), "node/1", 7); got != Unknown {
		t.Errorf("a node that says nothing: %v", got)
	}
}
