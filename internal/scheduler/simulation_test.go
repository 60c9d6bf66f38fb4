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

// Parameters of the randomized simulation.
const (
	simulationSeeds = 100
	faultPeriod     = 20 * time.Second
	// recoveryPeriod is the time without faults in which all items must end. A run lasts half a
	// second, and no more items are submitted than run in a third of this time.
	recoveryPeriod = 12 * time.Second
	// maxWaitWithCapacity is how long an item may wait without faults while an engine has a free
	// slot: for an engine that is not slow, for pauses after failures, and for a load.
	maxWaitWithCapacity   = 3 * time.Second
	simulatedRunTime      = 500 * time.Millisecond
	simulatedLoadTime     = 900 * time.Millisecond
	simulatedItemLifetime = time.Hour
)

// simulatedEngine is the actual state of an engine, as opposed to the machine's view.
type simulatedEngine struct {
	version  int64
	up       bool
	loading  int64
	loadedAt time.Time
}

// simulatedAttempt is a running attempt at an engine.
type simulatedAttempt struct {
	start Start
	ends  time.Time
	// reason is how the run ends at that time; a cancelled attempt ends earlier.
	reason EndReason
	events int
	// silent runs produce no events and end only when they are cancelled.
	unresponsive bool
}

// simulation drives a machine through random faults, and then through a period without faults.
type simulation struct {
	*fixture
	random         *rand.Rand
	singleVersion  bool
	faultFree      bool
	engines        map[string]*simulatedEngine
	attempts       map[AttemptID]*simulatedAttempt
	newest         int64
	jobs           int
	accepted       map[string]bool
	waits          map[string]time.Duration
	enginesStarted int
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, seed))
	single := random.IntN(2) == 0
	w := &simulation{
		random: random, singleVersion: single, newest: 1,
		engines: make(map[string]*simulatedEngine), attempts: make(map[AttemptID]*simulatedAttempt),
		accepted: make(map[string]bool), waits: make(map[string]time.Duration),
	}
	w.fixture = newFixture(t, func(route *routetable.Route) { w.shape(route) })
	w.machine.HandleLease(w.now, 1, true)
	for range 3 {
		w.startEngine()
	}
	w.list()
	return w
}

func (w *simulation) shape(route *routetable.Route) {
	route.SingleVersion, route.Resumable, route.ItemLifetime = w.singleVersion, true, simulatedItemLifetime
	route.MaxAttempts = 1 << 30
}

func (w *simulation) configure(withRoute bool) {
	if !withRoute {
		w.machine.HandleTable(w.now, table(1))
		return
	}
	route := batchRoute()
	w.shape(&route)
	w.machine.HandleTable(w.now, table(1, route))
}

// startEngine starts an engine with the newest version.
func (w *simulation) startEngine() {
	w.enginesStarted++
	w.engines[fmt.Sprintf("s%d", w.enginesStarted)] = &simulatedEngine{version: w.newest, up: true}
}

func (w *simulation) sortedNames() []string {
	var names []string
	for name := range w.engines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (w *simulation) list() {
	var servers []*directory.Server
	for _, name := range w.sortedNames() {
		if eng := w.engines[name]; eng.up {
			servers = append(servers, &directory.Server{
				ID: name, Service: "pool", Slots: 2, Versions: map[string]int64{"m": eng.version},
			})
		}
	}
	w.machine.HandleServers(w.now, servers)
}

// step advances the simulation by one tick.
func (w *simulation) step() {
	w.now = w.now.Add(testTick)
	if !w.faultFree {
		w.injectFault()
	}
	if w.faultFree || w.random.IntN(3) > 0 {
		w.machine.HandlePartitionRead(w.now, 0, w.now)
	}
	w.runEngines()
	w.machine.Tick(w.now)
	w.carryOut()
}

// injectFault randomly changes engines, configuration, lease, versions or jobs.
func (w *simulation) injectFault() {
	names := w.sortedNames()
	name := names[w.random.IntN(len(names))]
	switch w.random.IntN(80) {
	case 0:
		w.engines[name].up = false
		w.startEngine()
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
		w.loadUnordered(name)
	case 10, 11, 12, 13, 14, 15:
		w.submit()
	case 16, 17, 18:
		if w.jobs > 0 {
			w.endJob(fmt.Sprintf("j%d", w.random.IntN(w.jobs)))
		}
	}
}

// loadUnordered has an engine load the newest version without an order of this machine, like a
// late order of a predecessor.
func (w *simulation) loadUnordered(name string) {
	w.engines[name].version = w.newest
	w.list()
}

// endFaults starts the period without faults.
func (w *simulation) endFaults() {
	w.faultFree = true
	w.configure(true)
	w.machine.HandleLease(w.now, 1, w.random.IntN(2) == 0)
	for _, name := range w.sortedNames() {
		w.loadUnordered(name)
	}
}

func (w *simulation) submit() {
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

func (w *simulation) endJob(id string) {
	w.machine.HandleJobEnd(w.now, id)
	for item := range w.accepted {
		if len(item) > len(id) && item[:len(id)+1] == id+"-" {
			delete(w.accepted, item)
		}
	}
}

// carryOut applies the output of the machine.
func (w *simulation) carryOut() {
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
			w.t.Errorf("item %s started at %v, after its deadline %v", start.Item.ID, w.now, start.Deadline)
		}
		w.attempts[start.Attempt] = w.begin(start)
		delete(w.waits, start.Item.ID)
	}
	for _, order := range w.orders[orders:] {
		w.engines[order.Server.ID].loading = order.Version
		w.engines[order.Server.ID].loadedAt = w.now.Add(simulatedLoadTime)
	}
	for i := range w.results[results:] {
		result := w.results[results+i]
		w.machine.HandleResult(w.now, &result)
		delete(w.accepted, result.ItemID)
	}
}

// begin chooses the random outcome of a run.
func (w *simulation) begin(start Start) *simulatedAttempt {
	running := &simulatedAttempt{start: start, ends: w.now.Add(simulatedRunTime), reason: EndCompleted}
	engine := w.engines[start.Server.ID]
	switch {
	case !engine.up:
		running.ends, running.reason = w.now, EndBroken
	case start.ExpectVersion > 0 && engine.version != start.ExpectVersion:
		running.ends, running.reason = w.now, EndNotExecuted
	case w.faultFree:
	default:
		switch w.random.IntN(8) {
		case 0:
			running.ends, running.reason = w.now.Add(simulatedRunTime/2), EndBroken
		case 1:
			running.ends, running.reason = w.now, EndNotExecuted
		case 2:
			running.ends, running.reason = w.now.Add(simulatedRunTime/2), EndFailed
		case 3:
			running.unresponsive = true
		}
	}
	return running
}

// runEngines advances loads and runs.
func (w *simulation) runEngines() {
	for _, name := range w.sortedNames() {
		eng := w.engines[name]
		if eng.loading == 0 || w.now.Before(eng.loadedAt) {
			continue
		}
		load := LoadResult{}
		if eng.up && (w.faultFree || w.random.IntN(4) > 0) {
			eng.version = max(eng.version, eng.loading)
			load = LoadResult{Confirmed: true, Version: eng.version}
		}
		eng.loading = 0
		w.machine.HandleLoad(w.now, Server{ID: name}, "m", load)
	}
	for _, id := range w.sortedAttempts() {
		w.runAttempt(id, w.attempts[id])
	}
}

func (w *simulation) sortedAttempts() []AttemptID {
	var ids []AttemptID
	for id := range w.attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *simulation) runAttempt(id AttemptID, running *simulatedAttempt) {
	eng := w.engines[running.start.Server.ID]
	if !eng.up {
		running.ends, running.reason, running.unresponsive = w.now, EndBroken, false
	}
	if !w.now.Before(running.ends) && (!running.unresponsive || running.reason == EndCancelled) {
		delete(w.attempts, id)
		w.machine.HandleAttemptEnd(w.now, id, running.reason)
		return
	}
	if !running.unresponsive {
		running.events++
		w.machine.HandleEvent(w.now, id, Event{ID: fmt.Sprint(running.events), Data: "data", Version: eng.version})
	}
}

// hasFreeSlot reports whether an engine could take a waiting item that starts over.
func (w *simulation) hasFreeSlot(waiting *item) bool {
	restarted := *waiting
	restarted.discardText()
	for _, candidate := range w.machine.sortedEngines() {
		eng := w.engines[candidate.server.ID]
		free := candidate.listed && eng.up && eng.loading == 0 && len(candidate.attempts) < candidate.slots
		if free && candidate.service == waiting.service && eng.version >= waiting.job.minimum {
			return true
		}
	}
	return false
}

// checkWaits fails if an item has waited too long while an engine always had a free slot.
func (w *simulation) checkWaits(seed uint64) {
	for _, job := range w.machine.sortedJobs() {
		for _, waiting := range job.queue {
			name := waiting.source.ID
			if !w.hasFreeSlot(waiting) {
				delete(w.waits, name)
				continue
			}
			w.waits[name] += testTick
			if w.waits[name] > maxWaitWithCapacity {
				w.t.Fatalf("seed %d: item %s waited %v while an engine had a free slot", seed, name, w.waits[name])
			}
		}
	}
}

// After any sequence of faults, no item of an open job waits long while an engine has a free slot,
// and every item ends.
func TestNoItemStarvesWhileAnEngineHasFreeSlots(t *testing.T) {
	ended := 0
	for seed := range uint64(simulationSeeds) {
		w := newSimulation(t, seed)
		for end := w.now.Add(faultPeriod); w.now.Before(end); {
			w.step()
		}
		w.endFaults()
		ended += len(w.accepted)
		for end := w.now.Add(recoveryPeriod); w.now.Before(end); {
			w.step()
			w.checkWaits(seed)
		}
		if len(w.accepted) > 0 {
			t.Fatalf("seed %d: %d items of open jobs did not end", seed, len(w.accepted))
		}
	}
	t.Logf("%d items were open when the faults ended", ended)
}
