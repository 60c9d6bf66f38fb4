package election

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/liveness"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// A fleet whose processes stall now and then, as processes do that share too few processors.
const (
	fleetSize     = 40
	simulatedTime = time.Minute
	// A process runs for stallInterval on average between two stalls, each between minStall and maxStall.
	stallInterval = 3 * time.Second
	minStall      = 100 * time.Millisecond
	maxStall      = 2 * time.Second
	pollInterval  = 20 * time.Millisecond
	// maxLeaderless is how long the fleet may be without a process that leads and runs: the longest stall of
	// the holder, the time until it is suspect, two probes of it without an answer, and the claim, during which
	// the successor may stall too.
	maxLeaderless = 4 * time.Second
)

// stallingNode is a process that stalls now and then. Its calls to the store and its answers to other nodes
// are delayed meanwhile.
type stallingNode struct {
	yielder Yielder
	stalls  []stall

	mutex sync.Mutex
	state State
}

type stall struct{ from, until time.Time }

func newStallingNode(random *rand.Rand) *stallingNode {
	n := &stallingNode{}
	end := time.Now().Add(2 * simulatedTime)
	for at := time.Now(); at.Before(end); {
		from := at.Add(time.Duration(random.ExpFloat64() * float64(stallInterval)))
		at = from.Add(minStall + time.Duration(random.Int64N(int64(maxStall-minStall))))
		n.stalls = append(n.stalls, stall{from, at})
	}
	return n
}

// remainingStall returns how long the process still stalls from now on.
func (n *stallingNode) remainingStall() time.Duration {
	now := time.Now()
	for _, s := range n.stalls {
		if !now.Before(s.from) && now.Before(s.until) {
			return s.until.Sub(now)
		}
	}
	return 0
}

func (n *stallingNode) waitOutStall() { time.Sleep(n.remainingStall()) }

// call makes a call to the store; an answer after the deadline counts as lost.
func (n *stallingNode) call(ctx context.Context, do func() error) error {
	n.waitOutStall()
	time.Sleep(5 * time.Millisecond)
	err := do()
	time.Sleep(5 * time.Millisecond)
	n.waitOutStall()
	if err == nil {
		err = ctx.Err()
	}
	return err
}

type stallingLog struct {
	*storetest.Memory
	node *stallingNode
}

func (l stallingLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (read store.Batch, err error) {
	err = l.node.call(ctx, func() error {
		read, err = l.Memory.Read(ctx, at, from, wait)
		return err
	})
	return read, err
}

func (l stallingLog) AppendAt(ctx context.Context, at store.Partition, end int64, payloads [][]byte) (offset int64, err error) {
	err = l.node.call(ctx, func() error {
		offset, err = l.Memory.AppendAt(ctx, at, end, payloads)
		return err
	})
	return offset, err
}

func (n *stallingNode) observe(state State) {
	n.waitOutStall()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.state = state
}

// probe asks a holder whether it runs.
func (n *stallingNode) probe(ctx context.Context, holder *stallingNode, epoch int64) liveness.Verdict {
	answer := make(chan liveness.Verdict, 1)
	go func() { answer <- holder.answer(epoch) }()
	defer n.waitOutStall()
	select {
	case verdict := <-answer:
		return verdict
	case <-ctx.Done():
		return liveness.Unknown
	}
}

func (n *stallingNode) answer(epoch int64) liveness.Verdict {
	n.waitOutStall()
	defer n.waitOutStall()
	if epoch > 0 && n.yielder.Yield(epoch) {
		return liveness.Yielded
	}
	return liveness.Alive
}

// leadingEpoch returns the epoch under which the process leads and runs; 0 for none.
func (n *stallingNode) leadingEpoch() int64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.state.Leading || n.remainingStall() > 0 {
		return 0
	}
	return n.state.Lease.Epoch
}

// simulateStalls runs a fleet and returns the longest time it was without a process that leads and runs,
// and the number of leases taken.
func simulateStalls(t *testing.T, seed uint64) (leaderless time.Duration, leases int) {
	random := rand.New(rand.NewPCG(seed, seed))
	memory := storetest.NewMemory()
	var nodes []*stallingNode
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for range fleetSize {
		nodes = append(nodes, newStallingNode(random))
	}
	for number, node := range nodes {
		name := fmt.Sprint(number)
		timing := Timing{
			TTL: 2500 * time.Millisecond, UnresponsiveTTL: 1400 * time.Millisecond, RenewInterval: 500 * time.Millisecond, SafetyMargin: 200 * time.Millisecond,
			SuspectAfter: 600*time.Millisecond + time.Duration(random.IntN(300))*time.Millisecond,
		}
		running.Go(func() {
			Run(ctx, Options{
				Log: stallingLog{memory, node}, Self: name, Address: name, Timing: timing, Yielder: &node.yielder, Logger: zap.NewNop(),
				Resign: make(chan struct{}), Observe: node.observe,
				Probe: func(ctx context.Context, address, _ string, epoch int64) liveness.Verdict {
					number, _ := strconv.Atoi(address)
					return node.probe(ctx, nodes[number], epoch)
				},
			})
		})
	}
	newest := int64(0)
	since := time.Now()
	for end := time.Now().Add(simulatedTime); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, node := range nodes {
			epoch := node.leadingEpoch()
			if epoch > newest {
				newest = epoch
				leases++
			}
			if epoch > 0 && epoch == newest {
				since = time.Now()
			}
		}
		leaderless = max(leaderless, time.Since(since))
	}
	cancel()
	running.Wait()
	// Answers that are no longer awaited stall before and after, too.
	time.Sleep(2*maxStall + 2*yieldWait)
	return leaderless, leases
}

// Processes that stall for up to two seconds, without any other fault, must leave the fleet without a
// coordinator for short times only.
func TestStallingProcessesKeepCoordinator(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			leaderless, leases := simulateStalls(t, seed)
			t.Logf("seed %d: at most %v without a coordinator, %d leases in %v", seed, leaderless, leases, simulatedTime)
			if leaderless > maxLeaderless {
				t.Errorf("seed %d: %v without a coordinator", seed, leaderless)
			}
		})
	}
}
