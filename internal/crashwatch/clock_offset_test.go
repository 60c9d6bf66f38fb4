package crashwatch

import (
	"fmt"
	"testing"
	"time"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// Offsets between the times of day of two machines.
var clockOffsets = []time.Duration{
	-time.Hour, -5 * time.Second, -2 * time.Second, -time.Second, -300 * time.Millisecond, 0,
	300 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, time.Hour,
}

// A request that began right after an end found by another node counts against the incarnation that
// ended; one that began when the server may be back counts against the next one. The time of day of
// either machine must not matter.
//
// The start of a request was once compared with the time of day at which the other node had seen
// the end. With the finder's clock 0.3 to 5 s behind, one crash counted twice; with it 5 s ahead,
// the end of the next incarnation did not count.
func TestIncarnationsAreDistinguishedDespiteClockOffsets(t *testing.T) {
	cases := []struct {
		name string
		// delay is how long after the first end the next request began.
		delay time.Duration
		// onNext says that the request ran on the next incarnation.
		onNext bool
	}{
		{"right after the end", 0, false},
		{"after the server may have restarted", 3 * time.Second, true},
	}
	for _, c := range cases {
		for _, offset := range clockOffsets {
			for _, corrected := range []bool{false, true} {
				t.Run(fmt.Sprint(c.name, ", finder clock offset ", offset, ", clock corrected: ", corrected), func(t *testing.T) {
					withSharedStore(t, func(t *testing.T, log *storetest.Memory, newNode func() *testNode) {
						finder, other := newNode(), newNode()
						finder.clockOffset.Store(int64(offset))
						server := finder.put(1)
						other.put(1)
						finder.RecordBreak(fingerprintNamed("first"), server, InFlightRequest{SentAt: clock.Now()})
						time.Sleep(probeTime)
						if corrected {
							finder.clockOffset.Store(0)
						}
						time.Sleep(c.delay)
						other.RecordBreak(fingerprintNamed("second"), server, InFlightRequest{SentAt: clock.Now()})
						time.Sleep(probeTime)
						for number, node := range []*testNode{finder, other} {
							if onNext := endedIncarnation(node, "second") != server.Incarnation(); onNext != c.onNext {
								t.Errorf("node %d: second end counts against the next incarnation: %v", number, onNext)
							}
						}
					})
				})
			}
		}
	}
}

// endedIncarnation returns the incarnation that, as far as the node knows, ended under a request.
func endedIncarnation(node *testNode, name string) directory.Incarnation {
	for _, known := range node.Cases() {
		if known.Fingerprint == fingerprintNamed(name) {
			return known.Ends[0].Server
		}
	}
	return directory.Incarnation{}
}

// A crash that several nodes see counts once, even if none of them has listed the incarnation that
// crashed.
//
// The next incarnation was once named by the time of day of the node that had seen the previous
// end, so that a crash seen by two nodes counted twice.
func TestNextIncarnationIsNamedEquallyByAllNodes(t *testing.T) {
	for _, offset := range clockOffsets {
		t.Run(fmt.Sprint("clock offset ", offset), func(t *testing.T) {
			withSharedStore(t, func(t *testing.T, log *storetest.Memory, newNode func() *testNode) {
				first, second := newNode(), newNode()
				second.clockOffset.Store(int64(offset))
				server := first.put(1)
				second.put(1)
				for crash := range 3 {
					for _, node := range []*testNode{first, second} {
						node.RecordBreak(fingerprintNamed("d"), server, InFlightRequest{SentAt: clock.Now()})
						time.Sleep(time.Millisecond)
					}
					time.Sleep(3 * time.Second)
					for number, node := range []*testNode{first, second} {
						if got := node.Suspicion(fingerprintNamed("d")); got.Ends != crash+1 {
							t.Errorf("node %d: %d ends after %d crashes", number, got.Ends, crash+1)
						}
					}
				}
			})
		})
	}
}

// A hold lasts for a fixed time after the last end, whatever the clock of the node that found the
// end. A step of any node's time of day neither ends nor extends it.
//
// The age of an end was once the difference of two machines' times of day: if the finder's clock
// was an hour behind, all nodes forgot its ends at once.
func TestHoldDurationIsIndependentOfClockOffsets(t *testing.T) {
	const hold = 10 * time.Minute
	for _, offset := range clockOffsets {
		t.Run(fmt.Sprint("finder clock offset ", offset), func(t *testing.T) {
			withSharedStore(t, func(t *testing.T, log *storetest.Memory, newNode func() *testNode) {
				finder, other := newNode(), newNode()
				finder.clockOffset.Store(int64(offset))
				for number := range 3 {
					finder.RecordBreak(fingerprintNamed("d"), finder.put(number), InFlightRequest{SentAt: clock.Now()})
					time.Sleep(probeTime)
				}
				finder.clockOffset.Store(0)
				other.clockOffset.Store(int64(offset))
				wait := hold - 2*time.Second
				time.Sleep(wait)
				for number, node := range []*testNode{finder, other} {
					if !node.Suspicion(fingerprintNamed("d")).Held {
						t.Errorf("node %d does not hold the request after %v", number, wait)
					}
					if left := clock.Until(node.HoldExpiry(fingerprintNamed("d"))); left <= 0 || left > hold-wait {
						t.Errorf("node %d: hold expires in %v", number, left)
					}
				}
				time.Sleep(hold - wait + 2*time.Second)
				for number, node := range []*testNode{finder, other} {
					if node.Suspicion(fingerprintNamed("d")).Held {
						t.Errorf("node %d still holds the request", number)
					}
				}
				if kept, _, err := log.Newest(t.Context(), store.TopicQuarantine); err != nil || len(kept) > 0 {
					t.Errorf("%d records in the store, %v", len(kept), err)
				}
			})
		})
	}
}

// An end that is reported late, after a store outage, keeps its age: a request that ran on the next
// incarnation in the meantime counts against that one.
func TestLateReportedEndKeepsItsAge(t *testing.T) {
	withSharedStore(t, func(t *testing.T, log *storetest.Memory, newNode func() *testNode) {
		finder, other := newNode(), newNode()
		server := finder.put(1)
		other.put(1)
		time.Sleep(probeTime)
		log.SetFault(storetest.FaultRefuse)
		finder.RecordBreak(fingerprintNamed("first"), server, InFlightRequest{SentAt: clock.Now()})
		time.Sleep(3 * time.Second)
		began := clock.Now()
		time.Sleep(time.Second)
		log.SetFault(storetest.FaultNone)
		time.Sleep(time.Second)
		other.RecordBreak(fingerprintNamed("second"), server, InFlightRequest{SentAt: began})
		time.Sleep(probeTime)
		if endedIncarnation(other, "first") != server.Incarnation() || endedIncarnation(other, "second") == server.Incarnation() {
			t.Errorf("ends at %+v and %+v", endedIncarnation(other, "first"), endedIncarnation(other, "second"))
		}
	})
}

// A node that reloads all ends keeps the times it already knew.
func TestReloadKeepsAgesOfEnds(t *testing.T) {
	withSharedStore(t, func(t *testing.T, log *storetest.Memory, newNode func() *testNode) {
		finder, other := newNode(), newNode()
		for number := range 3 {
			finder.RecordBreak(fingerprintNamed("d"), finder.put(number), InFlightRequest{SentAt: clock.Now()})
			time.Sleep(probeTime)
		}
		before := other.HoldExpiry(fingerprintNamed("d"))
		time.Sleep(time.Minute)
		records, _, err := log.Newest(t.Context(), store.TopicQuarantine)
		if err != nil {
			t.Fatal(err)
		}
		other.replaceAll(records)
		if after := other.HoldExpiry(fingerprintNamed("d")); !after.Equal(before) {
			t.Errorf("hold expiry moved by %v", after.Sub(before))
		}
	})
}

// Cases reports times by the time of day of the node that is asked.
func TestCasesUseTimeOfDayOfQueriedNode(t *testing.T) {
	withSharedStore(t, func(t *testing.T, log *storetest.Memory, newNode func() *testNode) {
		finder, other := newNode(), newNode()
		other.clockOffset.Store(int64(time.Hour))
		ended := clock.TimeOfDay()
		finder.RecordBreak(fingerprintNamed("d"), finder.put(1), InFlightRequest{SentAt: clock.Now()})
		time.Sleep(time.Minute)
		for _, node := range []*testNode{finder, other} {
			shown := node.Cases()[0].Ends[0].At
			if late := shown.Sub(ended.Add(time.Duration(node.clockOffset.Load()))); late < 0 || late > time.Second {
				t.Errorf("end is reported %v late", late)
			}
		}
	})
}
