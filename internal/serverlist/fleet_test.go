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

// fleetSize is a number of nodes and the number of servers that they use.
type fleetSize struct{ nodes, servers int }

func (s fleetSize) String() string { return fmt.Sprint(s.nodes, " nodes, ", s.servers, " servers") }

// The capacity of the platform's store for all nodes together.
var fleetLimits = storetest.Limits{
	BytesPerSecond: 80_000_000, ReadsPerSecond: 16_000, WritesPerSecond: 4000, Latency: 4 * time.Millisecond,
	MaxRecordBytes: 256 << 10, MaxCallBytes: 2 << 20,
}

const (
	// heartbeat is the time between two entries of a server.
	heartbeat = 3 * time.Second
	// heartbeatStep is the time between two batches of heartbeats, each for a part of the servers.
	heartbeatStep = 100 * time.Millisecond
	// One of sharedEvery servers belongs to the service that all nodes send requests to; the others are
	// engines, which only the coordinator uses.
	sharedEvery = 20
	// leaderDelay is the time from the start until the first coordinator holds the lease.
	leaderDelay = time.Second

	// startBound is the time after their start within which all nodes must know the servers.
	startBound = 10 * time.Second
	// recoveryBound is the time after an outage within which all nodes must know what changed.
	recoveryBound = 2 * time.Second
	// leaveBound is the time after which a draining server must get no more requests.
	leaveBound = 2 * time.Second
)

// simulatedFleet is a fleet with a simulated clock and a store with the limits of a real one.
type simulatedFleet struct {
	t       *testing.T
	size    fleetSize
	shared  *storetest.Shared
	ctx     context.Context
	running sync.WaitGroup
	leader  atomic.Int64
	nodes   []*fleetNode
	// established is set if a node outside this fleet has coordinated since before these nodes started.
	established bool

	mutex sync.Mutex
	// states holds the reported state of each server; empty for one that is gone.
	states []string
}

type fleetNode struct {
	list      *List
	directory *directory.Directory
	stop      context.CancelFunc
}

// runFleet runs a test with a fleet whose nodes and servers all start at the same time.
func runFleet(t *testing.T, test func(t *testing.T, f *simulatedFleet)) { runFleetWith(t, false, test) }

// runFleetWith does so with servers that are listed before the start, or that write their first entries
// within one heartbeat interval after the start of the nodes.
func runFleetWith(t *testing.T, listed bool, test func(t *testing.T, f *simulatedFleet)) {
	for _, size := range fleetSizes {
		t.Run(size.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				f := &simulatedFleet{t: t, size: size, shared: storetest.NewShared(fleetLimits), ctx: ctx, states: make([]string, size.servers)}
				f.leader.Store(-1)
				for number := range f.states {
					f.states[number] = "ready"
					if listed {
						f.writeEntry(number)
					}
				}
				f.running.Go(f.writeHeartbeats)
				for number := range size.nodes {
					f.start(number)
				}
				test(t, f)
				cancel()
				f.running.Wait()
			})
		})
	}
}

// start starts or restarts a node.
func (f *simulatedFleet) start(number int) {
	node := &fleetNode{directory: directory.NewDirectory()}
	if number == len(f.nodes) {
		f.nodes = append(f.nodes, nil)
	}
	f.nodes[number] = node
	node.list = New(Options{
		Log: f.shared.Node(number), Directory: node.directory, Logger: zap.NewNop(), Decode: decodeFleet, Digest: digestFleet,
		Self: fmt.Sprint("node-", number), Leading: func() bool { return f.leader.Load() == int64(number) }, OnChange: func() {},
		Established:     func() bool { return f.established },
		SharedServices:  func() func(string) bool { return func(service string) bool { return service == "portal" } },
		MinReadInterval: 200 * time.Millisecond, ReadWait: 500 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(f.ctx)
	node.stop = cancel
	f.running.Go(func() { node.list.Run(ctx) })
}

// padding makes an entry as long as those of real servers.
var padding = strings.Repeat("x", 250)

func (f *simulatedFleet) writeEntry(number int) {
	f.mutex.Lock()
	state := f.states[number]
	f.mutex.Unlock()
	var value []byte
	if state != "" {
		value = fmt.Appendf(nil, "%s %d %s", state, time.Now().UnixMilli(), padding)
	}
	f.shared.Put(store.TopicServers, serverID(number), value)
}

func (f *simulatedFleet) setState(number int, state string) {
	f.mutex.Lock()
	f.states[number] = state
	f.mutex.Unlock()
	f.writeEntry(number)
}

// serverID returns the id of a server; ids are not ordered by service.
func serverID(number int) string {
	return fmt.Sprintf("i-%010x-%d", xxhash.Sum64String(fmt.Sprint(number))&0xffffffffff, number)
}

// writeHeartbeats has the servers write their entries.
func (f *simulatedFleet) writeHeartbeats() {
	steps := int(heartbeat / heartbeatStep)
	for step := 0; f.ctx.Err() == nil; step = (step + 1) % steps {
		for number := step; number < f.size.servers; number += steps {
			f.mutex.Lock()
			gone := f.states[number] == ""
			f.mutex.Unlock()
			if !gone {
				f.writeEntry(number)
			}
		}
		time.Sleep(heartbeatStep)
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

// digestFleet returns a digest of an entry without the time of its heartbeat.
func digestFleet(value []byte) uint64 {
	state, _, _ := strings.Cut(string(value), " ")
	return xxhash.Sum64String(state)
}

// setLeader makes a node hold the lease; below 0 none does.
func (f *simulatedFleet) setLeader(number int) { f.leader.Store(int64(number)) }

// readyShared returns how many servers of the shared service take requests.
func (f *simulatedFleet) readyShared() int {
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

// nodesBehind returns how many of the running nodes do not know the servers that take requests.
func (f *simulatedFleet) nodesBehind() int {
	want, behind := f.readyShared(), 0
	for _, node := range f.nodes {
		if !node.list.Complete() || len(node.directory.Snapshot().Ready("portal")) != want {
			behind++
		}
	}
	return behind
}

// awaitAll waits until all nodes know the servers, and fails if that takes too long.
func (f *simulatedFleet) awaitAll(what string, bound time.Duration) {
	f.t.Helper()
	began := time.Now()
	for f.nodesBehind() > 0 && time.Since(began) < bound {
		time.Sleep(50 * time.Millisecond)
	}
	if behind := f.nodesBehind(); behind > 0 {
		f.t.Errorf("%s: %d of %d nodes do not know the servers after %v", what, behind, len(f.nodes), bound)
		return
	}
	f.t.Logf("%s: known to all after %v", what, time.Since(began))
}

// logTraffic logs the calls to the store since an earlier measurement, and returns their number and size.
func (f *simulatedFleet) logTraffic(what string, topic store.Topic, before storetest.Traffic) storetest.Traffic {
	after := f.shared.Traffic(topic)
	spent := storetest.Traffic{Calls: after.Calls - before.Calls, Bytes: after.Bytes - before.Bytes}
	f.t.Logf("%s, %s: %d calls, %.1f MB", what, topic, spent.Calls, float64(spent.Bytes)/1e6)
	return spent
}

// awaitStart waits for the start of the fleet.
func (f *simulatedFleet) awaitStart() {
	f.t.Helper()
	time.Sleep(leaderDelay)
	f.setLeader(0)
	f.awaitAll("start of all", startBound-leaderDelay)
}

// Guards against an overload of the store at the start: of 985 nodes that started at once with 9,998
// servers none became ready. Each read all heartbeats only to find out that it should not; reads that timed
// out were repeated from the start by all nodes.
func TestAFleetKnowsItsServersSoonAfterItsStart(t *testing.T) {
	for name, listed := range map[string]bool{"before servers that are listed": true, "with its servers": false} {
		t.Run(name, func(t *testing.T) {
			runFleetWith(t, listed, func(t *testing.T, f *simulatedFleet) {
				f.awaitStart()
				f.logTraffic("start of all", store.TopicServers, storetest.Traffic{})
				f.logTraffic("start of all", store.TopicServerList, storetest.Traffic{})
			})
		})
	}
}

// In steady state only the coordinator reads the heartbeats, and the load per node on the store does not
// grow with the fleet.
func TestAFleetAtRestReadsTheHeartbeatsOnce(t *testing.T) {
	const watched = 10 * time.Second
	runFleet(t, func(t *testing.T, f *simulatedFleet) {
		f.awaitStart()
		time.Sleep(startBound)
		servers, relayed := f.shared.Traffic(store.TopicServers), f.shared.Traffic(store.TopicServerList)
		time.Sleep(watched)
		read := f.logTraffic("10 s at rest", store.TopicServers, servers)
		told := f.logTraffic("10 s at rest", store.TopicServerList, relayed)
		written := f.size.servers * int(watched/heartbeat+1) * (len(padding) + 100)
		if read.Bytes > 2*written {
			t.Errorf("%d bytes of heartbeats were read, but only %d written", read.Bytes, written)
		}
		if perNode := told.Bytes / f.size.nodes / int(watched/time.Second); perNode > maxIdleBytesPerNode {
			t.Errorf("the relay costs %d bytes per second and node", perNode)
		}
	})
}

// maxIdleBytesPerNode is the load per second that a node may put on the store for the list while nothing
// changes: a third of the 3 KB/s that a node of the control plane may use.
const maxIdleBytesPerNode = 1000

// Servers that leave, and their replacements, are known everywhere within the time after which the former
// must get no more requests.
func TestAFleetLearnsOfReplacedServers(t *testing.T) {
	runFleet(t, func(t *testing.T, f *simulatedFleet) {
		f.awaitStart()
		time.Sleep(5 * time.Second)
		relayed := f.shared.Traffic(store.TopicServerList)
		for number := range f.size.servers {
			if number%25 == 0 {
				f.setState(number, "draining")
			}
		}
		f.awaitAll("4% of the servers leave", leaveBound)
		for number := range f.size.servers {
			if number%25 == 0 {
				f.setState(number, "")
			}
		}
		f.awaitAll("they are gone", leaveBound)
		f.logTraffic("4% replaced", store.TopicServerList, relayed)
	})
}

// The fleet recovers from an outage of the store, for all nodes or a share of them, without intervention:
// the work that the outage deferred must not keep the store down.
func TestAFleetIsBackSoonAfterTheStore(t *testing.T) {
	cases := []struct {
		name     string
		fault    storetest.Fault
		affected func(node int) bool
		duration time.Duration
	}{
		{"silent for all for 4.5 s", storetest.FaultSilent, func(int) bool { return true }, 4500 * time.Millisecond},
		{"refuses a third for 9 s", storetest.FaultRefuse, func(node int) bool { return node%3 == 1 }, 9 * time.Second},
		{"refuses a third for 9 s, the coordinator too", storetest.FaultRefuse, func(node int) bool { return node%3 == 0 }, 9 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, func(t *testing.T, f *simulatedFleet) {
				f.awaitStart()
				time.Sleep(3 * time.Second)
				f.shared.SetNodeFault(c.fault, c.affected)
				time.Sleep(c.duration / 2)
				if c.affected(0) && !c.affected(1) {
					f.setLeader(1)
				}
				f.setState(0, "draining")
				time.Sleep(c.duration - c.duration/2)
				f.shared.SetNodeFault(storetest.FaultNone, nil)
				f.awaitAll("after the outage", recoveryBound)
			})
		})
	}
}

// Half of the nodes are killed at once, including the coordinator; another node takes over, and the killed
// ones restart a second later.
func TestAFleetOutlastsTheLossOfHalf(t *testing.T) {
	runFleet(t, func(t *testing.T, f *simulatedFleet) {
		f.awaitStart()
		time.Sleep(3 * time.Second)
		f.setLeader(-1)
		for number := 0; number < f.size.nodes; number += 2 {
			f.nodes[number].stop()
		}
		f.setState(0, "draining")
		time.Sleep(time.Second)
		for number := 0; number < f.size.nodes; number += 2 {
			f.start(number)
		}
		time.Sleep(time.Second)
		f.setLeader(1)
		f.awaitAll("after the loss of half", startBound)
	})
}
