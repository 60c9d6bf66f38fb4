package quota

import (
	"math"
	"slices"

	"dalehook/internal/record"
)

// Amount is a part of a class's limit, or what a node wants of it. A field
// is zero where the class has no such limit.
type Amount struct {
	// Rate is in requests a second.
	Rate float64
	// Concurrent is the number of requests in flight. A node rounds its share up.
	Concurrent float64
}

// step is the step to which amounts are rounded: a power of two, which gob writes
// in few bytes.
const step = 1.0 / 16

func limitOf(limit record.ClassLimit) Amount {
	return Amount{Rate: limit.Rate, Concurrent: float64(limit.Concurrent)}
}

func (a Amount) isZero() bool { return a == Amount{} }

// combine applies an operation to both fields.
func (a Amount) combine(b Amount, operation func(a, b float64) float64) Amount {
	return Amount{Rate: operation(a.Rate, b.Rate), Concurrent: operation(a.Concurrent, b.Concurrent)}
}

func (a Amount) plus(b Amount) Amount {
	return a.combine(b, func(a, b float64) float64 { return a + b })
}

// minus is never negative.
func (a Amount) minus(b Amount) Amount {
	return a.combine(b, func(a, b float64) float64 { return max(0, a-b) })
}

func (a Amount) smaller(b Amount) Amount {
	return a.combine(b, func(a, b float64) float64 { return min(a, b) })
}

func (a Amount) larger(b Amount) Amount {
	return a.combine(b, func(a, b float64) float64 { return max(a, b) })
}

func (a Amount) times(factor float64) Amount {
	return Amount{Rate: a.Rate * factor, Concurrent: a.Concurrent * factor}
}

// withHeadroom returns the demand that is to be expected after one that was
// measured.
func (a Amount) withHeadroom() Amount {
	variation := Amount{Rate: math.Sqrt(a.Rate), Concurrent: math.Sqrt(a.Concurrent)}
	return a.times(headroom).plus(variation.times(deviations))
}

// exceeds reports whether a is above b in any field.
func (a Amount) exceeds(b Amount) bool {
	return a.Rate > b.Rate || a.Concurrent > b.Concurrent
}

func (a Amount) roundDown() Amount {
	return Amount{Rate: math.Floor(a.Rate/step) * step, Concurrent: math.Floor(a.Concurrent/step) * step}
}

func (a Amount) roundUp() Amount {
	return Amount{Rate: math.Ceil(a.Rate/step) * step, Concurrent: math.Ceil(a.Concurrent/step) * step}
}

// fairLevel returns the level of the max-min fair division of a capacity: each
// demand gets the smaller of itself and the level. It is infinite when the
// capacity covers all demands.
func fairLevel(capacity float64, demands []float64) float64 {
	slices.Sort(demands)
	for index, demand := range demands {
		level := capacity / float64(len(demands)-index)
		if demand > level {
			return level
		}
		capacity -= demand
	}
	return math.Inf(1)
}
