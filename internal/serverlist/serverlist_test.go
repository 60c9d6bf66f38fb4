package serverlist

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"dalehook/internal/directory"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// countedLog counts the reads of the servers' topic, and may lose what is appended.
type countedLog struct {
	*storetest.Memory
	reads atomic.Int64
	loads atomic.Int64
	// loadTime is how long the newest records take to read, a time.Duration.
	loadTime atomic.Int64
	silent   atomic.Bool
	// relayDown refuses reads of the relay.
	relayDown atomic.Bool
}

func (l *countedLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if at.Topic == store.TopicServers {
		l.reads.Add(1)
	}
	if at.Topic == store.TopicServerList && l.relayDown.Load() {
		return store.Batch{}, store.ErrRefused
	}
	return l.Memory.Read(ctx, at, from, wait)
}

func (l *countedLog) Newest(ctx context.Context, topic store.Topic) ([]store.Record, int64, error) {
	l.loads.Add(1)
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(time.Duration(l.loadTime.Load())):
	}
	return l.Memory.Newest(ctx, topic)
}

func (l *countedLog) AppendAt(ctx context.Context, at store.Partition, end int64, payloads [][]byte) (int64, error) {
	if l.silent.Load() {
		return 0, store.ErrRefused
	}
	return l.Memory.AppendAt(ctx, at, end, payloads)
}

// fleet is a store with servers, and nodes that follow their list.
type fleet struct {
	t   *testing.T
	log *countedLog
	ctx context.Context
	end func()
	// large is the number of servers from which on the list is relayed.
	large   int
	running sync.WaitGroup

	mutex  sync.Mutex
	leader int
	lists  []*directory.Directory
}

func newFleet(t *testing.T, nodes, servers, large int) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{t: t, log: &countedLog{Memory: storetest.NewMemory()}, ctx: ctx, leader: 0}
	f.log.relayDown.Store(large > 0 && servers < large)
	for i := range servers {
		f.put(fmt.Sprintf("i-%03d", i), "ready")
	}
	f.large = large
	f.end = func() { cancel(); f.running.Wait() }
	t.Cleanup(f.end)
	for range nodes {
		f.start()
	}
	return f
}

// start starts a node and returns its list.
func (f *fleet) start() *List {
	node := len(f.lists)
	kept := directory.NewDirectory()
	f.lists = append(f.lists, kept)
	list := New(Options{
		Log: f.log, Directory: kept, Logger: zap.NewNop(), Decode: decode, Digest: xxhash.Sum64,
		Self: fmt.Sprint("node-", node), Leading: func() bool { return f.leading(node) }, Changed: func() {},
		LargeFleet: f.large, Pace: 5 * time.Millisecond, Wait: 50 * time.Millisecond,
	})
	f.running.Go(func() { list.Run(f.ctx) })
	return list
}

func (f *fleet) leading(node int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leader == node
}

func (f *fleet) lead(node int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.leader = node
}

func decode(record store.Record) (directory.Server, error) {
	state, _, _ := strings.Cut(string(record.Value), " ")
	return directory.Server{ID: record.Key, Service: "s", Draining: state != "ready", Versions: map[string]int64{"m": 1}}, nil
}

func (f *fleet) put(id, state string) { f.log.Put(store.TopicServers, id, []byte(state)) }

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("never: %s", what)
}

// all says whether all nodes have so many ready servers.
func (f *fleet) all(ready int) func() bool {
	return func() bool {
		for _, list := range f.lists {
			if len(list.Snapshot().Ready("s")) != ready {
				return false
			}
		}
		return true
	}
}

// The relay of a small fleet is refused in these tests: nothing depends on it.
func TestNodesOfASmallFleetReadTheHeartbeats(t *testing.T) {
	f := newFleet(t, 2, 5, 100)
	f.eventually("five servers", f.all(5))
	f.put("i-001", "draining")
	f.eventually("four servers", f.all(4))
	f.lead(-1)
	f.put("i-002", "")
	f.eventually("three servers without a coordinator", f.all(3))
}

// relayIsRead waits until heartbeats are read by one node alone: two reads a pace at
// the most in a time in which three nodes would make many more.
func (f *fleet) relayIsRead() {
	f.eventually("the relay is read", func() bool {
		before := f.log.reads.Load()
		time.Sleep(300 * time.Millisecond)
		return f.log.reads.Load()-before <= 8
	})
}

// newRelayedFleet returns a fleet of thirty servers whose list is relayed.
func newRelayedFleet(t *testing.T, nodes int) *fleet {
	f := newFleet(t, nodes, 30, 10)
	f.eventually("all servers", f.all(30))
	f.relayIsRead()
	return f
}

func TestNodesOfALargeFleetReadTheRelay(t *testing.T) {
	f := newRelayedFleet(t, 4)
	f.put("i-001", "draining")
	f.put("i-002", "")
	f.put("i-900", "ready")
	f.eventually("the changes", f.all(29))
}

func TestASilentRelayIsNotGoneBy(t *testing.T) {
	f := newRelayedFleet(t, 4)
	f.log.silent.Store(true)
	f.put("i-001", "draining")
	f.eventually("the change without a relay", f.all(29))
	f.log.silent.Store(false)
	f.put("i-003", "draining")
	f.eventually("the change with the relay back", f.all(28))
}

func TestASuccessorRelays(t *testing.T) {
	f := newRelayedFleet(t, 3)
	// The whole list takes longer to read than the time between two looks at how.
	f.log.loadTime.Store(int64(3 * checkInterval))
	f.lead(2)
	f.put("i-001", "draining")
	f.eventually("the change by the successor", f.all(29))
	f.eventually("the successor knows weight versions", func() bool {
		for _, server := range f.lists[2].Snapshot().Ready("s") {
			if server.Versions["m"] != 1 {
				return false
			}
		}
		return true
	})
	f.relayIsRead()
	f.put("i-002", "draining")
	f.eventually("another change", f.all(28))
}

// Without a coordinator one of the nodes reads the heartbeats and relays.
func TestANodeRelaysInThePlaceOfTheCoordinator(t *testing.T) {
	f := newRelayedFleet(t, 5)
	f.lead(-1)
	f.put("i-001", "draining")
	f.eventually("the change without a coordinator", f.all(29))
	f.relayIsRead()
	f.put("i-002", "draining")
	f.eventually("another change", f.all(28))
}

// A node that starts takes the list from the relay; where nobody relays, it goes on
// from what was told last. Either way it does not read the whole list.
func TestANodeThatStartsDoesNotReadTheWholeList(t *testing.T) {
	f := newRelayedFleet(t, 3)
	before := f.log.loads.Load()
	relayed := f.start()
	f.eventually("the list of a node that starts", relayed.Complete)
	f.log.silent.Store(true)
	f.put("i-001", "draining")
	alone := f.start()
	f.eventually("the list of a node that starts while the relay is silent", func() bool { return alone.Complete() && f.all(29)() })
	if loads := f.log.loads.Load() - before; loads != 0 {
		t.Errorf("the whole list was read %d times", loads)
	}
}

// lateLog holds the reads of the servers' topic up, and answers them with what it is
// given, also after their context has ended.
type lateLog struct {
	*countedLog
	asked chan struct{}
	late  chan store.Batch
}

func (l *lateLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if at.Topic != store.TopicServers {
		return l.countedLog.Read(ctx, at, from, wait)
	}
	select {
	case l.asked <- struct{}{}:
	default:
	}
	return <-l.late, nil
}

// Heartbeats that arrive after the relay has spoken again bring no server back.
func TestLateHeartbeatsDoNotUndoTheRelay(t *testing.T) {
	f := newFleet(t, 1, 30, 10)
	f.eventually("all servers", f.all(30))
	log := &lateLog{countedLog: f.log, asked: make(chan struct{}, 1), late: make(chan store.Batch)}
	kept := directory.NewDirectory()
	list := New(Options{
		Log: log, Directory: kept, Logger: zap.NewNop(), Decode: decode, Digest: xxhash.Sum64,
		Self: "late", Leading: func() bool { return false }, Changed: func() {},
		LargeFleet: f.large, Pace: 5 * time.Millisecond, Wait: 50 * time.Millisecond,
	})
	f.running.Go(func() { list.Run(f.ctx) })
	f.eventually("the relayed list", func() bool { return kept.Snapshot().Count() == 30 })
	f.log.silent.Store(true)
	<-log.asked
	f.put("i-001", "")
	f.log.silent.Store(false)
	f.eventually("the relay's news", func() bool {
		list.mutex.Lock()
		defer list.mutex.Unlock()
		return len(list.relay.servers) == 29
	})
	time.Sleep(3 * checkInterval)
	log.late <- store.Batch{Records: []store.Record{{Key: "i-001", Value: []byte("ready late")}}, Next: 1, End: 1}
	f.eventually("the list as the relay tells it", func() bool { return kept.Snapshot().Count() == 29 })
	time.Sleep(3 * checkInterval)
	if got := kept.Snapshot().Count(); got != 29 {
		t.Errorf("%d servers are listed", got)
	}
	close(log.late)
}

// A node whose reading of heartbeats ended as the relay was late follows the relay once
// it speaks again.
func TestANodeThatReadsNothingFollowsTheRelay(t *testing.T) {
	kept := directory.NewDirectory()
	list := New(Options{
		Log: storetest.NewMemory(), Directory: kept, Logger: zap.NewNop(), Decode: decode, Digest: xxhash.Sum64,
		Self: "late", Leading: func() bool { return false }, Changed: func() {}, LargeFleet: 1,
	})
	list.relayRead, list.based, list.complete, list.direct = true, true, true, true
	list.relay.handle(time.Now(), 0, &relayRecord{Author: "other", First: true, All: true, Total: 1, Put: []relayEntry{{ID: "i-001", Service: "s"}}}, false)
	ctx, cancel := context.WithTimeout(context.Background(), list.stale()/2)
	defer cancel()
	list.runDirect(ctx)
	if list.direct || kept.Snapshot().Count() != 1 {
		t.Errorf("direct %v, %d servers listed", list.direct, kept.Snapshot().Count())
	}
}

// Seen: none; read in the code. What stood under a server's key before an entry of another writer
// was used on, since an entry that could not be read changed nothing.
func TestAVoidEntryNamesNoServer(t *testing.T) {
	memory := storetest.NewMemory()
	list := directory.NewDirectory()
	l := New(Options{
		Log: memory, Directory: list, Logger: zap.NewNop(), Self: "n", Wait: 50 * time.Millisecond,
		Leading: func() bool { return true }, Changed: func() {},
		Digest: xxhash.Sum64,
		Decode: func(record store.Record) (directory.Server, error) {
			if string(record.Value) == "void" {
				return directory.Server{}, fmt.Errorf("void")
			}
			return directory.Server{ID: record.Key, Service: string(record.Value)}, nil
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { l.Run(ctx) })
	defer running.Wait()
	defer cancel()
	ready := func() string {
		var ids []string
		for _, server := range list.Snapshot().Ready("s") {
			ids = append(ids, server.ID)
		}
		return strings.Join(ids, " ")
	}
	await := func(want string) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); ready() != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("listed %q instead of %q", ready(), want)
			}
		}
	}
	memory.Put(store.TopicServers, "a", []byte("s"))
	memory.Put(store.TopicServers, "b", []byte("s"))
	await("a b")
	memory.Put(store.TopicServers, "a", []byte("void"))
	memory.Put(store.TopicServers, "c", []byte("void"))
	await("b")
	memory.Put(store.TopicServers, "a", []byte("s"))
	await("a b")
}
