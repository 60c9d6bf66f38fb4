package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dalehook/internal/directory"
)

var start = time.Unix(1_800_000_000, 0)

func fingerprintNamed(name string) Fingerprint { return FingerprintOf(Identity{Target: name}) }

func incarnation(number int) directory.Incarnation {
	return directory.Incarnation{ID: "i", Born: int64(number)}
}

// newLedgerWith returns a ledger in which each entry lists the requests under which one server
// ended.
func newLedgerWith(ends ...[]string) *Ledger {
	l := NewLedger("n")
	for number, names := range ends {
		for _, name := range names {
			l.Add(End{Fingerprint: fingerprintNamed(name), Server: incarnation(number), At: start.Add(time.Duration(number) * time.Second)})
		}
	}
	return l
}

func TestCauseOfEndsIsHeld(t *testing.T) {
	cases := []struct {
		name string
		ends [][]string
		held map[string]bool
	}{
		{"two ends prove nothing", [][]string{{"d"}, {"d"}}, nil},
		{"three ends prove the cause", [][]string{{"d"}, {"d"}, {"d"}}, map[string]bool{"d": true}},
		{"requests implicated once are not held", [][]string{{"d", "a"}, {"d", "b"}, {"d", "c"}}, map[string]bool{"d": true}},
		{"a request implicated twice is not held", [][]string{{"d", "a"}, {"d", "a"}, {"d"}}, map[string]bool{"d": true}},
		{"two requests with equal ends are not held", [][]string{{"d", "a"}, {"d", "a"}, {"d", "a"}}, nil},
		{"one more end proves one of two", [][]string{{"d", "a"}, {"d", "a"}, {"d", "a"}, {"d"}}, map[string]bool{"d": true}},
		{"two causes are both held", [][]string{{"d"}, {"e"}, {"d", "e"}, {"d"}, {"e"}, {"e"}, {"d"}}, map[string]bool{"d": true, "e": true}},
		{"from five ends on, one exclusive end proves the cause", [][]string{{"d", "a"}, {"d", "a"}, {"d", "a"}, {"d", "a"}, {"d", "a"}, {"a"}}, map[string]bool{"a": true, "d": true}},
		{"two requests with five equal ends are delayed", [][]string{{"d", "a"}, {"d", "a"}, {"d", "a"}, {"d", "a"}, {"d", "a"}}, map[string]bool{"d": true, "a": true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLedgerWith(c.ends...)
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				if got := l.Suspicion(start, fingerprintNamed(name)); got.Held != c.held[name] {
					t.Errorf("%s: %+v", name, got)
				}
			}
		})
	}
}

// Two requests that always ended servers together get different delays, so that one of them runs
// without the other. Neither is proven.
func TestAmbiguousRequestsAreDelayed(t *testing.T) {
	l := newLedgerWith([]string{"d", "a"}, []string{"d", "a"}, []string{"d", "a"}, []string{"d", "a"}, []string{"d", "a"})
	last := start.Add(4 * time.Second)
	for _, name := range []string{"a", "d"} {
		expiry := l.HoldExpiry(fingerprintNamed(name))
		if wait := expiry.Sub(last); wait < ambiguousDelay/2 || wait > 5*ambiguousDelay/2 {
			t.Errorf("%s: delay %v", name, wait)
		}
		if suspicion := l.Suspicion(expiry.Add(-1), fingerprintNamed(name)); !suspicion.Held || suspicion.Proven {
			t.Errorf("%s before the delay ends: %+v", name, suspicion)
		}
		if suspicion := l.Suspicion(expiry, fingerprintNamed(name)); suspicion.Held {
			t.Errorf("%s after the delay: %+v", name, suspicion)
		}
	}
	if l.HoldExpiry(fingerprintNamed("a")).Equal(l.HoldExpiry(fingerprintNamed("d"))) {
		t.Error("both have the same delay")
	}
	l.Clear(fingerprintNamed("a"))
	if suspicion := l.Suspicion(start, fingerprintNamed("d")); !suspicion.Proven {
		t.Errorf("after a response to the other request: %+v", suspicion)
	}
}

// Of two causes that ended servers together, the confirmed one stays confirmed when the other ends
// servers alone, and the ends of that one alone count.
func TestConfirmationPersists(t *testing.T) {
	l := newLedgerWith([]string{"d", "e"}, []string{"d", "e"}, []string{"d", "e"}, []string{"d"})
	if !l.Suspicion(start, fingerprintNamed("d")).Proven || l.Suspicion(start, fingerprintNamed("e")).Proven {
		t.Fatal("not exactly the request with more ends is proven")
	}
	if !l.Confirm(fingerprintNamed("d")) || l.Confirm(fingerprintNamed("d")) {
		t.Error("Confirm did not return true exactly once")
	}
	l.Add(End{Fingerprint: fingerprintNamed("e"), Server: incarnation(10), At: start})
	for _, name := range []string{"d", "e"} {
		if suspicion := l.Suspicion(start, fingerprintNamed(name)); suspicion.Proven != (name == "d") {
			t.Errorf("%s after an exclusive end of e: %+v", name, suspicion)
		}
	}
	l.Add(End{Fingerprint: fingerprintNamed("e"), Server: incarnation(11), At: start})
	if suspicion := l.Suspicion(start, fingerprintNamed("e")); !suspicion.Proven {
		t.Errorf("e with five ends, two of them exclusive: %+v", suspicion)
	}
	l.Clear(fingerprintNamed("d"))
	if suspicion := l.Suspicion(start, fingerprintNamed("d")); suspicion != (Suspicion{}) || l.IsConfirmed(fingerprintNamed("d")) {
		t.Errorf("after a response: %+v", suspicion)
	}
}

// Nodes try an ambiguous request one after the other.
func TestDelayDiffersBetweenNodes(t *testing.T) {
	delays := make(map[time.Time]bool)
	for _, node := range []string{"n1", "n2", "n3"} {
		l := NewLedger(node)
		for number := range minEndsAmbiguous {
			for _, name := range []string{"a", "d"} {
				l.Add(End{Fingerprint: fingerprintNamed(name), Server: incarnation(number), At: start})
			}
		}
		delays[l.HoldExpiry(fingerprintNamed("d"))] = true
	}
	if len(delays) != 3 {
		t.Errorf("%d different delays at three nodes", len(delays))
	}
}

// A long request that produces events may meet several unrelated crashes.
func TestProgressedRequestIsHeldLater(t *testing.T) {
	l := NewLedger("n")
	for number := range minEndsProgressed {
		if suspicion := l.Suspicion(start, fingerprintNamed("d")); suspicion.Held {
			t.Errorf("held after %d ends", number)
		}
		l.Add(End{Fingerprint: fingerprintNamed("d"), Server: incarnation(number), At: start, Progressed: number == 1})
	}
	if suspicion := l.Suspicion(start, fingerprintNamed("d")); !suspicion.Proven {
		t.Errorf("%+v", suspicion)
	}
}

func TestClearRemovesSuspicion(t *testing.T) {
	l := newLedgerWith([]string{"d", "a"}, []string{"d", "a"}, []string{"d", "a"})
	if cleared := l.Clear(fingerprintNamed("a")); len(cleared) != 3 {
		t.Errorf("cleared %v", cleared)
	}
	if got := l.Suspicion(start, fingerprintNamed("a")); got != (Suspicion{}) {
		t.Errorf("after a response: %+v", got)
	}
	if !l.Suspicion(start, fingerprintNamed("d")).Held {
		t.Error("the remaining request is not held")
	}
}

func TestDuplicateEndIsIgnored(t *testing.T) {
	l := NewLedger("n")
	end := End{Fingerprint: fingerprintNamed("d"), Server: incarnation(1), At: start}
	if !l.Add(end) || l.Add(end) || l.Len() != 1 {
		t.Errorf("%d ends", l.Len())
	}
	again := end
	again.Server.Born++
	if !l.Add(again) || l.Suspicion(start, fingerprintNamed("d")).Ends != 2 {
		t.Error("the end of a later incarnation was not counted")
	}
	if !l.Remove(end.Fingerprint, end.Server) || l.Remove(end.Fingerprint, end.Server) {
		t.Error("Remove did not return true exactly once")
	}
}

func TestEndsExpire(t *testing.T) {
	l := newLedgerWith([]string{"d"}, []string{"d"}, []string{"d"})
	last := start.Add(2 * time.Second)
	if expired := l.Expire(last.Add(retention - 1)); len(expired) != 0 {
		t.Errorf("expired early: %v", expired)
	}
	if ends := l.HoldExpiry(fingerprintNamed("d")); !ends.Equal(last.Add(retention)) {
		t.Errorf("hold expires at %v", ends)
	}
	if expired := l.Expire(last.Add(retention)); len(expired) != 3 || l.Len() != 0 {
		t.Errorf("expired: %v", expired)
	}
}

// The size of the ledger is bounded, and proven requests are not evicted.
func TestLedgerSizeIsBounded(t *testing.T) {
	l := newLedgerWith([]string{"d"}, []string{"d"}, []string{"d"})
	for number := range 2 * maxEnds {
		l.Add(End{Fingerprint: fingerprintNamed(fmt.Sprint(number)), Server: incarnation(number), At: start.Add(time.Hour)})
	}
	if l.Len() > maxEnds {
		t.Errorf("%d ends", l.Len())
	}
	if !l.Suspicion(start, fingerprintNamed("d")).Held {
		t.Error("a held request was evicted")
	}
}

// fleet simulates servers that crash by themselves and under crashing requests, while harmless
// requests run: some always, some for long, some rarely.
type fleet struct {
	random   *rand.Rand
	ledger   *Ledger
	servers  [][]string
	crashes  int
	crashing map[string]int
}

// run starts a request on a random server, unless it is held; a crashing request crashes that
// server.
func (f *fleet) run(name string) {
	if f.ledger.Suspicion(start, fingerprintNamed(name)).Held {
		return
	}
	server := f.random.IntN(len(f.servers))
	f.servers[server] = append(f.servers[server], name)
	if _, crashing := f.crashing[name]; crashing {
		f.crashing[name]++
		f.crash(server)
	}
}

// crash ends a server with everything it runs.
func (f *fleet) crash(server int) {
	f.crashes++
	for _, name := range f.servers[server] {
		f.ledger.Add(End{Fingerprint: fingerprintNamed(name), Server: incarnation(f.crashes), At: start})
	}
	f.servers[server] = nil
}

// respond has a server answer the first of its requests.
func (f *fleet) respond(server int) {
	if len(f.servers[server]) > 0 {
		f.ledger.Clear(fingerprintNamed(f.servers[server][0]))
		f.servers[server] = f.servers[server][1:]
	}
}

// A harmless request is never held, although servers crash all the time and one harmless request is
// always in flight; each crashing request ends at most five servers.
func TestHarmlessRequestsAreNeverHeld(t *testing.T) {
	for seed := range uint64(100) {
		f := &fleet{
			random: rand.New(rand.NewPCG(seed, 1)), ledger: NewLedger("n"), servers: make([][]string, 8),
			crashing: map[string]int{"crashing 1": 0, "crashing 2": 0},
		}
		harmless := []string{"always", "often", "long 1", "long 2"}
		for number := range 2000 {
			f.run("always")
			if number%7 == 0 {
				f.run(harmless[f.random.IntN(len(harmless))])
			}
			if number%50 == 0 {
				f.run([]string{"crashing 1", "crashing 2"}[f.random.IntN(2)])
			}
			if number%60 == 0 {
				f.crash(f.random.IntN(len(f.servers)))
			}
			for range 2 {
				f.respond(f.random.IntN(len(f.servers)))
			}
			for _, name := range harmless {
				if f.ledger.Suspicion(start, fingerprintNamed(name)).Held {
					t.Fatalf("seed %d, step %d: %q is held", seed, number, name)
				}
			}
		}
		for name, ended := range f.crashing {
			if ended > minEndsAmbiguous {
				t.Errorf("seed %d: %q ended %d servers", seed, name, ended)
			}
		}
	}
}
