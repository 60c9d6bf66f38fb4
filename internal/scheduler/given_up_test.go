package scheduler

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/reward"
	"dalehook/internal/routetable"
)

// resumedText runs the last started item at an engine that continues after the event it is asked for, up to event
// last, and returns the text of its result.
func (f *fixture) resumedText(last int) string {
	start := f.starts[len(f.starts)-1]
	first, _ := strconv.Atoi(start.After)
	for number := first + 1; number <= last; number++ {
		f.event(start.Attempt, strconv.Itoa(number), 1)
	}
	f.end(start.Attempt, EndCompleted)
	return f.results[len(f.results)-1].Text
}

// Guards against MIXED results of items that were given up (review/4): the end of the job voided the dead result, and
// the next job continued after the last event of a text that had been dropped.
func TestItemGivenUpAtTheEndOfItsJobKeepsItsWholeText(t *testing.T) {
	const lifetime = 40 * time.Second
	reasons := map[string]func(*fixture){
		"expired while it ran": func(f *fixture) {
			f.advance(lifetime + time.Second)
			f.end(1, EndCancelled)
		},
		"expired before its run ended": func(f *fixture) { f.advance(lifetime + time.Second) },
		"expired while it waited": func(f *fixture) {
			f.servers(0, map[string]int64{"a": 1})
			f.end(1, EndBroken)
			f.advance(lifetime + time.Second)
		},
		"failed as often as allowed": func(f *fixture) { f.end(1, EndFailed) },
		"impossible":                 func(f *fixture) { f.end(1, EndImpossible) },
	}
	orders := map[string]func(*fixture){
		"end before result": func(f *fixture) {
			f.endJob("j")
			f.machine.HandleResult(f.now, &f.results[0])
		},
		"result before end": func(f *fixture) {
			f.machine.HandleResult(f.now, &f.results[0])
			f.endJob("j")
		},
		"result twice, then end": func(f *fixture) {
			f.machine.HandleResult(f.now, &f.results[0])
			f.machine.HandleResult(f.now, &f.results[0])
			f.endJob("j")
		},
		"result lost": func(f *fixture) { f.endJob("j") },
	}
	for reason, giveUp := range reasons {
		for order, finish := range orders {
			t.Run(reason+", "+order, func(t *testing.T) {
				f := newFixture(t, func(route *routetable.Route) { route.MaxAttempts, route.ItemLifetime = 1, lifetime })
				f.servers(1, map[string]int64{"a": 1})
				f.submitGroups("j", 1, "g/0")
				for number := 1; number <= 3; number++ {
					f.event(1, strconv.Itoa(number), 1)
				}
				giveUp(f)
				if len(f.results) != 1 || f.results[0].Outcome != batch.OutcomeDead {
					t.Fatalf("results %+v", f.results)
				}
				finish(f)
				f.end(1, EndCancelled)
				f.servers(1, map[string]int64{"a": 1})
				f.advance(time.Second) // the engine may have been paused
				f.submitGroups("k", 1, "g/0")
				if got, want := f.resumedText(5), "data 1\ndata 2\ndata 3\ndata 4\ndata 5"; got != want {
					t.Errorf("text %q", got)
				}
			})
		}
	}
}

// Guards against completed results without a text: an item whose reward call was given up was retained with the text
// that had been dropped (review/4).
func TestItemWhoseRewardIsGivenUpKeepsItsWholeText(t *testing.T) {
	reasons := map[string]func(*rewardFixture){
		"failed as often as allowed": func(f *rewardFixture) { f.answer(0, reward.Answer{Failures: 2}) },
		"expired": func(f *rewardFixture) {
			f.now = f.now.Add(41 * time.Second)
			f.machine.Tick(f.now)
			f.take()
		},
	}
	for reason, giveUp := range reasons {
		t.Run(reason, func(t *testing.T) {
			f := newRewardFixture(t)
			f.submit("j", 1, "")
			f.completeAttempt(1)
			giveUp(f)
			if len(f.results) != 1 || f.results[0].Outcome != batch.OutcomeDead {
				t.Fatalf("results %+v", f.results)
			}
			f.endJob("j")
			f.machine.HandlePartitionRead(f.now, 0, f.now)
			f.submit("k", 1, "again-")
			f.answer(len(f.rewards)-1, reward.Answer{Score: "good"})
			if got := f.results[len(f.results)-1]; len(f.results) != 2 || got.Text != "one\ntwo" || got.Score != "good" {
				t.Errorf("results %+v", f.results)
			}
		})
	}
}

// textSimulation is a simulation in which results and ends of jobs overtake each other, items expire, groups of ended
// jobs return, and machines take over from each other.
type textSimulation struct {
	*simulation
	progress *batch.ProgressFold
	// saved and checked are the numbers of the progress and of the results that were processed.
	saved, checked int
	epoch          int64
	completed      int
	resubmitted    int
}

const textSimulationSeeds = 150

func newTextSimulation(t *testing.T, seed uint64) *textSimulation {
	s := &textSimulation{simulation: newSimulation(t, seed), progress: batch.NewProgressFold(), epoch: 1}
	s.lifetime = time.Duration(1+s.random.IntN(4)) * time.Second
	s.attemptLimit = 1 + s.random.IntN(3)
	s.configure(true)
	s.log.appendDelay = func() time.Duration { return time.Duration(s.random.IntN(1200)) * time.Millisecond }
	s.log.readDelay = func() time.Duration { return time.Duration(s.random.IntN(300)) * time.Millisecond }
	return s
}

func (s *textSimulation) step() {
	switch s.random.IntN(100) {
	case 0, 1:
		s.resubmit()
	case 2:
		s.takeOver()
	}
	s.deliver()
	s.simulation.step()
	s.saveProgress()
	s.checkResults()
	s.checkTexts()
}

// resubmit submits a job with the items of a recently ended job that are not listed as completed, in their groups.
func (s *textSimulation) resubmit() {
	ended := s.recentlyEnded()
	if len(ended) == 0 {
		return
	}
	earlier := ended[s.random.IntN(len(ended))]
	completed := make(map[string]bool)
	for _, result := range earlier.Results {
		completed[result.ItemID] = result.Outcome == batch.OutcomeCompleted
	}
	var items []batch.Item
	for _, returned := range s.submitted[earlier.Job.ID] {
		if !completed[returned.ID] {
			items = append(items, returned)
		}
	}
	if len(items) == 0 {
		return
	}
	s.resubmitted++
	s.submitItems(items, earlier.Job.MinVersion)
}

// recentlyEnded returns those of the last jobs that have ended.
func (s *textSimulation) recentlyEnded() []*batch.State {
	const lastJobs = 8
	var ended []*batch.State
	for number := max(s.jobs-lastJobs, 0); number < s.jobs; number++ {
		if state := s.log.fold.Job(fmt.Sprintf("j%d", number)); state != nil && state.Ended {
			ended = append(ended, state)
		}
	}
	return ended
}

// takeOver replaces the machine by one that knows the log and the saved progress. Of the results that its predecessor
// has not appended, some are lost and some are appended later.
func (s *textSimulation) takeOver() {
	var delayed []simulatedMessage
	for _, message := range s.log.unappended {
		if s.random.IntN(2) == 0 {
			delayed = append(delayed, message)
		}
	}
	s.log.unappended = delayed
	s.epoch++
	s.machine = NewMachine(Options{Epoch: s.epoch})
	clear(s.attempts)
	for _, eng := range s.engines {
		eng.loading = 0
	}
	s.configure(true)
	s.machine.HandleLease(s.now, s.epoch, true)
	s.machine.HandleVersion(s.now, "m", s.newest)
	s.machine.HandleRecoveredProgress(s.now, 0, s.recovered())
	s.list()
	for _, message := range s.log.unread {
		s.read(message)
	}
	s.log.unread = nil
	for number := range s.jobs {
		if state := s.log.fold.Job(fmt.Sprintf("j%d", number)); state != nil && !state.Ended {
			s.machine.HandleJob(s.now, 0, state.Job, state.Results)
		}
	}
	s.machine.HandlePartitionRead(s.now, 0, s.now)
	s.carryOut()
}

// recovered returns a copy of the saved progress, as a successor reads it.
func (s *textSimulation) recovered() map[string]*batch.Partial {
	copies := make(map[string]*batch.Partial)
	for id, partial := range s.progress.Partials() {
		saved := *partial
		saved.Text = append([]string(nil), partial.Text...)
		saved.Versions = append([]int64(nil), partial.Versions...)
		copies[id] = &saved
	}
	return copies
}

// saveProgress appends the new progress; some is lost, as when its queue is full.
func (s *textSimulation) saveProgress() {
	for _, progress := range s.fixture.progress[s.saved:] {
		record, err := batch.EncodeProgress(&progress.Progress)
		if err != nil {
			s.t.Fatal(err)
		}
		if s.random.IntN(10) == 0 {
			continue
		}
		if err := s.progress.Apply(record); err != nil {
			s.t.Fatal(err)
		}
	}
	s.saved = len(s.fixture.progress)
}

// checkResults fails unless the text of each new completed result has each event once and in order, and names its
// versions.
func (s *textSimulation) checkResults() {
	for _, result := range s.results[s.checked:] {
		if result.Outcome != batch.OutcomeCompleted {
			continue
		}
		s.completed++
		versions := checkEvents(s.t, result.ItemID, strings.Split(result.Text, "\n"))
		if fmt.Sprint(versions) != fmt.Sprint(result.Versions) {
			s.t.Fatalf("%s has versions %v, its events %v", result.ItemID, result.Versions, versions)
		}
	}
	s.checked = len(s.results)
}

// checkEvents fails unless the events are numbered from 1, and returns their versions.
func checkEvents(t *testing.T, itemID string, events []string) []int64 {
	t.Helper()
	var versions []int64
	for i, event := range events {
		var number int
		var version int64
		if _, err := fmt.Sscanf(event, "%d@%d", &number, &version); err != nil || number != i+1 {
			t.Fatalf("%s: line %d of %d is %q", itemID, i+1, len(events), event)
		}
		versions = batch.MergeVersions(versions, []int64{version})
	}
	return versions
}

// checkTexts fails unless the text of each item that may still run holds all events up to its last ID.
func (s *textSimulation) checkTexts() {
	for _, open := range s.machine.jobs {
		for _, subject := range open.items {
			s.checkText(subject)
		}
	}
	for _, kept := range s.machine.retained {
		if kept.item != nil {
			s.checkText(kept.item)
		}
	}
}

func (s *textSimulation) checkText(subject *item) {
	if subject.textComplete && subject.text.lastID == "" {
		return
	}
	last, _ := strconv.Atoi(subject.text.lastID)
	if len(subject.text.events) != last {
		s.t.Fatalf("%s has %d events, the last of which is %q", subject.source.ID, len(subject.text.events), subject.text.lastID)
	}
	checkEvents(s.t, subject.source.ID, subject.text.events)
}

// Guards against texts without their first events, or with events twice (review/4): whatever the order of results, ends
// of jobs, jobs that contain the items again and changes of the leader.
func TestTextsAreWholeWhateverTheOrderOfResultsAndEnds(t *testing.T) {
	completed, resubmitted := 0, 0
	for seed := range uint64(textSimulationSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newTextSimulation(t, seed)
			for end := s.now.Add(faultPeriod); s.now.Before(end); {
				s.step()
			}
			completed += s.completed
			resubmitted += s.resubmitted
		})
	}
	t.Logf("%d completed texts, %d jobs with items of ended ones", completed, resubmitted)
	if completed == 0 || resubmitted == 0 {
		t.Error("nothing was checked")
	}
}
