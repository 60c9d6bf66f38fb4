package lengths

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Guards against predictions that stay at zero, or above the length of the items that have ended.
func TestRemainingFollowsEndedItems(t *testing.T) {
	e := NewEstimator()
	for range 50 {
		e.Observe("r", 1000, 20)
	}
	for _, test := range []struct {
		estimate, events int
		want             float64
	}{{1000, 0, 20}, {500, 0, 10}, {1000, 15, 5}, {1000, 40, 20}, {1000, 1, 19}} {
		if got := e.Remaining("r", test.estimate, test.events); got < test.want-0.01 || got > test.want+0.01 {
			t.Errorf("Remaining(%d, %d) = %v, want %v", test.estimate, test.events, got, test.want)
		}
	}
}

// drawItem draws an item, of which one in twelve is long, with an estimate that is off by a constant factor
// and a random one.
func drawItem(random *rand.Rand, factor, spread float64) (estimate, events int) {
	events = 8 + random.IntN(10)
	if random.IntN(12) == 0 {
		events = 80 + random.IntN(40)
	}
	return max(int(factor*73*float64(events)*math.Exp(spread*random.NormFloat64())), 1), events
}

// wrongEstimates are the ways in which callers' estimates are wrong.
var wrongEstimates = []struct {
	name           string
	factor, spread float64
}{
	{"right", 1, 0.1},
	{"too high", 4, 0.1},
	{"too low", 0.25, 0.1},
	{"far off", 1, math.Log(4)},
	{"too high and far off", 4, math.Log(4)},
}

// Guards against estimates that are used uncorrected: those that are 4 times too high or too low, or often
// far off, must give predictions with the right mean.
func TestPredictionsCorrectWrongEstimates(t *testing.T) {
	for _, c := range wrongEstimates {
		random := rand.New(rand.NewPCG(1, 1))
		e := NewEstimator()
		for range 2 * maxSamples {
			estimate, events := drawItem(random, c.factor, c.spread)
			e.Observe("r", estimate, events)
		}
		predicted, actual := 0.0, 0.0
		for range 4000 {
			estimate, events := drawItem(random, c.factor, c.spread)
			predicted += e.Remaining("r", estimate, 0)
			actual += float64(events)
		}
		if ratio := predicted / actual; ratio < 0.75 || ratio > 1.3 {
			t.Errorf("%s: predicted %.2f times the length in the mean", c.name, ratio)
		}
	}
}

// Guards against an item that has outrun its estimate being predicted to end soon: it is one of the long
// ones, however wrong the estimates are.
func TestItemThatOutrunsItsEstimateIsLong(t *testing.T) {
	for _, c := range wrongEstimates {
		random := rand.New(rand.NewPCG(2, 2))
		e := NewEstimator()
		for range maxSamples {
			estimate, events := drawItem(random, c.factor, c.spread)
			e.Observe("r", estimate, events)
		}
		short := int(c.factor * 73 * 12)
		if got := e.Remaining("r", short, 30); got < 40 || got > 90 {
			t.Errorf("%s: %v more events after 30, of about 100", c.name, got)
		}
	}
}

// Guards against predictions from the lengths of long ago.
func TestPredictionsFollowLengthsThatChange(t *testing.T) {
	e := NewEstimator()
	for range 2 * maxSamples {
		e.Observe("r", 1000, 10)
	}
	for range maxSamples {
		e.Observe("r", 1000, 30)
	}
	if got := e.Remaining("r", 1000, 0); got != 30 {
		t.Errorf("predicted %v events, want 30", got)
	}
	if history := e.keys["r"]; len(history.recent) != maxSamples || len(history.byEstimate) != maxSamples || len(history.events) != maxSamples {
		t.Errorf("%d, %d and %d samples kept", len(history.recent), len(history.byEstimate), len(history.events))
	}
}

// Guards against items without an estimate that are predicted as if nothing were known of their key.
func TestItemsWithoutEstimateGetTheMean(t *testing.T) {
	e := NewEstimator()
	e.Observe("r", 0, 10)
	e.Observe("r", 0, 30)
	if got := e.Remaining("r", 0, 0); got != 20 {
		t.Errorf("predicted %v events, want 20", got)
	}
	if got := e.Remaining("r", 0, 12); got != 18 {
		t.Errorf("predicted %v events after 12, want 18", got)
	}
	if got := e.Mean("r"); got != 20 {
		t.Errorf("mean %d, want 20", got)
	}
}

// Guards against configured tokens per event that are ignored before the first item has ended, or that still
// count afterwards.
func TestTokensPerEventPredictUntilItemsEnd(t *testing.T) {
	e := NewEstimator()
	if got := e.Remaining("r", 1460, 0); got != unknownEvents {
		t.Errorf("predicted %v events of an unknown key", got)
	}
	e.SetTokensPerEvent("r", 73)
	if got := e.Remaining("r", 1460, 0); math.Abs(got-20) > 0.01 {
		t.Errorf("predicted %v events, want 20", got)
	}
	e.Observe("r", 730, 20)
	if got := e.Remaining("r", 1460, 0); math.Abs(got-40) > 0.01 {
		t.Errorf("predicted %v events after an item, want 40", got)
	}
	if got := e.Remaining("other", 1460, 0); got != unknownEvents {
		t.Errorf("predicted %v events of another key", got)
	}
}

// Guards against a mean that keeps the weight of all earlier lengths and lags behind lengths that grow.
func TestMeanFollowsLengthsThatGrow(t *testing.T) {
	var mean Mean
	if mean.Value() != 0 {
		t.Errorf("mean of nothing is %d", mean.Value())
	}
	for range 1000 {
		mean = mean.Add(10)
	}
	for range 5 * maxMeanSamples {
		mean = mean.Add(100)
	}
	if got := mean.Value(); got < 95 || got > 100 || mean.Samples != maxMeanSamples {
		t.Errorf("mean %d of %d samples", got, mean.Samples)
	}
}

// BenchmarkRemaining predicts the length of a running item.
func BenchmarkRemaining(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	e := NewEstimator()
	for range maxSamples {
		estimate, events := drawItem(random, 1, 0.5)
		e.Observe("r", estimate, events)
	}
	for b.Loop() {
		e.Remaining("r", 1000, 5)
	}
}
