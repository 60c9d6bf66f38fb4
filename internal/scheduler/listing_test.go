package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/batch"
)

func (f *fixture) wantListed(when string, items ...string) {
	f.t.Helper()
	var listed []string
	for _, result := range f.results {
		listed = append(listed, result.ItemID)
	}
	if diff := cmp.Diff(items, listed); diff != "" {
		f.t.Errorf("%s: %s", when, diff)
	}
}

// complete ends the run of an item.
func (f *fixture) complete(item string) {
	f.t.Helper()
	for _, start := range f.starts {
		if start.Item.ID == item {
			f.event(start.Attempt, "1", 1)
			f.end(start.Attempt, EndCompleted)
			return
		}
	}
	f.t.Fatalf("%s was not started", item)
}

func TestResultsOfAJobAreListedInIntervals(t *testing.T) {
	f := newFixture(t, nil)
	f.servers(8, map[string]int64{"a": 1})
	f.job("j", 1, 9, 8, 7, 6)
	f.job("k", 1, 9)
	f.complete("j-0")
	f.wantListed("the first of a job", "j-0")
	f.complete("j-1")
	f.complete("j-2")
	f.complete("k-0")
	f.wantListed("another job's", "j-0", "k-0")
	f.pass(DefaultListInterval - time.Millisecond)
	f.wantListed("the interval lasts", "j-0", "k-0")
	f.pass(time.Millisecond)
	f.wantListed("the interval is over", "j-0", "k-0", "j-1", "j-2")
	f.now = f.now.Add(DefaultListInterval)
	f.complete("j-3")
	f.wantListed("long after", "j-0", "k-0", "j-1", "j-2", "j-3")
}

// What waits for its listing is listed by a process that leaves or yields.
func TestAProcessThatEndsListsWhatIsReady(t *testing.T) {
	for name, leave := range map[string]func(*Machine, time.Time){"giving up": (*Machine).Resign, "handing over": (*Machine).SaveCheckpoints} {
		f := newFixture(t, nil)
		f.servers(8, map[string]int64{"a": 1})
		f.job("j", 1, 9, 8)
		f.complete("j-0")
		f.complete("j-1")
		f.wantListed(name, "j-0")
		leave(f.machine, f.now)
		f.take()
		f.wantListed(name, "j-0", "j-1")
	}
}

// An item that is given up with its job's time is listed with the others.
func TestItemsThatAreGivenUpAreListed(t *testing.T) {
	f := newFixture(t, nil)
	f.servers(1, map[string]int64{"a": 1})
	f.job("j", 1, 9, 8, 7)
	f.complete("j-0")
	f.now = f.now.Add(41 * time.Second)
	f.machine.Tick(f.now)
	f.take()
	f.wantListed("given up", "j-0", "j-1", "j-2")
}

// The results that a trainer waits for are listed as soon as they are all there.
func TestWantedGroupsAreListedAtOnce(t *testing.T) {
	f := newFixture(t, nil)
	f.servers(8, map[string]int64{"a": 1})
	job := &batch.Job{ID: "j", Host: "h", Path: "/p/j", Model: "m", MinVersion: 1, WantedGroups: 2}
	for _, name := range []string{"g/0", "g/1", "h/0", "k/0", "l/0"} {
		group, _, _ := strings.Cut(name, "/")
		job.Items = append(job.Items, batch.Item{ID: name, Path: "/p/x", Group: group})
	}
	f.machine.HandleJob(f.now, 0, job, nil)
	f.take()
	f.complete("g/0")
	f.wantListed("the first", "g/0")
	f.complete("k/0")
	f.wantListed("one whole group", "g/0")
	f.machine.HandleListed(f.now, &batch.Result{JobID: "j", ItemID: "h/0"})
	f.take()
	f.wantListed("a predecessor listed the second", "g/0")
	f.pass(time.Millisecond)
	f.wantListed("at the next tick", "g/0", "k/0")
	f.complete("l/0")
	f.wantListed("beyond the wanted ones", "g/0", "k/0")
}
