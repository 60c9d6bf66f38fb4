package reward

import (
	"fmt"
	"testing"
	"time"

	"dalehook/internal/routetable"
)

// fixture drives a queue with a simulated clock.
type fixture struct {
	t     *testing.T
	queue *Queue
	now   time.Time
	stale bool
	sends []Send
}

func newFixture(t *testing.T, change func(*routetable.Route)) *fixture {
	f := &fixture{t: t, queue: NewQueue(), now: time.Unix(1000, 0)}
	f.setRoute(change)
	f.queue.HandleSlots(map[string]int{"app": 24, "other": 4})
	return f
}

func (f *fixture) setRoute(change func(*routetable.Route)) {
	route := routetable.Route{
		Name: "score", Host: "h", Prefix: "/score/", Kind: routetable.KindSafe, MaxAttempts: 4,
		Targets: []routetable.Target{{Service: "app", Weight: 1}},
	}
	if change != nil {
		change(&route)
	}
	f.queue.HandleTable(routetable.NewTable(1, []routetable.Route{route}, nil, routetable.Limits{}))
}

func (f *fixture) add(count int) {
	for i := range count {
		id := fmt.Sprint("i", f.queue.Len(), "-", i)
		f.queue.Add(f.now, Item{JobID: "j", ItemID: id}, &Call{ID: "r-" + id, Host: "h", Path: "/score/1?x=1"}, 0, f.now.Add(time.Minute))
	}
	f.next()
}

func (f *fixture) next() {
	f.sends = append(f.sends, f.queue.Next(f.now, func(int) bool { return !f.stale })...)
}

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.next()
}

func (f *fixture) answer(number int, answer Answer) Verdict {
	_, verdict := f.queue.HandleAnswer(f.now, f.sends[number].ID, answer)
	f.next()
	return verdict
}

func TestCallIsRetriedUntilScored(t *testing.T) {
	f := newFixture(t, nil)
	f.add(1)
	if len(f.sends) != 1 || f.sends[0].Service != "app" || f.sends[0].Deadline != f.now.Add(sendTimeout) {
		t.Fatalf("sends %+v", f.sends)
	}
	for try := range 5 {
		if verdict := f.answer(try, Answer{}); verdict != VerdictRetry {
			t.Fatalf("verdict %v for an answer without score or failure", verdict)
		}
		if len(f.sends) != try+1 {
			t.Fatal("sent again without a backoff")
		}
		f.advance(maxBackoff)
	}
	if verdict := f.answer(5, Answer{Score: "s", Failures: 1}); verdict != VerdictScored {
		t.Errorf("verdict %v", verdict)
	}
	if f.queue.Len() != 0 {
		t.Error("a scored item is still queued")
	}
}

func TestCallIsDeadAfterMaxAttempts(t *testing.T) {
	f := newFixture(t, nil)
	f.add(1)
	if verdict := f.answer(0, Answer{Failures: 3}); verdict != VerdictRetry {
		t.Fatalf("verdict %v after 3 of 4 failures", verdict)
	}
	f.advance(initialBackoff)
	if verdict := f.answer(1, Answer{Failures: 1}); verdict != VerdictDead {
		t.Errorf("verdict %v after 4 of 4 failures", verdict)
	}
}

func TestCallsUseAShareOfTheSlots(t *testing.T) {
	f := newFixture(t, nil)
	f.add(250)
	answered, most := 0, 0
	for answered < len(f.sends) {
		most = max(most, len(f.sends)-answered)
		if verdict := f.answer(answered, Answer{Score: "s"}); verdict != VerdictScored {
			t.Fatal(verdict)
		}
		answered++
	}
	if answered != 250 || most != 12 {
		t.Errorf("%d calls sent, at most %d concurrently", answered, most)
	}
}

func TestCallWaitsForRoute(t *testing.T) {
	f := newFixture(t, func(r *routetable.Route) { r.Host = "elsewhere" })
	f.add(1)
	if len(f.sends) != 0 {
		t.Fatal("sent without a route")
	}
	f.setRoute(func(r *routetable.Route) { r.Kind = routetable.KindBatch })
	f.advance(time.Second)
	if len(f.sends) != 0 {
		t.Fatal("sent to a route of batch jobs")
	}
	f.setRoute(nil)
	f.advance(time.Second)
	if len(f.sends) != 1 {
		t.Error("not sent to the new route")
	}
}

func TestRouteChangeAppliesToNextSend(t *testing.T) {
	f := newFixture(t, nil)
	f.add(1)
	f.setRoute(func(r *routetable.Route) { r.Targets[0].Service = "other" })
	f.answer(0, Answer{})
	f.advance(initialBackoff)
	if len(f.sends) != 2 || f.sends[1].Service != "other" {
		t.Fatalf("sends %+v", f.sends)
	}
	// Both services must have their full capacity again.
	f.answer(1, Answer{Score: "s"})
	f.add(3)
	if got := len(f.sends); got != 4 {
		t.Errorf("%d sends, want 4: a service with 4 slots has capacity for 2", got)
	}
}

func TestNothingIsSentForStalePartition(t *testing.T) {
	f := newFixture(t, nil)
	f.stale = true
	f.add(1)
	if len(f.sends) != 0 {
		t.Fatal("sent on stale job data")
	}
	f.stale = false
	f.next()
	if len(f.sends) != 1 {
		t.Error("not sent after the partition was read again")
	}
}

func TestRemovedCallIsNotSentAgain(t *testing.T) {
	f := newFixture(t, nil)
	f.add(13)
	if len(f.sends) != 12 {
		t.Fatalf("%d sends", len(f.sends))
	}
	if id := f.queue.Remove(f.sends[0].Item); id != f.sends[0].ID {
		t.Errorf("Remove returned send %v", id)
	}
	if verdict := f.answer(0, Answer{Score: "late"}); verdict != VerdictNone {
		t.Errorf("verdict %v for an answer after the removal", verdict)
	}
	if len(f.sends) != 13 {
		t.Error("the capacity of a removed call was not reused")
	}
	waiting := Item{JobID: "j", ItemID: "waiting"}
	f.queue.Add(f.now, waiting, &Call{ID: "w", Host: "h", Path: "/score/1"}, 0, time.Time{})
	if id := f.queue.Remove(waiting); id != 0 {
		t.Errorf("Remove returned send %v for a waiting call", id)
	}
	f.answer(1, Answer{Score: "s"})
	for _, send := range f.sends {
		if send.Item == waiting {
			t.Error("a removed call was sent")
		}
	}
	if verdict := f.answer(1, Answer{Score: "again"}); verdict != VerdictNone {
		t.Errorf("verdict %v for a second answer", verdict)
	}
}

func TestDeadlinesAreBounded(t *testing.T) {
	f := newFixture(t, func(r *routetable.Route) { r.Timeout = 300 * time.Millisecond })
	f.add(1)
	if got := f.sends[0].Deadline.Sub(f.now); got != 300*time.Millisecond {
		t.Errorf("deadline %v from now", got)
	}
	f.queue.Add(f.now, Item{ItemID: "old"}, &Call{ID: "o", Host: "h", Path: "/score/1"}, 0, f.now.Add(time.Millisecond))
	f.advance(time.Second)
	if len(f.sends) != 1 {
		t.Error("a call was sent after its item expired")
	}
}

func TestCallEqual(t *testing.T) {
	call := Call{ID: "r", Host: "h", Path: "/p", Body: []byte("b")}
	cases := []struct {
		name  string
		other *Call
		want  bool
	}{
		{"the same", &Call{ID: "r", Host: "h", Path: "/p", Body: []byte("b")}, true},
		{"another id", &Call{ID: "s", Host: "h", Path: "/p", Body: []byte("b")}, false},
		{"another body", &Call{ID: "r", Host: "h", Path: "/p"}, false},
		{"none", nil, false},
	}
	for _, c := range cases {
		if got := call.Equal(c.other); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
