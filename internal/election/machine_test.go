package election

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dalehook/internal/fixedseed"
	"dalehook/internal/liveness"
)

var testTiming = Timing{TTL: 2 * time.Second, RenewInterval: 500 * time.Millisecond, SuspectAfter: 800 * time.Millisecond, SafetyMargin: 200 * time.Millisecond}

// testCluster is a simulated partition and the machines that read it, with a simulated clock.
type testCluster struct {
	now      time.Time
	log      [][]byte
	machines []*Machine
	// The position of each machine in the log is its own NextOffset.
}

func newTestCluster(count int) *testCluster {
	c := &testCluster{now: time.Unix(1000, 0)}
	for i := range count {
		c.machines = append(c.machines, NewMachine(c.now, fmt.Sprint("node-", i), fmt.Sprint("address-", i), testTiming))
	}
	return c
}

func (c *testCluster) read(m *Machine) {
	for m.NextOffset() < int64(len(c.log)) {
		if err := m.HandleRecord(c.now, m.NextOffset(), c.log[m.NextOffset()]); err != nil {
			panic(err)
		}
	}
}

// write performs a conditional append; its answer may be lost.
func (c *testCluster) write(m *Machine, lost bool) {
	pending := m.Tick(c.now)
	if pending == nil || pending.ExpectedEnd != int64(len(c.log)) {
		return
	}
	c.log = append(c.log, pending.Payload)
	if !lost {
		m.HandleAppended(c.now, c.now, pending, pending.ExpectedEnd)
	}
}

func (c *testCluster) step(m *Machine) {
	c.read(m)
	c.write(m, false)
}

func (c *testCluster) holders() []string {
	var holders []string
	for _, m := range c.machines {
		if _, held := m.Held(c.now); held {
			holders = append(holders, m.self)
		}
	}
	return holders
}

func TestOneNodeTakesLease(t *testing.T) {
	c := newTestCluster(3)
	for _, m := range c.machines {
		c.step(m)
	}
	for range 20 {
		c.now = c.now.Add(300 * time.Millisecond)
		for _, m := range c.machines {
			c.step(m)
		}
	}
	if got := c.holders(); len(got) != 1 || got[0] != "node-0" {
		t.Errorf("held by %v", got)
	}
	lease, _ := c.machines[0].Held(c.now)
	if lease.HasPredecessor {
		t.Error("the first lease is marked as having a predecessor")
	}
}

func TestExpiredHolderIsReplaced(t *testing.T) {
	c := newTestCluster(2)
	c.step(c.machines[0])
	c.step(c.machines[1])
	first, _ := c.machines[0].Held(c.now)
	c.now = c.now.Add(testTiming.TTL + time.Millisecond)
	c.step(c.machines[1])
	second, held := c.machines[1].Held(c.now)
	if !held || !second.HasPredecessor || second.Epoch <= first.Epoch {
		t.Fatalf("held %v, %+v after %+v", held, second, first)
	}
	// The paused holder resumes: it neither holds the lease nor can renew it.
	if _, held := c.machines[0].Held(c.now); held {
		t.Error("the paused holder still holds the lease")
	}
	before := len(c.log)
	c.write(c.machines[0], false)
	if len(c.log) != before {
		t.Error("the paused holder appended a record")
	}
	c.read(c.machines[0])
	if c.machines[0].State(c.now).Leading {
		t.Error("the paused holder still leads")
	}
}

func TestStoreOutageDoesNotCountAgainstHolder(t *testing.T) {
	c := newTestCluster(2)
	c.step(c.machines[0])
	c.step(c.machines[1])
	c.now = c.now.Add(10 * time.Second)
	c.machines[1].HandleReadFailure(c.now)
	c.now = c.now.Add(testTiming.TTL / 2)
	c.step(c.machines[1])
	if _, held := c.machines[1].Held(c.now); held {
		t.Error("the lease was claimed before its holder could renew")
	}
}

func TestClaimWithLostAnswerIsKept(t *testing.T) {
	c := newTestCluster(1)
	c.read(c.machines[0])
	c.write(c.machines[0], true)
	if _, held := c.machines[0].Held(c.now); held {
		t.Fatal("held without an answer")
	}
	c.step(c.machines[0])
	if _, held := c.machines[0].Held(c.now); !held {
		t.Error("the machine did not find its own claim in the log")
	}
}

func TestResigningHolderReleasesLease(t *testing.T) {
	c := newTestCluster(2)
	c.step(c.machines[0])
	c.machines[0].Resign()
	c.step(c.machines[0])
	c.step(c.machines[1])
	if got := c.holders(); len(got) != 1 || got[0] != "node-1" {
		t.Errorf("held by %v", got)
	}
	if lease, _ := c.machines[1].Held(c.now); lease.Contested {
		t.Error("a claim after a release is contested")
	}
}

func TestYoungestProcessClaimsAfterRelease(t *testing.T) {
	c := newTestCluster(2)
	c.step(c.machines[0])
	c.now = c.now.Add(30 * time.Second)
	young := NewMachine(c.now, "young", "", testTiming)
	c.machines = append(c.machines, young)
	c.step(c.machines[0])
	c.now = c.now.Add(time.Second)
	c.machines[0].Resign()
	c.step(c.machines[0])
	c.step(c.machines[1])
	if got := c.holders(); len(got) != 0 {
		t.Fatalf("an old process claimed immediately: %v", got)
	}
	c.step(young)
	if got := c.holders(); len(got) != 0 {
		t.Fatalf("claimed before its claim delay was over: %v", got)
	}
	c.now = c.now.Add(young.ClaimIn(c.now))
	c.step(c.machines[1])
	c.step(young)
	if got := c.holders(); len(got) != 1 || got[0] != "young" {
		t.Errorf("held by %v", got)
	}
}

func TestReplacedPredecessorDoesNotContestLease(t *testing.T) {
	c := newTestCluster(2)
	c.step(c.machines[0])
	c.step(c.machines[1])
	c.now = c.now.Add(testTiming.SuspectAfter + time.Millisecond)
	c.machines[1].HandleVerdict("node-0", liveness.Replaced)
	c.step(c.machines[1])
	if lease, held := c.machines[1].Held(c.now); !held || lease.Contested || !lease.HasPredecessor {
		t.Errorf("after a replaced predecessor: held %v, %+v", held, lease)
	}
}

func TestLaterProcessOfPredecessorResolvesContestedLease(t *testing.T) {
	c := newTestCluster(2)
	c.step(c.machines[0])
	c.step(c.machines[1])
	c.now = c.now.Add(testTiming.SuspectAfter + time.Millisecond)
	c.machines[1].HandleVerdict("node-0", liveness.Refused)
	c.step(c.machines[1])
	if lease, held := c.machines[1].Held(c.now); !held || !lease.Contested {
		t.Fatalf("held %v, %+v", held, lease)
	}
	predecessor, address, mayAct := c.machines[1].Predecessor()
	if predecessor != "node-0" || address != "address-0" || !mayAct {
		t.Fatalf("predecessor %q at %q, may act: %v", predecessor, address, mayAct)
	}
	c.machines[1].HandlePredecessorReplaced("node-7")
	if lease, _ := c.machines[1].Held(c.now); !lease.Contested {
		t.Fatal("contest resolved by a process that never held the lease")
	}
	c.machines[1].HandlePredecessorReplaced(predecessor)
	if lease, held := c.machines[1].Held(c.now); !held || lease.Contested || !lease.HasPredecessor {
		t.Errorf("held %v, %+v", held, lease)
	}
	if _, _, mayAct := c.machines[1].Predecessor(); mayAct {
		t.Error("a replaced predecessor is still considered able to act")
	}
}

func TestProcessWithClaimDelayClaimsLast(t *testing.T) {
	c := newTestCluster(1)
	slow := testTiming
	slow.ClaimDelay = 300 * time.Millisecond
	c.machines = append([]*Machine{NewMachine(c.now, "slow", "", slow)}, c.machines...)
	c.step(c.machines[0])
	if got := c.holders(); len(got) != 0 {
		t.Fatalf("claimed without its delay: %v", got)
	}
	if wait := c.machines[0].ClaimIn(c.now); wait != slow.ClaimDelay {
		t.Errorf("claims in %v", wait)
	}
	c.now = c.now.Add(slow.ClaimDelay)
	c.step(c.machines[0])
	if got := c.holders(); len(got) != 1 || got[0] != "slow" {
		t.Fatalf("the only process did not claim after its delay: %v", got)
	}
}

func TestEndedHolderIsReplacedImmediately(t *testing.T) {
	c := newTestCluster(2)
	c.step(c.machines[0])
	c.step(c.machines[1])
	if _, _, suspect := c.machines[1].Suspect(c.now); !suspect {
		t.Fatal("a holder without a renewal since the start is not suspect")
	}
	c.now = c.now.Add(testTiming.RenewInterval)
	c.step(c.machines[0])
	c.step(c.machines[1])
	if _, _, suspect := c.machines[1].Suspect(c.now); suspect {
		t.Fatal("a holder that has just renewed is suspect")
	}
	c.now = c.now.Add(testTiming.SuspectAfter + time.Millisecond)
	holder, address, suspect := c.machines[1].Suspect(c.now)
	if !suspect || holder != "node-0" || address != "address-0" {
		t.Fatalf("suspect: %v, %s at %s", suspect, holder, address)
	}
	c.machines[1].HandleVerdict(holder, liveness.Refused)
	c.step(c.machines[1])
	lease, held := c.machines[1].Held(c.now)
	if !held || !lease.HasPredecessor || !lease.Contested {
		t.Errorf("held %v, %+v", held, lease)
	}
}

func TestRenewalClearsSuspicion(t *testing.T) {
	c := newTestCluster(2)
	c.step(c.machines[0])
	c.step(c.machines[1])
	c.machines[1].HandleVerdict("node-0", liveness.Replaced)
	c.now = c.now.Add(testTiming.RenewInterval)
	c.step(c.machines[0])
	c.step(c.machines[1])
	if got := c.holders(); len(got) != 1 || got[0] != "node-0" {
		t.Errorf("held by %v", got)
	}
}

// A holder that runs but cannot reach the store yields: it stops acting on the lease, so its successor need
// not wait.
func TestYieldingHolderIsReplacedImmediately(t *testing.T) {
	c := newTestCluster(2)
	c.step(c.machines[0])
	c.step(c.machines[1])
	c.now = c.now.Add(testTiming.SuspectAfter + time.Millisecond)
	epoch := c.machines[1].Epoch()
	c.machines[0].NoteYielded(epoch)
	if state := c.machines[0].State(c.now); state.Held || state.Leading {
		t.Errorf("state of a holder that yielded: %+v", state)
	}
	c.machines[1].HandleVerdict("node-0", liveness.Yielded)
	c.step(c.machines[1])
	lease, held := c.machines[1].Held(c.now)
	if !held || lease.Contested || lease.HandoverFrom != (FormerLease{Address: "address-0", Epoch: epoch}) {
		t.Errorf("held %v, %+v", held, lease)
	}
	c.step(c.machines[0])
	if got := c.holders(); len(got) != 1 || got[0] != "node-1" {
		t.Errorf("held by %v", got)
	}
}

func TestYieldedLeaseIsReleasedIfUnclaimed(t *testing.T) {
	c := newTestCluster(2)
	c.step(c.machines[0])
	c.machines[0].NoteYielded(c.machines[0].Epoch())
	c.now = c.now.Add(testTiming.RenewInterval)
	c.step(c.machines[0])
	c.step(c.machines[1])
	c.now = c.now.Add(maxClaimDelay)
	c.step(c.machines[1])
	if got := c.holders(); len(got) != 1 || got[0] != "node-1" {
		t.Errorf("held by %v", got)
	}
}

func TestUnresponsiveHolderIsReplacedSooner(t *testing.T) {
	for _, verdicts := range [][]liveness.Verdict{
		{liveness.Unknown, liveness.Unknown},
		{liveness.Unknown},
		{liveness.Unknown, liveness.Alive, liveness.Unknown},
	} {
		c := newTestCluster(2)
		for _, m := range c.machines {
			m.timing.UnresponsiveTTL = time.Second
		}
		c.step(c.machines[0])
		c.step(c.machines[1])
		c.now = c.now.Add(time.Second + time.Millisecond)
		for _, verdict := range verdicts {
			c.machines[1].HandleVerdict("node-0", verdict)
		}
		c.step(c.machines[1])
		lease, held := c.machines[1].Held(c.now)
		if want := len(verdicts) == 2; held != want || held && !lease.Contested {
			t.Errorf("%v: held %v, %+v", verdicts, held, lease)
		}
	}
}

// Whatever is lost, paused or delayed, two nodes never hold the lease at the same time.
func TestLeaseHasAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(3)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m := c.machines[rapid.IntRange(0, 2).Draw(t, "machine")]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 2600).Draw(t, "ms")) * time.Millisecond)
			case 1:
				c.read(m)
			case 2:
				c.write(m, rapid.Bool().Draw(t, "lost"))
			case 3:
				c.step(m)
			case 4:
				m.HandleReadFailure(c.now)
			}
			if got := c.holders(); len(got) > 1 {
				t.Fatalf("held by %v", got)
			}
		}
	})
}

// A holder is established for processes that found it holding the lease and have read a renewal since; not
// for those that were there before it, nor if it may be gone.
func TestEstablishedHolder(t *testing.T) {
	c := newTestCluster(2)
	first, early := c.machines[0], c.machines[1]
	early.Suspect(c.now) // reads the empty log to its end
	c.step(first)
	late := NewMachine(c.now, "node-2", "address-2", testTiming)
	for _, m := range []*Machine{early, late} {
		c.read(m)
		m.Suspect(c.now)
		if m.State(c.now).Established {
			t.Errorf("%s considers the holder established without a renewal since it read the log", m.self)
		}
	}
	c.now = c.now.Add(testTiming.RenewInterval)
	c.step(first)
	c.read(early)
	c.read(late)
	if early.State(c.now).Established || !late.State(c.now).Established || first.State(c.now).Established {
		t.Errorf("established for the early process %v, the late one %v, the holder %v",
			early.State(c.now).Established, late.State(c.now).Established, first.State(c.now).Established)
	}
	late.HandleVerdict(first.self, liveness.Refused)
	if late.State(c.now).Established {
		t.Error("an ended holder is established")
	}
}
