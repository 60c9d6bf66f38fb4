package planner

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

// explain writes the arithmetic of each need, a step a line.
func (m *maker) explain(needs []*need) {
	for _, need := range needs {
		if need.kind == cluster.KindService {
			m.explainService(need)
		} else {
			m.explainPool(need)
		}
	}
}

func (m *maker) explainService(need *need) {
	for _, demand := range need.services {
		m.explainServiceDemand(demand)
	}
	m.arithmetic("%s: %.2f busy slots / (%d slots a server x %.0f%%) = %.2f, rounded up, and %d spare: %s",
		need, m.busySlots(m.event, need), need.slots, m.parameters.Utilization*100,
		m.busySlots(m.event, need)/(float64(need.slots)*m.parameters.Utilization),
		m.parameters.SpareBackends, plural(need.count, need.unit()))
}

func (m *maker) explainServiceDemand(demand record.ServiceDemand) {
	class := demand.ClassName()
	peak := peakRate(m.event, demand)
	m.arithmetic("class %s: first requests %d callers x %.4g in %v = %.2f/s",
		class, m.event.Crowd, min(1, demand.RequestsPerCaller), m.event.Arrival.Std(), firstRate(m.event, demand))
	m.arithmetic("class %s: further requests %d callers x %.4g in %v = %.2f/s",
		class, m.event.Crowd, max(0, demand.RequestsPerCaller-1), m.event.Duration.Std(), furtherRate(m.event, demand))
	m.arithmetic("class %s: peak %.2f/s x %v = %.2f busy slots",
		class, peak, m.serviceTime(demand), peak*m.serviceTime(demand).Seconds())
}

func (m *maker) explainPool(need *need) {
	for _, demand := range need.rollouts {
		m.explainRolloutDemand(demand)
	}
	m.arithmetic("%s: one engine gives %.0f tokens/s x %.0f%% x (1 - %.1f%% of the time for loads) = %.0f tokens/s",
		need, m.parameters.EngineTokensPerSecond, m.parameters.Utilization*100, m.swapShare(need)*100, m.engineRate(need))
	m.arithmetic("%s: %.0f tokens/s / %.0f tokens/s = %.2f, rounded up, and %d spare: %s",
		need, m.tokensPerSecond(need), m.engineRate(need), m.tokensPerSecond(need)/m.engineRate(need),
		m.parameters.SpareBackends, plural(need.count, need.unit()))
}

func (m *maker) explainRolloutDemand(demand record.RolloutDemand) {
	class := demand.ClassName()
	m.arithmetic("class %s: %d samples x %d tokens every %v = %.0f tokens/s",
		class, demand.SamplesPerStep, demand.MeanTokens, demand.StepEvery.Std(), demandRate(demand))
	m.arithmetic("class %s: the longest sample alone is %d tokens / %.0f tokens/s = %v",
		class, demand.MaxTokens, m.parameters.StreamTokensPerSecond, m.longestSample(demand))
}

// longestSample is the time of a sample of the largest size on an engine of its own.
func (m *maker) longestSample(demand record.RolloutDemand) time.Duration {
	seconds := float64(demand.MaxTokens) / m.parameters.StreamTokensPerSecond
	return time.Duration(seconds * float64(time.Second)).Round(100 * time.Millisecond)
}
