package frontend

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dalehook/internal/store"
)

// largeConfigurations returns a large configuration as operators write them, and one that can't be
// compressed: the time to distribute a configuration must not depend on its contents.
func largeConfigurations() map[string][]byte {
	random := rand.New(rand.NewPCG(1, 2))
	name := func() string { return fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64()) }
	var routes strings.Builder
	for routes.Len() < sizeLarge {
		fmt.Fprintf(&routes, `{"name":"route-%s","host":"%s.example","prefix":"/%s/","timeout":%d,"target":%d,"service":"%s"}`,
			name(), name(), name(), random.IntN(9000), random.IntN(900), name())
	}
	noise := make([]byte, sizeLarge)
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	return map[string][]byte{"routes with distinct names": []byte(routes.String()), "noise": noise}
}

// largeFleet is a fleet for tests with large configurations.
type largeFleet struct {
	t *testing.T
	*fleetOfNodes
	end func()
}

// startLargeFleet starts a fleet on a store that already holds a value, nil for none.
func startLargeFleet(t *testing.T, nodes int, first []byte) *largeFleet {
	ctx, cancel := context.WithCancel(context.Background())
	running := &sync.WaitGroup{}
	f := &largeFleet{t: t, fleetOfNodes: startFleetWith(ctx, running, nodes, first)}
	f.end = func() { cancel(); running.Wait() }
	return f
}

func (f *largeFleet) putValue(value []byte) { f.store.memory.Put(store.TopicOperator, "config", value) }

// countMissing returns the number of running nodes that don't have a value.
func (f *largeFleet) countMissing(value []byte) int {
	count := 0
	for _, node := range f.nodes {
		node.mutex.Lock()
		if !node.stopped && !bytes.Equal(node.value, value) {
			count++
		}
		if node.regressed {
			f.t.Error("a node went back to an older value")
		}
		node.mutex.Unlock()
	}
	return count
}

// expectWithin checks that all nodes have a value within a time, and logs when they did.
func (f *largeFleet) expectWithin(value []byte, timeout time.Duration) {
	f.t.Helper()
	began := time.Now()
	for time.Since(began) < timeout && f.countMissing(value) > 0 {
		time.Sleep(50 * time.Millisecond)
	}
	if missing := f.countMissing(value); missing > 0 {
		f.t.Errorf("%d of %d nodes do not have the value after %v", missing, len(f.nodes), timeout)
		return
	}
	f.t.Logf("all %d nodes have the value after %v", len(f.nodes), time.Since(began))
}

func (f *largeFleet) coordinator() *fleetNode {
	for _, node := range f.nodes {
		if held, _ := node.state(); held {
			return node
		}
	}
	f.t.Fatal("no node holds the lease")
	return nil
}

func (n *fleetNode) kill() {
	n.mutex.Lock()
	n.stopped = true
	n.mutex.Unlock()
	n.stop()
}

// Like TestALargeConfigurationReachesAWholeFleet, whose configuration compresses to almost nothing,
// but with one that compresses to half its size and one that doesn't compress.
func TestALargeConfigurationReachesAWholeFleetWhateverItHolds(t *testing.T) {
	for _, nodes := range []int{wholeFleetNodes, 2 * wholeFleetNodes} {
		for name, value := range largeConfigurations() {
			t.Run(fmt.Sprint(nodes, " nodes, ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startLargeFleet(t, nodes, []byte("first"))
					defer f.end()
					time.Sleep(8 * time.Second)
					t.Log("put without an outage")
					f.putValue(value)
					f.expectWithin(value, largeApplyTimeout)
					f.store.setOutage(outageRefuses, func(int) bool { return true })
					time.Sleep(time.Second)
					changed := append([]byte("x"), value...)
					f.putValue(changed)
					time.Sleep(2 * time.Second)
					t.Log("put during an outage")
					f.store.setOutage(outageRefuses, nil)
					f.expectWithin(changed, largeApplyTimeout)
				})
			})
		}
	}
}

// A configuration that is put shortly before the coordinator, which alone reads it for all, is lost
// still arrives in time, from its successor or by each node's own read.
func TestALargeConfigurationThatIsPutAsTheCoordinatorIsLost(t *testing.T) {
	value := largeConfigurations()["noise"]
	for _, before := range []time.Duration{0, 5 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(fmt.Sprint("lost ", before, " after"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startLargeFleet(t, wholeFleetNodes, []byte("first"))
				defer f.end()
				time.Sleep(8 * time.Second)
				f.putValue(value)
				time.Sleep(before)
				f.coordinator().kill()
				f.expectWithin(value, largeApplyTimeout)
			})
		})
	}
}

// When all nodes of a fleet start at once, each has a large configuration as soon as the store's
// bandwidth allows.
func TestAWholeFleetStartsWithALargeConfiguration(t *testing.T) {
	value := largeConfigurations()["noise"]
	synctest.Test(t, func(t *testing.T) {
		f := startLargeFleet(t, wholeFleetNodes, value)
		defer f.end()
		toAll := time.Duration(float64(wholeFleetNodes*len(value)) / storeBytesPerSecond * float64(time.Second))
		f.expectWithin(value, toAll+time.Second)
	})
}

// Nodes that the store doesn't answer get a large configuration in time as well, whether the
// coordinator is among them or not.
func TestALargeConfigurationReachesNodesThatTheStoreTurnsAway(t *testing.T) {
	value := largeConfigurations()["noise"]
	for _, kind := range []outage{outageRefuses, outageSilent} {
		for _, withCoordinator := range []bool{false, true} {
			t.Run(fmt.Sprintf("kind %d, coordinator affected %v", kind, withCoordinator), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startLargeFleet(t, wholeFleetNodes, []byte("first"))
					defer f.end()
					time.Sleep(8 * time.Second)
					coordinator := f.coordinator()
					f.store.setOutage(kind, func(node int) bool {
						if f.nodes[node] == coordinator {
							return withCoordinator
						}
						return node%3 == 0
					})
					f.putValue(value)
					f.expectWithin(value, largeApplyTimeout)
				})
			})
		}
	}
}
