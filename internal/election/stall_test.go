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

// The bounds of a fleet whose processes stand still now and then, as those do that share too few
// processors.
const (
	stallNodes = 40
	stallTime  = time.Minute
	// A process runs for stallEvery on average between two times at which it stands still, each
	// between stallLeast and stallMost.
	stallEvery = 3 * time.Second
	stallLeast = 100 * time.Millisecond
	stallMost  = 2 * time.Second
	stallLook  = 20 * time.Millisecond
	// longestAlone is how long the fleet may be without a process that leads and runs: the
	// longest stall of the holder, the doubt that follows, two questions to it without an answer
	// and the claim, in which the successor stands still, too.
	longestAlone = 4 * time.Second
)

// stallingNode is a process that stands still now and then. Its calls to the store and its
// answers to others wait meanwhile.
type stallingNode struct {
	hold   Hold
	stalls []stall

	mutex    sync.Mutex
	standing Standing
}

type stall struct{ from, until time.Time }

func newStallingNode(random *rand.Rand) *stallingNode {
	n := &stallingNode{}
	end := time.Now().Add(2 * stallTime)
	for at := time.Now(); at.Before(end); {
		from := at.Add(time.Duration(random.ExpFloat64() * float64(stallEvery)))
		at = from.Add(stallLeast + time.Duration(random.Int64N(int64(stallMost-stallLeast))))
		n.stalls = append(n.stalls, stall{from, at})
	}
	return n
}

// still returns how long the process stands still from now on.
func (n *stallingNode) still() time.Duration {
	now := time.Now()
	for _, s := range n.stalls {
		if !now.Before(s.from) && now.Before(s.until) {
			return s.until.Sub(now)
		}
	}
	return 0
}

func (n *stallingNode) wait() { time.Sleep(n.still()) }

// call makes a call to the store; an answer that comes after its time counts as lost.
func (n *stallingNode) call(ctx context.Context, do func() error) error {
	n.wait()
	time.Sleep(5 * time.Millisecond)
	err := do()
	time.Sleep(5 * time.Millisecond)
	n.wait()
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

func (n *stallingNode) observe(standing Standing) {
	n.wait()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.standing = standing
}

// ask asks a holder whether it runs.
func (n *stallingNode) ask(ctx context.Context, holder *stallingNode, epoch int64) liveness.Verdict {
	answer := make(chan liveness.Verdict, 1)
	go func() { answer <- holder.answer(epoch) }()
	defer n.wait()
	select {
	case verdict := <-answer:
		return verdict
	case <-ctx.Done():
		return liveness.Unknown
	}
}

func (n *stallingNode) answer(epoch int64) liveness.Verdict {
	n.wait()
	defer n.wait()
	if epoch > 0 && n.hold.Yield(epoch) {
		return liveness.Yielded
	}
	return liveness.Alive
}

// leads says under which epoch the process leads and runs; 0 for none.
func (n *stallingNode) leads() int64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.standing.Leading || n.still() > 0 {
		return 0
	}
	return n.standing.Lease.Epoch
}

// playStalls runs a fleet and returns how long it was without a process that leads and runs, at
// the longest, and how many leases were taken.
func playStalls(t *testing.T, seed uint64) (alone time.Duration, leases int) {
	random := rand.New(rand.NewPCG(seed, seed))
	memory := storetest.NewMemory()
	var nodes []*stallingNode
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for range stallNodes {
		nodes = append(nodes, newStallingNode(random))
	}
	for number, node := range nodes {
		name := fmt.Sprint(number)
		timing := Timing{
			TTL: 2500 * time.Millisecond, SilentTTL: 1400 * time.Millisecond, Renewal: 500 * time.Millisecond, Margin: 200 * time.Millisecond,
			Doubt: 600*time.Millisecond + time.Duration(random.IntN(300))*time.Millisecond,
		}
		running.Go(func() {
			Run(ctx, Options{
				Log: stallingLog{memory, node}, Self: name, Address: name, Timing: timing, Hold: &node.hold, Logger: zap.NewNop(),
				Leaving: make(chan struct{}), Observe: node.observe,
				Ask: func(ctx context.Context, address, _ string, epoch int64) liveness.Verdict {
					number, _ := strconv.Atoi(address)
					return node.ask(ctx, nodes[number], epoch)
				},
			})
		})
	}
	newest := int64(0)
	since := time.Now()
	for end := time.Now().Add(stallTime); time.Now().Before(end); time.Sleep(stallLook) {
		for _, node := range nodes {
			epoch := node.leads()
			if epoch > newest {
				newest = epoch
				leases++
			}
			if epoch > 0 && epoch == newest {
				since = time.Now()
			}
		}
		alone = max(alone, time.Since(since))
	}
	cancel()
	running.Wait()
	// Answers that nobody waits for any more stand still before and after.
	time.Sleep(2*stallMost + 2*yieldWait)
	return alone, leases
}

// Processes that stand still for up to two seconds, without any other fault, leave the fleet with a
// coordinator but for short times.
func TestProcessesThatStandStillKeepACoordinator(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			alone, leases := playStalls(t, seed)
			t.Logf("seed %d: %v without a coordinator at the longest, %d leases in %v", seed, alone, leases, stallTime)
			if alone > longestAlone {
				t.Errorf("seed %d: %v without a coordinator", seed, alone)
			}
		})
	}
}
