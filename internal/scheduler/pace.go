package scheduler

import (
	"math"
	"slices"
	"time"
)

// The pace of an engine is the time between two events of a run, its gap. It grows with the number of
// concurrent runs:
//
//	gap(runs) = gap(1) * (1 + slowdown * (runs - 1))
//
// gap(1) is learned for each engine, and the slowdown for each service, since engines of one service
// differ in speed much more than in how they share it.

// Samples of the gap span several events of a run, since delayed events arrive in bursts.
const (
	// gapSampleEvents completes a sample, as does the time gapSampleTime with at least
	// minGapSampleEvents events.
	gapSampleEvents    = 8
	minGapSampleEvents = 3
	gapSampleTime      = 300 * time.Millisecond
	// gapSmoothing is the weight of the newest sample. A larger weight adapts to an engine's speed faster,
	// but lets single late events move items. steadyGapSmoothing is the weight of a sample whose ratio to
	// the predicted gap is below steadyGapRatio: late events explain such a difference.
	gapSmoothing       = 0.35
	steadyGapSmoothing = 0.1
	steadyGapRatio     = 1.4
)

// paceSample is one sample of an engine's gap.
type paceSample struct {
	// gap is in seconds.
	gap float64
	// runs is the mean number of concurrent runs.
	runs float64
	at   time.Time
}

// samplePace adds an event of a run to its engine's current sample of this run.
func (a *attempt) samplePace(now time.Time) {
	eng := a.engine
	if a.sampleStart.IsZero() || eng.loading || eng.loadEndedAt.After(a.sampleStart) {
		// Runs produce no events during a load, whatever the engine's pace.
		a.startSample(now)
		return
	}
	a.sampleEvents++
	elapsed := now.Sub(a.sampleStart)
	if a.sampleEvents < gapSampleEvents && (a.sampleEvents < minGapSampleEvents || elapsed < gapSampleTime) {
		return
	}
	eng.addSample(paceSample{
		gap:  elapsed.Seconds() / float64(a.sampleEvents),
		runs: float64(a.sampleRuns+len(eng.attempts)) / 2,
		at:   now,
	})
	a.startSample(now)
}

func (a *attempt) startSample(now time.Time) {
	a.sampleStart, a.sampleEvents, a.sampleRuns = now, 0, len(a.engine.attempts)
}

// addSample updates an engine's gap. A gap that is out of date is replaced, since the engine's speed may
// have changed meanwhile.
func (e *engine) addSample(sample paceSample) {
	if e.slowdown != nil {
		e.slowdown.observe(e.lastSample, sample)
	}
	e.lastSample = sample
	if e.gap == 0 || !e.hasRecentGap(sample.at) {
		e.gap, e.gapRuns = sample.gap, sample.runs
	}
	smoothing := gapSmoothing
	predicted := e.gap * e.slowdown.factor(sample.runs) / e.slowdown.factor(e.gapRuns)
	if max(sample.gap/predicted, predicted/sample.gap) < steadyGapRatio {
		smoothing = steadyGapSmoothing
	}
	e.gap += smoothing * (sample.gap - e.gap)
	e.gapRuns += smoothing * (sample.runs - e.gapRuns)
	e.gapSampledAt = sample.at
}

// hasRecentGap reports whether the engine's gap was sampled recently.
func (e *engine) hasRecentGap(now time.Time) bool { return now.Sub(e.gapSampledAt) < slowEngineExpiry }

// gapAt returns the predicted gap of an engine with the given number of concurrent runs, in seconds.
// typicalGap stands for a gap that is unknown: that of an engine with one run, or 0.
func (e *engine) gapAt(runs int, typicalGap float64) float64 {
	if e.gap == 0 {
		return max(typicalGap, minimumGap) * e.slowdown.factor(float64(runs))
	}
	return max(e.gap, minimumGap) * e.slowdown.factor(float64(runs)) / e.slowdown.factor(e.gapRuns)
}

// slowdown is the effect of concurrent runs on the gaps of a service's engines. It is estimated from
// pairs of consecutive samples of one engine by least squares.
type slowdown struct {
	// products and squares are the sums over pairs: of the change in runs times the relative change of
	// the gap, and of the squared change in runs.
	products, squares float64
	// known is set when slope, the estimate, has been computed from them.
	known bool
	slope float64
}

const (
	// initialSlowdown is the relative increase of the gap by one more run while nothing is known.
	initialSlowdown = 0.03
	// initialSlowdownWeight is the number of pairs, each with a change by one run, that initialSlowdown
	// counts for.
	initialSlowdownWeight = 50
	// maxSlowdown is the slowdown of an engine whose total speed is the same for any number of runs.
	maxSlowdown = 1
	// slowdownDecay is the weight that older pairs keep when one is added.
	slowdownDecay = 0.999
	// maxPairInterval is the time between two samples above which the engine's speed may have changed in
	// between.
	maxPairInterval = 2 * time.Second
	// maxPairRatio is the ratio of two gaps above which the engine's speed has changed.
	maxPairRatio = 1.6
)

// perRun returns the relative increase of the gap by one more run.
func (s *slowdown) perRun() float64 {
	if s == nil || !s.known {
		return initialSlowdown
	}
	return s.slope
}

// factor returns the gap with a number of runs relative to that with one run.
func (s *slowdown) factor(runs float64) float64 { return 1 + s.perRun()*max(runs-1, 0) }

// observe adds a pair of consecutive samples of one engine.
func (s *slowdown) observe(before, after paceSample) {
	change := after.runs - before.runs
	if before.gap == 0 || change == 0 || after.at.Sub(before.at) > maxPairInterval {
		return
	}
	if ratio := after.gap / before.gap; math.Max(ratio, 1/ratio) > maxPairRatio {
		return
	}
	mean := (before.gap + after.gap) / 2
	single := mean / s.factor((before.runs+after.runs)/2)
	s.products = slowdownDecay*s.products + change*(after.gap-before.gap)/single
	s.squares = slowdownDecay*s.squares + change*change
	slope := (initialSlowdown*initialSlowdownWeight + s.products) / (initialSlowdownWeight + s.squares)
	s.slope, s.known = min(max(slope, 0), maxSlowdown), true
}

// slowdownOf returns the slowdown of a service's engines.
func (m *Machine) slowdownOf(service string) *slowdown {
	if m.slowdowns[service] == nil {
		m.slowdowns[service] = &slowdown{}
	}
	return m.slowdowns[service]
}

// typicalGapsOf returns the typical gap of each service in seconds: the median of the faster half of its
// engines, with one run each. The median of all would hide slow engines that are the majority. Services
// without a known gap are left out.
func typicalGapsOf(engines []*engine) map[string]float64 {
	gaps := make(map[string][]float64)
	for _, eng := range engines {
		if eng.listed && eng.gap > 0 {
			gaps[eng.service] = append(gaps[eng.service], eng.gapAt(1, 0))
		}
	}
	typicalGaps := make(map[string]float64, len(gaps))
	for service, serviceGaps := range gaps {
		slices.Sort(serviceGaps)
		typicalGaps[service] = serviceGaps[(len(serviceGaps)-1)/4]
	}
	return typicalGaps
}

// wasSlow reports whether the last known gap of an engine is well above the typical gap of its service.
func (e *engine) wasSlow(typicalGap float64) bool {
	return typicalGap > 0 && e.gap > 0 && e.gapAt(1, 0) > slowEngineFactor*typicalGap
}

// isSlow reports whether an engine has a recent gap well above the typical gap of its service.
func (e *engine) isSlow(now time.Time, typicalGap float64) bool {
	return e.hasRecentGap(now) && e.wasSlow(typicalGap)
}
