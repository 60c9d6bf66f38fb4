package reward

import (
	"fmt"
	"testing"
	"time"

	"dalehook/internal/routetable"
)

// fixture drives a queue on a clock of its own.
type fixture struct {
	t     *testing.T
	queue *Queue
	now   time.Time
	stale bool
	sends []Send
}

func newFixture(t *testing.T, change func(*routetable.Route)) *fixture {
	f := &fixture{t: t, queue: NewQueue(), now: time.Unix(1000, 0)}
	f.route(change)
	f.queue.HandleSlots(map[string]int{"app": 24, "other": 4})
	return f
}

func (f *fixture) route(change func(*routetable.Route)) {
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

func (f *fixture) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.next()
}

func (f *fixture) answer(number int, answer Answer) Verdict {
	_, verdict := f.queue.HandleAnswer(f.now, f.sends[number].ID, answer)
	f.next()
	return verdict
}

func TestACallIsMadeUntilItIsAnswered(t *testing.T) {
	f := newFixture(t, nil)
	f.add(1)
	if len(f.sends) != 1 || f.sends[0].Service != "app" || f.sends[0].Deadline != f.now.Add(sendTimeout) {
		t.Fatalf("sends %+v", f.sends)
	}
	for try := range 5 {
		if verdict := f.answer(try, Answer{}); verdict != VerdictRetry {
			t.Fatalf("an answer that was lost: %v", verdict)
		}
		if len(f.sends) != try+1 {
			t.Fatal("sent again without a pause")
		}
		f.pass(longestPause)
	}
	if verdict := f.answer(5, Answer{Score: "s", Failures: 1}); verdict != VerdictScored {
		t.Errorf("verdict %v", verdict)
	}
	if f.queue.Len() != 0 {
		t.Error("a scored item is still held")
	}
}

func TestACallThatFailsAsOftenAsItsRouteAllowsIsDead(t *testing.T) {
	f := newFixture(t, nil)
	f.add(1)
	if verdict := f.answer(0, Answer{Failures: 3}); verdict != VerdictRetry {
		t.Fatalf("after 3 of 4 failures: %v", verdict)
	}
	f.pass(firstPause)
	if verdict := f.answer(1, Answer{Failures: 1}); verdict != VerdictDead {
		t.Errorf("after 4 of 4 failures: %v", verdict)
	}
}

func TestCallsLeaveRoomForTheServicesOtherCallers(t *testing.T) {
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
		t.Errorf("%d calls sent, %d at once", answered, most)
	}
}

func TestACallWaitsForARoute(t *testing.T) {
	f := newFixture(t, func(r *routetable.Route) { r.Host = "elsewhere" })
	f.add(1)
	if len(f.sends) != 0 {
		t.Fatal("sent without a route")
	}
	f.route(func(r *routetable.Route) { r.Kind = routetable.KindBatch })
	f.pass(time.Second)
	if len(f.sends) != 0 {
		t.Fatal("sent to a route of batch jobs")
	}
	f.route(nil)
	f.pass(time.Second)
	if len(f.sends) != 1 {
		t.Error("not sent by the new route")
	}
}

func TestARouteThatMovesIsFollowedAtTheNextSend(t *testing.T) {
	f := newFixture(t, nil)
	f.add(1)
	f.route(func(r *routetable.Route) { r.Targets[0].Service = "other" })
	f.answer(0, Answer{})
	f.pass(firstPause)
	if len(f.sends) != 2 || f.sends[1].Service != "other" {
		t.Fatalf("sends %+v", f.sends)
	}
	// The room at both services is free once more.
	f.answer(1, Answer{Score: "s"})
	f.add(3)
	if got := len(f.sends); got != 4 {
		t.Errorf("%d sends: a service of 4 slots takes 2 at once", got)
	}
}

func TestNothingIsSentOnOldKnowledge(t *testing.T) {
	f := newFixture(t, nil)
	f.stale = true
	f.add(1)
	if len(f.sends) != 0 {
		t.Fatal("sent on old knowledge of the job")
	}
	f.stale = false
	f.next()
	if len(f.sends) != 1 {
		t.Error("not sent once the job is known again")
	}
}

func TestWhatIsRemovedIsNotSentAgain(t *testing.T) {
	f := newFixture(t, nil)
	f.add(13)
	if len(f.sends) != 12 {
		t.Fatalf("%d sends", len(f.sends))
	}
	if id := f.queue.Remove(f.sends[0].Item); id != f.sends[0].ID {
		t.Errorf("the send under way is %v", id)
	}
	if verdict := f.answer(0, Answer{Score: "late"}); verdict != VerdictNone {
		t.Errorf("an answer after the job's end: %v", verdict)
	}
	if len(f.sends) != 13 {
		t.Error("the place of a removed call was not given on")
	}
	waiting := Item{JobID: "j", ItemID: "waiting"}
	f.queue.Add(f.now, waiting, &Call{ID: "w", Host: "h", Path: "/score/1"}, 0, time.Time{})
	if id := f.queue.Remove(waiting); id != 0 {
		t.Errorf("a call that waits has the send %v", id)
	}
	f.answer(1, Answer{Score: "s"})
	for _, send := range f.sends {
		if send.Item == waiting {
			t.Error("a removed call was sent")
		}
	}
	if verdict := f.answer(1, Answer{Score: "again"}); verdict != VerdictNone {
		t.Errorf("a second answer: %v", verdict)
	}
}

func TestDeadlinesAreBounded(t *testing.T) {
	f := newFixture(t, func(r *routetable.Route) { r.Timeout = 300 * time.Millisecond })
	f.add(1)
	if got := f.sends[0].Deadline.Sub(f.now); got != 300*time.Millisecond {
		t.Errorf("the deadline is %v away", got)
	}
	f.queue.Add(f.now, Item{ItemID: "old"}, &Call{ID: "o", Host: "h", Path: "/score/1"}, 0, f.now.Add(time.Millisecond))
	f.pass(time.Second)
	if len(f.sends) != 1 {
		t.Error("a call was sent after its item may be given up")
	}
}

func TestEqual(t *testing.T) {
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
