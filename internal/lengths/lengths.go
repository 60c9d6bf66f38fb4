// Package lengths predicts the length of generated texts, in stream events, from the caller's
// estimates and from the texts that have ended.
package lengths

// Estimator predicts the length of items by key, such as the name of a route. It is not safe for
// concurrent use.
type Estimator struct {
	keys map[string]*history
}

// history holds what is known of one key.
type history struct {
	// ratio is the smoothed number of events for each estimated token; 0 if unknown.
	ratio float64
}

const (
	// ratioSmoothing is the weight of the newest item in the events per estimated token.
	ratioSmoothing = 0.1
	// unknownEvents is the length of an item of which nothing is known, in events.
	unknownEvents = 10
	// outrunFactor is the length of an item that has outrun its prediction, relative to the events
	// that it has.
	outrunFactor = 1.5
)

// NewEstimator returns an estimator that knows nothing.
func NewEstimator() *Estimator { return &Estimator{keys: make(map[string]*history)} }

// Observe records the length, in events, of an item that has ended. estimate is the caller's estimate
// of its generated tokens, or 0.
func (e *Estimator) Observe(key string, estimate, events int) {
	if estimate <= 0 || events <= 0 {
		return
	}
	known := e.keys[key]
	ratio := float64(events) / float64(estimate)
	if known == nil {
		e.keys[key] = &history{ratio: ratio}
		return
	}
	known.ratio += ratioSmoothing * (ratio - known.ratio)
}

// Remaining returns the predicted number of events that an item still needs after the given number
// of events, at least 1. estimate is as in Observe.
func (e *Estimator) Remaining(key string, estimate, events int) float64 {
	expected := float64(unknownEvents)
	if known := e.keys[key]; known != nil && estimate > 0 {
		expected = known.ratio * float64(estimate)
	}
	if float64(events) >= expected {
		expected = outrunFactor * float64(events)
	}
	return max(expected-float64(events), 1)
}
