package weights

import (
	"cmp"
	"math"
	"slices"

	"dalehook/internal/cluster"
)

// candidate is an engine that needs a load.
type candidate struct {
	engine  Engine
	state   *engineState
	want    target
	kind    need
	demand  Demand
	serving bool
}

// rank orders the candidates: engines that serve nothing or are on a version
// nobody intended, then those whose samples are nearest to missing their bound,
// with the tail of a step last; among equals idle engines first, and the zones
// in turn, so that no zone loses more than its part of the capacity at once.
func rank(candidates []candidate) []candidate {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Or(compareUrgency(a, b), cmp.Compare(a.load(), b.load()), cmp.Compare(a.engine.ID, b.engine.ID))
	})
	return spread(ranked)
}

// compareUrgency orders by what an engine's work loses when it waits.
func compareUrgency(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.group(), b.group()),
		cmp.Compare(a.slack(), b.slack()),
	)
}

// The groups of candidates, the first to be ordered first.
const (
	groupBroken = iota
	groupUsual
	groupTail
)

func (c candidate) group() int {
	switch {
	case !c.serving, c.kind == needCorrection:
		return groupBroken
	case c.demand.Tail && (!c.demand.Bounded || c.demand.Slack > 0):
		return groupTail
	default:
		return groupUsual
	}
}

func (c candidate) slack() int64 {
	if !c.demand.Bounded {
		return math.MaxInt64
	}
	return c.demand.Slack
}

// load counts what the engine is doing; zero means idle.
func (c candidate) load() int { return c.engine.Report.Running + c.engine.Report.Waiting }

// spread takes the zones in turn within each run of equally urgent candidates.
func spread(ranked []candidate) []candidate {
	out := make([]candidate, 0, len(ranked))
	for len(ranked) > 0 {
		end := 1
		for end < len(ranked) && compareUrgency(ranked[0], ranked[end]) == 0 {
			end++
		}
		out = append(out, takeZonesInTurn(ranked[:end])...)
		ranked = ranked[end:]
	}
	return out
}

func takeZonesInTurn(run []candidate) []candidate {
	var zones []cluster.ZoneName
	byZone := map[cluster.ZoneName][]candidate{}
	for _, next := range run {
		zone := next.engine.Zone
		if _, known := byZone[zone]; !known {
			zones = append(zones, zone)
		}
		byZone[zone] = append(byZone[zone], next)
	}
	slices.Sort(zones)
	out := make([]candidate, 0, len(run))
	for round := 0; len(out) < len(run); round++ {
		for _, zone := range zones {
			if round < len(byZone[zone]) {
				out = append(out, byZone[zone][round])
			}
		}
	}
	return out
}
