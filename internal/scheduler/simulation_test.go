package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
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
	// lastID is the number of the last event, which is also its ID.
	lastID int
	// unresponsive runs produce no events and end only when they are cancelled.
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
	submitted      map[string][]batch.Item
	waits          map[string]time.Duration
	enginesStarted int
	// lifetime and attemptLimit are those of the route.
	lifetime     time.Duration
	attemptLimit int
	log          *simulatedLog
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, seed))
	single := random.IntN(2) == 0
	s := &simulation{
		random: random, singleVersion: single, newest: 1,
		engines: make(map[string]*simulatedEngine), attempts: make(map[AttemptID]*simulatedAttempt),
		accepted: make(map[string]bool), submitted: make(map[string][]batch.Item), waits: make(map[string]time.Duration),
		lifetime: simulatedItemLifetime, attemptLimit: 1 << 30, log: newSimulatedLog(),
	}
	s.fixture = newFixture(t, func(route *routetable.Route) { s.shape(route) })
	s.machine.HandleLease(s.now, 1, true)
	for range 3 {
		s.startEngine()
	}
	s.list()
	return s
}

func (s *simulation) shape(route *routetable.Route) {
	route.SingleVersion, route.Resumable, route.ItemLifetime = s.singleVersion, true, s.lifetime
	route.MaxAttempts = s.attemptLimit
}

func (s *simulation) configure(withRoute bool) {
	if !withRoute {
		s.machine.HandleTable(s.now, table(1))
		return
	}
	route := batchRoute()
	s.shape(&route)
	s.machine.HandleTable(s.now, table(1, route))
}

// startEngine starts an engine with the newest version.
func (s *simulation) startEngine() {
	s.enginesStarted++
	s.engines[fmt.Sprintf("s%d", s.enginesStarted)] = &simulatedEngine{version: s.newest, up: true}
}

func (s *simulation) sortedNames() []string {
	var names []string
	for name := range s.engines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *simulation) list() {
	var servers []*directory.Server
	for _, name := range s.sortedNames() {
		if eng := s.engines[name]; eng.up {
			servers = append(servers, &directory.Server{
				ID: name, Service: "pool", Slots: 2, Versions: map[string]int64{"m": eng.version},
			})
		}
	}
	s.machine.HandleServers(s.now, servers)
}

// step advances the simulation by one tick.
func (s *simulation) step() {
	s.now = s.now.Add(testTick)
	if !s.faultFree {
		s.injectFault()
	}
	if s.faultFree || s.random.IntN(3) > 0 {
		s.machine.HandlePartitionRead(s.now, 0, s.now)
	}
	s.runEngines()
	s.machine.Tick(s.now)
	s.carryOut()
}

// injectFault randomly changes engines, configuration, lease, versions or jobs.
func (s *simulation) injectFault() {
	names := s.sortedNames()
	name := names[s.random.IntN(len(names))]
	switch s.random.IntN(80) {
	case 0:
		s.engines[name].up = false
		s.startEngine()
		s.list()
	case 1, 19, 20:
		s.newest++
		s.machine.HandleVersion(s.now, "m", s.newest)
	case 2:
		s.configure(false)
	case 3, 4, 5:
		s.configure(true)
	case 6:
		s.machine.HandleLease(s.now, 1, false)
	case 7, 8:
		s.machine.HandleLease(s.now, 1, true)
	case 9:
		s.loadUnordered(name)
	case 10, 11, 12, 13, 14, 15:
		s.submit()
	case 16, 17, 18:
		if s.jobs > 0 {
			s.endJob(fmt.Sprintf("j%d", s.random.IntN(s.jobs)))
		}
	}
}

// loadUnordered has an engine load the newest version without an order of this machine, like a
// late order of a predecessor.
func (s *simulation) loadUnordered(name string) {
	s.engines[name].version = s.newest
	s.list()
}

// endFaults starts the period without faults.
func (s *simulation) endFaults() {
	s.faultFree = true
	s.configure(true)
	s.machine.HandleLease(s.now, 1, s.random.IntN(2) == 0)
	for _, name := range s.sortedNames() {
		s.loadUnordered(name)
	}
}

func (s *simulation) submit() {
	id := fmt.Sprintf("j%d", s.jobs)
	var expected []int
	for range 1 + s.random.IntN(6) {
		expected = append(expected, 1+s.random.IntN(100))
	}
	var items []batch.Item
	for i, tokens := range expected {
		items = append(items, batch.Item{ID: fmt.Sprintf("%s-%d", id, i), Path: "/p/x", Expected: tokens, Group: fmt.Sprint(id, i%2)})
	}
	s.submitItems(items, max(s.newest-int64(s.random.IntN(2)), 1))
}

// submitItems submits a job with the given items and oldest version.
func (s *simulation) submitItems(items []batch.Item, minimum int64) {
	id := fmt.Sprintf("j%d", s.jobs)
	s.jobs++
	s.submitted[id] = items
	for i := range items {
		s.accepted[items[i].ID] = true
	}
	s.append(batch.EncodeJob(&batch.Job{ID: id, Host: "h", Path: "/p/" + id, Model: "m", MinVersion: minimum, Items: items}))
}

func (s *simulation) endJob(id string) {
	s.append(batch.EncodeEnd(&batch.End{JobID: id}))
	for item := range s.accepted {
		if len(item) > len(id) && item[:len(id)+1] == id+"-" {
			delete(s.accepted, item)
		}
	}
}

// carryOut applies the output of the machine.
func (s *simulation) carryOut() {
	before := len(s.fixture.starts)
	cancels, orders, results := len(s.cancels), len(s.orders), len(s.results)
	s.take()
	for _, cancelled := range s.cancels[cancels:] {
		if running := s.attempts[cancelled.Attempt]; running != nil {
			running.ends, running.reason = s.now, EndCancelled
		}
	}
	for _, start := range s.fixture.starts[before:] {
		if !s.now.Before(start.Deadline) {
			s.t.Errorf("item %s started at %v, after its deadline %v", start.Item.ID, s.now, start.Deadline)
		}
		s.attempts[start.Attempt] = s.begin(start)
		delete(s.waits, start.Item.ID)
	}
	for _, order := range s.orders[orders:] {
		s.engines[order.Server.ID].loading = order.Version
		s.engines[order.Server.ID].loadedAt = s.now.Add(simulatedLoadTime)
	}
	for i := range s.results[results:] {
		result := s.results[results+i]
		s.append(batch.EncodeResult(&result))
		delete(s.accepted, result.ItemID)
	}
}

// begin chooses the random outcome of a run.
func (s *simulation) begin(start Start) *simulatedAttempt {
	running := &simulatedAttempt{start: start, ends: s.now.Add(simulatedRunTime), reason: EndCompleted}
	running.lastID, _ = strconv.Atoi(start.After)
	engine := s.engines[start.Server.ID]
	switch {
	case !engine.up:
		running.ends, running.reason = s.now, EndBroken
	case start.ExpectVersion > 0 && engine.version != start.ExpectVersion:
		running.ends, running.reason = s.now, EndNotExecuted
	case s.faultFree:
	default:
		switch s.random.IntN(8) {
		case 0:
			running.ends, running.reason = s.now.Add(simulatedRunTime/2), EndBroken
		case 1:
			running.ends, running.reason = s.now, EndNotExecuted
		case 2:
			running.ends, running.reason = s.now.Add(simulatedRunTime/2), EndFailed
		case 3:
			running.unresponsive = true
		}
	}
	return running
}

// runEngines advances loads and runs.
func (s *simulation) runEngines() {
	for _, name := range s.sortedNames() {
		eng := s.engines[name]
		if eng.loading == 0 || s.now.Before(eng.loadedAt) {
			continue
		}
		load := LoadResult{}
		if eng.up && (s.faultFree || s.random.IntN(4) > 0) {
			eng.version = max(eng.version, eng.loading)
			load = LoadResult{Confirmed: true, Version: eng.version}
		}
		eng.loading = 0
		s.machine.HandleLoad(s.now, Server{ID: name}, "m", load)
	}
	for _, id := range s.sortedAttempts() {
		s.runAttempt(id, s.attempts[id])
	}
}

func (s *simulation) sortedAttempts() []AttemptID {
	var ids []AttemptID
	for id := range s.attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *simulation) runAttempt(id AttemptID, running *simulatedAttempt) {
	eng := s.engines[running.start.Server.ID]
	if !eng.up {
		running.ends, running.reason, running.unresponsive = s.now, EndBroken, false
	}
	if !s.now.Before(running.ends) && (!running.unresponsive || running.reason == EndCancelled) {
		delete(s.attempts, id)
		s.machine.HandleAttemptEnd(s.now, id, running.reason)
		return
	}
	if !running.unresponsive {
		running.lastID++
		s.machine.HandleEvent(s.now, id, Event{
			ID: strconv.Itoa(running.lastID), Data: eventData(running.lastID, eng.version), Version: eng.version,
		})
	}
}

// hasFreeSlot reports whether an engine could take a waiting item that starts over.
func (s *simulation) hasFreeSlot(waiting *item) bool {
	restarted := *waiting
	restarted.discardText()
	for _, candidate := range s.machine.sortedEngines() {
		eng := s.engines[candidate.server.ID]
		free := candidate.listed && eng.up && eng.loading == 0 && len(candidate.attempts) < candidate.slots
		if free && candidate.service == waiting.service && eng.version >= waiting.job.minimum {
			return true
		}
	}
	return false
}

// checkWaits fails if an item has waited too long while an engine always had a free slot.
func (s *simulation) checkWaits(seed uint64) {
	for _, job := range s.machine.sortedJobs() {
		for _, waiting := range job.queue {
			name := waiting.source.ID
			if !s.hasFreeSlot(waiting) {
				delete(s.waits, name)
				continue
			}
			s.waits[name] += testTick
			if s.waits[name] > maxWaitWithCapacity {
				s.t.Fatalf("seed %d: item %s waited %v while an engine had a free slot", seed, name, s.waits[name])
			}
		}
	}
}

// After any sequence of faults, no item of an open job waits long while an engine has a free slot,
// and every item ends.
func TestNoItemStarvesWhileAnEngineHasFreeSlots(t *testing.T) {
	ended := 0
	for seed := range uint64(simulationSeeds) {
		s := newSimulation(t, seed)
		for end := s.now.Add(faultPeriod); s.now.Before(end); {
			s.step()
		}
		s.endFaults()
		ended += len(s.accepted)
		for end := s.now.Add(recoveryPeriod); s.now.Before(end); {
			s.step()
			s.checkWaits(seed)
		}
		if len(s.accepted) > 0 {
			t.Fatalf("seed %d: %d items of open jobs did not end", seed, len(s.accepted))
		}
	}
	t.Logf("%d items were open when the faults ended", ended)
}
