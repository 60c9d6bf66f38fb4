package planner

import (
	"cmp"
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

// load schedules the loads of the chosen engines backwards from the start: the
// last one ends LoadMargin before it, and each earlier one begins as much
// earlier as the weight store's rate and the pool's floor ask for.
func (m *maker) load(needs []*need) {
	queue := m.loadQueue(needs)
	if len(queue) == 0 {
		return
	}
	store := time.Duration(float64(time.Second) / m.parameters.StoreLoadsPerSecond)
	latest := m.event.Start.Add(-m.parameters.LoadMargin - m.parameters.LoadTime)
	storeNext := latest
	poolNext := map[string]time.Time{}
	for _, load := range queue {
		at := storeNext
		if next, ok := poolNext[load.Pool]; ok && next.Before(at) {
			at = next
		}
		storeNext = at.Add(-store)
		poolNext[load.Pool] = at.Add(-m.poolSpacing(load.Pool))
		load.At = at.Truncate(time.Millisecond)
		m.plan.Loads = append(m.plan.Loads, load)
	}
	slices.SortStableFunc(m.plan.Loads, func(a, b record.LoadVersion) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Engine, b.Engine))
	})
	m.explainLoads(store)
}

// loadQueue returns the loads that are needed, the last to be done first: the
// engines of the pools in turn.
func (m *maker) loadQueue(needs []*need) []record.LoadVersion {
	var lists [][]record.LoadVersion
	for _, need := range needs {
		if need.kind != cluster.KindEngine || need.count == 0 {
			continue
		}
		if need.version == 0 {
			m.missing("%s: no version was announced", need)
			continue
		}
		lists = append(lists, m.needLoads(need))
	}
	var queue []record.LoadVersion
	for round, more := 0, true; more; round++ {
		more = false
		for _, list := range lists {
			if round < len(list) {
				queue = append(queue, list[round])
				more = true
			}
		}
	}
	return queue
}

func (m *maker) needLoads(need *need) []record.LoadVersion {
	var loads []record.LoadVersion
	for _, engine := range need.chosen {
		// An engine with a later version is ahead of this snapshot, not behind.
		if engine.Model == need.model && engine.Version >= need.version {
			continue
		}
		loads = append(loads, record.LoadVersion{
			Engine: engine.ID, Pool: engine.Pool, Zone: engine.Zone, Model: need.model, Version: need.version,
		})
	}
	slices.Reverse(loads)
	return loads
}

// poolSpacing is the time between two loads of a pool, so that no more engines
// load at once than the pool can spare.
func (m *maker) poolSpacing(pool string) time.Duration {
	engines := len(m.snapshot.pool(cluster.KindEngine, pool))
	atOnce := max(1, int(float64(engines)*m.parameters.MaxSwapFraction))
	return m.parameters.LoadTime / time.Duration(atOnce)
}

func (m *maker) explainLoads(store time.Duration) {
	start := m.event.Start
	first := m.plan.Loads[0].At
	m.arithmetic("loads: the store allows %.4g/s, one each %v; a load takes %v",
		m.parameters.StoreLoadsPerSecond, store, m.parameters.LoadTime)
	for _, pool := range loadedPools(m.plan.Loads) {
		m.arithmetic("loads: pool %s loads at most %.0f%% of its engines at once, one each %v",
			pool, m.parameters.MaxSwapFraction*100, m.poolSpacing(pool))
	}
	m.arithmetic("loads: %s, the first begins at %s, the last is done at %s, %v before the start",
		plural(len(m.plan.Loads), "engine"), clock(first), clock(start.Add(-m.parameters.LoadMargin)), m.parameters.LoadMargin)
	late := m.snapshot.Now.Sub(first).Round(time.Second)
	switch {
	case late > m.parameters.LoadMargin:
		m.missing("loads: the first had to begin at %s, %v ago: the last engine is ready %v after the start",
			clock(first), late, late-m.parameters.LoadMargin)
	case late > 0:
		m.risk("loads: the first had to begin at %s, %v ago: the last engine is ready %v before the start instead of %v",
			clock(first), late, m.parameters.LoadMargin-late, m.parameters.LoadMargin)
	}
}

func loadedPools(loads []record.LoadVersion) []string {
	var pools []string
	for _, load := range loads {
		if !slices.Contains(pools, load.Pool) {
			pools = append(pools, load.Pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// clock writes a time of day with its offset, as the event states it.
func clock(at time.Time) string { return at.Format("15:04:05 -07:00") }
