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

// heldStore is a store that answers reads of the operator's topic when their hold ends, and late
// after that, with what stood there when they were asked if stale is set.
type heldStore struct {
	*storetest.Memory
	stale bool
	late  time.Duration
}

func (s *heldStore) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
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

// revocation is the bound that the node of these tests keeps.
const revocation = 2 * time.Second

// startKeyNode follows what operators put at a node that refuses keys of which it can not be sure.
func startKeyNode(t *testing.T, log store.Log) (node *Node, known func() int64) {
	node = &Node{options: Options{Settings: &Settings{}, Logger: zap.NewNop()}}
	node.options.Settings.Access.FailClosed = true
	node.options.Settings.Access.RevocationMs = int(revocation.Milliseconds())
	node.operatorGuide, node.operatorSource = node.newOperatorGuide(), fanout.NewSource()
	var mutex sync.Mutex
	newest := int64(-1)
	learn := func(records []store.Record) {
		mutex.Lock()
		defer mutex.Unlock()
		for _, record := range records {
			newest = max(newest, record.Offset)
		}
	}
	options := node.operatorFollowing(log)
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

// Seen: a key that was withdrawn longer ago than the bound is served by a node that is to refuse
// keys of which it can not be sure. The cause: what is known of keys counted as new from when an
// answer of the store had come, while it tells what stood there when it was asked, up to 1.7 s
// before. The proof: keys are withdrawn at all moments of the reads of a store whose answers are
// held and late; after the bound the node either knows, or refuses.
func TestWhatIsKnownOfKeysIsAsOldAsItsQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := storetest.NewMemory()
		memory.Put(store.TopicOperator, "config", []byte("0"))
		node, known := startKeyNode(t, &heldStore{Memory: memory, stale: true, late: 600 * time.Millisecond})
		time.Sleep(5 * time.Second)
		served := 0
		for change := range int64(60) {
			memory.Put(store.TopicOperator, "config", []byte("withdrawn"))
			time.Sleep(revocation)
			if known() < change+1 && !node.keysTooOld(time.Now()) {
				served++
			}
			time.Sleep(3*time.Second + time.Duration(change)*41*time.Millisecond)
		}
		if served > 0 {
			t.Errorf("%d of 60 withdrawn keys are served %v after", served, revocation)
		}
	})
}

// In a quiet store, whose reads are held to their end, no key is refused.
func TestKeysAreNotTooOldInAQuietStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := storetest.NewMemory()
		memory.Put(store.TopicOperator, "config", []byte("0"))
		node, _ := startKeyNode(t, &heldStore{Memory: memory})
		time.Sleep(time.Second)
		for range 500 {
			time.Sleep(23 * time.Millisecond)
			if node.keysTooOld(time.Now()) {
				t.Fatalf("refused at an age of %v", node.configurationAge(time.Now()))
			}
		}
	})
}
