package sim

import (
	"math"
	"math/rand/v2"

	"dalehook/internal/sim/backend"
)

// Lengths is a log-normal distribution of answer lengths with a heavy tail.
type Lengths struct {
	// Median is the median answer in tokens, Sigma the deviation of its logarithm.
	Median float64
	Sigma  float64
	// GroupSigma is the deviation of the logarithm of the groups' medians.
	GroupSigma float64
	// TailShare of the samples come from a Pareto tail that starts at TailFrom
	// tokens and has the exponent TailAlpha.
	TailShare float64
	TailFrom  float64
	TailAlpha float64
	// Prompt is the length of a prompt's own part, Shared that of its group's.
	Prompt int
	Shared int
}

// draw returns the shape of one sample. Scale is that of the sample's group.
func (l Lengths) draw(random *rand.Rand, scale float64, limit int) backend.Shape {
	tokens := l.Median * scale * math.Exp(l.Sigma*random.NormFloat64())
	if random.Float64() < l.TailShare {
		tokens = l.TailFrom * math.Pow(1-random.Float64(), -1/l.TailAlpha)
	}
	answer := min(max(int(tokens), 1), limit, backend.MaxTextTokens)
	return backend.Shape{Prompt: l.Prompt + l.Shared, Shared: l.Shared, Answer: answer}
}
