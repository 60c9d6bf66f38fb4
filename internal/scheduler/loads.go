package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dalehook/internal/directory"
)

// retryLoad is the time between two orders to one engine when the first did not
// bring it to the wanted version.
const retryLoad = 400 * time.Millisecond

// divide gives every engine a model whose new versions it loads, so that the
// models of a service have shares by their demand. Engines keep their model while
// the shares do not change.
func (m *Machine) divide() {
	byService := make(map[string][]*engine)
	for _, known := range m.sortedEngines() {
		if known.listed && len(known.versions) > 0 {
			byService[known.service] = append(byService[known.service], known)
		}
	}
	for service, engines := range byService {
		m.divideService(service, engines)
	}
}

func (m *Machine) divideService(service string, engines []*engine) {
	models := m.modelsOf(service, m.sets.listed[service])
	if len(models) == 0 {
		return
	}
	targets := m.targets(models, engines)
	shares := make(map[string]int, len(models))
	for _, known := range engines {
		if shares[known.model] < targets[known.model] {
			shares[known.model]++
			continue
		}
		known.model = ""
	}
	for _, known := range engines {
		if known.model == "" {
			known.model = mostWanted(models, targets, shares, known)
			shares[known.model]++
		}
	}
}

// targets returns how many engines each model is to have: in proportion to the
// work of its steps, and at least one where there are enough.
// Shares that are nearly in proportion stay, since a move costs a load.
func (m *Machine) targets(models []string, engines []*engine) map[string]int {
	weights := make(map[string]float64, len(models))
	total := 0.0
	for _, model := range models {
		weights[model] = m.weight(model)
		total += weights[model]
	}
	targets := make(map[string]int, len(models))
	for _, known := range engines {
		if known.model != "" {
			targets[known.model]++
		}
	}
	if inProportion(models, targets, weights, total, len(engines)) {
		return targets
	}
	clear(targets)
	for range engines {
		targets[mostBehind(models, targets, weights)]++
	}
	return targets
}

// tolerated is how many engines a model's share may be off its proportion.
const tolerated = 0.8

func inProportion(models []string, shares map[string]int, weights map[string]float64, total float64, engines int) bool {
	assigned := 0
	for _, model := range models {
		ideal := weights[model] / total * float64(engines)
		if math.Abs(float64(shares[model])-ideal) > tolerated {
			return false
		}
		assigned += shares[model]
	}
	return assigned == engines
}

// weight returns the demand of a model; models without jobs yet count as equals.
func (m *Machine) weight(model string) float64 {
	if demand, known := m.demand[model]; known {
		return demand
	}
	total := 0.0
	for _, demand := range m.demand {
		total += demand
	}
	return max(total/float64(max(len(m.demand), 1)), 1)
}

// mostBehind returns the model whose next engine is due first: models without an
// engine, then the least engines for its weight (the Sainte-Laguë method).
func mostBehind(models []string, targets map[string]int, weights map[string]float64) string {
	return slices.MaxFunc(models, func(a, b string) int {
		if none := cmp.Compare(boolean(targets[a] == 0), boolean(targets[b] == 0)); none != 0 {
			return none
		}
		return cmp.Compare(weights[a]/float64(2*targets[a]+1), weights[b]/float64(2*targets[b]+1))
	})
}

func boolean(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// mostWanted picks the model that lacks the most engines; of equals, the one that
// the engine has the newest weights of, so that a successor divides as its
// predecessor did.
func mostWanted(models []string, targets, shares map[string]int, known *engine) string {
	return slices.MaxFunc(models, func(a, b string) int {
		if difference := (targets[a] - shares[a]) - (targets[b] - shares[b]); difference != 0 {
			return difference
		}
		return cmp.Compare(known.versions[a], known.versions[b])
	})
}

// modelsOf returns the models of a service, ordered.
func (m *Machine) modelsOf(service string, servers []*directory.Server) []string {
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

// Looking at all engines takes time in proportion to their number, so that a fleet of
// many is looked at a little less often.
const (
	// manyEngines is the number from which on loads are ordered in intervals.
	manyEngines = 100
	// orderIntervalPerEngine is the interval for each engine.
	orderIntervalPerEngine = 10 * time.Microsecond
)

// orderLoads orders engines to load new versions, as many at once as the window of
// their service allows, the most urgent first.
func (m *Machine) orderLoads(now time.Time) {
	if !m.mayOrder || m.resigned {
		m.endDraining()
		return
	}
	interval := time.Duration(len(m.engines)) * orderIntervalPerEngine
	if len(m.engines) >= manyEngines && now.Sub(m.loadsOrderedAt) < interval {
		return // the next tick looks again
	}
	m.loadsOrderedAt = now
	queues := m.loadQueues(now)
	for next := m.mostUrgent(queues); next != nil; next = m.mostUrgent(queues) {
		known := next.candidates[0].engine
		next.candidates = next.candidates[1:]
		if next.open < openMargin && len(known.attempts) > 0 && !servesNothing(known, next.waiting) {
			continue
		}
		next.open -= 2
		next.missing -= known.slots
		m.order(now, known)
	}
}

// endDraining has engines take items that were to become idle for an order.
func (m *Machine) endDraining() {
	for _, known := range m.engines {
		known.draining = false
	}
}

// openMargin is how many more engines of a model must take items than load, for a
// busy one to load while its version still serves. A loading engine starts nothing.
const openMargin = 2

// loadQueue holds the engines of a model and service that may load.
type loadQueue struct {
	service, model string
	candidates     []loadCandidate
	// open is how many more engines take items than load.
	open int
	// missing is how many items wait beyond the slots that are loading.
	missing int
	// waiting holds the model's jobs with items that wait.
	waiting []*job
}

type loadCandidate struct {
	engine *engine
	// lag is how many versions the engine is behind.
	lag int64
}

// loadQueues returns the engines that may load, those of one model and service in the
// order in which they should: the most versions behind, then idle ones, then the
// fastest. Loads share the way to the weights, so that not every engine can load every
// version; one that is a version behind still serves.
func (m *Machine) loadQueues(now time.Time) []*loadQueue {
	waiting := make(map[string][]*job)
	for _, open := range m.sortedJobs() {
		if len(open.queue) > 0 {
			waiting[open.model] = append(waiting[open.model], open)
		}
	}
	var queues []*loadQueue
	byName := make(map[[2]string]*loadQueue)
	for _, known := range m.sortedEngines() {
		name := [2]string{known.service, known.model}
		queue := byName[name]
		if queue == nil {
			queue = &loadQueue{service: known.service, model: known.model, waiting: waiting[known.model]}
			for _, open := range queue.waiting {
				queue.missing += len(open.queue)
			}
			byName[name] = queue
			queues = append(queues, queue)
		}
		m.enqueueLoad(now, queue, known)
	}
	for _, queue := range queues {
		slices.SortStableFunc(queue.candidates, compareLoads)
	}
	return queues
}

func (m *Machine) enqueueLoad(now time.Time, queue *loadQueue, known *engine) {
	switch {
	case known.loading:
		queue.open--
		queue.missing -= known.slots
	case known.listed:
		queue.open++
	}
	if m.shouldLoad(now, known, queue.waiting) {
		lag := m.newest[known.model] - known.versions[known.model]
		queue.candidates = append(queue.candidates, loadCandidate{engine: known, lag: lag})
	}
}

func compareLoads(a, b loadCandidate) int {
	return cmp.Or(
		-cmp.Compare(a.lag, b.lag),
		cmp.Compare(len(a.engine.attempts), len(b.engine.attempts)),
		cmp.Compare(a.engine.gap, b.engine.gap),
	)
}

// mostUrgent returns the queue whose first engine is to load next, nil when none is:
// models whose items wait come first, then those the most versions behind.
func (m *Machine) mostUrgent(queues []*loadQueue) *loadQueue {
	var best *loadQueue
	for _, queue := range queues {
		if len(queue.candidates) == 0 || m.loading[queue.service] >= m.loadWindow(queue.service).limit {
			continue
		}
		if best == nil || queue.before(best) {
			best = queue
		}
	}
	return best
}

func (q *loadQueue) before(other *loadQueue) bool {
	if own, others := max(q.missing, 0), max(other.missing, 0); own != others {
		return own > others
	}
	return q.candidates[0].lag > other.candidates[0].lag
}

// firstWindowShare is the share of a service's engines that load at once while nothing
// is known of the way to the weights, which grows with the fleet.
const firstWindowShare = 6

// listedEngines returns how many engines of a service there are, used or not.
func (m *Machine) listedEngines(service string) int { return len(m.sets.listed[service]) }

// loadWindow returns the bound of a service's loads at once.
func (m *Machine) loadWindow(service string) *loadWindow {
	if m.windows[service] == nil {
		m.windows[service] = newLoadWindow(m.options.ConcurrentLoads, m.listedEngines(service)/firstWindowShare)
	}
	return m.windows[service]
}

// shouldLoad says whether an engine may be ordered to load now, and has it take no items where it
// is to become idle first: only as long as there is something to load.
func (m *Machine) shouldLoad(now time.Time, known *engine, waiting []*job) bool {
	known.draining = false
	if !known.listed || known.loading || known.model == "" || now.Before(known.loadAfter) {
		return false
	}
	if known.versions[known.model] >= m.newest[known.model] {
		return false
	}
	// Runs go on while their engine loads, and under the new version afterwards. A
	// run of a single version would start anew under the next one.
	if !known.runsSingleVersion() {
		return true
	}
	known.draining = servesNothing(known, waiting)
	return false
}

// servesNothing says whether items wait that an engine's version may not serve.
func servesNothing(known *engine, waiting []*job) bool {
	for _, open := range waiting {
		if open.minimum > known.versions[known.model] {
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

func (m *Machine) order(now time.Time, known *engine) {
	known.loading = true
	known.loadBegan = now
	m.loading[known.service]++
	known.loadBeganAs, known.loadsAtOnce = m.loading[known.service], 0
	m.countLoads(known.service)
	known.draining = false
	m.output.Orders = append(m.output.Orders, Order{
		Server:  known.server,
		Model:   known.model,
		Version: m.newest[known.model],
		Mode:    LoadKeep,
		Epoch:   m.epoch,
	})
}

// countLoads notes at the engines of a service that load how many do so at once.
func (m *Machine) countLoads(service string) {
	for _, known := range m.engines {
		if known.loading && known.service == service {
			known.loadsAtOnce = max(known.loadsAtOnce, m.loading[service])
		}
	}
}

// HandleLoad takes what an order came to.
func (m *Machine) HandleLoad(now time.Time, server Server, model string, load Load) {
	known := m.engines[server.ID]
	if known == nil || !known.server.incarnation().MayBeSame(server.incarnation()) {
		return // the order was given to an earlier life
	}
	if known.loading {
		m.loading[known.service]--
	}
	known.loading = false
	if load.Ordered && load.Version >= m.newest[model] {
		m.loadWindow(known.service).observe(now, now.Sub(known.loadBegan), known.loadBeganAs, known.loadsAtOnce)
	}
	if load.Version > 0 {
		known.versions[model] = load.Version
	}
	if known.versions[model] < m.newest[model] {
		known.loadAfter = now.Add(retryLoad)
	}
	known.noteLoaded(now, load)
	m.schedule(now)
}

// noteLoaded lets the runs of an engine go on after a load. One that was not reached does not
// count as heard of: it may be ordered again and again, and its runs are to be moved.
func (e *engine) noteLoaded(now time.Time, load Load) {
	if load.Version == 0 {
		return
	}
	for _, running := range e.attempts {
		running.lastSeen = now
	}
}
