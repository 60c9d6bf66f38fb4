package serverlist

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"dalehook/internal/directory"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// fleetSize is a number of nodes before a number of servers.
type fleetSize struct{ nodes, servers int }

func (s fleetSize) String() string { return fmt.Sprint(s.nodes, " nodes, ", s.servers, " servers") }

// What the platform's store carries for all nodes together.
var fleetLimits = storetest.Limits{
	BytesPerSecond: 80_000_000, ReadsPerSecond: 16_000, WritesPerSecond: 4000, Answer: 4 * time.Millisecond,
	RecordBytes: 256 << 10, CallBytes: 2 << 20,
}

const (
	// heartbeat is the time between two entries of a server.
	heartbeat = 3 * time.Second
	// beatStep is the time between two writes of the test, each for a part of the servers.
	beatStep = 100 * time.Millisecond
	// sharedEvery is how many servers come to one of the service that all nodes send requests to; the
	// others are engines, which the coordinator alone uses.
	sharedEvery = 20
	// leaderFrom is when the first coordinator holds the lease.
	leaderFrom = time.Second

	// readyWithin is within what time of their start all nodes are to know the servers.
	readyWithin = 10 * time.Second
	// backWithin is within what time after an outage all nodes are to know what changed.
	backWithin = 2 * time.Second
	// leaveWithin is within what time a server that leaves is to get no more requests.
	leaveWithin = 2 * time.Second
)

// virtualFleet is a fleet on a virtual clock, before a store with the limits of a real one.
type virtualFleet struct {
	t       *testing.T
	size    fleetSize
	shared  *storetest.Shared
	ctx     context.Context
	running sync.WaitGroup
	leader  atomic.Int64
	nodes   []*fleetNode
	// established says that a node which is none of these coordinates since before they started.
	established bool

	mutex sync.Mutex
	// states holds what each server says of itself; empty for one that is gone.
	states []string
}

type fleetNode struct {
	list *List
	kept *directory.Directory
	end  context.CancelFunc
}

// playFleet runs a test with a fleet that starts all at once, the servers with the nodes.
func playFleet(t *testing.T, play func(t *testing.T, f *virtualFleet)) { playFleetOf(t, false, play) }

// playFleetOf does so with servers that are listed before, or that write their first entries within
// the time of a heartbeat after the nodes' start.
func playFleetOf(t *testing.T, listed bool, play func(t *testing.T, f *virtualFleet)) {
	for _, size := range fleetSizes {
		t.Run(size.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				f := &virtualFleet{t: t, size: size, shared: storetest.NewShared(fleetLimits), ctx: ctx, states: make([]string, size.servers)}
				f.leader.Store(-1)
				for number := range f.states {
					f.states[number] = "ready"
					if listed {
						f.put(number)
					}
				}
				f.running.Go(f.beat)
				for number := range size.nodes {
					f.start(number)
				}
				play(t, f)
				cancel()
				f.running.Wait()
			})
		})
	}
}

// start starts a node, or starts it again.
func (f *virtualFleet) start(number int) {
	node := &fleetNode{kept: directory.NewDirectory()}
	if number == len(f.nodes) {
		f.nodes = append(f.nodes, nil)
	}
	f.nodes[number] = node
	node.list = New(Options{
		Log: f.shared.Node(number), Directory: node.kept, Logger: zap.NewNop(), Decode: decodeFleet, Digest: digestFleet,
		Self: fmt.Sprint("node-", number), Leading: func() bool { return f.leader.Load() == int64(number) }, Changed: func() {},
		Established: func() bool { return f.established },
		Shared:      func() func(string) bool { return func(service string) bool { return service == "portal" } },
		Pace:        200 * time.Millisecond, Wait: 500 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(f.ctx)
	node.end = cancel
	f.running.Go(func() { node.list.Run(ctx) })
}

// padding makes an entry as long as those of real servers.
var padding = strings.Repeat("x", 250)

func (f *virtualFleet) put(number int) {
	f.mutex.Lock()
	state := f.states[number]
	f.mutex.Unlock()
	var value []byte
	if state != "" {
		value = fmt.Appendf(nil, "%s %d %s", state, time.Now().UnixMilli(), padding)
	}
	f.shared.Put(store.TopicServers, serverID(number), value)
}

func (f *virtualFleet) set(number int, state string) {
	f.mutex.Lock()
	f.states[number] = state
	f.mutex.Unlock()
	f.put(number)
}

// serverID returns the id of a server, in no order of its service.
func serverID(number int) string {
	return fmt.Sprintf("i-%010x-%d", xxhash.Sum64String(fmt.Sprint(number))&0xffffffffff, number)
}

// beat has the servers write their entries.
func (f *virtualFleet) beat() {
	steps := int(heartbeat / beatStep)
	for step := 0; f.ctx.Err() == nil; step = (step + 1) % steps {
		for number := step; number < f.size.servers; number += steps {
			f.mutex.Lock()
			gone := f.states[number] == ""
			f.mutex.Unlock()
			if !gone {
				f.put(number)
			}
		}
		time.Sleep(beatStep)
	}
}

func decodeFleet(record store.Record) (directory.Server, error) {
	state, _, _ := strings.Cut(string(record.Value), " ")
	_, digits, _ := strings.Cut(record.Key[2:], "-")
	service := "engines"
	if isShared(digits) {
		service = "portal"
	}
	return directory.Server{
		ID: record.Key, Service: service, Address: "10.0.0.1:1234", Zone: "z", Slots: 6, Draining: state == "draining",
		Versions: map[string]int64{"m": 1},
	}, nil
}

func isShared(digits string) bool {
	var number int
	fmt.Sscan(digits, &number)
	return number%sharedEvery == 0
}

// digestFleet is a digest of an entry without the time of its heartbeat.
func digestFleet(value []byte) uint64 {
	state, _, _ := strings.Cut(string(value), " ")
	return xxhash.Sum64String(state)
}

// lead has a node hold the lease; below 0 none does.
func (f *virtualFleet) lead(number int) { f.leader.Store(int64(number)) }

// ready returns how many servers of the shared service are to be known as taking requests.
func (f *virtualFleet) ready() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for number := 0; number < len(f.states); number += sharedEvery {
		if f.states[number] == "ready" {
			count++
		}
	}
	return count
}

// unaware returns how many of the nodes that run do not know the servers that take requests.
func (f *virtualFleet) unaware() int {
	want, count := f.ready(), 0
	for _, node := range f.nodes {
		if !node.list.Complete() || len(node.kept.Snapshot().Ready("portal")) != want {
			count++
		}
	}
	return count
}

// within waits until all nodes know the servers, and fails where that takes too long.
func (f *virtualFleet) within(what string, bound time.Duration) {
	f.t.Helper()
	began := time.Now()
	for f.unaware() > 0 && time.Since(began) < bound {
		time.Sleep(50 * time.Millisecond)
	}
	if unaware := f.unaware(); unaware > 0 {
		f.t.Errorf("%s: %d of %d nodes do not know the servers after %v", what, unaware, len(f.nodes), bound)
		return
	}
	f.t.Logf("%s: known to all after %v", what, time.Since(began))
}

// tell logs what the store was called for since before, and returns it.
func (f *virtualFleet) tell(what string, topic store.Topic, before storetest.Traffic) storetest.Traffic {
	after := f.shared.Traffic(topic)
	spent := storetest.Traffic{Calls: after.Calls - before.Calls, Bytes: after.Bytes - before.Bytes}
	f.t.Logf("%s, %s: %d calls, %.1f MB", what, topic, spent.Calls, float64(spent.Bytes)/1e6)
	return spent
}

// ready waits for the fleet's start.
func (f *virtualFleet) awaitStart() {
	f.t.Helper()
	time.Sleep(leaderFrom)
	f.lead(0)
	f.within("start of all", readyWithin-leaderFrom)
}

// Seen: 985 nodes that started at once before 9,998 servers, of which none became ready.
// Cause: each read all heartbeats to find out that it should not; reads that ran out of time were
// asked again from their start, by all.
func TestAFleetKnowsItsServersSoonAfterItsStart(t *testing.T) {
	for name, listed := range map[string]bool{"before servers that are listed": true, "with its servers": false} {
		t.Run(name, func(t *testing.T) {
			playFleetOf(t, listed, func(t *testing.T, f *virtualFleet) {
				f.awaitStart()
				f.tell("start of all", store.TopicServers, storetest.Traffic{})
				f.tell("start of all", store.TopicServerList, storetest.Traffic{})
			})
		})
	}
}

// At rest the heartbeats are read by the coordinator alone, and what a node costs the store does not
// grow with the fleet.
func TestAFleetAtRestReadsTheHeartbeatsOnce(t *testing.T) {
	const watched = 10 * time.Second
	playFleet(t, func(t *testing.T, f *virtualFleet) {
		f.awaitStart()
		time.Sleep(readyWithin)
		servers, relayed := f.shared.Traffic(store.TopicServers), f.shared.Traffic(store.TopicServerList)
		time.Sleep(watched)
		read := f.tell("10 s at rest", store.TopicServers, servers)
		told := f.tell("10 s at rest", store.TopicServerList, relayed)
		written := f.size.servers * int(watched/heartbeat+1) * (len(padding) + 100)
		if read.Bytes > 2*written {
			t.Errorf("%d bytes of heartbeats were read where %d were written", read.Bytes, written)
		}
		if perNode := told.Bytes / f.size.nodes / int(watched/time.Second); perNode > mostRestingBytes {
			t.Errorf("the relay costs %d bytes a second and node", perNode)
		}
	})
}

// mostRestingBytes is what a node may cost the store a second for the list while nothing changes: a
// third of the 3 KB a second that a node of the control plane may use.
const mostRestingBytes = 1000

// Servers that leave, and those in their place, are known everywhere within the time in which the
// former are to get no more requests.
func TestAFleetLearnsOfReplacedServers(t *testing.T) {
	playFleet(t, func(t *testing.T, f *virtualFleet) {
		f.awaitStart()
		time.Sleep(5 * time.Second)
		relayed := f.shared.Traffic(store.TopicServerList)
		for number := range f.size.servers {
			if number%25 == 0 {
				f.set(number, "draining")
			}
		}
		f.within("4% of the servers leave", leaveWithin)
		for number := range f.size.servers {
			if number%25 == 0 {
				f.set(number, "")
			}
		}
		f.within("they are gone", leaveWithin)
		f.tell("4% replaced", store.TopicServerList, relayed)
	})
}

// An outage of the store, for all nodes or a share of them, ends without help: what was put off by it
// does not keep the store down.
func TestAFleetIsBackSoonAfterTheStore(t *testing.T) {
	cases := []struct {
		name   string
		fault  storetest.Fault
		struck func(node int) bool
		lasts  time.Duration
	}{
		{"silent for all for 4.5 s", storetest.FaultSilent, func(int) bool { return true }, 4500 * time.Millisecond},
		{"refuses a third for 9 s", storetest.FaultRefuse, func(node int) bool { return node%3 == 1 }, 9 * time.Second},
		{"refuses a third for 9 s, the coordinator too", storetest.FaultRefuse, func(node int) bool { return node%3 == 0 }, 9 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			playFleet(t, func(t *testing.T, f *virtualFleet) {
				f.awaitStart()
				time.Sleep(3 * time.Second)
				f.shared.Strike(c.fault, c.struck)
				time.Sleep(c.lasts / 2)
				if c.struck(0) && !c.struck(1) {
					f.lead(1)
				}
				f.set(0, "draining")
				time.Sleep(c.lasts - c.lasts/2)
				f.shared.Strike(storetest.FaultNone, nil)
				f.within("after the outage", backWithin)
			})
		})
	}
}

// Half of the nodes are killed at once, with the coordinator; another one takes over, and they are
// back a second later.
func TestAFleetOutlastsTheLossOfHalf(t *testing.T) {
	playFleet(t, func(t *testing.T, f *virtualFleet) {
		f.awaitStart()
		time.Sleep(3 * time.Second)
		f.lead(-1)
		for number := 0; number < f.size.nodes; number += 2 {
			f.nodes[number].end()
		}
		f.set(0, "draining")
		time.Sleep(time.Second)
		for number := 0; number < f.size.nodes; number += 2 {
			f.start(number)
		}
		time.Sleep(time.Second)
		f.lead(1)
		f.within("after the loss of half", readyWithin)
	})
}
