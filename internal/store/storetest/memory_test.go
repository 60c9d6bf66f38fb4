package storetest

import (
	"context"
	"sync/atomic"
	"testing"

	"dalehook/internal/store"
)

// While the store refuses calls, no read returns records that are put in the meantime, not even a
// read that began before the fault was set.
func TestRefusedReadReturnsNoRecords(t *testing.T) {
	for range 3000 {
		memory := NewMemory()
		var stop, seen atomic.Bool
		readerDone := make(chan struct{})
		readerStarted := make(chan struct{})
		go func() {
			defer close(readerDone)
			close(readerStarted)
			for !stop.Load() {
				read, err := memory.Read(context.Background(), store.Partition{Topic: store.TopicServers}, 0, 0)
				if err == nil && len(read.Records) > 0 {
					seen.Store(true)
				}
			}
		}()
		<-readerStarted
		memory.SetFault(FaultRefuse)
		memory.Put(store.TopicServers, "a", []byte("1"))
		stop.Store(true)
		<-readerDone
		if seen.Load() {
			t.Fatal("a read returned a record that was put while calls were refused")
		}
	}
}
