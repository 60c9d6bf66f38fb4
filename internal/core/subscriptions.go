package core

import (
	"time"

	"dalehook/internal/record"
)

// subscription says who at this node needs fresh reports of a whole pool.
type subscription struct {
	owner    bool
	director bool
}

// subscriptions joins the needs of step owners and of the pools' director, which
// know nothing of each other.
type subscriptions struct {
	pools map[string]subscription
	apply func(pool string, on bool)
}

func newSubscriptions(apply func(pool string, on bool)) *subscriptions {
	return &subscriptions{pools: map[string]subscription{}, apply: apply}
}

func (s *subscriptions) setOwner(pool string, on bool) {
	changed := s.pools[pool]
	changed.owner = on
	s.set(pool, changed)
}

func (s *subscriptions) setDirector(pool string, on bool) {
	changed := s.pools[pool]
	changed.director = on
	s.set(pool, changed)
}

func (s *subscriptions) set(pool string, changed subscription) {
	before := s.pools[pool]
	s.pools[pool] = changed
	if before.wanted() != changed.wanted() {
		s.apply(pool, changed.wanted())
	}
}

func (s subscription) wanted() bool { return s.owner || s.director }

// subscribeDirected subscribes to the pools that this node directs.
func (c *Core) subscribeDirected(now time.Time) {
	for _, name := range c.pool.Pools() {
		_, holds := c.leases.Holds(now, record.DutyPool(name))
		c.subscriptions.setDirector(name, holds)
	}
}
