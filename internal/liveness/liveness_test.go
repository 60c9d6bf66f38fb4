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

// fakeHolder yields the lease of epoch 7 if yields is set.
type fakeHolder struct {
	yields bool
	caller string
}

func (h *fakeHolder) Yield(epoch int64) bool { return h.yields && epoch == 7 }

func (h *fakeHolder) NoteCaller(address string) { h.caller = address }

func (h *fakeHolder) HandOver(epoch int64) Handover {
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
	holder := &fakeHolder{}
	ended := make(chan error, 1)
	go func() { ended <- serve(listener, "node/2", holder) }()
	if got := ask(address, "node/2"); got != Alive {
		t.Errorf("same process: %v", got)
	}
	if holder.caller != "asker:1" {
		t.Errorf("caller address %q", holder.caller)
	}
	if got := ask(address, "node/1"); got != Replaced {
		t.Errorf("earlier process: %v", got)
	}
	holder.yields = true
	if got := ask(address, "node/2"); got != Yielded {
		t.Errorf("yielding process: %v", got)
	}
	if got := ask(address, "node/1"); got != Replaced {
		t.Errorf("earlier process than a yielding one: %v", got)
	}
	handover, err := TakeOver(context.Background(), address, 7)
	if diff := cmp.Diff(holder.HandOver(7), handover); err != nil || diff != "" {
		t.Errorf("handover: %v, %s", err, diff)
	}
	listener.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if got := ask(address, "node/2"); got != Refused {
		t.Errorf("ended process: %v", got)
	}
}

func TestUnresponsiveNodeIsUnknown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if got := Ask(ctx, "asker:1", listener.Addr().String(), "node/1", 7); got != Unknown {
		t.Errorf("unresponsive node: %v", got)
	}
}
