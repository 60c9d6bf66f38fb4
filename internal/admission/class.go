package admission

import (
	"math"
	"time"

	"dalehook/internal/record"
)

// class holds the limits of one class on this node.
type class struct {
	name string
	// rank orders shedding: the class with the lowest rank goes first.
	rank     int
	inFlight int
	// concurrent is the largest number in flight, zero for no limit.
	concurrent int
	// rate is in requests a second, zero for no limit; tokens is what is left.
	rate   float64
	tokens float64
	last   time.Time
}

// burstTime is the part of a second's rate that may come at once.
const burstTime = 0.25

// unnamedRank is the rank of a class that no plan names: it goes last, since
// nobody confirmed that it may be shed.
const unnamedRank = math.MaxInt

// setLimit takes this node's share of a cluster-wide limit. Shares are rounded
// up, so that a small limit over many nodes still lets each serve.
func (c *class) setLimit(limit record.ClassLimit, nodes int) {
	nodes = max(nodes, 1)
	c.concurrent = (limit.Concurrent + nodes - 1) / nodes
	c.rate = limit.Rate / float64(nodes)
}

// refill adds the tokens of the time since the last call.
func (c *class) refill(now time.Time) {
	if c.rate == 0 {
		return
	}
	burst := max(1, c.rate*burstTime)
	if c.last.IsZero() {
		c.tokens = burst
	} else {
		c.tokens = min(burst, c.tokens+c.rate*now.Sub(c.last).Seconds())
	}
	c.last = now
}

// hasRoom reports whether the class may start one more request now.
func (c *class) hasRoom() bool {
	if c.concurrent > 0 && c.inFlight >= c.concurrent {
		return false
	}
	return c.rate == 0 || c.tokens >= 1
}

// start counts a started request.
func (c *class) start() {
	c.inFlight++
	if c.rate > 0 {
		c.tokens--
	}
}
