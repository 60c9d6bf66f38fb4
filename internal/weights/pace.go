package weights

import (
	"strings"
	"time"
)

// The adaption of the pace: it falls to paceDecrease of itself with each refusal
// and grows back by a part of the nominal rate in each growth interval. Refusals
// are cheap, so the pace stays near the store's rate instead of halving.
const (
	paceDecrease       = 0.85
	paceFloorDivisor   = 20
	paceGrowthDivisor  = 20
	paceGrowthInterval = 2 * time.Second
)

// pace is a token bucket for load orders, whose rate follows the store's refusals
// (additive increase, multiplicative decrease).
type pace struct {
	nominal    float64
	rate       float64
	burst      float64
	tokens     float64
	pause      time.Duration
	filledAt   time.Time
	grownAt    time.Time
	pauseUntil time.Time
}

func newPace(parameters Parameters) *pace {
	return &pace{
		nominal: parameters.StoreLoadsPerSecond,
		rate:    parameters.StoreLoadsPerSecond,
		burst:   float64(parameters.StoreBurst),
		tokens:  float64(parameters.StoreBurst),
		pause:   parameters.RateLimitPause,
	}
}

// refill adds the tokens of the time that has passed.
func (p *pace) refill(now time.Time) {
	if p.filledAt.IsZero() {
		p.filledAt, p.grownAt = now, now
		return
	}
	p.tokens = min(p.burst, p.tokens+p.rate*now.Sub(p.filledAt).Seconds())
	p.filledAt = now
	if p.rate < p.nominal && now.Sub(p.grownAt) >= paceGrowthInterval {
		p.rate = min(p.nominal, p.rate+p.nominal/paceGrowthDivisor)
		p.grownAt = now
	}
}

// take uses one token, if there is one.
func (p *pace) take(now time.Time) bool {
	if p.tokens < 1 || now.Before(p.pauseUntil) {
		return false
	}
	p.tokens--
	return true
}

// refused slows down after the store refused a load. Refusals that come within
// one pause count once.
func (p *pace) refused(now time.Time) {
	if now.Before(p.pauseUntil) {
		return
	}
	p.rate = max(p.nominal/paceFloorDivisor, p.rate*paceDecrease)
	p.tokens = 0
	p.grownAt = now
	p.pauseUntil = now.Add(p.pause)
}

// isRateLimit reports whether a load error is a refusal by the store's rate
// limit, which has HTTP status 429.
func isRateLimit(text string) bool {
	text = strings.ToLower(text)
	for _, sign := range []string{"429", "rate limit", "rate_limited", "rate-limited", "too many requests"} {
		if strings.Contains(text, sign) {
			return true
		}
	}
	return false
}
