package rehearse

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/sim"
)

// Metrics is what one run showed. Times are in seconds.
type Metrics struct {
	// Idle is how long trainers waited for samples, over all trainers.
	Idle float64 `json:"idle_s"`
	// StepTime is the mean time from posting a step to its last sample, Floor
	// the mean of what no placement can go below, OverFloor the mean of their
	// ratio.
	StepTime  float64 `json:"step_s"`
	Floor     float64 `json:"floor_s"`
	OverFloor float64 `json:"over_floor"`
	// Staleness at hand-over, in versions and in seconds since the oldest
	// version of the sample was superseded.
	StaleMean        float64 `json:"stale_mean_versions"`
	StaleP99         float64 `json:"stale_p99_versions"`
	StaleMost        float64 `json:"stale_max_versions"`
	StaleMeanSeconds float64 `json:"stale_mean_s"`
	StaleMostSeconds float64 `json:"stale_max_s"`
	// OverBound counts samples handed over beyond the event's bound.
	OverBound float64 `json:"over_bound"`
	Delivered float64 `json:"delivered"`
	Failed    float64 `json:"failed"`
	// Unfinished counts steps that were not whole at the end.
	Unfinished float64 `json:"unfinished_steps"`
	Requests   float64 `json:"requests"`
	Answered   float64 `json:"answered"`
	LookupP50  float64 `json:"lookup_p50_s"`
	LookupP99  float64 `json:"lookup_p99_s"`
	// Shed counts refused requests by class.
	Shed map[string]float64 `json:"shed"`
}

// measure reads the metrics of a finished run.
func measure(w *sim.World, s sim.Scenario) Metrics {
	m := Metrics{Shed: make(map[string]float64)}
	m.measureSteps(w, s)
	m.measureStaleness(w, s)
	m.measureRequests(w, s)
	return m
}

func (m *Metrics) measureSteps(w *sim.World, s sim.Scenario) {
	var times, floors, ratios []float64
	for i, t := range w.Trainers() {
		m.Idle += t.Idle().Seconds()
		m.Unfinished += float64(s.Trainers[i].Steps - len(t.Steps()))
		for _, step := range t.Steps() {
			if step.DoneAt == 0 {
				m.Unfinished++
				continue
			}
			took, least := (step.DoneAt - step.PostedAt).Seconds(), floor(w, s, step)
			times, floors, ratios = append(times, took), append(floors, least), append(ratios, took/least)
		}
	}
	m.StepTime, m.Floor, m.OverFloor = mean(times), mean(floors), mean(ratios)
}

// floor returns the least time of a step: the larger of all its tokens over the
// pool's throughput and of its longest sample alone on an engine.
func floor(w *sim.World, s sim.Scenario, step *sim.TrainerStep) float64 {
	total, longest := 0.0, 0.0
	for _, sample := range step.Body.Samples {
		shape := w.Shape(sample)
		total += float64(shape.Answer)
		alone := float64(shape.Prompt)/s.Engine.PrefillRate + float64(shape.Answer)/s.Engine.StreamRate()
		longest = max(longest, alone)
	}
	return max(total/(s.Engine.Throughput()*float64(s.Deployment.Engines)), longest)
}

func (m *Metrics) measureStaleness(w *sim.World, s sim.Scenario) {
	published := make(map[cluster.Version]time.Duration)
	for _, t := range w.Trainers() {
		for _, a := range t.Announced() {
			published[a.Version] = a.PutAt
		}
	}
	var versions, seconds []float64
	for i, t := range w.Trainers() {
		for _, step := range t.Steps() {
			for _, sample := range step.Body.Samples {
				for _, h := range step.Chain[sample.ID] {
					if h.View.Error != nil {
						m.Failed++
						continue
					}
					age, since := staleness(h, published)
					versions, seconds = append(versions, age), append(seconds, since)
					if age > float64(s.Trainers[i].Bound) {
						m.OverBound++
					}
				}
			}
		}
	}
	m.Delivered = float64(len(versions))
	m.StaleMean, m.StaleP99, m.StaleMost = mean(versions), quantile(versions, 0.99), quantile(versions, 1)
	m.StaleMeanSeconds, m.StaleMostSeconds = mean(seconds), quantile(seconds, 1)
}

// staleness returns how many versions were published after the sample's oldest
// one when it was handed over, and since when that one had been superseded.
func staleness(h sim.Handover, published map[cluster.Version]time.Duration) (age, since float64) {
	oldest := record.Result{Segments: h.View.Versions}.Oldest()
	for version, at := range published {
		if version > oldest && at < h.At {
			age++
		}
	}
	if at, ok := published[oldest+1]; ok && at < h.At {
		since = (h.At - at).Seconds()
	}
	return age, since
}

func (m *Metrics) measureRequests(w *sim.World, s sim.Scenario) {
	var times []float64
	for i, c := range w.Callers() {
		for _, r := range c.Requests() {
			m.Requests++
			switch {
			case r.Answered:
				m.Answered++
				times = append(times, (r.Ended - r.Began).Seconds())
			case r.Code == machine.CodeShed || r.Code == machine.CodeOverloaded:
				m.Shed[s.Callers[i].Name]++
			}
		}
	}
	m.LookupP50, m.LookupP99 = quantile(times, 0.5), quantile(times, 0.99)
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return stat.Mean(values, nil)
}

func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return stat.Quantile(share, stat.Empirical, values, nil)
}
