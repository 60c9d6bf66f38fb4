package follow

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// topicState is the state that a follower has built from a topic.
type topicState struct {
	mutex    sync.Mutex
	values   map[string]string
	replaced int
}

func (f *topicState) replace(records []store.Record) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.values = make(map[string]string)
	f.replaced++
	for _, record := range records {
		f.values[record.Key] = string(record.Value)
	}
}

func (f *topicState) change(records []store.Record) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, record := range records {
		if len(record.Value) == 0 {
			delete(f.values, record.Key)
			continue
		}
		f.values[record.Key] = string(record.Value)
	}
}

func (f *topicState) get(key string) (value string, replaced int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.values[key], f.replaced
}

func follow(t *testing.T, log store.Log) *topicState {
	f := &topicState{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Keyed(ctx, KeyedOptions{
			Log: log, Topic: store.TopicServers, MinInterval: time.Millisecond, Wait: 100 * time.Millisecond, Logger: zap.NewNop(),
			Replace: f.replace, Change: f.change, OnRead: func(int64, bool, time.Time) {},
		})
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return f
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

func TestKeyedFollowsChangesAndRemovals(t *testing.T) {
	memory := storetest.NewMemory()
	memory.Put(store.TopicServers, "a", []byte("1"))
	f := follow(t, memory)
	eventually(t, "first snapshot", func() bool { value, _ := f.get("a"); return value == "1" })
	memory.Put(store.TopicServers, "b", []byte("2"))
	eventually(t, "new key", func() bool { value, _ := f.get("b"); return value == "2" })
	memory.Put(store.TopicServers, "a", nil)
	eventually(t, "removed key", func() bool { value, _ := f.get("a"); return value == "" })
	if _, replaced := f.get("a"); replaced != 1 {
		t.Errorf("the snapshot was loaded %d times", replaced)
	}
}

func TestKeyedReloadsSnapshotAfterTrim(t *testing.T) {
	memory := storetest.NewMemory()
	memory.Put(store.TopicServers, "a", []byte("1"))
	f := follow(t, memory)
	eventually(t, "first snapshot", func() bool { value, _ := f.get("a"); return value == "1" })
	// While the store is unavailable, keys change and the history is trimmed.
	memory.SetFault(storetest.FaultRefuse)
	memory.Put(store.TopicServers, "a", []byte("2"))
	memory.Put(store.TopicServers, "b", []byte("3"))
	memory.Compact(store.Partition{Topic: store.TopicServers}, 2)
	memory.SetFault(storetest.FaultNone)
	eventually(t, "second snapshot", func() bool {
		a, _ := f.get("a")
		b, replaced := f.get("b")
		return a == "2" && b == "3" && replaced >= 2
	})
}
