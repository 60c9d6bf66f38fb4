package routing

import (
	"slices"

	"dalehook/internal/cluster"
)

// placeCost is the time in seconds at which the engine would have finished the
// work and the longest sample that it already runs, if that becomes a long one,
// plus the time that a swap to come takes. The streams that run beside it slow it
// down only for as long as they run themselves, so they count by their tokens.
func placeCost(engine *Engine, work Work, newest cluster.Version) float64 {
	longest := max(engine.Placed.Longest, work.Expected)
	others := max(engine.requests()-engine.Placed.Requests, 0)
	beside := engine.Placed.Remaining + others*work.Expected
	cost := float64(tailFactor*longest)/engine.alone +
		float64(beside)/(engine.alone*halfSpeedBatch) +
		engine.prefill + prefillTime(engine, work)
	old := newest > engine.Version && engine.Version > 0
	loading := engine.Loading != 0 && engine.Loading != engine.Version
	if old || loading {
		cost += swapPenalty
	}
	return cost
}

// estimateSpeeds sets the speed of a stream alone on each engine. The engines of
// a pool are alike unless one was measured to be far from the others: what was
// measured in a batch says little of a stream alone.
func estimateSpeeds(engines []Engine) {
	var measured []float64
	for i := range engines {
		engines[i].alone = measuredAlone(&engines[i])
		if engines[i].alone > 0 {
			measured = append(measured, engines[i].alone)
		}
	}
	typical := float64(assumedStreamSpeed)
	if len(measured) > 0 {
		slices.Sort(measured)
		typical = measured[len(measured)/2]
	}
	for i := range engines {
		alone := engines[i].alone
		if alone < typical/speedSpread || alone > typical*speedSpread {
			alone = max(alone, typical/maxSlowness)
		} else {
			alone = typical
		}
		if engines[i].alone == 0 {
			alone = typical
		}
		engines[i].alone = alone
	}
}

// measuredAlone returns the speed of a stream alone on the engine, scaled from
// what was measured in its batch, zero when nothing was.
func measuredAlone(engine *Engine) float64 {
	switch {
	case engine.Placed.StreamSpeed > 0:
		return engine.Placed.StreamSpeed * slowdown(engine.requests())
	case engine.TokensPerSecond > 0 && engine.Running > 0:
		return engine.TokensPerSecond / float64(engine.Running) * slowdown(engine.Running)
	}
	return 0
}

// streamSpeed estimates the speed of one stream on an engine that runs the given
// number of requests.
func streamSpeed(engine *Engine, requests int) float64 { return engine.alone / slowdown(requests) }

// slowdown is the factor by which a stream in a batch is slower than alone.
func slowdown(requests int) float64 {
	return 1 + float64(max(requests-1, 0))/halfSpeedBatch
}

// prefillTime is the time in seconds until the first new token: the prompt,
// unless the engine has it in its cache, and the tokens that a resume brings
// along.
func prefillTime(engine *Engine, work Work) float64 {
	tokens := work.Prompt + work.Held
	if work.Group != "" {
		tokens = max(work.Prompt, assumedGroupPrompt) + work.Held
	}
	if work.Group != "" && holdsGroup(engine, work.Group) {
		tokens = work.Held
	}
	return float64(tokens) / assumedPrefillSpeed
}
