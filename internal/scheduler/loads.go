package scheduler

import (
	"slices"
	"time"
)

// retryLoad is the time between two orders to one engine when the first did not
// bring it to the wanted version.
const retryLoad = 400 * time.Millisecond

// divide gives every engine a model whose new versions it loads, so that the
// models of a service have equal shares. Engines keep their model while the
// shares are equal.
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
	shares := make(map[string]int, len(models))
	for _, known := range engines {
		if slices.Contains(models, known.model) {
			shares[known.model]++
		}
	}
	for _, known := range engines {
		if !slices.Contains(models, known.model) {
			known.model = smallestShare(models, shares, known)
			shares[known.model]++
		}
	}
	m.even(models, shares, engines)
}

// even moves engines from the largest share to the smallest.
func (m *Machine) even(models []string, shares map[string]int, engines []*engine) {
	for {
		smallest := slices.MinFunc(models, func(a, b string) int { return shares[a] - shares[b] })
		largest := slices.MaxFunc(models, func(a, b string) int { return shares[a] - shares[b] })
		if shares[largest]-shares[smallest] < 2 {
			return
		}
		for _, known := range engines {
			if known.model == largest {
				known.model = smallest
				break
			}
		}
		shares[largest]--
		shares[smallest]++
	}
}

// smallestShare picks the model with the fewest engines; of equals, the one that
// the engine has the newest weights of, so that a successor divides as its
// predecessor did.
func smallestShare(models []string, shares map[string]int, known *engine) string {
	return slices.MinFunc(models, func(a, b string) int {
		if difference := shares[a] - shares[b]; difference != 0 {
			return difference
		}
		return int(known.versions[b] - known.versions[a])
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

// orderLoads orders engines to load new versions: an idle engine at once, a busy
// one when work waits that its version may not serve.
func (m *Machine) orderLoads(now time.Time, jobs []*job, engines []*engine) {
	if !m.mayOrder {
		return
	}
	loading := make(map[string]int)
	for _, known := range engines {
		if known.loading {
			loading[known.service]++
		}
	}
	for _, known := range engines {
		if loading[known.service] >= m.options.ConcurrentLoads {
			continue
		}
		if m.shouldLoad(now, known, jobs) {
			m.order(known)
			loading[known.service]++
		}
	}
}

func (m *Machine) shouldLoad(now time.Time, known *engine, jobs []*job) bool {
	if !known.listed || known.loading || known.model == "" || now.Before(known.loadAfter) {
		return false
	}
	if known.versions[known.model] >= m.newest[known.model] {
		return false
	}
	if len(known.attempts) == 0 {
		return true
	}
	for _, open := range jobs {
		if open.model == known.model && len(open.queue) > 0 && open.minimum > known.versions[known.model] {
			return true
		}
	}
	return false
}

func (m *Machine) order(known *engine) {
	known.loading = true
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
