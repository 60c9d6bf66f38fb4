package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/batch"
	"dalehook/internal/routetable"
)

// Guards against a due time that is far off because the clocks of machines differ or jump, and against
// jobs without a due time because a node of an earlier build accepted them.
func TestTimeOfAcceptanceIsChecked(t *testing.T) {
	for _, test := range []struct {
		name  string
		age   time.Duration
		given bool
		want  time.Duration
	}{
		{"two seconds ago", 2 * time.Second, true, -2 * time.Second},
		{"in the future", -time.Millisecond, true, 0},
		{"before the lifetime of items", 41 * time.Second, true, 0},
		{"by an earlier build", 0, false, 0},
	} {
		f := newUrgencyFixture(t, 1)
		job := &batch.Job{ID: "j", Host: "h", Path: "/p/x", Model: "m", WantedGroups: 1, Items: []batch.Item{member("i", "g", 10)}}
		if test.given {
			job.AcceptedAt = f.now.Add(-test.age).UnixMilli()
		}
		f.machine.HandleJob(f.now, 0, job, nil)
		if got := f.machine.jobs["j"].dueAt.Sub(f.now); got != testDeadline+test.want {
			t.Errorf("%s: due in %v", test.name, got)
		}
	}
}

// Guards against a due time that follows a job to the time at which a table with its route is read, or
// that a change of the route leaves as it was.
func TestDueTimeFollowsTheRoute(t *testing.T) {
	f := newFixture(t, nil)
	f.machine.HandleTable(f.now, table(2))
	accepted := f.now
	f.machine.HandleJob(f.now, 0, &batch.Job{ID: "j", Host: "h", Path: "/p/x", Model: "m", WantedGroups: 1, Items: []batch.Item{member("i", "g", 10)}}, nil)
	f.advance(time.Second)
	for version, deadline := range []time.Duration{testDeadline, 2 * testDeadline} {
		route := batchRoute()
		route.ResultDeadline = deadline
		f.machine.HandleTable(f.now, table(int64(version)+3, route))
		if got := f.machine.jobs["j"].dueAt.Sub(accepted); got != deadline {
			t.Errorf("due %v after the job was accepted, want %v", got, deadline)
		}
	}
}

// Guards against a successor that starts items in another order because it reads the partitions in
// another order.
func TestOrderDoesNotDependOnOrderOfReading(t *testing.T) {
	orderOf := func(sequence []int) []string {
		f := newUrgencyFixture(t, 1)
		f.fill("", 1)
		begin := f.now
		f.now = f.now.Add(3 * time.Second)
		for _, at := range sequence {
			id := fmt.Sprint("j", at)
			accepted := begin.Add(time.Duration(at/2) * 700 * time.Millisecond) // two jobs each at one time
			f.post(&batch.Job{ID: id, Tenant: fmt.Sprint(at % 3), AcceptedAt: accepted.UnixMilli(), WantedGroups: 1, Items: []batch.Item{
				member(id+"-1", "a", 10+3*at), member(id+"-2", "b", 40-4*at),
			}})
		}
		f.advance(5 * time.Second)
		started := append(f.open(6), "overdue")
		f.advance(testDeadline)
		return append(started, f.open(13)...)
	}
	want := orderOf([]int{0, 1, 2, 3, 4, 5})
	for _, sequence := range [][]int{{5, 4, 3, 2, 1, 0}, {3, 0, 5, 1, 4, 2}} {
		if diff := cmp.Diff(want, orderOf(sequence)); diff != "" {
			t.Errorf("read in order %v: %s", sequence, diff)
		}
	}
}

// Guards against a successor that predicts lengths as if no item had ended, and against items that
// count twice because a later job reuses their results.
func TestLengthsAreLearnedFromResultsInTheLog(t *testing.T) {
	results := func(job string) []batch.Result {
		var all []batch.Result
		for i := range 50 {
			all = append(all, batch.Result{JobID: job, ItemID: fmt.Sprint("i-", i), Text: "1\n2\n3\n4\n5\n6\n7\n8"})
		}
		return all
	}
	job := &batch.Job{ID: "j", Host: "h", Path: "/p/x", Model: "m", MinVersion: 1, WantedGroups: 1}
	for i := range 51 {
		job.Items = append(job.Items, member(fmt.Sprint("i-", i), "g", 2))
	}
	f := newFixture(t, func(route *routetable.Route) { route.ResultDeadline = testDeadline })
	f.machine.HandleJob(f.now, 0, job, results("j"))
	if got := f.machine.lengths.Remaining("r", 2*testTokens, 0); got < 7.9 || got > 8.1 {
		t.Errorf("%v events predicted after a takeover, want 8", got)
	}
	f.machine.HandleJobEnd(f.now, "j")
	again := *job
	again.ID = "k"
	f.machine.HandleJob(f.now, 0, &again, nil)
	for _, reused := range f.machine.jobs["k"].items {
		if reused.lengthObserved != (reused.source.ID != "i-50") {
			t.Errorf("item %s: length observed %v", reused.source.ID, reused.lengthObserved)
		}
	}
}

// Guards against an item whose recovered text counts as few events: saved progress holds several events
// in one string.
func TestRecoveredTextCountsItsEvents(t *testing.T) {
	f := newUrgencyFixture(t, 1)
	f.machine.HandleRecoveredProgress(f.now, 0, map[string]*batch.Partial{"i": {LastID: "8", Text: []string{"1\n2\n3\n4\n5", "6\n7\n8"}}})
	f.post(&batch.Job{ID: "j", WantedGroups: 1, Items: []batch.Item{member("i", "g", 20)}})
	if got := f.starts[0].Inputs.PredictedEvents; got != 12 {
		t.Errorf("%v events predicted after 8 of 20", got)
	}
	f.event(1, "9", 1)
	f.end(1, EndCompleted)
	if got := f.results[0].Text; got != "1\n2\n3\n4\n5\n6\n7\n8\ndata 9" {
		t.Errorf("text %q", got)
	}
}
