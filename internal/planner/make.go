package planner

import (
	"cmp"
	"fmt"
	"slices"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

// maker holds a plan while it is made.
type maker struct {
	snapshot   Snapshot
	parameters Parameters
	event      record.Event
	plan       record.Plan
}

// Make computes the plan for an event. The event has passed Check. The same
// event and snapshot give the same plan and digest.
func Make(snapshot Snapshot, event record.Event) record.Plan {
	m := &maker{
		snapshot:   snapshot,
		parameters: snapshot.Parameters.withDefaults(),
		event:      event,
		plan:       record.Plan{Base: snapshot.Revision, Event: event},
	}
	needs := m.needs(event)
	m.explain(needs)
	m.choose(needs)
	m.warm(needs)
	m.load(needs)
	m.limit(needs)
	m.shedOrder()
	m.overlap(needs)
	m.assess(needs)
	m.plan.Digest = Digest(m.plan)
	return m.plan
}

func (m *maker) arithmetic(format string, arguments ...any) {
	m.plan.Arithmetic = append(m.plan.Arithmetic, fmt.Sprintf(format, arguments...))
}

func (m *maker) missing(format string, arguments ...any) {
	m.plan.Missing = append(m.plan.Missing, fmt.Sprintf(format, arguments...))
}

func (m *maker) risk(format string, arguments ...any) {
	m.plan.Risks = append(m.plan.Risks, fmt.Sprintf(format, arguments...))
}

// choose picks the back ends of each need and says what is missing.
func (m *maker) choose(needs []*need) {
	taken := map[cluster.BackendID]bool{}
	for _, need := range needs {
		free := slices.DeleteFunc(m.snapshot.pool(need.kind, need.pool), func(b Backend) bool { return taken[b.ID] })
		need.live = len(free)
		need.chosen = pick(free, need)
		for _, backend := range need.chosen {
			taken[backend.ID] = true
		}
		if short := need.count - len(need.chosen); short > 0 {
			m.missing("%s: %s needed, %d live: %d missing", need, plural(need.count, need.unit()), need.live, short)
		}
	}
}

// pick takes as many back ends as a need counts, spread over the zones, and
// first those that are the cheapest to make ready.
func pick(free []Backend, need *need) []Backend {
	byZone := map[cluster.ZoneName][]Backend{}
	var zones []cluster.ZoneName
	for _, backend := range free {
		if _, known := byZone[backend.Zone]; !known {
			zones = append(zones, backend.Zone)
		}
		byZone[backend.Zone] = append(byZone[backend.Zone], backend)
	}
	slices.Sort(zones)
	for _, zone := range zones {
		slices.SortStableFunc(byZone[zone], func(a, b Backend) int {
			return cmp.Compare(need.effort(a), need.effort(b))
		})
	}
	var chosen []Backend
	for round := 0; len(chosen) < min(need.count, len(free)); round++ {
		for _, zone := range zones {
			if round < len(byZone[zone]) && len(chosen) < need.count {
				chosen = append(chosen, byZone[zone][round])
			}
		}
	}
	return chosen
}

// warm lists the chosen back ends with the time at which they are to be warm.
func (m *maker) warm(needs []*need) {
	at := m.event.Start.Add(-m.parameters.WarmLead)
	for _, need := range needs {
		for _, backend := range need.chosen {
			m.plan.Warm = append(m.plan.Warm, record.WarmBackend{
				Backend: backend.ID, Pool: backend.Pool, Zone: backend.Zone, At: at,
			})
		}
	}
}

// shedOrder names the classes with the least important first. Among classes of
// the same importance, rollouts, which can wait, go before services.
func (m *maker) shedOrder() {
	limits := slices.Clone(m.plan.Limits)
	slices.SortStableFunc(limits, func(a, b record.ClassLimit) int {
		return cmp.Or(
			cmp.Compare(a.Importance, b.Importance),
			compareWaiting(a, b),
			cmp.Compare(a.Class, b.Class),
		)
	})
	for _, limit := range limits {
		m.plan.ShedOrder = append(m.plan.ShedOrder, limit.Class)
	}
}

// compareWaiting puts classes of samples, which have no rate, first.
func compareWaiting(a, b record.ClassLimit) int {
	switch {
	case a.Rate == 0 && b.Rate > 0:
		return -1
	case a.Rate > 0 && b.Rate == 0:
		return 1
	default:
		return 0
	}
}

func plural(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}
