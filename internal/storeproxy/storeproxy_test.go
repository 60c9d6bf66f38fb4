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

// node answers for a store; it returns where.
func node(t *testing.T, log store.Log, peers *Peers) string {
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

func values(answer Answer) []string {
	var values []string
	for _, record := range answer.Records {
		values = append(values, record.Key+"="+string(record.Value))
	}
	return values
}

func TestAnotherNodeReads(t *testing.T) {
	memory := operatorLog()
	peers := &Peers{}
	peers.Note(node(t, memory, &Peers{}))
	cases := []struct {
		name   string
		from   int64
		forget int64
		want   []string
		whole  bool
	}{
		{"what came since", 1, 0, []string{"config=2", "version/m=3"}, false},
		{"nothing came since", 3, 0, nil, false},
		{"all that is newest", -1, 0, []string{"config=2", "version/m=3"}, true},
		{"what is gone", 0, 2, []string{"config=2", "version/m=3"}, true},
	}
	for _, c := range cases {
		memory.Compact(store.Partition{Topic: store.TopicOperator}, c.forget)
		time.Sleep(freshFor)
		answer, err := Ask(context.Background(), peers, Question{From: c.from})
		if diff := cmp.Diff(c.want, values(answer)); diff != "" || err != nil || answer.Whole != c.whole || answer.Next != 3 {
			t.Errorf("%s: whole %v, next %d, %v: %s", c.name, answer.Whole, answer.Next, err, diff)
		}
	}
}

// A coordinator that the store turned away names the node that asked it to yield.
func TestANodeThatCanNotReadNamesAnother(t *testing.T) {
	turnedAway := storetest.NewMemory()
	turnedAway.SetFault(storetest.FaultRefuse)
	others := &Peers{}
	others.Note(node(t, operatorLog(), &Peers{}))
	peers := &Peers{}
	peers.Note(node(t, turnedAway, others))
	answer, err := Ask(context.Background(), peers, Question{From: 2})
	if err != nil || len(answer.Records) != 1 {
		t.Fatalf("answer %+v, %v", answer, err)
	}
	if diff := cmp.Diff(others.Known()[0], peers.Known()[0]); diff != "" {
		t.Errorf("the node that helped is not the first to be asked next time: %s", diff)
	}
}

// countedLog counts the reads that begin, and takes a while for each.
type countedLog struct {
	store.Log
	reads atomic.Int64
}

func (c *countedLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	c.reads.Add(1)
	time.Sleep(100 * time.Millisecond)
	return c.Log.Read(ctx, at, from, wait)
}

// Hundreds of nodes may be turned away at once; the store is read once for all of them.
func TestNodesShareARead(t *testing.T) {
	for _, fault := range []storetest.Fault{storetest.FaultNone, storetest.FaultRefuse} {
		synctest.Test(t, func(t *testing.T) {
			memory := operatorLog()
			memory.SetFault(fault)
			log := &countedLog{Log: memory}
			proxy := NewProxy(log, &Peers{})
			var asking sync.WaitGroup
			for range 100 {
				asking.Add(1)
				go func() {
					defer asking.Done()
					if answer := proxy.Read(Question{From: 1}); answer.Failed != (fault != storetest.FaultNone) {
						t.Errorf("answer %+v", answer)
					}
				}()
			}
			asking.Wait()
			if got := log.reads.Load(); got != 1 {
				t.Errorf("%d reads for 100 nodes", got)
			}
			time.Sleep(freshFor)
			proxy.Read(Question{From: 1})
			if got := log.reads.Load(); got != 2 {
				t.Errorf("%d reads once the first was old", got)
			}
		})
	}
}

func TestNobodyCanRead(t *testing.T) {
	if _, err := Ask(context.Background(), &Peers{}, Question{}); err == nil {
		t.Error("an answer from nobody")
	}
	turnedAway := storetest.NewMemory()
	turnedAway.SetFault(storetest.FaultRefuse)
	first, second := &Peers{}, &Peers{}
	a, b := node(t, turnedAway, first), node(t, turnedAway, second)
	first.Note(b)
	second.Note(a)
	peers := &Peers{}
	peers.Note(a)
	if _, err := Ask(context.Background(), peers, Question{}); err == nil {
		t.Error("an answer of nodes that can not read")
	}
}

func TestOnlyTheLastPeersAreRemembered(t *testing.T) {
	peers := &Peers{}
	for _, address := range []string{"", "1", "2", "3", "2", "4", "5"} {
		peers.Note(address)
	}
	if diff := cmp.Diff([]string{"5", "4", "2", "3"}, peers.Known()); diff != "" {
		t.Error(diff)
	}
}

// An answer tells how long ago the store was asked, also one that is given again or shared.
func TestAnAnswerTellsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		proxy := NewProxy(&countedLog{Log: operatorLog()}, &Peers{})
		const readTakes = 100 * time.Millisecond // by countedLog
		if age := proxy.Read(Question{From: 1}).Age; age != readTakes {
			t.Errorf("read: %v", age)
		}
		time.Sleep(freshFor / 2)
		if age := proxy.Read(Question{From: 1}).Age; age != readTakes+freshFor/2 {
			t.Errorf("given again: %v", age)
		}
		time.Sleep(freshFor)
		go proxy.Read(Question{From: 1})
		time.Sleep(readTakes / 4)
		if age := proxy.Read(Question{From: 1}).Age; age != readTakes {
			t.Errorf("shared: %v", age)
		}
	})
}
