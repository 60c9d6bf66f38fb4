package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"dalehook/internal/directory"
)

// The size of a working set. A model's step of 200 items needs 34 engines of 6 slots; a fleet may list
// thousands. Each engine in use costs a load for each version, and connections; those that are not
// used cost nothing, and load a version within a second when they are.
const (
	// stepsAtOnce is how many steps of a trainer run at once: one may ask for the next before the last
	// items of this one have ended.
	stepsAtOnce = 2
	// spareShare is the engines beyond what runs at once, as a share of it: some load, some are slow, and
	// a third may be lost at once with a zone.
	spareShare = 0.5
	// leastEngines are always used where there are as many: to leave one of so few alone gains less than
	// the spare is worth.
	leastEngines = 200
	// stepsForgotten is the weight of a step that is smaller than the largest before.
	stepsForgotten = 0.1
)

// workingSets chooses, by service, which of the listed engines are used. An engine that is used stays so
// while it is listed, since it has the weights; of the others those with the newest versions come
// first, so that the holder of the next lease goes on with the same ones.
type workingSets struct {
	// listed holds the engines by service, as they were listed last.
	listed map[string][]*directory.Server
	// steps holds the number of items of the largest steps of each model, of late.
	steps map[string]float64
}

func newWorkingSets() workingSets {
	return workingSets{listed: make(map[string][]*directory.Server), steps: make(map[string]float64)}
}

// observeStep takes the number of items of a model's step.
func (w *workingSets) observeStep(model string, items int) {
	known := w.steps[model]
	w.steps[model] = max(float64(items), known-stepsForgotten*(known-float64(items)))
}

// list takes the engines that are listed now.
func (w *workingSets) list(servers []*directory.Server) {
	clear(w.listed)
	for _, server := range servers {
		w.listed[server.Service] = append(w.listed[server.Service], server)
	}
}

// wanted returns how many engines of a number of slots the steps of some models need.
func (w *workingSets) wanted(models []string, slots int) int {
	items := 0.0
	for _, model := range models {
		items += stepsAtOnce * w.steps[model]
	}
	return max(int(math.Ceil(items*(1+spareShare)/float64(max(slots, 1)))), leastEngines)
}

// choose returns the engines to use, of which some are used already. ModelsOf returns the models of a
// service.
func (w *workingSets) choose(used func(id string) bool, modelsOf func(service string, servers []*directory.Server) []string) []*directory.Server {
	var chosen []*directory.Server
	for _, service := range slices.Sorted(maps.Keys(w.listed)) {
		servers := w.listed[service]
		wanted := w.wanted(modelsOf(service, servers), servers[0].Slots)
		chosen = append(chosen, chooseOf(servers, wanted, used)...)
	}
	return chosen
}

// chooseOf returns those of the servers that are used, and others up to a number.
func chooseOf(servers []*directory.Server, wanted int, used func(id string) bool) []*directory.Server {
	if len(servers) <= wanted {
		return servers
	}
	var chosen []*directory.Server
	var resting []restingEngine
	for _, server := range servers {
		if used(server.ID) {
			chosen = append(chosen, server)
			continue
		}
		resting = append(resting, restingEngine{server: server})
	}
	missing := wanted - len(chosen)
	if missing <= 0 {
		return chosen
	}
	for i := range resting {
		resting[i].newness = newness(resting[i].server)
	}
	slices.SortStableFunc(resting, func(a, b restingEngine) int { return cmp.Compare(b.newness, a.newness) })
	for _, next := range resting[:min(missing, len(resting))] {
		chosen = append(chosen, next.server)
	}
	return chosen
}

// restingEngine is an engine that is not used, and how new its weights are.
type restingEngine struct {
	server  *directory.Server
	newness int64
}

// newness rates how much an engine has loaded.
func newness(server *directory.Server) int64 {
	sum := int64(0)
	for _, version := range server.Versions {
		sum += version
	}
	return sum
}
