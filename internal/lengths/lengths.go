// Package lengths predicts the length of generated texts, in stream events, from the caller's
// estimates and from the texts that have ended.
package lengths

import (
	"cmp"
	"slices"
	"sort"
)

// Estimator predicts the length of items by key, such as the name of a route. It is not safe for
// concurrent use.
//
// The prediction for an item is the mean over recent items with similar estimates, each scaled to the
// item's estimate, that were longer than what the item has so far. Only similar estimates count, since
// the error depends on the estimate: where most items are short, a long estimate is more often wrong
// than a short one.
type Estimator struct {
	keys map[string]*history
}

const (
	// unknownEvents is the length of an item of which nothing is known, in events.
	unknownEvents = 10
	// outrunFactor is the length of an item that is longer than all known ones, relative to the events
	// that it has.
	outrunFactor = 1.5
	// maxSamples is the number of recent items that predictions are based on. Lengths drift while
	// models are trained.
	maxSamples = 512
	// neighbours is the number of items with similar estimates that a prediction is based on.
	neighbours = 64
	// minLonger is the number of neighbours longer than the item's events so far below which the
	// prediction is based on all recent items instead.
	minLonger = 4
	// maxScale limits how far an estimate may be beyond all known ones: larger and smaller estimates
	// count as that far.
	maxScale = 4
)

// sample is an item that has ended.
type sample struct {
	estimate, events int
	// ratio is the number of events per estimated token.
	ratio float64
}

// history holds the recent samples of one key.
type history struct {
	// recent holds the samples in the order of their ends; next is the position of the oldest one
	// when all maxSamples are in use.
	recent []sample
	next   int
	// byEstimate holds the samples that have an estimate, ordered by it.
	byEstimate []sample
	// events holds the lengths of all samples in ascending order. suffixSums[i] is the sum of events[i:];
	// it is nil if it must be rebuilt.
	events     []int
	suffixSums []int
	mean       Mean
	// eventsPerToken predicts lengths until an item with an estimate has ended; 0 if unknown.
	eventsPerToken float64
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator { return &Estimator{keys: make(map[string]*history)} }

func (e *Estimator) history(key string) *history {
	known := e.keys[key]
	if known == nil {
		known = &history{}
		e.keys[key] = known
	}
	return known
}

// SetTokensPerEvent sets the number of tokens that an event of a key's items holds, from which lengths
// are predicted until items have ended.
func (e *Estimator) SetTokensPerEvent(key string, tokens int) {
	if tokens > 0 {
		e.history(key).eventsPerToken = 1 / float64(tokens)
	}
}

// Observe records the length, in events, of an item that has ended. estimate is the caller's estimate
// of its generated tokens, or 0.
func (e *Estimator) Observe(key string, estimate, events int) {
	if events <= 0 {
		return
	}
	ended := sample{events: events}
	if estimate > 0 {
		ended.estimate, ended.ratio = estimate, float64(events)/float64(estimate)
	}
	e.history(key).add(ended)
}

// Remaining returns the predicted number of events that an item still needs after the given number
// of events, at least 1. estimate is as in Observe.
func (e *Estimator) Remaining(key string, estimate, events int) float64 {
	known := e.keys[key]
	if known == nil {
		return remainingOf(unknownEvents, events)
	}
	if estimate > 0 {
		if remaining, found := known.remainingOfSimilar(estimate, events); found {
			return max(remaining, 1)
		}
	}
	if remaining, found := known.remainingOfAll(events); found {
		return max(remaining, 1)
	}
	if estimate > 0 && known.eventsPerToken > 0 && len(known.recent) == 0 {
		return remainingOf(known.eventsPerToken*float64(estimate), events)
	}
	return remainingOf(unknownEvents, events)
}

// Mean returns the mean length of a key's items in events, or 0 if none has ended.
func (e *Estimator) Mean(key string) int {
	known := e.keys[key]
	if known == nil {
		return 0
	}
	return known.mean.Value()
}

// remainingOf returns the remaining events of an item with an expected length, at least 1. An item that has
// reached this length is expected to be outrunFactor times as long as it is now.
func remainingOf(expected float64, events int) float64 {
	if float64(events) >= expected {
		expected = outrunFactor * float64(events)
	}
	return max(expected-float64(events), 1)
}

func compareEstimates(a, b sample) int {
	return cmp.Or(cmp.Compare(a.estimate, b.estimate), cmp.Compare(a.events, b.events))
}

func (h *history) add(ended sample) {
	h.mean = h.mean.Add(ended.events)
	if len(h.recent) < maxSamples {
		h.recent = append(h.recent, ended)
	} else {
		h.remove(h.recent[h.next])
		h.recent[h.next] = ended
		h.next = (h.next + 1) % maxSamples
	}
	at, _ := slices.BinarySearch(h.events, ended.events)
	h.events = slices.Insert(h.events, at, ended.events)
	h.suffixSums = nil
	if ended.estimate > 0 {
		at, _ := slices.BinarySearchFunc(h.byEstimate, ended, compareEstimates)
		h.byEstimate = slices.Insert(h.byEstimate, at, ended)
	}
}

// remove removes a sample from the ordered lists.
func (h *history) remove(oldest sample) {
	if at, found := slices.BinarySearch(h.events, oldest.events); found {
		h.events = slices.Delete(h.events, at, at+1)
	}
	if at, found := slices.BinarySearchFunc(h.byEstimate, oldest, compareEstimates); found {
		h.byEstimate = slices.Delete(h.byEstimate, at, at+1)
	}
}

// remainingOfSimilar predicts the remaining events from items with similar estimates. It reports false
// if too few of them were longer than the item is already.
func (h *history) remainingOfSimilar(estimate, events int) (remaining float64, found bool) {
	if len(h.byEstimate) == 0 {
		return 0, false
	}
	least, most := h.byEstimate[0].estimate, h.byEstimate[len(h.byEstimate)-1].estimate
	estimate = min(max(estimate, least/maxScale), maxScale*most)
	first := max(min(h.firstFrom(estimate)-neighbours/2, len(h.byEstimate)-neighbours), 0)
	similar := h.byEstimate[first:min(first+neighbours, len(h.byEstimate))]
	total, longer := 0.0, 0
	for i := range similar {
		if more := similar[i].ratio*float64(estimate) - float64(events); more > 0 {
			total += more
			longer++
		}
	}
	if longer == 0 || longer < minLonger && len(h.byEstimate) >= neighbours {
		return 0, false
	}
	return total / float64(longer), true
}

// firstFrom returns the position of the first sample whose estimate is not below the given one.
func (h *history) firstFrom(estimate int) int {
	return sort.Search(len(h.byEstimate), func(i int) bool { return h.byEstimate[i].estimate >= estimate })
}

// remainingOfAll predicts the remaining events from all recent items. It reports false if none was
// longer than the item is already.
func (h *history) remainingOfAll(events int) (remaining float64, found bool) {
	at, _ := slices.BinarySearch(h.events, events+1)
	longer := len(h.events) - at
	if longer == 0 {
		return 0, false
	}
	if h.suffixSums == nil {
		h.suffixSums = make([]int, len(h.events))
		sum := 0
		for i := len(h.events) - 1; i >= 0; i-- {
			sum += h.events[i]
			h.suffixSums[i] = sum
		}
	}
	return float64(h.suffixSums[at])/float64(longer) - float64(events), true
}
