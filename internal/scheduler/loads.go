package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dalehook/internal/directory"
)

// loadRetryDelay is the time between two orders to one engine when the first did not result in the
// wanted version. A longer one leaves the engine longer without the version; a shorter one sends more
// orders to an engine that can not load it.
const loadRetryDelay = 400 * time.Millisecond

// assignModels assigns a model to each engine, which loads the new versions of that model. Engines
// are shared between the models of a service in proportion to their tokens per step, and keep their
// model while the shares do not change.
func (m *Machine) assignModels() {
	byService := make(map[string][]*engine)
	for _, eng := range m.sortedEngines() {
		if eng.listed && len(eng.versions) > 0 {
			byService[eng.service] = append(byService[eng.service], eng)
		}
	}
	for service, engines := range byService {
		m.assignServiceModels(service, engines)
	}
}

func (m *Machine) assignServiceModels(service string, engines []*engine) {
	models := m.serviceModels(service, m.workingSets.listed[service])
	if len(models) == 0 {
		return
	}
	targets := m.engineTargets(models, engines)
	shares := make(map[string]int, len(models))
	for _, eng := range engines {
		if shares[eng.model] < targets[eng.model] {
			shares[eng.model]++
			continue
		}
		eng.model = ""
	}
	for _, eng := range engines {
		if eng.model == "" {
			eng.model = largestShortfall(models, targets, shares, eng)
			shares[eng.model]++
		}
	}
}

// engineTargets returns the number of engines for each model: in proportion to the work of its
// steps, and at least one if there are enough engines. Current shares within the tolerance are
// kept, since reassigning an engine costs a load.
func (m *Machine) engineTargets(models []string, engines []*engine) map[string]int {
	weights := make(map[string]float64, len(models))
	total := 0.0
	for _, model := range models {
		weights[model] = m.modelWeight(model)
		total += weights[model]
	}
	targets := make(map[string]int, len(models))
	for _, eng := range engines {
		if eng.model != "" {
			targets[eng.model]++
		}
	}
	if sharesWithinTolerance(models, targets, weights, total, len(engines)) {
		return targets
	}
	clear(targets)
	for range engines {
		targets[nextModelByQuotient(models, targets, weights)]++
	}
	return targets
}

// shareTolerance is how many engines a model's share may deviate from its exact proportion before
// engines are reassigned. It is below 1, so that no model lacks a whole engine.
const shareTolerance = 0.8

func sharesWithinTolerance(models []string, shares map[string]int, weights map[string]float64, total float64, engines int) bool {
	assigned := 0
	for _, model := range models {
		ideal := weights[model] / total * float64(engines)
		if math.Abs(float64(shares[model])-ideal) > shareTolerance {
			return false
		}
		assigned += shares[model]
	}
	return assigned == engines
}

// modelWeight returns the expected tokens per step of a model. Models without jobs so far get the
// mean of the others.
func (m *Machine) modelWeight(model string) float64 {
	if tokens, known := m.tokensPerStep[model]; known {
		return tokens
	}
	total := 0.0
	for _, tokens := range m.tokensPerStep {
		total += tokens
	}
	return max(total/float64(max(len(m.tokensPerStep), 1)), 1)
}

// nextModelByQuotient returns the model that gets the next engine: a model without engines first,
// then the one with the highest quotient (Sainte-Laguë method).
func nextModelByQuotient(models []string, targets map[string]int, weights map[string]float64) string {
	return slices.MaxFunc(models, func(a, b string) int {
		if none := cmp.Compare(boolToInt(targets[a] == 0), boolToInt(targets[b] == 0)); none != 0 {
			return none
		}
		return cmp.Compare(weights[a]/float64(2*targets[a]+1), weights[b]/float64(2*targets[b]+1))
	})
}

func boolToInt(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// largestShortfall returns the model that lacks the most engines. Ties go to the model of which
// the engine has the newest weights, so that a successor assigns models as its predecessor did.
func largestShortfall(models []string, targets, shares map[string]int, eng *engine) string {
	return slices.MaxFunc(models, func(a, b string) int {
		if difference := (targets[a] - shares[a]) - (targets[b] - shares[b]); difference != 0 {
			return difference
		}
		return cmp.Compare(eng.versions[a], eng.versions[b])
	})
}

// serviceModels returns the models of a service in sorted order.
func (m *Machine) serviceModels(service string, servers []*directory.Server) []string {
	var models []string
	if m.table != nil {
		models = slices.Clone(m.table.Services[service].Models)
	}
	if len(models) == 0 {
		models = slices.Collect(maps.Keys(servers[0].Versions))
	}
	slices.Sort(models)
	return models
}

// Ordering loads takes time proportional to the number of engines, so it runs less often in large
// fleets.
const (
	// largeFleetEngines is the number of engines from which loads are ordered at intervals.
	largeFleetEngines = 100
	// orderIntervalPerEngine is the interval per engine.
	orderIntervalPerEngine = 10 * time.Microsecond
)

// orderLoads orders engines to load new versions, most urgent first, within the load window of
// each service.
func (m *Machine) orderLoads(now time.Time) {
	if !m.mayOrder || m.stopped {
		m.endDraining()
		return
	}
	interval := time.Duration(len(m.engines)) * orderIntervalPerEngine
	if len(m.engines) >= largeFleetEngines && now.Sub(m.loadsOrderedAt) < interval {
		return // retried on the next tick
	}
	m.loadsOrderedAt = now
	queues := m.loadQueues(now)
	for next := m.mostUrgent(queues); next != nil; next = m.mostUrgent(queues) {
		eng := next.candidates[0].engine
		next.candidates = next.candidates[1:]
		if next.available < minAvailableMargin && len(eng.attempts) > 0 && !tooOldForWaiting(eng, next.waitingJobs) {
			continue
		}
		next.available -= 2
		next.unservedItems -= eng.slots
		m.orderLoad(now, eng)
	}
}

// endDraining lets engines that were draining for a load take items again.
func (m *Machine) endDraining() {
	for _, eng := range m.engines {
		eng.draining = false
	}
}

// minAvailableMargin is the surplus of available over loading engines of a model that is required
// before a busy engine loads while its version still serves. A loading engine starts no items.
const minAvailableMargin = 2

// loadQueue holds the engines of one model and service that may load.
type loadQueue struct {
	service, model string
	candidates     []loadCandidate
	// available is the number of listed engines that are not loading, less the loading ones.
	available int
	// unservedItems is the number of waiting items beyond the slots of the loading engines.
	unservedItems int
	// waitingJobs holds the model's jobs with waiting items.
	waitingJobs []*job
}

type loadCandidate struct {
	engine *engine
	// lag is the number of versions the engine is behind.
	lag int64
}

// loadQueues returns the engines that may load, one queue per model and service. Each queue is
// ordered by lag, then idle engines first, then by event gap. Loads share the bandwidth to the
// weights, so not every engine can load every version; an engine that is one version behind still
// serves.
func (m *Machine) loadQueues(now time.Time) []*loadQueue {
	waiting := make(map[string][]*job)
	for _, job := range m.sortedJobs() {
		if len(job.queue) > 0 {
			waiting[job.model] = append(waiting[job.model], job)
		}
	}
	var queues []*loadQueue
	byName := make(map[[2]string]*loadQueue)
	for _, eng := range m.sortedEngines() {
		name := [2]string{eng.service, eng.model}
		queue := byName[name]
		if queue == nil {
			queue = &loadQueue{service: eng.service, model: eng.model, waitingJobs: waiting[eng.model]}
			for _, job := range queue.waitingJobs {
				queue.unservedItems += len(job.queue)
			}
			byName[name] = queue
			queues = append(queues, queue)
		}
		m.enqueueLoad(now, queue, eng)
	}
	for _, queue := range queues {
		slices.SortStableFunc(queue.candidates, compareLoads)
	}
	return queues
}

func (m *Machine) enqueueLoad(now time.Time, queue *loadQueue, eng *engine) {
	switch {
	case eng.loading:
		queue.available--
		queue.unservedItems -= eng.slots
	case eng.listed:
		queue.available++
	}
	if m.shouldLoad(now, eng, queue.waitingJobs) {
		lag := m.newestVersions[eng.model] - eng.versions[eng.model]
		queue.candidates = append(queue.candidates, loadCandidate{engine: eng, lag: lag})
	}
}

func compareLoads(a, b loadCandidate) int {
	return cmp.Or(
		-cmp.Compare(a.lag, b.lag),
		cmp.Compare(len(a.engine.attempts), len(b.engine.attempts)),
		cmp.Compare(a.engine.gap, b.engine.gap),
	)
}

// mostUrgent returns the queue whose first engine should load next, or nil. Models with unserved
// items come first, then those that lag the most.
func (m *Machine) mostUrgent(queues []*loadQueue) *loadQueue {
	var best *loadQueue
	for _, queue := range queues {
		if len(queue.candidates) == 0 || m.activeLoads[queue.service] >= m.loadWindow(queue.service).limit {
			continue
		}
		if best == nil || queue.moreUrgentThan(best) {
			best = queue
		}
	}
	return best
}

func (q *loadQueue) moreUrgentThan(other *loadQueue) bool {
	if own, others := max(q.unservedItems, 0), max(other.unservedItems, 0); own != others {
		return own > others
	}
	return q.candidates[0].lag > other.candidates[0].lag
}

// initialWindowDivisor divides the number of a service's engines into the initial load window,
// used while the bandwidth to the weights is unknown. That bandwidth grows with the fleet.
const initialWindowDivisor = 6

// listedEngineCount returns the number of listed engines of a service, inside and outside the
// working set.
func (m *Machine) listedEngineCount(service string) int { return len(m.workingSets.listed[service]) }

// loadWindow returns the load window of a service.
func (m *Machine) loadWindow(service string) *loadWindow {
	if m.loadWindows[service] == nil {
		m.loadWindows[service] = newLoadWindow(m.options.ConcurrentLoads, m.listedEngineCount(service)/initialWindowDivisor)
	}
	return m.loadWindows[service]
}

// shouldLoad reports whether an engine may be ordered to load now. It marks the engine as draining
// if it must become idle first, and only while there is a version to load.
func (m *Machine) shouldLoad(now time.Time, eng *engine, waiting []*job) bool {
	eng.draining = false
	if !eng.listed || eng.loading || eng.model == "" || now.Before(eng.nextLoadAt) {
		return false
	}
	if eng.versions[eng.model] >= m.newestVersions[eng.model] {
		return false
	}
	// Runs continue during a load and under the new version afterwards, but a single-version run
	// would have to start over.
	if !eng.runsSingleVersion() {
		return true
	}
	eng.draining = tooOldForWaiting(eng, waiting)
	return false
}

// tooOldForWaiting reports whether a waiting job requires a newer version than the engine has.
func tooOldForWaiting(eng *engine, waiting []*job) bool {
	for _, job := range waiting {
		if job.minimum > eng.versions[eng.model] {
			return true
		}
	}
	return false
}

func (e *engine) runsSingleVersion() bool {
	for _, running := range e.attempts {
		route := running.item.job.route
		if route != nil && route.SingleVersion {
			return true
		}
	}
	return false
}

func (m *Machine) orderLoad(now time.Time, eng *engine) {
	eng.loading = true
	eng.loadStartedAt = now
	m.activeLoads[eng.service]++
	eng.concurrentAtStart, eng.maxConcurrentLoads = m.activeLoads[eng.service], 0
	m.recordConcurrentLoads(eng.service)
	eng.draining = false
	m.output.Orders = append(m.output.Orders, LoadOrder{
		Server:  eng.server,
		Model:   eng.model,
		Version: m.newestVersions[eng.model],
		Mode:    LoadKeep,
		Epoch:   m.epoch,
	})
}

// recordConcurrentLoads updates the maximum concurrency of the loads in progress of a service.
func (m *Machine) recordConcurrentLoads(service string) {
	for _, eng := range m.engines {
		if eng.loading && eng.service == service {
			eng.maxConcurrentLoads = max(eng.maxConcurrentLoads, m.activeLoads[service])
		}
	}
}

// HandleLoad processes the result of a load order.
func (m *Machine) HandleLoad(now time.Time, server Server, model string, result LoadResult) {
	eng := m.engines[server.ID]
	if eng == nil || !eng.server.incarnation().MayBeSame(server.incarnation()) {
		return // result of an order to an earlier incarnation
	}
	if eng.loading {
		m.activeLoads[eng.service]--
	}
	eng.loading = false
	eng.loadEndedAt = now
	if result.Confirmed && result.Version >= m.newestVersions[model] {
		m.loadWindow(eng.service).observe(now, now.Sub(eng.loadStartedAt), eng.concurrentAtStart, eng.maxConcurrentLoads)
	}
	if result.Version > 0 {
		eng.versions[model] = result.Version
	}
	if eng.versions[model] < m.newestVersions[model] {
		eng.nextLoadAt = now.Add(loadRetryDelay)
	}
	eng.resetStallTimers(now, result)
	m.schedule(now)
}

// resetStallTimers restarts the stall timeout of the engine's runs after a load. It does nothing
// if the engine was not reached: such an engine may be ordered again and again, and its runs must
// still be moved.
func (e *engine) resetStallTimers(now time.Time, result LoadResult) {
	if result.Version == 0 {
		return
	}
	for _, running := range e.attempts {
		running.lastEventAt = now
	}
}
