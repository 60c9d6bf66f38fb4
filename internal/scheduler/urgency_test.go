package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/batch"
	"dalehook/internal/routetable"
)

const (
	testDeadline = 10 * time.Second
	// testGap is the time between events of the engines of urgencyFixture, in seconds.
	testGap = 0.1
	// testTokens are the tokens of an event on the route of urgencyFixture.
	testTokens = 10
)

// urgencyFixture is a fixture with a route that has a result deadline, and with known lengths and gaps.
type urgencyFixture struct{ *fixture }

func newUrgencyFixture(t *testing.T, slots int) urgencyFixture {
	f := urgencyFixture{newFixture(t, func(route *routetable.Route) { route.ResultDeadline = testDeadline })}
	f.machine.options.StallTimeout = time.Hour // the runs of most tests produce no events
	f.list(slots)
	for range 200 {
		f.machine.lengths.Observe("r", 20*testTokens, 20)
	}
	return f
}

// list lists one engine with a number of slots.
func (f urgencyFixture) list(slots int) {
	f.servers(slots, map[string]int64{"a": 1})
	f.machine.engines["a"].gap, f.machine.engines["a"].gapSampledAt = testGap, f.now
}

// fill starts an item in each free slot of the engine, for a tenant.
func (f urgencyFixture) fill(tenant string, slots int) {
	var items []batch.Item
	for i := range slots {
		items = append(items, member(fmt.Sprint("fill", tenant, i), "fill", 1))
	}
	f.post(&batch.Job{ID: "fill" + tenant, Tenant: tenant, WantedGroups: 1, Items: items})
	f.starts = nil
}

// member returns an item with an estimate, in events.
func member(id, group string, events int) batch.Item {
	return batch.Item{ID: id, Path: "/p/x", Group: group, Expected: events * testTokens}
}

func (f urgencyFixture) post(job *batch.Job) {
	job.Host, job.Path, job.Model, job.MinVersion = "h", "/p/x", "m", 1
	if job.AcceptedAt == 0 {
		job.AcceptedAt = f.now.UnixMilli()
	}
	f.machine.HandleJob(f.now, 0, job, nil)
	f.take()
}

// open adds slots to the full engine and returns the items that start in them, in order.
func (f urgencyFixture) open(slots int) []string {
	f.starts = nil
	f.list(slots)
	return f.startedItems()
}

func (f urgencyFixture) wantStarts(what string, slots int, want ...string) {
	f.t.Helper()
	if diff := cmp.Diff(want, f.open(slots)); diff != "" {
		f.t.Errorf("%s: %s", what, diff)
	}
}

// Guards against a long item that waits until the earlier jobs are started whole: it ends last and
// decides when its job ends. Short items keep the order of arrival.
func TestItemWithLeastSlackStartsFirst(t *testing.T) {
	f := newUrgencyFixture(t, 1)
	f.fill("", 1)
	f.post(&batch.Job{ID: "j", WantedGroups: 1, Items: []batch.Item{member("j-short", "g", 10)}})
	f.advance(time.Second)
	f.post(&batch.Job{ID: "k", WantedGroups: 1, Items: []batch.Item{member("k-short", "g", 10), member("k-long", "g", 50)}})
	f.wantStarts("a long item one second later", 2, "k-long")
	if inputs := f.starts[0].Inputs; inputs.Slack != testDeadline-5*time.Second || !inputs.Needed || inputs.PredictedEvents != 50 {
		t.Errorf("inputs %+v", inputs)
	}
	f.wantStarts("short items", 4, "j-short", "k-short")
}

// Guards against spare groups that take slots from groups that another trainer waits for, and against
// slots that stay free because only spare groups wait.
func TestSpareGroupsWaitForNeededGroupsOfAllJobs(t *testing.T) {
	f := newUrgencyFixture(t, 1)
	f.fill("", 1)
	f.post(&batch.Job{ID: "j", WantedGroups: 1, Items: []batch.Item{
		member("j-spare", "a", 13), member("j-needed", "b", 10), member("j-spare2", "c", 14),
	}})
	f.advance(time.Second)
	f.post(&batch.Job{ID: "k", WantedGroups: 2, Items: []batch.Item{member("k-1", "a", 10), member("k-2", "b", 11), member("k-spare", "c", 12)}})
	f.wantStarts("needed items", 4, "j-needed", "k-2", "k-1")
	f.wantStarts("spare items", 7, "j-spare2", "j-spare", "k-spare")
}

// Guards against long items of spare groups that start so late that they decide when the next job ends,
// in which their group is needed.
func TestLongItemsOfSpareGroupsKeepTheirHeadStart(t *testing.T) {
	f := newUrgencyFixture(t, 1)
	f.fill("", 1)
	f.post(&batch.Job{ID: "j", WantedGroups: 1, Items: []batch.Item{
		member("j-1", "a", 10), member("j-2", "a", 10), member("j-spare", "b", 11), member("j-long", "b", 50),
	}})
	f.wantStarts("all items", 5, "j-long", "j-1", "j-2", "j-spare")
}

// Guards against resubmitted groups that count as spare because they have long items: their trainer
// waits for them.
func TestResubmittedGroupsAreNeeded(t *testing.T) {
	f := newUrgencyFixture(t, 1)
	f.fill("", 1)
	late := member("late", "a", 18)
	f.post(&batch.Job{ID: "j", WantedGroups: 1, Items: []batch.Item{late}})
	f.machine.HandleJobEnd(f.now, "j")
	f.post(&batch.Job{ID: "k", WantedGroups: 2, Items: []batch.Item{late, member("k-1", "b", 13), member("k-2", "c", 12), member("k-3", "d", 14)}})
	f.wantStarts("needed items", 3, "late", "k-2")
	f.wantStarts("spare items", 5, "k-3", "k-1")
}

// Guards against groups that trade places with each changed prediction, so that none becomes whole, and
// against a group that stays needed although its runs turn out to be much longer than others.
func TestStartedGroupStaysNeededUnlessClearlyLonger(t *testing.T) {
	for _, test := range []struct {
		name  string
		other int
		want  string
	}{{"a little longer", 12, "j-started2"}, {"clearly longer", 8, "j-other"}} {
		f := newUrgencyFixture(t, 1)
		f.post(&batch.Job{ID: "j", WantedGroups: 1, Items: []batch.Item{member("j-started", "a", 14), member("j-started2", "a", 13)}})
		// The other group is unknown until the first one has started.
		opened := f.machine.jobs["j"]
		other := member("j-other", "b", test.other)
		opened.addItem(&other)
		opened.formGroups([]batch.Item{other})
		waiting := opened.items["j-other"]
		waiting.service = "pool"
		opened.queue = append(opened.queue, waiting)
		f.advance(rankInterval)
		f.wantStarts(test.name, 2, test.want)
	}
}

// Guards against a tenant with many running items that keeps another from its share, and against shares
// that outweigh due times.
func TestTenantsWithAboutEqualSlackShareEngines(t *testing.T) {
	for _, test := range []struct {
		name    string
		weights map[string]float64
		later   time.Duration
		want    string
	}{
		{"the tenant with fewer running items", nil, 300 * time.Millisecond, "b"},
		{"the tenant with the higher weight", map[string]float64{"a": 4}, 300 * time.Millisecond, "a"},
		{"the earlier job by more than half a second", nil, 600 * time.Millisecond, "a"},
	} {
		f := newUrgencyFixture(t, 3)
		f.machine.options.TenantWeights = test.weights
		f.fill("a", 2)
		f.fill("b", 1)
		f.post(&batch.Job{ID: "ja", Tenant: "a", WantedGroups: 1, Items: []batch.Item{member("a", "g", 10)}})
		f.advance(test.later)
		f.post(&batch.Job{ID: "jb", Tenant: "b", WantedGroups: 1, Items: []batch.Item{member("b", "g", 10)}})
		f.wantStarts(test.name, 4, test.want)
	}
}

// Guards against a count of running items that drifts when runs end, move to another job, or outlive
// their job.
func TestRunningItemsOfTenantsAreCounted(t *testing.T) {
	f := newUrgencyFixture(t, 2)
	items := []batch.Item{member("i-1", "g", 10), member("i-2", "g", 10)}
	f.post(&batch.Job{ID: "j", Tenant: "a", WantedGroups: 1, Items: items})
	f.machine.HandleJobEnd(f.now, "j")
	f.post(&batch.Job{ID: "k", Tenant: "a", WantedGroups: 1, Items: items})
	if got := f.machine.runningByTenant["a"]; got != 2 {
		t.Errorf("%d running items after the job was resubmitted", got)
	}
	f.end(1, EndCompleted)
	f.machine.HandleJobEnd(f.now, "k")
	f.end(2, EndBroken)
	if len(f.machine.runningByTenant) != 0 {
		t.Errorf("running items %v after all runs have ended", f.machine.runningByTenant)
	}
}

// Guards against items of spare groups, or that were refused, that wait forever behind later jobs.
func TestOverdueItemsPrecedeLaterJobs(t *testing.T) {
	f := newUrgencyFixture(t, 1)
	f.fill("", 1)
	f.post(&batch.Job{ID: "j", WantedGroups: 1, Items: []batch.Item{
		member("j-needed", "a", 10), member("j-spare", "b", 11), member("j-refused", "a", 9),
	}})
	f.machine.jobs["j"].items["j-refused"].refusals = maxRefusalsInFront + 1
	f.advance(testDeadline - time.Second)
	f.post(&batch.Job{ID: "k", WantedGroups: 1, Items: []batch.Item{member("k-1", "a", 30), member("k-2", "a", 30), member("k-3", "a", 30)}})
	f.wantStarts("before the job is due", 3, "j-needed", "k-1")
	f.advance(time.Second)
	f.wantStarts("after the job was due", 6, "j-spare", "j-refused", "k-2")
}

// Guards against an item that no engine accepts and that takes each free slot because it has the least
// slack.
func TestRefusedItemDoesNotBlockItemsWithMoreSlack(t *testing.T) {
	f := newUrgencyFixture(t, 1)
	f.post(&batch.Job{ID: "j", WantedGroups: 1, Items: []batch.Item{member("j-refused", "a", 30)}})
	f.post(&batch.Job{ID: "k", WantedGroups: 1, Items: []batch.Item{member("k-1", "a", 10)}})
	for range 20 {
		last := f.starts[len(f.starts)-1]
		if last.Item.ID == "k-1" {
			return
		}
		f.end(last.Attempt, EndNotExecuted)
		f.advance(testTick)
	}
	t.Errorf("started items %v", f.startedItems())
}

// Guards against a free slot that stays free because the first item of a job waits for a faster engine.
func TestItemThatNoFreeEngineSuitsDoesNotBlockOthers(t *testing.T) {
	f := newUrgencyFixture(t, 1)
	f.servers(1, map[string]int64{"a": 1, "b": 1, "c": 1})
	for id, gap := range map[string]float64{"a": testGap, "b": testGap, "c": 5 * testGap} {
		f.machine.engines[id].gap, f.machine.engines[id].gapSampledAt = gap, f.now
	}
	f.fill("", 2)
	f.post(&batch.Job{ID: "j", WantedGroups: 1, Items: []batch.Item{member("j-1", "a", 40), member("j-2", "a", 10)}})
	if len(f.starts) != 0 {
		t.Fatalf("started items %v on a slow engine", f.startedItems())
	}
	f.advance(maxSlowEngineWait - testTick)
	f.machine.jobs["j"].items["j-1"].waitingSince = f.now // as after a run that broke
	f.advance(testTick)
	if diff := cmp.Diff([]string{"j-2"}, f.startedItems()); diff != "" {
		t.Error(diff)
	}
}

// Guards against another order of jobs without a due time or without wanted groups, also beside jobs
// that are ordered by slack.
func TestJobsWithoutDueTimeKeepOrderOfArrival(t *testing.T) {
	f := newUrgencyFixture(t, 1)
	f.fill("", 1)
	f.post(&batch.Job{ID: "j", Items: []batch.Item{member("j-1", "a", 10), member("j-2", "a", 12)}})
	f.post(&batch.Job{ID: "k", WantedGroups: 1, Items: []batch.Item{member("k-1", "a", 50)}})
	f.post(&batch.Job{ID: "l", Items: []batch.Item{member("l-1", "a", 70)}})
	f.wantStarts("all items", 5, "j-2", "j-1", "k-1", "l-1")
}

// Guards against summaries that do not show why a job is late.
func TestSummaryOfJobsShowsSlack(t *testing.T) {
	f := newUrgencyFixture(t, 1)
	f.post(&batch.Job{ID: "j", WantedGroups: 2, Items: []batch.Item{member("j-1", "a", 30), member("j-2", "b", 20), member("j-3", "c", 31)}})
	f.advance(time.Second)
	_, jobs := f.machine.Summary(f.now)
	want := JobSummary{
		ID: "j", Model: "m", Minimum: 1, Waiting: 2, Running: 1, Unfinished: 3, Total: 3,
		Due: f.now.Add(testDeadline - time.Second).UnixMilli(), Slack: 7000, NeededGroups: 2, RunningShare: 1,
	}
	if diff := cmp.Diff([]JobSummary{want}, jobs); diff != "" {
		t.Error(diff)
	}
}

// Guards against a group that keeps its place among the needed ones although it can't become whole: an
// item was given up.
func TestGroupsThatCanNotBecomeWholeAreSpare(t *testing.T) {
	f := newUrgencyFixture(t, 1)
	f.fill("", 1)
	f.post(&batch.Job{ID: "j", WantedGroups: 1, Items: []batch.Item{member("j-1", "a", 10), member("j-2", "a", 10), member("j-other", "b", 12)}})
	f.machine.HandleResult(f.now, &batch.Result{JobID: "j", ItemID: "j-1", Outcome: batch.OutcomeDead})
	f.advance(rankInterval)
	f.wantStarts("dead", 2, "j-other")
}

// Guards against a group that loses its place to a longer one because engines crashed under one of its items,
// however many: the item is as likely to be completed as any other.
func TestGroupKeepsItsPlaceWhenEnginesCrash(t *testing.T) {
	f := newUrgencyFixture(t, 1)
	versions := make(map[string]int64)
	for number := range 8 {
		versions[fmt.Sprint("e", number)] = 1
	}
	f.servers(1, versions)
	f.post(&batch.Job{ID: "j", WantedGroups: 1, Items: []batch.Item{member("j-1", "a", 10)}})
	for crash := range 6 {
		last := f.starts[len(f.starts)-1]
		if last.Item.ID != "j-1" {
			t.Fatalf("started items %v", f.startedItems())
		}
		f.end(last.Attempt, EndBroken)
		f.advance(rankInterval)
		if group := f.machine.jobs["j"].groups[0]; !group.needed {
			t.Errorf("the group is not needed after %d crashes", crash+1)
		}
	}
}

// Guards against steps that take long because many items of many jobs are compared with many engines that
// suit none of them.
func TestComparisonsOfItemsThatWaitForFasterEnginesAreBounded(t *testing.T) {
	const fast, slow, slots, jobs = 100, 300, 2, 20
	f := newUrgencyFixture(t, 1)
	versions := make(map[string]int64)
	for i := range fast {
		versions[fmt.Sprint("fast", i)] = 1
	}
	f.servers(slots, versions)
	f.fill("", fast*slots)
	for i := range slow {
		versions[fmt.Sprint("slow", i)] = 1
	}
	f.machine.options.FreshnessLimit = -time.Second // nothing starts until all jobs wait
	f.servers(slots, versions)
	for number := range jobs {
		job := &batch.Job{ID: fmt.Sprint("j", number), WantedGroups: 1}
		for i := range 2 * maxPassedOver {
			job.Items = append(job.Items, member(fmt.Sprint(job.ID, "-", i), "g", 50))
		}
		f.post(job)
	}
	engines := f.machine.sortedEngines()
	for _, eng := range engines {
		eng.gap, eng.gapSampledAt = testGap, f.now
		if len(eng.attempts) == 0 {
			eng.gap = 5 * testGap
		}
	}
	round := &startRound{engines: enginesThatTakeItems(f.now, engines), typicalGaps: typicalGapsOf(engines), reserved: make(map[string]bool)}
	f.machine.startInOrder(f.now, f.machine.sortedJobs(), round)
	if most := maxRated + (jobs+1)*len(round.engines); round.rated > most || round.rated < maxRated {
		t.Errorf("%d comparisons with %d of %d engines, want %d to %d", round.rated, len(round.engines), len(engines), maxRated, most)
	}
}
