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

// Configurations of a large fleet as operators write them, and one that can not be made smaller by any means: what a
// fleet is told in time must not hang on what a configuration holds.
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
	return map[string][]byte{"routes with names of their own": []byte(routes.String()), "noise": noise}
}

// A fleet that is played with large configurations.
type largeFleet struct {
	t *testing.T
	*fleetOfNodes
	end func()
}

// startLargeFleet starts a fleet before a store that holds a value already, nil for none.
func startLargeFleet(t *testing.T, nodes int, first []byte) *largeFleet {
	ctx, cancel := context.WithCancel(context.Background())
	running := &sync.WaitGroup{}
	f := &largeFleet{t: t, fleetOfNodes: startFleetWith(ctx, running, nodes, first)}
	f.end = func() { cancel(); running.Wait() }
	return f
}

func (f *largeFleet) putValue(value []byte) { f.store.memory.Put(store.TopicOperator, "config", value) }

// without returns how many of the nodes that run do not know a value.
func (f *largeFleet) without(value []byte) int {
	count := 0
	for _, node := range f.nodes {
		node.mutex.Lock()
		if !node.stopped && !bytes.Equal(node.value, value) {
			count++
		}
		if node.wentBack {
			f.t.Error("a node went back to what was put before")
		}
		node.mutex.Unlock()
	}
	return count
}

// expect checks that all nodes know a value within a time, and logs when they did.
func (f *largeFleet) expect(value []byte, within time.Duration) {
	f.t.Helper()
	began := time.Now()
	for time.Since(began) < within && f.without(value) > 0 {
		time.Sleep(50 * time.Millisecond)
	}
	if without := f.without(value); without > 0 {
		f.t.Errorf("%d of %d nodes do not know it after %v", without, len(f.nodes), within)
		return
	}
	f.t.Logf("known to all %d nodes after %v", len(f.nodes), time.Since(began))
}

func (f *largeFleet) coordinator() *fleetNode {
	for _, node := range f.nodes {
		if held, _ := node.state(); held {
			return node
		}
	}
	f.t.Fatal("nobody coordinates")
	return nil
}

func (n *fleetNode) kill() {
	n.mutex.Lock()
	n.stopped = true
	n.mutex.Unlock()
	n.stop()
}

// Seen: as for TestALargeConfigurationReachesAWholeFleet, whose configuration any compression makes small; here it is
// one that can be made half as large, and one that can not be made smaller.
func TestALargeConfigurationReachesAWholeFleetWhateverItHolds(t *testing.T) {
	for _, nodes := range []int{wholeFleetNodes, 2 * wholeFleetNodes} {
		for name, value := range largeConfigurations() {
			t.Run(fmt.Sprint(nodes, " nodes, ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startLargeFleet(t, nodes, []byte("first"))
					defer f.end()
					time.Sleep(8 * time.Second)
					t.Log("put while all is well")
					f.putValue(value)
					f.expect(value, applyWithin)
					f.store.strike(outageRefuses, func(int) bool { return true })
					time.Sleep(time.Second)
					changed := append([]byte("x"), value...)
					f.putValue(changed)
					time.Sleep(2 * time.Second)
					t.Log("put during an outage")
					f.store.strike(outageRefuses, nil)
					f.expect(changed, applyWithin)
				})
			})
		}
	}
}

// A configuration that is put as the coordinator is lost, which alone reads it for all, is known in time: by its
// successor, or by each node's own reading.
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
				f.expect(value, applyWithin)
			})
		})
	}
}

// A fleet all of whose nodes start at once knows a large configuration as soon as the store can have sent it to each.
func TestAWholeFleetStartsWithALargeConfiguration(t *testing.T) {
	value := largeConfigurations()["noise"]
	synctest.Test(t, func(t *testing.T) {
		f := startLargeFleet(t, wholeFleetNodes, value)
		defer f.end()
		toAll := time.Duration(float64(wholeFleetNodes*len(value)) / bytesPerSecond * float64(time.Second))
		f.expect(value, toAll+time.Second)
	})
}

// Nodes that the store turns away know a large configuration in time as well, whether the coordinator is among them
// or not.
func TestALargeConfigurationReachesNodesThatTheStoreTurnsAway(t *testing.T) {
	value := largeConfigurations()["noise"]
	for _, kind := range []outage{outageRefuses, outageSilent} {
		for _, withCoordinator := range []bool{false, true} {
			t.Run(fmt.Sprintf("kind %d, the coordinator too %v", kind, withCoordinator), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startLargeFleet(t, wholeFleetNodes, []byte("first"))
					defer f.end()
					time.Sleep(8 * time.Second)
					coordinator := f.coordinator()
					f.store.strike(kind, func(node int) bool {
						if f.nodes[node] == coordinator {
							return withCoordinator
						}
						return node%3 == 0
					})
					f.putValue(value)
					f.expect(value, applyWithin)
				})
			})
		}
	}
}
