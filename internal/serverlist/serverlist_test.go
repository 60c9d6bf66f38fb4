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

// countingLog counts the reads of the servers' topic and can refuse appends.
type countingLog struct {
	*storetest.Memory
	reads     atomic.Int64
	fullReads atomic.Int64
	// fullReadTime is how long a read of all newest records takes, a time.Duration.
	fullReadTime  atomic.Int64
	refuseAppends atomic.Bool
	// relayDown refuses reads of the relay.
	relayDown atomic.Bool
}

func (l *countingLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if at.Topic == store.TopicServers {
		l.reads.Add(1)
	}
	if at.Topic == store.TopicServerList && l.relayDown.Load() {
		return store.Batch{}, store.ErrRefused
	}
	return l.Memory.Read(ctx, at, from, wait)
}

func (l *countingLog) Newest(ctx context.Context, topic store.Topic) ([]store.Record, int64, error) {
	l.fullReads.Add(1)
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(time.Duration(l.fullReadTime.Load())):
	}
	return l.Memory.Newest(ctx, topic)
}

func (l *countingLog) AppendAt(ctx context.Context, at store.Partition, end int64, payloads [][]byte) (int64, error) {
	if l.refuseAppends.Load() {
		return 0, store.ErrRefused
	}
	return l.Memory.AppendAt(ctx, at, end, payloads)
}

// fleet is a store with servers, and nodes that follow their list.
type fleet struct {
	t    *testing.T
	log  *countingLog
	ctx  context.Context
	stop func()
	// largeFleet is the number of servers at and above which the list is relayed.
	largeFleet int
	running    sync.WaitGroup

	mutex       sync.Mutex
	leader      int
	directories []*directory.Directory
}

func newFleet(t *testing.T, nodes, servers, large int) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{t: t, log: &countingLog{Memory: storetest.NewMemory()}, ctx: ctx, leader: 0}
	f.log.relayDown.Store(large > 0 && servers < large)
	for i := range servers {
		f.writeEntry(fmt.Sprintf("i-%03d", i), "ready")
	}
	f.largeFleet = large
	f.stop = func() { cancel(); f.running.Wait() }
	t.Cleanup(f.stop)
	for range nodes {
		f.start()
	}
	return f
}

// start starts a node and returns its list.
func (f *fleet) start() *List {
	node := len(f.directories)
	kept := directory.NewDirectory()
	f.directories = append(f.directories, kept)
	list := New(Options{
		Log: f.log, Directory: kept, Logger: zap.NewNop(), Decode: decodeTestEntry, Digest: xxhash.Sum64,
		Self: fmt.Sprint("node-", node), Leading: func() bool { return f.leading(node) }, OnChange: func() {},
		LargeFleetSize: f.largeFleet, MinReadInterval: 5 * time.Millisecond, ReadWait: 50 * time.Millisecond,
	})
	f.running.Go(func() { list.Run(f.ctx) })
	return list
}

func (f *fleet) leading(node int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leader == node
}

func (f *fleet) setLeader(node int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.leader = node
}

func decodeTestEntry(record store.Record) (directory.Server, error) {
	state, _, _ := strings.Cut(string(record.Value), " ")
	return directory.Server{ID: record.Key, Service: "s", Draining: state != "ready", Versions: map[string]int64{"m": 1}}, nil
}

func (f *fleet) writeEntry(id, state string) { f.log.Put(store.TopicServers, id, []byte(state)) }

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for: %s", what)
}

// allHaveReady reports whether all nodes have this number of ready servers.
func (f *fleet) allHaveReady(ready int) func() bool {
	return func() bool {
		for _, list := range f.directories {
			if len(list.Snapshot().Ready("s")) != ready {
				return false
			}
		}
		return true
	}
}

// The relay of a small fleet is refused in these tests: nothing depends on it.
func TestSmallFleetReadsHeartbeats(t *testing.T) {
	f := newFleet(t, 2, 5, 100)
	f.eventually("five servers", f.allHaveReady(5))
	f.writeEntry("i-001", "draining")
	f.eventually("four servers", f.allHaveReady(4))
	f.setLeader(-1)
	f.writeEntry("i-002", "")
	f.eventually("three servers without a coordinator", f.allHaveReady(3))
}

// awaitSingleReader waits until only one node reads the heartbeats: at most two reads per interval in a
// time in which three nodes would make many more.
func (f *fleet) awaitSingleReader() {
	f.eventually("a single reader of the heartbeats", func() bool {
		before := f.log.reads.Load()
		time.Sleep(300 * time.Millisecond)
		return f.log.reads.Load()-before <= 8
	})
}

// newRelayedFleet returns a fleet of thirty servers whose list is relayed.
func newRelayedFleet(t *testing.T, nodes int) *fleet {
	f := newFleet(t, nodes, 30, 10)
	f.eventually("all servers", f.allHaveReady(30))
	f.awaitSingleReader()
	return f
}

func TestLargeFleetReadsRelay(t *testing.T) {
	f := newRelayedFleet(t, 4)
	f.writeEntry("i-001", "draining")
	f.writeEntry("i-002", "")
	f.writeEntry("i-900", "ready")
	f.eventually("the changes", f.allHaveReady(29))
}

func TestSilentRelayIsReplaced(t *testing.T) {
	f := newRelayedFleet(t, 4)
	f.log.refuseAppends.Store(true)
	f.writeEntry("i-001", "draining")
	f.eventually("the change without a relay", f.allHaveReady(29))
	f.log.refuseAppends.Store(false)
	f.writeEntry("i-003", "draining")
	f.eventually("the change after the relay has resumed", f.allHaveReady(28))
}

func TestSuccessorRelays(t *testing.T) {
	f := newRelayedFleet(t, 3)
	// Reading the whole list takes longer than the time between two checks of how to read it.
	f.log.fullReadTime.Store(int64(3 * checkInterval))
	f.setLeader(2)
	f.writeEntry("i-001", "draining")
	f.eventually("the change by the successor", f.allHaveReady(29))
	f.eventually("the successor knows weight versions", func() bool {
		for _, server := range f.directories[2].Snapshot().Ready("s") {
			if server.Versions["m"] != 1 {
				return false
			}
		}
		return true
	})
	f.awaitSingleReader()
	f.writeEntry("i-002", "draining")
	f.eventually("another change", f.allHaveReady(28))
}

// Without a coordinator one of the nodes reads the heartbeats and relays.
func TestNodeRelaysWithoutCoordinator(t *testing.T) {
	f := newRelayedFleet(t, 5)
	f.setLeader(-1)
	f.writeEntry("i-001", "draining")
	f.eventually("the change without a coordinator", f.allHaveReady(29))
	f.awaitSingleReader()
	f.writeEntry("i-002", "draining")
	f.eventually("another change", f.allHaveReady(28))
}

// A node that starts takes the list from the relay; if nobody relays, it continues from the last published
// state. In both cases it does not read the whole list.
func TestStartingNodeDoesNotReadWholeList(t *testing.T) {
	f := newRelayedFleet(t, 3)
	before := f.log.fullReads.Load()
	relayed := f.start()
	f.eventually("the list of a node that starts", relayed.Complete)
	f.log.refuseAppends.Store(true)
	f.writeEntry("i-001", "draining")
	alone := f.start()
	f.eventually("the list of a node that starts while the relay is silent", func() bool { return alone.Complete() && f.allHaveReady(29)() })
	if fullReads := f.log.fullReads.Load() - before; fullReads != 0 {
		t.Errorf("the whole list was read %d times", fullReads)
	}
}

// delayedLog holds up reads of the servers' topic and answers them with given batches, even after their
// context has ended.
type delayedLog struct {
	*countingLog
	readStarted chan struct{}
	batches     chan store.Batch
}

func (l *delayedLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if at.Topic != store.TopicServers {
		return l.countingLog.Read(ctx, at, from, wait)
	}
	select {
	case l.readStarted <- struct{}{}:
	default:
	}
	return <-l.batches, nil
}

// Heartbeats that arrive after the relay has resumed must not bring a removed server back.
func TestLateHeartbeatsDoNotUndoRelay(t *testing.T) {
	f := newFleet(t, 1, 30, 10)
	f.eventually("all servers", f.allHaveReady(30))
	log := &delayedLog{countingLog: f.log, readStarted: make(chan struct{}, 1), batches: make(chan store.Batch)}
	kept := directory.NewDirectory()
	list := New(Options{
		Log: log, Directory: kept, Logger: zap.NewNop(), Decode: decodeTestEntry, Digest: xxhash.Sum64,
		Self: "late", Leading: func() bool { return false }, OnChange: func() {},
		LargeFleetSize: f.largeFleet, MinReadInterval: 5 * time.Millisecond, ReadWait: 50 * time.Millisecond,
	})
	f.running.Go(func() { list.Run(f.ctx) })
	f.eventually("the relayed list", func() bool { return kept.Snapshot().Count() == 30 })
	f.log.refuseAppends.Store(true)
	<-log.readStarted
	f.writeEntry("i-001", "")
	f.log.refuseAppends.Store(false)
	f.eventually("the relayed change", func() bool {
		list.mutex.Lock()
		defer list.mutex.Unlock()
		return len(list.relay.servers) == 29
	})
	time.Sleep(3 * checkInterval)
	log.batches <- store.Batch{Records: []store.Record{{Key: "i-001", Value: []byte("ready late")}}, Next: 1, End: 1}
	f.eventually("the relayed list after late heartbeats", func() bool { return kept.Snapshot().Count() == 29 })
	time.Sleep(3 * checkInterval)
	if got := kept.Snapshot().Count(); got != 29 {
		t.Errorf("%d servers are listed", got)
	}
	close(log.batches)
}

// A node that stopped reading heartbeats while the relay was late must follow the relay once that resumes.
func TestNodeThatReadsNothingFollowsRelay(t *testing.T) {
	kept := directory.NewDirectory()
	list := New(Options{
		Log: storetest.NewMemory(), Directory: kept, Logger: zap.NewNop(), Decode: decodeTestEntry, Digest: xxhash.Sum64,
		Self: "late", Leading: func() bool { return false }, OnChange: func() {}, LargeFleetSize: 1,
	})
	list.relayCaughtUp, list.hasFullList, list.complete, list.readsHeartbeats = true, true, true, true
	list.relay.handleRecord(time.Now(), 0, &relayRecord{Author: "other", First: true, All: true, Total: 1, Put: []relayEntry{{ID: "i-001", Service: "s"}}}, false)
	ctx, cancel := context.WithTimeout(context.Background(), list.staleAge()/2)
	defer cancel()
	list.runHeartbeats(ctx)
	if list.readsHeartbeats || kept.Snapshot().Count() != 1 {
		t.Errorf("reads heartbeats: %v, %d servers listed", list.readsHeartbeats, kept.Snapshot().Count())
	}
}

// Guards against a server being used after its entry was overwritten by an invalid one: an entry that could
// not be decoded changed nothing. Found by reading the code.
func TestInvalidEntryNamesNoServer(t *testing.T) {
	memory := storetest.NewMemory()
	list := directory.NewDirectory()
	l := New(Options{
		Log: memory, Directory: list, Logger: zap.NewNop(), Self: "n", ReadWait: 50 * time.Millisecond,
		Leading: func() bool { return true }, OnChange: func() {},
		Digest: xxhash.Sum64,
		Decode: func(record store.Record) (directory.Server, error) {
			if string(record.Value) == "void" {
				return directory.Server{}, fmt.Errorf("invalid entry")
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
				t.Fatalf("listed %q, want %q", ready(), want)
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
