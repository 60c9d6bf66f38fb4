package storeproxy

import (
	"context"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/nodecall/nodecalltest"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// serveNode serves a proxy to a store and returns its address.
func serveNode(t *testing.T, log store.Log, peers *Peers) string {
	t.Helper()
	return nodecalltest.Serve(t, func(server *rpc.Server) error { return Register(server, NewProxy(log, peers)) })
}

func operatorLog() *storetest.Memory {
	memory := storetest.NewMemory()
	memory.Put(store.TopicOperator, "config", []byte("1"))
	memory.Put(store.TopicOperator, "config", []byte("2"))
	memory.Put(store.TopicOperator, "version/m", []byte("3"))
	return memory
}

func values(reply ReadReply) []string {
	var values []string
	for _, record := range reply.Records {
		values = append(values, record.Key+"="+string(record.Value))
	}
	return values
}

func TestReadViaAnotherNode(t *testing.T) {
	memory := operatorLog()
	peers := &Peers{}
	peers.Add(serveNode(t, memory, &Peers{}))
	cases := []struct {
		name   string
		from   int64
		forget int64
		want   []string
		whole  bool
	}{
		{"records from an offset", 1, 0, []string{"config=2", "version/m=3"}, false},
		{"no records from an offset", 3, 0, nil, false},
		{"newest records", -1, 0, []string{"config=2", "version/m=3"}, true},
		{"trimmed offset", 0, 2, []string{"config=2", "version/m=3"}, true},
	}
	for _, c := range cases {
		memory.Compact(store.Partition{Topic: store.TopicOperator}, c.forget)
		time.Sleep(cacheTTL)
		reply, err := ReadVia(context.Background(), peers, ReadRequest{From: c.from})
		if diff := cmp.Diff(c.want, values(reply)); diff != "" || err != nil || reply.Whole != c.whole || reply.Next != 3 {
			t.Errorf("%s: whole %v, next %d, %v: %s", c.name, reply.Whole, reply.Next, err, diff)
		}
	}
}

// A coordinator whose calls the store refuses names the node that asked it to yield.
func TestFailedNodeNamesAnotherPeer(t *testing.T) {
	refusingLog := storetest.NewMemory()
	refusingLog.SetFault(storetest.FaultRefuse)
	others := &Peers{}
	others.Add(serveNode(t, operatorLog(), &Peers{}))
	peers := &Peers{}
	peers.Add(serveNode(t, refusingLog, others))
	reply, err := ReadVia(context.Background(), peers, ReadRequest{From: 2})
	if err != nil || len(reply.Records) != 1 {
		t.Fatalf("reply %+v, %v", reply, err)
	}
	if diff := cmp.Diff(others.Addresses()[0], peers.Addresses()[0]); diff != "" {
		t.Errorf("the node that succeeded is not the most recent peer: %s", diff)
	}
}

// slowCountingLog counts the reads that begin, and takes 100 ms for each.
type slowCountingLog struct {
	store.Log
	reads atomic.Int64
}

func (c *slowCountingLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	c.reads.Add(1)
	time.Sleep(100 * time.Millisecond)
	return c.Log.Read(ctx, at, from, wait)
}

// The store may refuse hundreds of nodes at once; the proxy reads the store once for all of them.
func TestConcurrentReadsAreShared(t *testing.T) {
	for _, fault := range []storetest.Fault{storetest.FaultNone, storetest.FaultRefuse} {
		synctest.Test(t, func(t *testing.T) {
			memory := operatorLog()
			memory.SetFault(fault)
			log := &slowCountingLog{Log: memory}
			proxy := NewProxy(log, &Peers{})
			var asking sync.WaitGroup
			for range 100 {
				asking.Add(1)
				go func() {
					defer asking.Done()
					if reply := proxy.Read(ReadRequest{From: 1}); reply.Failed != (fault != storetest.FaultNone) {
						t.Errorf("reply %+v", reply)
					}
				}()
			}
			asking.Wait()
			if got := log.reads.Load(); got != 1 {
				t.Errorf("%d reads for 100 nodes", got)
			}
			time.Sleep(cacheTTL)
			proxy.Read(ReadRequest{From: 1})
			if got := log.reads.Load(); got != 2 {
				t.Errorf("%d reads after the first reply had expired", got)
			}
		})
	}
}

func TestReadFailsWithoutAReader(t *testing.T) {
	if _, err := ReadVia(context.Background(), &Peers{}, ReadRequest{}); err == nil {
		t.Error("a reply without any peer")
	}
	refusingLog := storetest.NewMemory()
	refusingLog.SetFault(storetest.FaultRefuse)
	first, second := &Peers{}, &Peers{}
	a, b := serveNode(t, refusingLog, first), serveNode(t, refusingLog, second)
	first.Add(b)
	second.Add(a)
	peers := &Peers{}
	peers.Add(a)
	if _, err := ReadVia(context.Background(), peers, ReadRequest{}); err == nil {
		t.Error("a reply although no peer can read the store")
	}
}

func TestOnlyLatestPeersAreKept(t *testing.T) {
	peers := &Peers{}
	for _, address := range []string{"", "1", "2", "3", "2", "4", "5"} {
		peers.Add(address)
	}
	if diff := cmp.Diff([]string{"5", "4", "2", "3"}, peers.Addresses()); diff != "" {
		t.Error(diff)
	}
}

// A reply contains the time since the read of the store, also if it is cached or shared.
func TestReplyContainsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		proxy := NewProxy(&slowCountingLog{Log: operatorLog()}, &Peers{})
		const readDuration = 100 * time.Millisecond // by slowCountingLog
		if age := proxy.Read(ReadRequest{From: 1}).Age; age != readDuration {
			t.Errorf("read: %v", age)
		}
		time.Sleep(cacheTTL / 2)
		if age := proxy.Read(ReadRequest{From: 1}).Age; age != readDuration+cacheTTL/2 {
			t.Errorf("cached: %v", age)
		}
		time.Sleep(cacheTTL)
		go proxy.Read(ReadRequest{From: 1})
		time.Sleep(readDuration / 4)
		if age := proxy.Read(ReadRequest{From: 1}).Age; age != readDuration {
			t.Errorf("shared: %v", age)
		}
	})
}
