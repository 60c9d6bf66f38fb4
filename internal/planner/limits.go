package planner

import (
	"cmp"
	"math"
	"slices"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

// minimumRate is the lowest limit of a class in requests a second, since zero
// means no limit.
const minimumRate = 0.1

// limit sets each class's limit: what the planned back ends carry for it when
// the more important classes take their planned peak and the less important
// ones are shed.
func (m *maker) limit(needs []*need) {
	for _, need := range needs {
		if need.kind == cluster.KindService {
			m.limitService(need)
		} else {
			m.limitPool(need)
		}
	}
	slices.SortStableFunc(m.plan.Limits, func(a, b record.ClassLimit) int { return cmp.Compare(a.Class, b.Class) })
}

// capacity is the number of slots up to which limits let requests in.
func (m *maker) capacity(need *need) float64 {
	return float64(len(need.chosen)*need.slots) * m.parameters.LimitUtilization
}

func (m *maker) limitService(need *need) {
	free := m.capacity(need)
	for _, demand := range byImportance(need.services, func(d record.ServiceDemand) int { return d.Importance }) {
		seconds := m.serviceTime(demand).Seconds()
		m.addLimit(record.ClassLimit{
			Class:      demand.ClassName(),
			Rate:       math.Max(minimumRate, roundDown(free/seconds)),
			Concurrent: max(1, int(free)),
			Importance: demand.Importance,
		})
		free = math.Max(0, free-peakRate(m.event, demand)*seconds)
	}
}

// limitPool bounds the samples of a trainer by two steps, so that one trainer
// can run ahead by a step and no further.
func (m *maker) limitPool(need *need) {
	for _, demand := range need.rollouts {
		m.addLimit(record.ClassLimit{
			Class:      demand.ClassName(),
			Concurrent: max(1, stepsInFlight*demand.SamplesPerStep),
			Importance: demand.Importance,
		})
	}
}

// stepsInFlight is the number of steps of a trainer that may run at once.
const stepsInFlight = 2

// addLimit merges limits of the same class.
func (m *maker) addLimit(limit record.ClassLimit) {
	for i := range m.plan.Limits {
		known := &m.plan.Limits[i]
		if known.Class == limit.Class {
			known.Rate += limit.Rate
			known.Concurrent += limit.Concurrent
			known.Importance = max(known.Importance, limit.Importance)
			return
		}
	}
	m.plan.Limits = append(m.plan.Limits, limit)
}

// byImportance returns the demands with the most important first.
func byImportance[D any](demands []D, importance func(D) int) []D {
	sorted := slices.Clone(demands)
	slices.SortStableFunc(sorted, func(a, b D) int { return -cmp.Compare(importance(a), importance(b)) })
	return sorted
}

// roundDown keeps one decimal.
func roundDown(value float64) float64 { return math.Floor(value*10+rounding) / 10 }
