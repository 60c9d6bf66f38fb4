package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	"dalehook/internal/reward"
	"dalehook/internal/routetable"
)

// rewardFixture is a fixture whose items need scores.
type rewardFixture struct {
	*fixture
	rewards   []reward.Send
	withdrawn []reward.SendID
}

func newRewardFixture(t *testing.T) *rewardFixture {
	f := &rewardFixture{fixture: newFixture(t, nil)}
	f.setRoutes()
	f.servers()
	return f
}

func (f *rewardFixture) setRoutes() {
	routes := []routetable.Route{
		{Name: "r", Host: "h", Prefix: "/p/", Kind: routetable.KindBatch, MaxAttempts: 3, ItemLifetime: 40 * time.Second,
			Targets: []routetable.Target{{Service: "pool", Weight: 1}}},
		{Name: "score", Host: "h", Prefix: "/score/", MaxAttempts: 2, Targets: []routetable.Target{{Service: "app", Weight: 1}}},
	}
	services := []routetable.Service{{Name: "pool", Models: []string{"m"}}, {Name: "app"}}
	f.machine.HandleTable(f.now, routetable.NewTable(2, routes, services, routetable.Limits{}))
	f.take()
}

func (f *rewardFixture) servers() {
	f.machine.HandleServers(f.now, []*directory.Server{
		{ID: "a", Service: "pool", Address: "a:1", Slots: 4, Versions: map[string]int64{"m": 1}},
		{ID: "x", Service: "app", Address: "x:1", Slots: 6},
	})
	f.take()
}

func (f *rewardFixture) take() {
	output := f.machine.TakeOutput()
	f.starts = append(f.starts, output.Starts...)
	f.results = append(f.results, output.Results...)
	f.progress = append(f.progress, output.Progress...)
	f.rewards = append(f.rewards, output.Rewards...)
	f.withdrawn = append(f.withdrawn, output.WithdrawnRewards...)
}

// submit submits a job whose reward call IDs start with the prefix calls.
func (f *rewardFixture) submit(id string, items int, calls string) {
	job := &batch.Job{ID: id, Host: "h", Path: "/p/" + id, Model: "m", MinVersion: 1}
	for i := range items {
		name := fmt.Sprint("item-", i)
		job.Items = append(job.Items, batch.Item{
			ID: name, Path: "/p/x", Group: "g", Reward: &reward.Call{ID: calls + name, Host: "h", Path: "/score/1"},
		})
	}
	f.machine.HandleJob(f.now, 0, job, nil)
	f.take()
}

func (f *rewardFixture) completeAttempt(attempt AttemptID) {
	f.machine.HandleEvent(f.now, attempt, Event{ID: "1", Data: "one", Version: 1})
	f.machine.HandleEvent(f.now, attempt, Event{ID: "2", Data: "two", Version: 1})
	f.machine.HandleAttemptEnd(f.now, attempt, EndCompleted)
	f.take()
}

func (f *rewardFixture) answer(number int, answer reward.Answer) {
	f.machine.HandleReward(f.now, f.rewards[number].ID, answer)
	f.take()
}

func TestResultWaitsForItsScore(t *testing.T) {
	f := newRewardFixture(t)
	f.submit("j", 1, "")
	f.machine.HandleEvent(f.now, 1, Event{ID: "1", Data: "one", Version: 1})
	f.take()
	if len(f.rewards) != 0 {
		t.Fatal("reward call sent before the last event")
	}
	f.machine.HandleAttemptEnd(f.now, 1, EndCompleted)
	f.take()
	if len(f.rewards) != 1 || f.rewards[0].Call.ID != "item-0" || len(f.results) != 0 {
		t.Fatalf("rewards %+v, results %+v", f.rewards, f.results)
	}
	f.answer(0, reward.Answer{Score: "good"})
	want := []batch.Result{{JobID: "j", ItemID: "item-0", Text: "one", Versions: []int64{1}, Score: "good"}}
	if diff := cmp.Diff(want, f.results); diff != "" {
		t.Error(diff)
	}
	f.answer(0, reward.Answer{Score: "doubled"})
	if len(f.results) != 1 {
		t.Errorf("results %+v", f.results)
	}
}

func TestBrokenRunGetsNoRewardCall(t *testing.T) {
	f := newRewardFixture(t)
	f.submit("j", 1, "")
	f.machine.HandleEvent(f.now, 1, Event{ID: "1", Data: "one", Version: 1})
	f.machine.HandleAttemptEnd(f.now, 1, EndBroken)
	f.advance(time.Second)
	if len(f.rewards) != 0 {
		t.Errorf("rewards %+v", f.rewards)
	}
}

func TestItemIsDeadAfterMaxRewardFailures(t *testing.T) {
	f := newRewardFixture(t)
	f.submit("j", 1, "")
	f.completeAttempt(1)
	f.answer(0, reward.Answer{Failures: 2})
	want := []batch.Result{{JobID: "j", ItemID: "item-0", Outcome: batch.OutcomeDead}}
	if diff := cmp.Diff(want, f.results); diff != "" {
		t.Error(diff)
	}
}

// The last checkpoint of a complete text is enough for a successor to make the reward call without
// running the item, even if earlier progress has been trimmed.
func TestSuccessorMakesRewardCallWithoutRerunningItem(t *testing.T) {
	f := newRewardFixture(t)
	f.submit("j", 1, "")
	f.completeAttempt(1)
	fold := batch.NewProgressFold()
	last := f.progress[len(f.progress)-1]
	record, err := batch.EncodeProgress(&last.Progress)
	if err != nil {
		t.Fatal(err)
	}
	if err := fold.Apply(record); err != nil {
		t.Fatal(err)
	}
	successor := newRewardFixture(t)
	successor.machine.HandleRecoveredProgress(successor.now, 0, fold.Partials())
	successor.submit("j", 1, "")
	if len(successor.starts) != 0 || len(successor.rewards) != 1 || len(successor.results) != 0 {
		t.Fatalf("starts %+v, rewards %+v", successor.starts, successor.rewards)
	}
	successor.answer(0, reward.Answer{Score: "good"})
	want := []batch.Result{{JobID: "j", ItemID: "item-0", Text: "one\ntwo", Versions: []int64{1}, Score: "good"}}
	if diff := cmp.Diff(want, successor.results); diff != "" {
		t.Error(diff)
	}
}

func TestUnscoredTextIsSavedAgainBeforeTrimming(t *testing.T) {
	f := newRewardFixture(t)
	f.submit("j", 1, "")
	f.completeAttempt(1)
	saved := len(f.progress)
	f.now = f.now.Add(checkpointInterval)
	f.machine.Tick(f.now)
	f.take()
	if len(f.progress) != saved+1 || !f.progress[saved].Whole || f.progress[saved].Text != "one\ntwo" {
		t.Errorf("progress %+v", f.progress[saved:])
	}
}

func TestNoRewardCallAfterJobEnd(t *testing.T) {
	f := newRewardFixture(t)
	f.submit("j", 4, "")
	for attempt := range AttemptID(4) {
		f.completeAttempt(attempt + 1)
	}
	if len(f.rewards) != 3 {
		t.Fatalf("%d reward calls sent to a service with capacity for 3", len(f.rewards))
	}
	f.machine.HandleJobEnd(f.now, "j")
	f.take()
	if len(f.withdrawn) != 3 {
		t.Errorf("withdrawn %v", f.withdrawn)
	}
	f.answer(0, reward.Answer{})
	f.advance(time.Second)
	if len(f.rewards) != 3 || len(f.results) != 0 {
		t.Errorf("%d reward calls, results %+v", len(f.rewards), f.results)
	}
}

// When an incomplete group is resubmitted, its complete texts are not generated again, and a score
// is reused only for the same reward call.
func TestResubmittedItemReusesScoreOnlyForTheSameCall(t *testing.T) {
	cases := []struct {
		name  string
		calls string
		// scored is set if the first job recorded the score.
		scored  bool
		rewards int
	}{
		{"the same call, scored", "", true, 0},
		{"the same call, not scored", "", false, 1},
		{"another call, scored", "new-", true, 1},
	}
	for _, c := range cases {
		f := newRewardFixture(t)
		f.submit("first", 2, "")
		f.completeAttempt(1)
		if c.scored {
			f.answer(0, reward.Answer{Score: "good"})
			f.machine.HandleResult(f.now, &f.results[0])
		}
		f.machine.HandleJobEnd(f.now, "first")
		f.take()
		starts, rewards := len(f.starts), len(f.rewards)
		f.submit("second", 1, c.calls)
		if len(f.starts) != starts {
			t.Errorf("%s: the item was run again", c.name)
		}
		if got := len(f.rewards) - rewards; got != c.rewards {
			t.Errorf("%s: %d reward calls", c.name, got)
			continue
		}
		want := "good"
		if c.rewards == 1 {
			want = "new score"
			f.answer(rewards, reward.Answer{Score: want})
		}
		if last := f.results[len(f.results)-1]; last.JobID != "second" || last.Score != want || last.Text != "one\ntwo" {
			t.Errorf("%s: result %+v", c.name, last)
		}
	}
}

func TestExpiredItemWithdrawsItsRewardCall(t *testing.T) {
	f := newRewardFixture(t)
	f.submit("j", 1, "")
	f.completeAttempt(1)
	f.now = f.now.Add(41 * time.Second)
	f.machine.Tick(f.now)
	f.take()
	if len(f.withdrawn) != 1 || len(f.results) != 1 || f.results[0].Outcome != batch.OutcomeDead {
		t.Fatalf("withdrawn %v, results %+v", f.withdrawn, f.results)
	}
	f.answer(0, reward.Answer{Score: "late"})
	if len(f.results) != 1 {
		t.Errorf("results %+v", f.results)
	}
}

// A coordinator that was paused does not know which jobs have ended meanwhile.
func TestNoRewardCallOnStalePartition(t *testing.T) {
	f := newRewardFixture(t)
	f.submit("j", 4, "")
	for attempt := range AttemptID(4) {
		f.completeAttempt(attempt + 1)
	}
	sent := len(f.rewards)
	f.now = f.now.Add(5 * time.Second)
	f.answer(0, reward.Answer{Score: "good"})
	f.answer(1, reward.Answer{})
	f.machine.Tick(f.now)
	f.take()
	if len(f.rewards) != sent {
		t.Errorf("%d calls sent on stale job data", len(f.rewards)-sent)
	}
	f.machine.HandlePartitionRead(f.now, 0, f.now)
	f.take()
	if len(f.rewards) == sent {
		t.Error("no call sent after the partition was read again")
	}
}

// A score is requested again if the coordinator was lost before its result was appended.
func TestScoreIsRequestedAgainWhenItsResultWasLost(t *testing.T) {
	f := newRewardFixture(t)
	f.submit("j", 1, "")
	f.completeAttempt(1)
	saved := f.progress[len(f.progress)-1].Progress
	f.answer(0, reward.Answer{Score: "lost"})
	if len(f.results) != 1 {
		t.Fatalf("results %+v", f.results)
	}
	successor := newRewardFixture(t)
	successor.machine.HandleRecoveredProgress(successor.now, 0, map[string]*batch.Partial{
		"item-0": {LastID: saved.LastID, Text: []string{saved.Text}, Versions: saved.Versions, Complete: saved.Whole},
	})
	successor.submit("j", 1, "")
	successor.answer(0, reward.Answer{Score: "again"})
	if len(successor.starts) != 0 || len(successor.results) != 1 || successor.results[0].Score != "again" {
		t.Errorf("starts %+v, results %+v", successor.starts, successor.results)
	}
}
