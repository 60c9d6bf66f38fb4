package election

import (
	"testing"
	"testing/synctest"
	"time"
)

// holdingYielder returns the yielder of a process that holds the lease of epoch 4 and has just had an
// answer from the store.
func holdingYielder() *Yielder {
	yielder := &Yielder{}
	yielder.handleStoreContact(time.Now())
	yielder.handleState(State{Lease: Lease{Epoch: 4}, Leading: true})
	return yielder
}

func TestLeaseIsYieldedOnlyWithoutStoreContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		yielder := holdingYielder()
		if yielder.Yield(4) {
			t.Error("yielded right after an answer from the store")
		}
		time.Sleep(yieldAfter)
		if yielder.Yield(3) {
			t.Error("yielded the lease of another epoch")
		}
		asked := time.Now()
		if !yielder.Yield(4) || yielder.lastYieldedEpoch() != 4 {
			t.Error("not yielded although the store does not answer")
		}
		if waited := time.Since(asked); waited != yieldWait {
			t.Errorf("waited %v for the store, want yieldWait", waited)
		}
		yielder.handleStoreContact(time.Now())
		asked = time.Now()
		if !yielder.Yield(4) {
			t.Error("a yielded lease was taken back")
		}
		if waited := time.Since(asked); waited != 0 {
			t.Errorf("the second request was answered after %v, want at once", waited)
		}
	})
}

// Guards against a holder yielding just after an outage of the store: the store may have recovered for the
// holder too, a moment later.
func TestLeaseIsNotYieldedWhenStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		yielder := holdingYielder()
		time.Sleep(yieldAfter)
		yielded := make(chan bool)
		go func() { yielded <- yielder.Yield(4) }()
		time.Sleep(yieldWait / 2)
		yielder.handleStoreContact(time.Now())
		if <-yielded {
			t.Error("yielded although the store answered")
		}
	})
}
