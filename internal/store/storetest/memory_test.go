package storetest

import (
	"context"
	"sync/atomic"
	"testing"

	"dalehook/internal/store"
)

// A store that refuses calls gives nothing of what is put meanwhile, also to a call that it
// took just before.
func TestNothingIsReadWhileCallsAreRefused(t *testing.T) {
	for range 3000 {
		memory := NewMemory()
		var stop, seen atomic.Bool
		ended := make(chan struct{})
		begun := make(chan struct{})
		go func() {
			defer close(ended)
			close(begun)
			for !stop.Load() {
				read, err := memory.Read(context.Background(), store.Partition{Topic: store.TopicServers}, 0, 0)
				if err == nil && len(read.Records) > 0 {
					seen.Store(true)
				}
			}
		}()
		<-begun
		memory.SetFault(FaultRefuse)
		memory.Put(store.TopicServers, "a", []byte("1"))
		stop.Store(true)
		<-ended
		if seen.Load() {
			t.Fatal("a record was read that was put while calls were refused")
		}
	}
}
