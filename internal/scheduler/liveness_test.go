package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	"dalehook/internal/routetable"
)

// The bounds of the drawn runs.
const (
	drawnSeeds   = 100
	drawnTrouble = 20 * time.Second
	// drawnCalm is the time without trouble in which all items must end. A run lasts half a
	// second, and no more items are drawn than run in a third of the time.
	drawnCalm = 12 * time.Second
	// longestWait is how long an item may wait in calm times while an engine has room for it: for
	// an engine that is not slow, for pauses after failures, and for a load.
	longestWait   = 3 * time.Second
	drawnRun      = 500 * time.Millisecond
	drawnLoad     = 900 * time.Millisecond
	drawnLifetime = time.Hour
)

// drawnEngine is an engine as it is, not as the machine knows it.
type drawnEngine struct {
	version  int64
	up       bool
	loading  int64
	loadedAt time.Time
}

// drawnAttempt is a run under way at an engine.
type drawnAttempt struct {
	start Start
	ends  time.Time
	// reason is how the run ends at its time; an attempt that was cancelled ends so sooner.
	reason EndReason
	events int
	// silent runs make no events, and end only when they are cancelled.
	silent bool
}

// drawnWorld drives a machine through faults that are drawn, and then through a calm.
type drawnWorld struct {
	*fixture
	random   *rand.Rand
	single   bool
	calm     bool
	engines  map[string]*drawnEngine
	attempts map[AttemptID]*drawnAttempt
	newest   int64
	jobs     int
	accepted map[string]bool
	waits    map[string]time.Duration
	spawned  int
}

func newDrawnWorld(t *testing.T, seed uint64) *drawnWorld {
	random := rand.New(rand.NewPCG(seed, seed))
	single := random.IntN(2) == 0
	w := &drawnWorld{
		random: random, single: single, newest: 1,
		engines: make(map[string]*drawnEngine), attempts: make(map[AttemptID]*drawnAttempt),
		accepted: make(map[string]bool), waits: make(map[string]time.Duration),
	}
	w.fixture = newFixture(t, func(route *routetable.Route) { w.shape(route) })
	w.machine.HandleLease(w.now, 1, true)
	for range 3 {
		w.spawn()
	}
	w.list()
	return w
}

func (w *drawnWorld) shape(route *routetable.Route) {
	route.SingleVersion, route.Resumable, route.ItemLifetime = w.single, true, drawnLifetime
	route.MaxAttempts = 1 << 30
}

func (w *drawnWorld) configure(withRoute bool) {
	if !withRoute {
		w.machine.HandleTable(w.now, table(1))
		return
	}
	route := batchRoute()
	w.shape(&route)
	w.machine.HandleTable(w.now, table(1, route))
}

// spawn starts an engine, which has the newest version.
func (w *drawnWorld) spawn() {
	w.spawned++
	w.engines[fmt.Sprintf("s%d", w.spawned)] = &drawnEngine{version: w.newest, up: true}
}

func (w *drawnWorld) sortedNames() []string {
	var names []string
	for name := range w.engines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (w *drawnWorld) list() {
	var servers []*directory.Server
	for _, name := range w.sortedNames() {
		if known := w.engines[name]; known.up {
			servers = append(servers, &directory.Server{
				ID: name, Service: "pool", Slots: 2, Versions: map[string]int64{"m": known.version},
			})
		}
	}
	w.machine.HandleServers(w.now, servers)
}

// step passes the time of a tick.
func (w *drawnWorld) step() {
	w.now = w.now.Add(tickOfTests)
	if !w.calm {
		w.trouble()
	}
	if w.calm || w.random.IntN(3) > 0 {
		w.machine.HandleFresh(w.now, 0, w.now)
	}
	w.runEngines()
	w.machine.Tick(w.now)
	w.carryOut()
}

// trouble has something happen now and then.
func (w *drawnWorld) trouble() {
	names := w.sortedNames()
	name := names[w.random.IntN(len(names))]
	switch w.random.IntN(80) {
	case 0:
		w.engines[name].up = false
		w.spawn()
		w.list()
	case 1, 19, 20:
		w.newest++
		w.machine.HandleVersion(w.now, "m", w.newest)
	case 2:
		w.configure(false)
	case 3, 4, 5:
		w.configure(true)
	case 6:
		w.machine.HandleLease(w.now, 1, false)
	case 7, 8:
		w.machine.HandleLease(w.now, 1, true)
	case 9:
		w.loadUnasked(name)
	case 10, 11, 12, 13, 14, 15:
		w.submit()
	case 16, 17, 18:
		if w.jobs > 0 {
			w.endJob(fmt.Sprintf("j%d", w.random.IntN(w.jobs)))
		}
	}
}

// loadUnasked has an engine carry out the order of a predecessor late.
func (w *drawnWorld) loadUnasked(name string) {
	w.engines[name].version = w.newest
	w.list()
}

// settle ends the trouble.
func (w *drawnWorld) settle() {
	w.calm = true
	w.configure(true)
	w.machine.HandleLease(w.now, 1, w.random.IntN(2) == 0)
	for _, name := range w.sortedNames() {
		w.loadUnasked(name)
	}
}

func (w *drawnWorld) submit() {
	id := fmt.Sprintf("j%d", w.jobs)
	w.jobs++
	var expected []int
	for range 1 + w.random.IntN(6) {
		expected = append(expected, 1+w.random.IntN(100))
	}
	job := &batch.Job{ID: id, Host: "h", Path: "/p/" + id, Model: "m", MinVersion: max(w.newest-int64(w.random.IntN(2)), 1)}
	for i, tokens := range expected {
		item := fmt.Sprintf("%s-%d", id, i)
		job.Items = append(job.Items, batch.Item{ID: item, Path: "/p/x", Expected: tokens, Group: fmt.Sprint(id, i%2)})
		w.accepted[item] = true
	}
	w.machine.HandleJob(w.now, 0, job, nil)
}

func (w *drawnWorld) endJob(id string) {
	w.machine.HandleEnded(w.now, id)
	for item := range w.accepted {
		if len(item) > len(id) && item[:len(id)+1] == id+"-" {
			delete(w.accepted, item)
		}
	}
}

// carryOut does what the machine has decided.
func (w *drawnWorld) carryOut() {
	before := len(w.fixture.starts)
	cancels, orders, results := len(w.cancels), len(w.orders), len(w.results)
	w.take()
	for _, cancelled := range w.cancels[cancels:] {
		if running := w.attempts[cancelled.Attempt]; running != nil {
			running.ends, running.reason = w.now, EndCancelled
		}
	}
	for _, start := range w.fixture.starts[before:] {
		if !w.now.Before(start.Deadline) {
			w.t.Errorf("item %s starts at %v with the deadline %v", start.Item.ID, w.now, start.Deadline)
		}
		w.attempts[start.Attempt] = w.begin(start)
		delete(w.waits, start.Item.ID)
	}
	for _, order := range w.orders[orders:] {
		w.engines[order.Server.ID].loading = order.Version
		w.engines[order.Server.ID].loadedAt = w.now.Add(drawnLoad)
	}
	for i := range w.results[results:] {
		result := w.results[results+i]
		w.machine.HandleListed(w.now, &result)
		delete(w.accepted, result.ItemID)
	}
}

// begin draws how a run goes.
func (w *drawnWorld) begin(start Start) *drawnAttempt {
	running := &drawnAttempt{start: start, ends: w.now.Add(drawnRun), reason: EndCompleted}
	engine := w.engines[start.Server.ID]
	switch {
	case !engine.up:
		running.ends, running.reason = w.now, EndBroken
	case start.ExpectVersion > 0 && engine.version != start.ExpectVersion:
		running.ends, running.reason = w.now, EndNotExecuted
	case w.calm:
	default:
		switch w.random.IntN(8) {
		case 0:
			running.ends, running.reason = w.now.Add(drawnRun/2), EndBroken
		case 1:
			running.ends, running.reason = w.now, EndNotExecuted
		case 2:
			running.ends, running.reason = w.now.Add(drawnRun/2), EndFailed
		case 3:
			running.silent = true
		}
	}
	return running
}

// runEngines carries runs and loads on.
func (w *drawnWorld) runEngines() {
	for _, name := range w.sortedNames() {
		known := w.engines[name]
		if known.loading == 0 || w.now.Before(known.loadedAt) {
			continue
		}
		load := Load{}
		if known.up && (w.calm || w.random.IntN(4) > 0) {
			known.version = max(known.version, known.loading)
			load = Load{Ordered: true, Version: known.version}
		}
		known.loading = 0
		w.machine.HandleLoad(w.now, Server{ID: name}, "m", load)
	}
	for _, id := range w.sortedAttempts() {
		w.runAttempt(id, w.attempts[id])
	}
}

func (w *drawnWorld) sortedAttempts() []AttemptID {
	var ids []AttemptID
	for id := range w.attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *drawnWorld) runAttempt(id AttemptID, running *drawnAttempt) {
	known := w.engines[running.start.Server.ID]
	if !known.up {
		running.ends, running.reason, running.silent = w.now, EndBroken, false
	}
	if !w.now.Before(running.ends) && (!running.silent || running.reason == EndCancelled) {
		delete(w.attempts, id)
		w.machine.HandleAttemptEnd(w.now, id, running.reason)
		return
	}
	if !running.silent {
		running.events++
		w.machine.HandleEvent(w.now, id, Event{ID: fmt.Sprint(running.events), Data: "data", Version: known.version})
	}
}

// hasRoom says whether an engine could take an item of a job that waits, begun anew.
func (w *drawnWorld) hasRoom(waiting *item) bool {
	anew := *waiting
	anew.restart()
	for _, candidate := range w.machine.sortedEngines() {
		known := w.engines[candidate.server.ID]
		room := candidate.listed && known.up && known.loading == 0 && len(candidate.attempts) < candidate.slots
		if room && candidate.service == waiting.service && known.version >= waiting.job.minimum {
			return true
		}
	}
	return false
}

// checkWaits fails where an item has waited too long while an engine had room all the time.
func (w *drawnWorld) checkWaits(seed uint64) {
	for _, open := range w.machine.sortedJobs() {
		for _, waiting := range open.queue {
			name := waiting.source.ID
			if !w.hasRoom(waiting) {
				delete(w.waits, name)
				continue
			}
			w.waits[name] += tickOfTests
			if w.waits[name] > longestWait {
				w.t.Fatalf("seed %d: item %s has waited for %v while an engine has room", seed, name, w.waits[name])
			}
		}
	}
}

// Whatever has happened before, no item of an open job waits for long while an engine has room,
// and each one ends.
func TestNoItemWaitsWithoutEndWhileAnEngineHasRoom(t *testing.T) {
	ended := 0
	for seed := range uint64(drawnSeeds) {
		w := newDrawnWorld(t, seed)
		for end := w.now.Add(drawnTrouble); w.now.Before(end); {
			w.step()
		}
		w.settle()
		ended += len(w.accepted)
		for end := w.now.Add(drawnCalm); w.now.Before(end); {
			w.step()
			w.checkWaits(seed)
		}
		if len(w.accepted) > 0 {
			t.Fatalf("seed %d: %d items of open jobs have not ended", seed, len(w.accepted))
		}
	}
	t.Logf("%d items were open when the trouble ended", ended)
}
