package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

// need is what an event asks of one pool of engines for one model, or of the
// servers of one service.
type need struct {
	kind  cluster.BackendKind
	pool  string
	model cluster.ModelName
	// version is the newest version of model.
	version  cluster.Version
	services []record.ServiceDemand
	rollouts []record.RolloutDemand
	// slots is what one server runs at once.
	slots int
	// count is the number of back ends needed, the spare ones included.
	count int
	// live is the number of back ends there are, chosen those that were picked.
	live   int
	chosen []Backend
}

// String names the need for people.
func (n *need) String() string {
	if n.kind == cluster.KindService {
		return "service " + n.pool
	}
	return "pool " + n.pool + ", model " + string(n.model)
}

func (n *need) unit() string {
	if n.kind == cluster.KindService {
		return "server"
	}
	return "engine"
}

// effort orders back ends by what it takes to make them ready.
func (n *need) effort(b Backend) int {
	switch {
	case n.kind == cluster.KindService:
		return 0
	case b.Model == n.model && b.Version == n.version:
		return 0
	case b.Model == n.model:
		return 1
	case b.Model == "":
		return 2
	default:
		return 3
	}
}

// needs returns what an event asks for: services by name, then pools by name
// and model.
func (m *maker) needs(event record.Event) []*need {
	var needs []*need
	for _, demand := range event.Services {
		found := find(&needs, cluster.KindService, demand.Service, "")
		found.services = append(found.services, demand)
	}
	for _, demand := range event.Rollouts {
		found := find(&needs, cluster.KindEngine, demand.Pool, demand.Model)
		found.rollouts = append(found.rollouts, demand)
	}
	slices.SortStableFunc(needs, func(a, b *need) int {
		return cmp.Or(-cmp.Compare(a.kind, b.kind), cmp.Compare(a.pool, b.pool), cmp.Compare(a.model, b.model))
	})
	for _, need := range needs {
		need.version = m.snapshot.newest(need.model)
		m.count(event, need)
	}
	return needs
}

func find(needs *[]*need, kind cluster.BackendKind, pool string, model cluster.ModelName) *need {
	for _, known := range *needs {
		if known.kind == kind && known.pool == pool && known.model == model {
			return known
		}
	}
	added := &need{kind: kind, pool: pool, model: model}
	*needs = append(*needs, added)
	return added
}

// count finds the number of back ends.
func (m *maker) count(event record.Event, need *need) {
	required := 0.0
	if need.kind == cluster.KindService {
		need.slots = m.serverSlots(need.pool)
		required = m.busySlots(event, need) / (float64(need.slots) * m.parameters.Utilization)
	} else {
		required = m.tokensPerSecond(need) / m.engineRate(need)
	}
	if required > 0 {
		need.count = int(math.Ceil(required-rounding)) + m.parameters.SpareBackends
	}
}

// rounding keeps a quotient that is whole but for the last bits from being
// rounded up.
const rounding = 1e-9

// serverSlots returns the smallest number of slots that a server of the service
// reports, or the default.
func (m *maker) serverSlots(service string) int {
	slots := 0
	for _, backend := range m.snapshot.pool(cluster.KindService, service) {
		if backend.Slots > 0 && (slots == 0 || backend.Slots < slots) {
			slots = backend.Slots
		}
	}
	if slots == 0 {
		return m.parameters.ServerSlots
	}
	return slots
}

// serviceTime returns a server's time for one request.
func (m *maker) serviceTime(demand record.ServiceDemand) time.Duration {
	if demand.ServiceTime > 0 {
		return demand.ServiceTime.Std()
	}
	return m.parameters.ServiceTime
}

// firstRate is the rate of the callers' first requests while the crowd arrives,
// in requests a second.
func firstRate(event record.Event, demand record.ServiceDemand) float64 {
	arrival := event.Arrival.Std()
	if arrival <= 0 {
		arrival = time.Second
	}
	return float64(event.Crowd) * min(1, demand.RequestsPerCaller) / arrival.Seconds()
}

// furtherRate is the rate of all other requests over the event.
func furtherRate(event record.Event, demand record.ServiceDemand) float64 {
	return float64(event.Crowd) * max(0, demand.RequestsPerCaller-1) / event.Duration.Std().Seconds()
}

// peakRate is the largest expected rate of requests.
func peakRate(event record.Event, demand record.ServiceDemand) float64 {
	return firstRate(event, demand) + furtherRate(event, demand)
}

// busySlots is the mean number of requests in service at the peak (Little's law).
func (m *maker) busySlots(event record.Event, need *need) float64 {
	busy := 0.0
	for _, demand := range need.services {
		busy += peakRate(event, demand) * m.serviceTime(demand).Seconds()
	}
	return busy
}

// tokensPerSecond is the output that the trainers ask of a pool.
func (m *maker) tokensPerSecond(need *need) float64 {
	sum := 0.0
	for _, demand := range need.rollouts {
		sum += demandRate(demand)
	}
	return sum
}

// demandRate is one trainer's demand in tokens a second.
func demandRate(demand record.RolloutDemand) float64 {
	if demand.StepEvery <= 0 {
		return 0
	}
	return float64(demand.SamplesPerStep) * float64(demand.MeanTokens) / demand.StepEvery.Std().Seconds()
}

// engineRate is the output that a plan counts on from one engine, in tokens a
// second, less the time in which it loads new versions.
func (m *maker) engineRate(need *need) float64 {
	return m.parameters.EngineTokensPerSecond * m.parameters.Utilization * (1 - m.swapShare(need))
}

// swapShare is the part of the time that an engine spends on loads: one load for
// each version of the need's fastest trainer.
func (m *maker) swapShare(need *need) float64 {
	every := fastestStep(need)
	if every <= 0 {
		return 0
	}
	return min(maxSwapShare, m.parameters.LoadTime.Seconds()/every.Seconds())
}

// maxSwapShare keeps the arithmetic finite for steps shorter than a load.
const maxSwapShare = 0.9

func fastestStep(need *need) time.Duration {
	var fastest time.Duration
	for _, demand := range need.rollouts {
		if every := demand.StepEvery.Std(); every > 0 && (fastest == 0 || every < fastest) {
			fastest = every
		}
	}
	return fastest
}
