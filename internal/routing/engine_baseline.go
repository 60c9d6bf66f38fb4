package routing

import (
	"math/rand/v2"
	"slices"

	"dalehook/internal/cluster"
)

// The baselines place every waiting sample at once, in the order in which the
// trainer posted them, and leave queueing to the engines. They move nothing.

// roundRobinPolicy takes the engines in turn.
type roundRobinPolicy struct{ next int }

// Name implements EnginePolicy.
func (p *roundRobinPolicy) Name() string { return PolicyRoundRobin }

// Place implements EnginePolicy.
func (p *roundRobinPolicy) Place(request PlaceRequest) []Placement {
	return placeEach(request, func(engines []Engine) int {
		chosen := p.next % len(engines)
		p.next++
		return chosen
	})
}

// Move implements EnginePolicy.
func (p *roundRobinPolicy) Move(MoveRequest) []Placement { return nil }

// leastLoadedPolicy takes the engine with the fewest requests.
type leastLoadedPolicy struct{}

// Name implements EnginePolicy.
func (p *leastLoadedPolicy) Name() string { return PolicyLeastLoaded }

// Place implements EnginePolicy.
func (p *leastLoadedPolicy) Place(request PlaceRequest) []Placement {
	return placeEach(request, func(engines []Engine) int {
		chosen := 0
		for i := range engines {
			if engines[i].requests() < engines[chosen].requests() {
				chosen = i
			}
		}
		return chosen
	})
}

// Move implements EnginePolicy.
func (p *leastLoadedPolicy) Move(MoveRequest) []Placement { return nil }

// randomOfTwoPolicy draws two engines and takes the one with fewer requests.
type randomOfTwoPolicy struct{ random *rand.Rand }

// policyStream is the second half of the seed of a policy's random numbers.
const policyStream = 0x706f6c696379

func newRandomOfTwoPolicy(seed uint64) *randomOfTwoPolicy {
	return &randomOfTwoPolicy{random: rand.New(rand.NewPCG(seed, policyStream))}
}

// Name implements EnginePolicy.
func (p *randomOfTwoPolicy) Name() string { return PolicyRandomOfTwo }

// Place implements EnginePolicy.
func (p *randomOfTwoPolicy) Place(request PlaceRequest) []Placement {
	return placeEach(request, func(engines []Engine) int {
		first := p.random.IntN(len(engines))
		second := p.random.IntN(len(engines))
		if engines[second].requests() < engines[first].requests() {
			return second
		}
		return first
	})
}

// Move implements EnginePolicy.
func (p *randomOfTwoPolicy) Move(MoveRequest) []Placement { return nil }

// placeEach places every waiting sample by itself. An engine that could only
// produce samples over the bound is left out, as any router has to.
func placeEach(request PlaceRequest, choose func([]Engine) int) []Placement {
	engines := usable(request.Engines, request.Newest, request.Bound)
	if len(engines) == 0 {
		return nil
	}
	placements := make([]Placement, 0, len(request.Waiting))
	for _, work := range request.Waiting {
		engine := &engines[choose(engines)]
		engine.take(work)
		placements = append(placements, Placement{Sample: work.Sample, Engine: engine.ID, Address: engine.Address})
	}
	return placements
}

// usable returns a copy of the engines that may get work.
func usable(engines []Engine, newest cluster.Version, bound int64) []Engine {
	kept := slices.Clone(engines)
	return slices.DeleteFunc(kept, func(e Engine) bool {
		return e.Leaving || TooOld(e.Version, newest, bound)
	})
}
