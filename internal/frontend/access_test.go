package frontend

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/fanout"
	"dalehook/internal/follow"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// longPollStore is a store that holds reads of the operator topic to the end of their wait. With
// stale set, it returns what it held when the read arrived, and does so late after the wait's end.
type longPollStore struct {
	*storetest.Memory
	stale bool
	late  time.Duration
}

func (s *longPollStore) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if !s.stale {
		return s.Memory.Read(ctx, at, from, wait)
	}
	read, err := s.Memory.Read(ctx, at, from, 0)
	select {
	case <-ctx.Done():
		return store.Batch{}, ctx.Err()
	case <-time.After(wait + s.late):
		return read, err
	}
}

// testRevocationDelay is the revocation delay of the node under test.
const testRevocationDelay = 2 * time.Second

// startKeyNode runs a node with fail_closed that follows the operator topic, and returns a function
// that returns the newest offset that the node has.
func startKeyNode(t *testing.T, log store.Log) (node *Node, known func() int64) {
	node = &Node{options: Options{Settings: &Settings{}, Logger: zap.NewNop()}}
	node.options.Settings.Access.FailClosed = true
	node.options.Settings.Access.RevocationMs = int(testRevocationDelay.Milliseconds())
	node.operatorGuide, node.operatorCache = node.newOperatorGuide(), fanout.NewCache()
	var mutex sync.Mutex
	newest := int64(-1)
	learn := func(records []store.Record) {
		mutex.Lock()
		defer mutex.Unlock()
		for _, record := range records {
			newest = max(newest, record.Offset)
		}
	}
	options := node.operatorFollowOptions(log)
	options.Replace, options.Change = learn, learn
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { follow.Keyed(ctx, options) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return node, func() int64 {
		mutex.Lock()
		defer mutex.Unlock()
		return newest
	}
}

// A node with fail_closed accepted a key that had been revoked longer ago than the revocation
// delay. The age of the keys counted from the arrival of the store's answer, but the answer holds
// the state at the time of the request, up to 1.7 s earlier. Here keys are revoked at all points of
// the reads of a store that answers late and with stale data; after the delay the node must either
// have the change or refuse the key.
func TestKeyAgeCountsFromTheRequestToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := storetest.NewMemory()
		memory.Put(store.TopicOperator, "config", []byte("0"))
		node, known := startKeyNode(t, &longPollStore{Memory: memory, stale: true, late: 600 * time.Millisecond})
		time.Sleep(5 * time.Second)
		accepted := 0
		for change := range int64(60) {
			memory.Put(store.TopicOperator, "config", []byte("revoked"))
			time.Sleep(testRevocationDelay)
			if known() < change+1 && !node.keysStale(time.Now()) {
				accepted++
			}
			time.Sleep(3*time.Second + time.Duration(change)*41*time.Millisecond)
		}
		if accepted > 0 {
			t.Errorf("%d of 60 revoked keys are accepted %v later", accepted, testRevocationDelay)
		}
	})
}

// In a quiet store, whose reads are held to the end of their wait, no key is refused.
func TestKeysAreNotStaleInAQuietStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := storetest.NewMemory()
		memory.Put(store.TopicOperator, "config", []byte("0"))
		node, _ := startKeyNode(t, &longPollStore{Memory: memory})
		time.Sleep(time.Second)
		for range 500 {
			time.Sleep(23 * time.Millisecond)
			if node.keysStale(time.Now()) {
				t.Fatalf("refused at an age of %v", node.configurationAge(time.Now()))
			}
		}
	})
}
