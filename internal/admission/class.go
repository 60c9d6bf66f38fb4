package admission

import (
	"math"
	"time"

	"dalehook/internal/machine"
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

	// demandRate is the smoothed number of requests that come each second;
	// offered counts those since demandFrom.
	demandRate float64
	offered    int
	demandFrom time.Time

	// reachedAt is when the class reached its share after a time without, and
	// heldBackAt when it last held a request back.
	reachedAt  time.Time
	heldBackAt time.Time
}

// burstTime is the part of a second's rate that may come at once.
const burstTime = 0.25

// unnamedRank is the rank of a class that no plan names: it goes last, since
// nobody confirmed that it may be shed.
const unnamedRank = math.MaxInt

const (
	// demandWindow is the time over which offered requests are counted.
	demandWindow = 200 * time.Millisecond
	// demandNoise is the number of requests in a window at which a new count
	// weighs as much as all before it. Counts of many requests say more: a burst
	// or its end shows at once, the noise of a few requests hardly.
	demandNoise = 25
	// demandMany is the number of requests that end a window before its time.
	demandMany = 40
	// shareGrace is how long after a class has reached its share, or has got a
	// larger one, nobody is refused for the length of the queue: a larger share may
	// be on its way, and the rate at which the queue was served says little of it.
	shareGrace = time.Second
	// shareGrowth is the factor by which a share is larger in this sense.
	shareGrowth = 1.25
)

// setShare takes this node's share of a cluster-wide limit.
func (c *class) setShare(share record.ClassLimit) {
	if share.Rate > shareGrowth*c.rate || float64(share.Concurrent) > shareGrowth*float64(c.concurrent) {
		c.reachedAt = c.heldBackAt
	}
	c.concurrent = share.Concurrent
	c.rate = share.Rate
}

// heldBack notes that the share holds a request back now.
func (c *class) heldBack(now time.Time) {
	if now.Sub(c.heldBackAt) > shareGrace {
		c.reachedAt = now
	}
	c.heldBackAt = now
}

// inGrace reports whether the class reached its share only just.
func (c *class) inGrace(now time.Time) bool { return now.Sub(c.reachedAt) < shareGrace }

// measureDemand moves the rate of offered requests once a window is over, or
// has brought many requests.
func (c *class) measureDemand(now time.Time) {
	if c.demandFrom.IsZero() {
		c.demandFrom = now
		return
	}
	length := now.Sub(c.demandFrom)
	if length < demandWindow && (c.offered < demandMany || length < machine.TickInterval/2) {
		return
	}
	sample := float64(c.offered) / length.Seconds()
	count := max(sample, c.demandRate) * length.Seconds()
	c.demandRate += count / (count + demandNoise) * (sample - c.demandRate)
	c.offered = 0
	c.demandFrom = now
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
