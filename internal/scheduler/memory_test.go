package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// newMemoryFixture returns a fixture with engines of 4 slots whose memory holds 10,000 tokens, 100 of them
// in an event.
func newMemoryFixture(t *testing.T, engines ...string) *fixture {
	f := newFixture(t, func(route *routetable.Route) { route.Resumable = true })
	f.configureMemory(10_000)
	versions := make(map[string]int64)
	for _, id := range engines {
		versions[id] = 1
	}
	f.servers(4, versions)
	return f
}

func (f *fixture) configureMemory(tokens int) {
	service := routetable.Service{Name: "pool", Models: []string{"m"}, MemoryTokens: tokens, TokensPerEvent: 100}
	route := f.machine.table.Routes[0]
	f.machine.HandleTable(f.now, routetable.NewTable(2, []routetable.Route{route}, []routetable.Service{service}, routetable.Limits{}))
	f.take()
}

// submitLengths submits a job of items with a prompt of 500 tokens and estimates of the given numbers of
// events, all in one group.
func (f *fixture) submitLengths(id, group string, events ...int) {
	job := &batch.Job{ID: id, Host: "h", Path: "/p/" + id, Model: "m", MinVersion: 1}
	for i, expected := range events {
		job.Items = append(job.Items, batch.Item{
			ID: fmt.Sprintf("%s-%d", id, i), Path: "/p/x", Expected: 100 * expected, Prompt: 500, Group: group,
		})
	}
	f.machine.HandleJob(f.now, 0, job, nil)
	f.take()
}

// startsByEngine returns the started items of each engine.
func (f *fixture) startsByEngine() map[string][]string {
	started := make(map[string][]string)
	for _, start := range f.starts {
		started[start.Server.ID] = append(started[start.Server.ID], start.Item.ID)
	}
	return started
}

// Guards against an engine being filled beyond its memory while another has room.
func TestLongItemsShareNoMemoryWhileOthersHaveRoom(t *testing.T) {
	f := newMemoryFixture(t, "a", "b")
	f.submitLengths("j", "", 70, 70, 5, 5, 5, 5)
	for id, items := range f.startsByEngine() {
		if len(items) != 3 {
			t.Errorf("engine %s runs %v", id, items)
		}
	}
	for _, eng := range f.machine.sortedEngines() {
		if got := eng.memory.total(100); got > 10_000 {
			t.Errorf("engine %s is to hold %d tokens", eng.server.ID, got)
		}
	}
}

// Guards against memory that stays unused because runs may need it later, and against items that start
// without memory: if no engine has room until all its runs have ended, an item takes one that has room for
// it now, or waits.
func TestItemsWithoutRoomTakeWhatIsFreeNow(t *testing.T) {
	f := newMemoryFixture(t, "a")
	f.submitLengths("j", "", 60, 60, 60)
	if got := f.startedItems(); len(got) != 3 {
		t.Fatalf("started %v: prompts take 1,000 of 10,000 tokens", got)
	}
	for number := range 25 {
		for _, start := range f.starts {
			f.event(start.Attempt, fmt.Sprint(number), 1)
		}
	}
	f.submitLengths("k", "", 60)
	if len(f.starts) != 3 {
		t.Fatalf("started %v with 9,000 tokens in use", f.startedItems())
	}
	f.end(f.starts[0].Attempt, EndCompleted)
	f.advance(time.Millisecond)
	if len(f.starts) != 4 {
		t.Errorf("started %v with 6,000 tokens in use", f.startedItems())
	}
}

// Guards against an item that never starts, or starts beside others, because it alone fills the memory of an
// engine or exceeds it.
func TestItemThatFillsMemoryRunsAlone(t *testing.T) {
	for _, events := range []int{90, 200} {
		f := newMemoryFixture(t, "a", "b")
		f.submitLengths("j", "", events)
		f.submitLengths("k", "", 10, 10, 10, 10)
		started := f.startsByEngine()
		for id, items := range started {
			if items[0] == "j-0" && len(items) > 1 {
				t.Errorf("%d events: engine %s runs %v", events, id, items)
			}
		}
		if len(f.starts) != 5 {
			t.Errorf("%d events: started %v", events, f.startedItems())
		}
	}
}

// Guards against an item that waits for memory forever, because shorter ones take what becomes free.
func TestShortItemsDoNotTakeMemoryFromWaitingLongOne(t *testing.T) {
	f := newMemoryFixture(t, "a")
	f.submitLengths("i", "", 20, 20, 20)
	for number := range 15 {
		for _, start := range f.starts {
			f.event(start.Attempt, fmt.Sprint(number), 1)
		}
	}
	f.submitLengths("j", "", 90, 10, 10, 10)
	if got := f.startedItems(); len(got) != 4 || got[3] != "j-1" {
		t.Fatalf("started %v, want one short item beside the runs", got)
	}
	for number := range 2 {
		f.advance(maxMemoryWait / 2)
		for _, start := range f.starts {
			f.event(start.Attempt, fmt.Sprint(number), 1)
		}
	}
	f.end(f.starts[0].Attempt, EndCompleted)
	if got := f.startedItems(); len(got) != 4 {
		t.Fatalf("started %v while the long item waits for memory", got)
	}
	for _, start := range f.starts[1:] {
		f.end(start.Attempt, EndCompleted)
	}
	f.advance(time.Millisecond)
	if got := f.startedItems(); len(got) < 5 || got[4] != "j-0" {
		t.Errorf("started %v, want the long item on the empty engine", got)
	}
}

// Guards against memory use that does not follow the events of runs, or that keeps an estimate which the run
// has exceeded.
func TestMemoryFollowsRuns(t *testing.T) {
	f := newMemoryFixture(t, "a")
	eng := f.machine.engines["a"]
	f.submitLengths("j", "", 10)
	if got := eng.memory; got != (memoryUse{prompt: 500, expected: 10}) {
		t.Fatalf("memory %+v at the start", got)
	}
	for number := range 40 {
		f.event(1, fmt.Sprint(number), 1)
	}
	if got := eng.memory; got.prompt != 500 || got.events != 40 || got.expected < 10 {
		t.Errorf("memory %+v after 40 events of an item estimated at 10", got)
	}
	if got := f.machine.MemoryShare(); got != 0.45 {
		t.Errorf("share %v in use, want 0.45", got)
	}
	f.end(1, EndBroken)
	f.advance(DefaultEnginePause)
	if got := f.starts[1].Inputs; got.MemoryCapacity != 10_000 || got.MemoryInUse != 0 || got.PredictedEvents < 10 {
		t.Errorf("inputs %+v", got)
	}
	if got := eng.memory; got.prompt != 500 || got.events != 40 {
		t.Errorf("memory %+v of the resumed run", got)
	}
	f.end(2, EndCompleted)
	if got := eng.memory; got != (memoryUse{}) {
		t.Errorf("memory %+v without runs", got)
	}
}

// Guards against the memory of an engine's earlier runs counting after it has restarted.
func TestRestartedEngineHasEmptyMemory(t *testing.T) {
	f := newMemoryFixture(t)
	list := func(born int64) {
		f.machine.HandleServers(f.now, []*directory.Server{{
			ID: "a", Born: born, Service: "pool", Address: "a:1", Slots: 4, Versions: map[string]int64{"m": 1},
		}})
		f.take()
	}
	list(1)
	f.submitLengths("j", "", 80)
	list(2)
	if got := f.machine.engines["a"].memory; got != (memoryUse{}) {
		t.Errorf("memory %+v after a restart", got)
	}
	f.end(1, EndCancelled)
	if got := f.machine.engines["a"].memory; got != (memoryUse{prompt: 500, expected: 80}) {
		t.Errorf("memory %+v after the item's next start", got)
	}
}

// Guards against services of unknown memory that take fewer items than they have slots.
func TestUnknownMemoryIsNoLimit(t *testing.T) {
	f := newMemoryFixture(t, "a")
	f.configureMemory(0)
	f.submitLengths("j", "", 500, 500, 500, 500)
	if len(f.starts) != 4 || f.machine.MemoryShare() != 0 {
		t.Errorf("started %v, share %v", f.startedItems(), f.machine.MemoryShare())
	}
}

// Guards against saved texts that count as one event after a takeover: an element holds several events.
func TestSuccessorCountsEventsOfSavedTexts(t *testing.T) {
	f := newMemoryFixture(t)
	f.machine.HandleRecoveredProgress(f.now, 0, map[string]*batch.Partial{
		"j-0": {LastID: "7", Text: []string{"1\n2\n3\n4\n5", "6\n7"}, Versions: []int64{1}},
	})
	f.submitLengths("j", "", 10)
	f.servers(4, map[string]int64{"a": 1})
	if got := f.machine.engines["a"].memory.events; got != 7 {
		t.Errorf("%d events in memory, want 7", got)
	}
}

// Guards against the lengths of results that were taken over from an ended job counting twice, or as one
// event.
func TestReusedResultsAreObservedOnce(t *testing.T) {
	f := newMemoryFixture(t, "a")
	f.submitLengths("j", "g", 10, 10)
	for number := range 8 {
		f.event(1, fmt.Sprint(number), 1)
		f.event(2, fmt.Sprint(number), 1)
	}
	f.end(1, EndCompleted)
	f.machine.HandleJobEnd(f.now, "j")
	f.end(2, EndCompleted)
	f.submitLengths("k", "g", 10, 10)
	f.machine.HandleJob(f.now, 0, &batch.Job{ID: "l", Host: "h", Path: "/p/l", Model: "m", Items: []batch.Item{
		{ID: "j-0", Path: "/p/x", Expected: 1000, Group: "g"}, {ID: "j-1", Path: "/p/x", Expected: 1000, Group: "g"},
	}}, nil)
	f.take()
	if got := f.machine.lengths.Mean("r"); got != 8 || len(f.results) != 3 {
		t.Errorf("mean length %d, want 8; %d results", got, len(f.results))
	}
}

// Guards against a prompt being read again although an equal engine has read it for its group.
func TestItemsOfAGroupShareAnEngineThatReadTheirPrompt(t *testing.T) {
	f := newMemoryFixture(t, "a", "b", "c")
	f.submitLengths("j", "g", 10)
	f.submitLengths("k", "h", 10)
	f.end(1, EndCompleted)
	f.end(2, EndCompleted)
	for _, c := range []struct{ job, group, want string }{{"l", "h", "b"}, {"n", "g", "a"}} {
		f.submitLengths(c.job, c.group, 10)
		start := f.starts[len(f.starts)-1]
		if start.Server.ID != c.want {
			t.Errorf("group %s starts on %s, want %s", c.group, start.Server.ID, c.want)
		}
		f.end(start.Attempt, EndCompleted)
	}
}

// Guards against an overdue item that waits for memory longer than items of later jobs, which need less and
// take what becomes free. Other engines go on to take these items.
func TestItemsOfLaterJobsDoNotTakeMemoryFromOverdueOne(t *testing.T) {
	f := newMemoryFixture(t, "a", "b")
	f.machine.table.Routes[0].ResultDeadline = testDeadline
	f.configureMemory(10_000)
	f.machine.options.StallTimeout = time.Hour
	post := func(id string, lengths ...int) {
		job := &batch.Job{ID: id, Host: "h", Path: "/p/x", Model: "m", WantedGroups: 1}
		for i, length := range lengths {
			job.Items = append(job.Items, batch.Item{
				ID: fmt.Sprint(id, "-", i), Path: "/p/x", Expected: length * 100, Prompt: 500, Group: "g",
			})
		}
		f.machine.HandleJob(f.now, 0, job, nil)
		f.take()
	}
	post("i", 60, 60)
	for number := range 55 {
		for _, start := range f.starts {
			f.event(start.Attempt, fmt.Sprint(number), 1)
		}
	}
	post("j", 90)
	f.advance(testDeadline)
	post("k", 5, 5, 5, 5)
	if got := f.startedItems(); len(got) == 2 || slices.Contains(got, "j-0") {
		t.Fatalf("started %v, want short items on one of the engines", got)
	}
	engines := f.startsByEngine()
	for id, items := range engines {
		if len(items) == 1 {
			for _, start := range f.starts {
				if start.Server.ID == id {
					f.end(start.Attempt, EndCompleted)
				}
			}
			f.advance(time.Millisecond)
			if got := f.startsByEngine(); !slices.Contains(got[id], "j-0") {
				t.Errorf("engines run %v, want the overdue item on %s, which became free", got, id)
			}
			return
		}
	}
	t.Errorf("engines run %v: later items took the memory of both", engines)
}

// Guards against the length of a result counting again when the result is read from the log, and against
// results of a predecessor that do not count.
func TestResultsInTheLogAreObservedOnce(t *testing.T) {
	f := newMemoryFixture(t, "a")
	f.submitLengths("j", "", 10, 10, 10)
	for attempt, events := range map[AttemptID]int{1: 8, 2: 2} {
		for number := range events {
			f.event(attempt, fmt.Sprint(number), 1)
		}
		f.end(attempt, EndCompleted)
	}
	for _, result := range f.results {
		if result.ItemID == "j-0" {
			f.machine.HandleResult(f.now, &result)
		}
	}
	f.machine.HandleResult(f.now, &batch.Result{JobID: "j", ItemID: "j-2", Text: "1\n2\n3\n4\n5"})
	f.take()
	if got := f.machine.lengths.Mean("r"); got != 5 {
		t.Errorf("mean length %d of 8, 2 and 5, want 5", got)
	}
}
