package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	_ "dalehook/internal/fixedseed"
)

// maxTimeToPlace is how long after the last crash all items must be at an engine, if engines have room.
const maxTimeToPlace = time.Second

// Guards against an item that is placed late, or never, because engines crashed under it: however many did,
// whatever it shares with other items, and wherever it stands in its job.
func TestItemsAreAtEnginesSoonAfterTheLastCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.IntRange(1, 8).Draw(t, "samples")
		crashes := rapid.IntRange(1, 12).Draw(t, "crashes")
		keepsID := rapid.Bool().Draw(t, "engines keep their ID")
		runTime := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 8 * time.Second}).Draw(t, "run")
		f := newCrashFixture(samples, keepsID)
		for range crashes {
			if rapid.Bool().Draw(t, "events before the crash") {
				f.produceEvents()
			}
			f.crashEngineOfFirstRun()
			f.advanceBy(rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 600 * time.Millisecond}).Draw(t, "pause"))
		}
		f.advanceBy(maxTimeToPlace)
		for _, subject := range f.machine.jobs["j"].items {
			if subject.attempt == nil && !subject.finished {
				t.Errorf("item %s is at no engine %v after the last of %d crashes", subject.source.ID, maxTimeToPlace, crashes)
			}
		}
		for waited := time.Duration(0); waited < runTime; waited += testTick {
			f.produceEvents()
			f.advanceBy(testTick)
		}
		f.completeRuns()
		if len(f.results) != samples {
			t.Errorf("%d of %d items are completed", len(f.results), samples)
		}
	})
}

// crashFixture drives a machine with eight engines that crash and are back at once under the same or a new ID.
type crashFixture struct {
	*fixture
	keepsID bool
	// engines holds the ID and the number of restarts of each engine.
	engines [8]struct {
		id       string
		restarts int64
	}
}

func newCrashFixture(samples int, keepsID bool) *crashFixture {
	f := &crashFixture{fixture: newFixture(nil, nil), keepsID: keepsID}
	for number := range f.engines {
		f.engines[number].id = fmt.Sprint("e", number)
	}
	f.list()
	job := &batch.Job{ID: "j", Host: "h", Path: "/p/j", Model: "m"}
	for number := range samples {
		job.Items = append(job.Items, batch.Item{ID: fmt.Sprint("j-", number), Path: "/p/x", Body: []byte("equal"), Expected: 10, Group: "g"})
	}
	f.machine.HandleJob(f.now, 0, job, nil)
	f.take()
	return f
}

func (f *crashFixture) list() {
	var servers []*directory.Server
	for _, eng := range f.engines {
		servers = append(servers, &directory.Server{
			ID: eng.id, Born: eng.restarts + 1, Service: "pool", Address: eng.id, Slots: 4, Versions: map[string]int64{"m": 1},
		})
	}
	f.machine.HandleServers(f.now, servers)
	f.take()
}

// crashEngineOfFirstRun breaks all runs of the engine with the oldest run, and lists its next incarnation.
func (f *crashFixture) crashEngineOfFirstRun() {
	running := f.machine.sortedAttempts()
	if len(running) == 0 {
		return
	}
	crashed := running[0].engine
	for _, run := range running {
		if run.engine == crashed {
			f.end(run.id, EndBroken)
		}
	}
	for number := range f.engines {
		eng := &f.engines[number]
		if eng.id != crashed.server.ID {
			continue
		}
		eng.restarts++
		if !f.keepsID {
			eng.id = fmt.Sprint("e", number, "-", eng.restarts)
		}
	}
	f.list()
}

func (f *crashFixture) produceEvents() {
	for _, run := range f.machine.sortedAttempts() {
		f.event(run.id, fmt.Sprint(len(run.item.text.events)+1), 1)
	}
}

func (f *crashFixture) completeRuns() {
	for _, run := range f.machine.sortedAttempts() {
		f.end(run.id, EndCompleted)
	}
}

// advanceBy advances in ticks in which all runs produce an event.
func (f *crashFixture) advanceBy(duration time.Duration) {
	for ; duration > 0; duration -= testTick {
		f.produceEvents()
		f.advance(min(duration, testTick))
	}
}

// Guards against an item that falls behind all others because engines crashed under it or could not be reached: that
// was counted like refusals, which an item may bring about by its size.
func TestOnlyRefusalsMoveAnItemBack(t *testing.T) {
	cases := []struct {
		reason EndReason
		first  bool
	}{
		{EndBroken, true}, {EndUnreached, true}, {EndGone, true}, {EndCancelled, true}, {EndNotExecuted, false},
	}
	for _, c := range cases {
		t.Run(c.reason.String(), func(t *testing.T) {
			f := newFixture(t, nil)
			f.servers(1, map[string]int64{"a": 1})
			f.submit("j", 1, 30, 10)
			for range 2 * maxRefusalsInFront {
				last := f.starts[len(f.starts)-1]
				if last.Item.ID != "j-0" {
					break
				}
				f.end(last.Attempt, c.reason)
				f.advance(DefaultEnginePause)
			}
			if last := f.starts[len(f.starts)-1]; (last.Item.ID == "j-0") != c.first {
				t.Errorf("started items %v", f.startedItems())
			}
		})
	}
}
