package election

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dalehook/internal/fixedseed"
	"dalehook/internal/liveness"
)

var testTiming = Timing{TTL: 2 * time.Second, Renewal: 500 * time.Millisecond, Doubt: 800 * time.Millisecond, Margin: 200 * time.Millisecond}

// world is a partition and the machines that read it, on a clock of its own.
type world struct {
	now      time.Time
	log      [][]byte
	machines []*Machine
	// offsets of what each machine read is the machine's own End.
}

func newWorld(count int) *world {
	w := &world{now: time.Unix(1000, 0)}
	for i := range count {
		w.machines = append(w.machines, NewMachine(w.now, fmt.Sprint("node-", i), fmt.Sprint("address-", i), testTiming))
	}
	return w
}

func (w *world) read(m *Machine) {
	for m.End() < int64(len(w.log)) {
		if err := m.HandleRecord(w.now, m.End(), w.log[m.End()]); err != nil {
			panic(err)
		}
	}
}

// write carries out a conditional append; its answer may be lost.
func (w *world) write(m *Machine, lost bool) {
	wanted := m.Tick(w.now)
	if wanted == nil || wanted.End != int64(len(w.log)) {
		return
	}
	w.log = append(w.log, wanted.Payload)
	if !lost {
		m.HandleAppended(w.now, w.now, wanted, wanted.End)
	}
}

func (w *world) step(m *Machine) {
	w.read(m)
	w.write(m, false)
}

func (w *world) held() []string {
	var holders []string
	for _, m := range w.machines {
		if _, held := m.Held(w.now); held {
			holders = append(holders, m.self)
		}
	}
	return holders
}

func TestOneNodeTakesTheLease(t *testing.T) {
	w := newWorld(3)
	for _, m := range w.machines {
		w.step(m)
	}
	for range 20 {
		w.now = w.now.Add(300 * time.Millisecond)
		for _, m := range w.machines {
			w.step(m)
		}
	}
	if got := w.held(); len(got) != 1 || got[0] != "node-0" {
		t.Errorf("held by %v", got)
	}
	lease, _ := w.machines[0].Held(w.now)
	if lease.Succeeded {
		t.Error("the first lease has a predecessor")
	}
}

func TestASilentHolderIsSucceeded(t *testing.T) {
	w := newWorld(2)
	w.step(w.machines[0])
	w.step(w.machines[1])
	first, _ := w.machines[0].Held(w.now)
	w.now = w.now.Add(testTiming.TTL + time.Millisecond)
	w.step(w.machines[1])
	second, held := w.machines[1].Held(w.now)
	if !held || !second.Succeeded || second.Epoch <= first.Epoch {
		t.Fatalf("held %v, %+v after %+v", held, second, first)
	}
	// The paused holder wakes: it neither holds the lease nor can it renew.
	if _, held := w.machines[0].Held(w.now); held {
		t.Error("the paused holder still holds the lease")
	}
	before := len(w.log)
	w.write(w.machines[0], false)
	if len(w.log) != before {
		t.Error("the paused holder wrote")
	}
	w.read(w.machines[0])
	if w.machines[0].Standing(w.now).Leading {
		t.Error("the paused holder still leads")
	}
}

func TestTimeWithoutTheStoreDoesNotCount(t *testing.T) {
	w := newWorld(2)
	w.step(w.machines[0])
	w.step(w.machines[1])
	w.now = w.now.Add(10 * time.Second)
	w.machines[1].HandleReadFailure(w.now)
	w.now = w.now.Add(testTiming.TTL / 2)
	w.step(w.machines[1])
	if _, held := w.machines[1].Held(w.now); held {
		t.Error("the lease was claimed before its holder could renew")
	}
}

func TestAClaimWhoseAnswerIsLostIsKept(t *testing.T) {
	w := newWorld(1)
	w.read(w.machines[0])
	w.write(w.machines[0], true)
	if _, held := w.machines[0].Held(w.now); held {
		t.Fatal("held without an answer")
	}
	w.step(w.machines[0])
	if _, held := w.machines[0].Held(w.now); !held {
		t.Error("the own claim was not found")
	}
}

func TestALeavingHolderReleases(t *testing.T) {
	w := newWorld(2)
	w.step(w.machines[0])
	w.machines[0].Leave()
	w.step(w.machines[0])
	w.step(w.machines[1])
	if got := w.held(); len(got) != 1 || got[0] != "node-1" {
		t.Errorf("held by %v", got)
	}
	if lease, _ := w.machines[1].Held(w.now); lease.Contested {
		t.Error("a released lease is contested")
	}
}

func TestTheYoungestProcessFollowsARelease(t *testing.T) {
	w := newWorld(2)
	w.step(w.machines[0])
	w.now = w.now.Add(30 * time.Second)
	young := NewMachine(w.now, "young", "", testTiming)
	w.machines = append(w.machines, young)
	w.step(w.machines[0])
	w.now = w.now.Add(time.Second)
	w.machines[0].Leave()
	w.step(w.machines[0])
	w.step(w.machines[1])
	if got := w.held(); len(got) != 0 {
		t.Fatalf("an old process claimed at once: %v", got)
	}
	w.step(young)
	if got := w.held(); len(got) != 0 {
		t.Fatalf("claimed before its time: %v", got)
	}
	w.now = w.now.Add(young.ClaimIn(w.now))
	w.step(w.machines[1])
	w.step(young)
	if got := w.held(); len(got) != 1 || got[0] != "young" {
		t.Errorf("held by %v", got)
	}
}

func TestASuccessorKnowsWhetherItsPredecessorMayAct(t *testing.T) {
	w := newWorld(2)
	w.step(w.machines[0])
	w.step(w.machines[1])
	w.now = w.now.Add(testTiming.Doubt + time.Millisecond)
	w.machines[1].HandleVerdict("node-0", liveness.Replaced)
	w.step(w.machines[1])
	if lease, held := w.machines[1].Held(w.now); !held || lease.Contested || !lease.Succeeded {
		t.Errorf("after a process that was replaced: held %v, %+v", held, lease)
	}
}

func TestAContestedLeaseIsSettledByALaterProcessOfThePredecessor(t *testing.T) {
	w := newWorld(2)
	w.step(w.machines[0])
	w.step(w.machines[1])
	w.now = w.now.Add(testTiming.Doubt + time.Millisecond)
	w.machines[1].HandleVerdict("node-0", liveness.Refused)
	w.step(w.machines[1])
	if lease, held := w.machines[1].Held(w.now); !held || !lease.Contested {
		t.Fatalf("held %v, %+v", held, lease)
	}
	predecessor, address, mayAct := w.machines[1].Predecessor()
	if predecessor != "node-0" || address != "address-0" || !mayAct {
		t.Fatalf("predecessor %q at %q, may act: %v", predecessor, address, mayAct)
	}
	w.machines[1].HandlePredecessorReplaced("node-7")
	if lease, _ := w.machines[1].Held(w.now); !lease.Contested {
		t.Fatal("settled by a process that never held the lease")
	}
	w.machines[1].HandlePredecessorReplaced(predecessor)
	if lease, held := w.machines[1].Held(w.now); !held || lease.Contested || !lease.Succeeded {
		t.Errorf("held %v, %+v", held, lease)
	}
	if _, _, mayAct := w.machines[1].Predecessor(); mayAct {
		t.Error("a predecessor that was replaced may still act")
	}
}

func TestAProcessWithAHandicapClaimsLast(t *testing.T) {
	w := newWorld(1)
	slow := testTiming
	slow.Handicap = 300 * time.Millisecond
	w.machines = append([]*Machine{NewMachine(w.now, "slow", "", slow)}, w.machines...)
	w.step(w.machines[0])
	if got := w.held(); len(got) != 0 {
		t.Fatalf("claimed at once: %v", got)
	}
	if wait := w.machines[0].ClaimIn(w.now); wait != slow.Handicap {
		t.Errorf("claims in %v", wait)
	}
	w.now = w.now.Add(slow.Handicap)
	w.step(w.machines[0])
	if got := w.held(); len(got) != 1 || got[0] != "slow" {
		t.Fatalf("the only process does not claim: %v", got)
	}
}

func TestAHolderThatEndedIsSucceededAtOnce(t *testing.T) {
	w := newWorld(2)
	w.step(w.machines[0])
	w.step(w.machines[1])
	if _, _, doubtful := w.machines[1].Doubtful(w.now); !doubtful {
		t.Fatal("a holder that was not heard of since the start is not in doubt")
	}
	w.now = w.now.Add(testTiming.Renewal)
	w.step(w.machines[0])
	w.step(w.machines[1])
	if _, _, doubtful := w.machines[1].Doubtful(w.now); doubtful {
		t.Fatal("a holder that was just heard of is in doubt")
	}
	w.now = w.now.Add(testTiming.Doubt + time.Millisecond)
	holder, address, doubtful := w.machines[1].Doubtful(w.now)
	if !doubtful || holder != "node-0" || address != "address-0" {
		t.Fatalf("in doubt: %v, %s at %s", doubtful, holder, address)
	}
	w.machines[1].HandleVerdict(holder, liveness.Refused)
	w.step(w.machines[1])
	lease, held := w.machines[1].Held(w.now)
	if !held || !lease.Succeeded || !lease.Contested {
		t.Errorf("held %v, %+v", held, lease)
	}
}

func TestARenewalClearsTheDoubt(t *testing.T) {
	w := newWorld(2)
	w.step(w.machines[0])
	w.step(w.machines[1])
	w.machines[1].HandleVerdict("node-0", liveness.Replaced)
	w.now = w.now.Add(testTiming.Renewal)
	w.step(w.machines[0])
	w.step(w.machines[1])
	if got := w.held(); len(got) != 1 || got[0] != "node-0" {
		t.Errorf("held by %v", got)
	}
}

// A holder that runs but can not reach the store yields: it acts no more, and its successor
// need not wait.
func TestAHolderThatYieldsIsSucceededAtOnce(t *testing.T) {
	w := newWorld(2)
	w.step(w.machines[0])
	w.step(w.machines[1])
	w.now = w.now.Add(testTiming.Doubt + time.Millisecond)
	epoch := w.machines[1].Epoch()
	w.machines[0].GiveUp(epoch)
	if standing := w.machines[0].Standing(w.now); standing.Held || standing.Leading {
		t.Errorf("a holder that yielded stands %+v", standing)
	}
	w.machines[1].HandleVerdict("node-0", liveness.Yielded)
	w.step(w.machines[1])
	lease, held := w.machines[1].Held(w.now)
	if !held || lease.Contested || lease.Yielded != (Yielded{Address: "address-0", Epoch: epoch}) {
		t.Errorf("held %v, %+v", held, lease)
	}
	w.step(w.machines[0])
	if got := w.held(); len(got) != 1 || got[0] != "node-1" {
		t.Errorf("held by %v", got)
	}
}

func TestAHolderThatYieldedReleasesWhatNobodyClaims(t *testing.T) {
	w := newWorld(2)
	w.step(w.machines[0])
	w.machines[0].GiveUp(w.machines[0].Epoch())
	w.now = w.now.Add(testTiming.Renewal)
	w.step(w.machines[0])
	w.step(w.machines[1])
	w.now = w.now.Add(claimDelayMost)
	w.step(w.machines[1])
	if got := w.held(); len(got) != 1 || got[0] != "node-1" {
		t.Errorf("held by %v", got)
	}
}

func TestAHolderWhoseNodeDoesNotAnswerIsSucceededSooner(t *testing.T) {
	for _, verdicts := range [][]liveness.Verdict{
		{liveness.Unknown, liveness.Unknown},
		{liveness.Unknown},
		{liveness.Unknown, liveness.Alive, liveness.Unknown},
	} {
		w := newWorld(2)
		for _, m := range w.machines {
			m.timing.SilentTTL = time.Second
		}
		w.step(w.machines[0])
		w.step(w.machines[1])
		w.now = w.now.Add(time.Second + time.Millisecond)
		for _, verdict := range verdicts {
			w.machines[1].HandleVerdict("node-0", verdict)
		}
		w.step(w.machines[1])
		lease, held := w.machines[1].Held(w.now)
		if want := len(verdicts) == 2; held != want || held && !lease.Contested {
			t.Errorf("%v: held %v, %+v", verdicts, held, lease)
		}
	}
}

// Whatever is lost, paused or late, two nodes never hold the lease at once.
func TestTheLeaseHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m := w.machines[rapid.IntRange(0, 2).Draw(t, "machine")]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2600).Draw(t, "ms")) * time.Millisecond)
			case 1:
				w.read(m)
			case 2:
				w.write(m, rapid.Bool().Draw(t, "lost"))
			case 3:
				w.step(m)
			case 4:
				m.HandleReadFailure(w.now)
			}
			if got := w.held(); len(got) > 1 {
				t.Fatalf("held by %v", got)
			}
		}
	})
}

// A holder is established at processes that found it holding the lease and have heard of it since; not at
// those that it came after, nor where it may be gone.
func TestAnEstablishedHolder(t *testing.T) {
	w := newWorld(2)
	first, early := w.machines[0], w.machines[1]
	early.Doubtful(w.now) // it has read the empty log to its end
	w.step(first)
	late := NewMachine(w.now, "node-2", "address-2", testTiming)
	for _, m := range []*Machine{early, late} {
		w.read(m)
		m.Doubtful(w.now)
		if m.Standing(w.now).Established {
			t.Errorf("%s has not heard of the holder since it read the log", m.self)
		}
	}
	w.now = w.now.Add(testTiming.Renewal)
	w.step(first)
	w.read(early)
	w.read(late)
	if early.Standing(w.now).Established || !late.Standing(w.now).Established || first.Standing(w.now).Established {
		t.Errorf("established at the early one %v, the late one %v, the holder %v",
			early.Standing(w.now).Established, late.Standing(w.now).Established, first.Standing(w.now).Established)
	}
	late.HandleVerdict(first.self, liveness.Refused)
	if late.Standing(w.now).Established {
		t.Error("a holder that has ended is established")
	}
}
