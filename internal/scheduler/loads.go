package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
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
	models := m.modelsOf(service, engines)
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
func (m *Machine) modelsOf(service string, engines []*engine) []string {
	var models []string
	if m.table != nil {
		models = slices.Clone(m.table.Services[service].Models)
	}
	if len(models) == 0 {
		for model := range engines[0].versions {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}

// orderLoads orders engines to load new versions, as many at once as the window of
// their service allows, the most urgent first.
func (m *Machine) orderLoads(now time.Time, jobs []*job, engines []*engine) {
	if !m.mayOrder {
		return
	}
	loading := make(map[string]int)
	open := make(map[string]int)
	short := m.missingSlots(jobs, engines)
	var candidates []*engine
	for _, known := range engines {
		switch {
		case known.loading:
			loading[known.service]++
			open[known.model]--
		case known.listed:
			open[known.model]++
		}
		if m.shouldLoad(now, known, jobs) {
			candidates = append(candidates, known)
		}
	}
	for len(candidates) > 0 {
		next := slices.MinFunc(candidates, func(a, b *engine) int { return m.compareUrgency(short, a, b) })
		candidates = slices.DeleteFunc(candidates, func(other *engine) bool { return other == next })
		if loading[next.service] >= m.loadWindow(next.service).limit {
			continue
		}
		if open[next.model] < openMargin && len(next.attempts) > 0 && !servesNothing(next, jobs) {
			continue
		}
		loading[next.service]++
		open[next.model] -= 2
		short[next.model] -= next.slots
		next.loadsAtOnce = loading[next.service]
		m.order(now, next)
	}
}

// openMargin is how many more engines of a model must take items than load, for a
// busy one to load while its version still serves. A loading engine starts nothing.
const openMargin = 2

// firstWindowShare is the share of a service's engines that load at once while nothing
// is known of the way to the weights, which grows with the fleet.
const firstWindowShare = 6

func (m *Machine) listedEngines(service string) int {
	count := 0
	for _, known := range m.engines {
		if known.listed && known.service == service {
			count++
		}
	}
	return count
}

// missingSlots returns, by model, how many items wait beyond the slots of the
// engines that are loading already.
func (m *Machine) missingSlots(jobs []*job, engines []*engine) map[string]int {
	missing := make(map[string]int)
	for _, open := range jobs {
		missing[open.model] += len(open.queue)
	}
	for _, known := range engines {
		if known.loading {
			missing[known.model] -= known.slots
		}
	}
	return missing
}

// compareUrgency orders engines by how much their loads are needed: those of models
// whose items wait for engines, then those the most versions behind, then idle ones,
// then the fastest. Loads share the way to the weights, so that not every engine can
// load every version; one that is a version behind still serves.
func (m *Machine) compareUrgency(short map[string]int, a, b *engine) int {
	return cmp.Or(
		-cmp.Compare(max(short[a.model], 0), max(short[b.model], 0)),
		-cmp.Compare(m.lag(a), m.lag(b)),
		cmp.Compare(len(a.attempts), len(b.attempts)),
		cmp.Compare(a.gap, b.gap),
		cmp.Compare(a.server.ID, b.server.ID),
	)
}

// lag returns how many versions an engine is behind.
func (m *Machine) lag(known *engine) int64 {
	return m.newest[known.model] - known.versions[known.model]
}

// loadWindow returns the bound of a service's loads at once.
func (m *Machine) loadWindow(service string) *loadWindow {
	if m.windows[service] == nil {
		m.windows[service] = newLoadWindow(m.options.ConcurrentLoads, m.listedEngines(service)/firstWindowShare)
	}
	return m.windows[service]
}

func (m *Machine) shouldLoad(now time.Time, known *engine, jobs []*job) bool {
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
	known.draining = servesNothing(known, jobs)
	return false
}

// servesNothing says whether items wait that an engine's version may not serve.
func servesNothing(known *engine, jobs []*job) bool {
	for _, open := range jobs {
		if open.model == known.model && len(open.queue) > 0 && open.minimum > known.versions[known.model] {
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
	known.draining = false
	m.output.Orders = append(m.output.Orders, Order{
		Server:  known.server,
		Model:   known.model,
		Version: m.newest[known.model],
		Mode:    LoadKeep,
		Epoch:   m.epoch,
	})
}

// HandleLoad takes what an order came to.
func (m *Machine) HandleLoad(now time.Time, serverID, model string, load Load) {
	known := m.engines[serverID]
	if known == nil {
		return
	}
	known.loading = false
	if load.Ordered && load.Version >= m.newest[model] {
		m.loadWindow(known.service).observe(now, now.Sub(known.loadBegan), known.loadsAtOnce)
	}
	if load.Version > 0 {
		known.versions[model] = load.Version
	}
	if known.versions[model] < m.newest[model] {
		known.loadAfter = now.Add(retryLoad)
	}
	for _, running := range known.attempts {
		running.lastSeen = now
	}
	m.schedule(now)
}
