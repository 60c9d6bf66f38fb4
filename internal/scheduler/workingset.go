package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"dalehook/internal/directory"
)

// Working set sizing. A model's step of 200 items needs 34 engines of 6 slots, while a fleet may
// list thousands. Each engine in use costs a load for each version, and connections; an unused
// engine costs nothing and loads a version within a second when needed.
const (
	// concurrentSteps is the number of steps that one trainer runs at once: it may submit the next
	// step before the last items of the current one have ended.
	concurrentSteps = 2
	// spareFraction is the fraction of additional engines: some are loading, some are slow, and a
	// third may be lost at once with a zone.
	spareFraction = 0.5
	// minWorkingSet is the number of engines that are always used if listed. Leaving out some of
	// so few saves less than spare engines are worth.
	minWorkingSet = 200
	// stepSizeDecay is the weight of a step that is smaller than the recent maximum.
	stepSizeDecay = 0.1
)

// workingSets selects which of the listed engines of each service are used. An engine stays in use
// while it is listed, since it has the weights. Engines with the newest versions are added first,
// so that the next lease holder continues with the same ones.
type workingSets struct {
	// listed holds the currently listed engines by service.
	listed map[string][]*directory.Server
	// stepSizes holds the recent maximum number of items per step, by model.
	stepSizes map[string]float64
}

func newWorkingSets() workingSets {
	return workingSets{listed: make(map[string][]*directory.Server), stepSizes: make(map[string]float64)}
}

// observeStep records the number of items of a model's step.
func (w *workingSets) observeStep(model string, items int) {
	previous := w.stepSizes[model]
	w.stepSizes[model] = max(float64(items), previous-stepSizeDecay*(previous-float64(items)))
}

// setListed replaces the listed engines.
func (w *workingSets) setListed(servers []*directory.Server) {
	clear(w.listed)
	for _, server := range servers {
		w.listed[server.Service] = append(w.listed[server.Service], server)
	}
}

// requiredEngines returns the number of engines, of the given slots each, that the steps of some
// models need.
func (w *workingSets) requiredEngines(models []string, slots int) int {
	items := 0.0
	for _, model := range models {
		items += concurrentSteps * w.stepSizes[model]
	}
	return max(int(math.Ceil(items*(1+spareFraction)/float64(max(slots, 1)))), minWorkingSet)
}

// choose returns the engines to use. used reports whether an engine is in use already, and
// modelsOf returns the models of a service.
func (w *workingSets) choose(used func(id string) bool, modelsOf func(service string, servers []*directory.Server) []string) []*directory.Server {
	var chosen []*directory.Server
	for _, service := range slices.Sorted(maps.Keys(w.listed)) {
		servers := w.listed[service]
		wanted := w.requiredEngines(modelsOf(service, servers), servers[0].Slots)
		chosen = append(chosen, chooseServers(servers, wanted, used)...)
	}
	return chosen
}

// chooseServers returns the servers in use, and others up to the wanted number.
func chooseServers(servers []*directory.Server, wanted int, used func(id string) bool) []*directory.Server {
	if len(servers) <= wanted {
		return servers
	}
	var chosen []*directory.Server
	var unused []unusedServer
	for _, server := range servers {
		if used(server.ID) {
			chosen = append(chosen, server)
			continue
		}
		unused = append(unused, unusedServer{server: server})
	}
	missing := wanted - len(chosen)
	if missing <= 0 {
		return chosen
	}
	for i := range unused {
		unused[i].versionSum = versionSum(unused[i].server)
	}
	slices.SortStableFunc(unused, func(a, b unusedServer) int { return cmp.Compare(b.versionSum, a.versionSum) })
	for _, next := range unused[:min(missing, len(unused))] {
		chosen = append(chosen, next.server)
	}
	return chosen
}

// unusedServer is a server that is not in use, with the sum of its versions.
type unusedServer struct {
	server     *directory.Server
	versionSum int64
}

// versionSum returns the sum of a server's versions; servers with newer weights have higher sums.
func versionSum(server *directory.Server) int64 {
	sum := int64(0)
	for _, version := range server.Versions {
		sum += version
	}
	return sum
}
