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

// folded is what a follower made of a topic.
type folded struct {
	mutex    sync.Mutex
	values   map[string]string
	replaced int
}

func (f *folded) replace(records []store.Record) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.values = make(map[string]string)
	f.replaced++
	for _, record := range records {
		f.values[record.Key] = string(record.Value)
	}
}

func (f *folded) change(records []store.Record) {
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

func (f *folded) get(key string) (value string, replaced int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.values[key], f.replaced
}

func follow(t *testing.T, log store.Log) *folded {
	f := &folded{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Keyed(ctx, KeyedOptions{
			Log: log, Topic: store.TopicServers, Pace: time.Millisecond, Wait: 100 * time.Millisecond, Logger: zap.NewNop(),
			Replace: f.replace, Change: f.change, Read: func(int64, bool, time.Time) {},
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
	t.Fatalf("never: %s", what)
}

func TestKeyedFollowsChangesAndRemovals(t *testing.T) {
	memory := storetest.NewMemory()
	memory.Put(store.TopicServers, "a", []byte("1"))
	f := follow(t, memory)
	eventually(t, "the first list", func() bool { value, _ := f.get("a"); return value == "1" })
	memory.Put(store.TopicServers, "b", []byte("2"))
	eventually(t, "a new key", func() bool { value, _ := f.get("b"); return value == "2" })
	memory.Put(store.TopicServers, "a", nil)
	eventually(t, "a removed key", func() bool { value, _ := f.get("a"); return value == "" })
	if _, replaced := f.get("a"); replaced != 1 {
		t.Errorf("the list was read %d times", replaced)
	}
}

func TestKeyedReadsTheListAgainWhenHistoryIsGone(t *testing.T) {
	memory := storetest.NewMemory()
	memory.Put(store.TopicServers, "a", []byte("1"))
	f := follow(t, memory)
	eventually(t, "the first list", func() bool { value, _ := f.get("a"); return value == "1" })
	// While the store answers nothing, keys change and the history is dropped.
	memory.SetFault(storetest.FaultRefuse)
	memory.Put(store.TopicServers, "a", []byte("2"))
	memory.Put(store.TopicServers, "b", []byte("3"))
	memory.Forget(store.Partition{Topic: store.TopicServers}, 2)
	memory.SetFault(storetest.FaultNone)
	eventually(t, "the second list", func() bool {
		a, _ := f.get("a")
		b, replaced := f.get("b")
		return a == "2" && b == "3" && replaced >= 2
	})
}
