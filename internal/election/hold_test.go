package election

import (
	"testing"
	"testing/synctest"
	"time"
)

// leading returns what a process knows that holds the lease of epoch 4, and just had an
// answer of the store.
func leading() *Hold {
	hold := &Hold{}
	hold.noteContact(time.Now())
	hold.noteStanding(Standing{Lease: Lease{Epoch: 4}, Leading: true})
	return hold
}

func TestALeaseIsYieldedOnlyWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hold := leading()
		if hold.Yield(4) {
			t.Error("yielded right after an answer of the store")
		}
		time.Sleep(yieldAfter)
		if hold.Yield(3) {
			t.Error("yielded the lease of another epoch")
		}
		asked := time.Now()
		if !hold.Yield(4) || hold.yieldedEpoch() != 4 {
			t.Error("not yielded without the store")
		}
		if waited := time.Since(asked); waited != yieldWait {
			t.Errorf("waited %v for the store", waited)
		}
		hold.noteContact(time.Now())
		asked = time.Now()
		if !hold.Yield(4) {
			t.Error("taken back")
		}
		if waited := time.Since(asked); waited != 0 {
			t.Errorf("who asks again is told after %v", waited)
		}
	})
}

// A store that was away for all is back for its holder too, a moment later.
func TestALeaseIsNotYieldedWhenTheStoreComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hold := leading()
		time.Sleep(yieldAfter)
		asked := make(chan bool)
		go func() { asked <- hold.Yield(4) }()
		time.Sleep(yieldWait / 2)
		hold.noteContact(time.Now())
		if <-asked {
			t.Error("yielded though the store answered")
		}
	})
}
