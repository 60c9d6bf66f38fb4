package serverlist

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/directory"
	"dalehook/internal/pause"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// pagedLog is the store as seen by one node. It counts the pages of the newest records.
type pagedLog struct {
	*storetest.SharedNode
	// asked and answered are the numbers of pages asked for and of those received.
	asked, answered atomic.Int64
	// delay is the time by which answers are late, in addition to the store's latency.
	delay time.Duration
}

func (l *pagedLog) NewestPage(ctx context.Context, topic store.Topic, after string) (store.NewestPage, error) {
	l.asked.Add(1)
	page, err := l.SharedNode.NewestPage(ctx, topic, after)
	if err != nil {
		return page, err
	}
	if !pause.For(ctx, l.delay) {
		return store.NewestPage{}, ctx.Err()
	}
	l.answered.Add(1)
	return page, nil
}

// sizeTest is a store and nodes that start to read its list of servers. The first node is the coordinator if
// leading is set.
type sizeTest struct {
	t       *testing.T
	shared  *storetest.Shared
	ctx     context.Context
	running sync.WaitGroup
	leading bool
	logs    []*pagedLog
	lists   []*List
	states  map[int]string
}

func runSizeTest(t *testing.T, limits storetest.Limits, leading bool, test func(s *sizeTest)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &sizeTest{t: t, shared: storetest.NewShared(limits), ctx: ctx, leading: leading, states: make(map[int]string)}
		test(s)
		cancel()
		s.running.Wait()
	})
}

func (s *sizeTest) setState(server int, state string) {
	s.states[server] = state
	var value []byte
	if state != "" {
		value = []byte(state)
	}
	s.shared.Put(store.TopicServers, serverID(server), value)
}

// start starts a node to which pages of the newest records are late by a delay.
func (s *sizeTest) start(delay time.Duration) {
	number := len(s.lists)
	log := &pagedLog{SharedNode: s.shared.Node(number), delay: delay}
	list := New(Options{
		Log: log, Directory: directory.NewDirectory(), Logger: zap.NewNop(), Decode: decodeFleet, Digest: digestFleet,
		Self: fmt.Sprint("node-", number), Leading: func() bool { return s.leading && number == 0 }, OnChange: func() {},
		MinReadInterval: 200 * time.Millisecond, ReadWait: 500 * time.Millisecond,
	})
	s.logs, s.lists = append(s.logs, log), append(s.lists, list)
	s.running.Go(func() { list.Run(s.ctx) })
}

// knows reports whether a node knows exactly the servers that take requests.
func (s *sizeTest) knows(node int) bool {
	var want, got []string
	for server, state := range s.states {
		if state == "ready" {
			want = append(want, serverID(server))
		}
	}
	for _, service := range []string{"portal", "engines"} {
		for _, server := range s.lists[node].options.Directory.Snapshot().Ready(service) {
			got = append(got, server.ID)
		}
	}
	slices.Sort(want)
	slices.Sort(got)
	return s.lists[node].Complete() && slices.Equal(want, got)
}

func (s *sizeTest) await(node int, bound time.Duration) {
	s.t.Helper()
	for began := time.Now(); !s.knows(node); time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > bound {
			s.t.Fatalf("node %d does not know the servers after %v; complete: %v", node, bound, s.lists[node].Complete())
		}
	}
}

// slowPages are the limits of a store that returns one server a page and needs more time for all of them than
// one page may take.
func slowPages() storetest.Limits {
	limits := fleetLimits
	limits.MaxPageRecords, limits.Latency = 1, 50*time.Millisecond
	return limits
}

// Guards against a node never knowing its list because the size of the fleet takes longer to read than one
// attempt lasts: each attempt read the list from its start. Servers change meanwhile, and the store fails.
func TestSizeReadContinuesAfterFailures(t *testing.T) {
	const servers, steps, step = 150, 80, 100 * time.Millisecond
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runSizeTest(t, slowPages(), false, func(s *sizeTest) {
				random := rand.New(rand.NewPCG(seed, 0))
				for server := range servers {
					s.setState(server, "ready")
				}
				began := time.Now()
				s.start(0)
				for range steps {
					// Servers beyond the first ones are new.
					s.setState(random.IntN(servers+20), []string{"ready", "draining", ""}[random.IntN(3)])
					switch random.IntN(10) {
					case 0:
						s.shared.SetNodeFault(storetest.FaultRefuse, func(int) bool { return true })
					case 1:
						s.shared.SetNodeFault(storetest.FaultSilent, func(int) bool { return true })
					case 2, 3, 4, 5:
						s.shared.SetNodeFault(storetest.FaultNone, nil)
					}
					time.Sleep(step)
				}
				s.shared.SetNodeFault(storetest.FaultNone, nil)
				s.await(0, servers*slowPages().Latency+startBound)
				took := time.Since(began)
				asked, answered := int(s.logs[0].asked.Load()), int(s.logs[0].answered.Load())
				t.Logf("%d pages, %d calls failed, known after %v", answered, asked-answered, took)
				if answered > len(s.states) {
					t.Errorf("%d pages of one server were read of %d servers: some were read again", answered, len(s.states))
				}
				if failed := asked - answered; failed > int(took/checkInterval) {
					t.Errorf("%d calls failed in %v", failed, took)
				}
			})
		})
	}
}

// Guards against a node reading the list page by page although the coordinator relays it: a node that started
// before the first snapshot read the relay once, and then not before it knew that the fleet was large.
func TestNodeFollowsRelayThatBeginsAfterItsStart(t *testing.T) {
	runSizeTest(t, fleetLimits, true, func(s *sizeTest) {
		for server := range 300 {
			s.setState(server, "ready")
		}
		s.start(0)
		// Each page is later than the node waits for it.
		s.start(2 * sizeReadTimeout)
		s.await(1, startBound)
		if mode := s.lists[1].Mode(); mode != ModeRelay {
			t.Errorf("the list is in mode %d", mode)
		}
		before := s.logs[1].asked.Load()
		time.Sleep(startBound)
		if more := s.logs[1].asked.Load() - before; more > 0 {
			t.Errorf("%d pages were asked for although the relay is followed", more)
		}
		s.setState(1, "draining")
		s.await(1, leaveBound)
	})
}

// Guards against a list that misses changes: a page that was read before the relay's first snapshot
// arrives after it, and the relay's later changes do not hold what changed between the two.
func TestLatePageDoesNotPrecedeRelay(t *testing.T) {
	runSizeTest(t, fleetLimits, true, func(s *sizeTest) {
		for server := range 300 {
			s.setState(server, "ready")
		}
		s.start(0)
		s.start(sizeReadTimeout - 100*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		s.setState(1, "draining")
		s.setState(2, "")
		s.await(1, startBound)
	})
}
