package overload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lessUrgentShare is the part of the admitted share that is reserved for less urgent priorities.
	lessUrgentShare = 0.05
	// shortOfTimeShare is the largest part of a tenant's admitted share that requests with less time
	// left than usual take before the others.
	shortOfTimeShare = 0.5
	// shortOfTimeMargin is how much less time than usual such a request has. A request that was
	// refused before has waited for minRetryAfter or more.
	shortOfTimeMargin = minRetryAfter / 2
	// divideInterval is the longest time for which one division of the admitted share applies.
	divideInterval = 20 * time.Millisecond
	// minRecentRequests is the decayed number of requests below which the state of a tenant is dropped.
	minRecentRequests = 0.01
)

// shares divides what a throttle admits among priorities, tenants, and requests with more and less
// time left. It counts requests only under overload. It prevents a caller from taking the capacity of
// others, and a retried request from being refused until its deadline.
type shares struct {
	weights map[string]float64
	// levels are ordered by priority, the most urgent first.
	levels []*level
	// negatedLongest holds, for each route, the longest remaining time of recent requests, negated so
	// that a minimum tracks it.
	negatedLongest map[string]*recentMinimum
	// dividedAt is when the counts were last decayed and the admitted share was divided.
	dividedAt time.Time
}

// level holds the requests of one priority.
type level struct {
	priority int
	byTenant map[string]*tenantShare
	// tenants holds the values of byTenant in a fixed order.
	tenants []*tenantShare
}

// tenantShare holds the recent requests of a tenant at one priority.
type tenantShare struct {
	name   string
	weight float64
	// short counts the requests with less time left than usual, others the rest. Both are decayed
	// once in divideInterval.
	short, others float64
	// shortChance and othersChance are the shares of them that are admitted.
	shortChance, othersChance float64
}

func newShares(weights map[string]float64) shares {
	return shares{weights: weights, negatedLongest: make(map[string]*recentMinimum)}
}

// reset forgets all requests.
func (s *shares) reset() {
	if len(s.levels) > 0 {
		s.levels = nil
		clear(s.negatedLongest)
	}
}

// chance counts a request and returns the probability with which it is admitted, so that the given
// share of all requests is.
func (s *shares) chance(now time.Time, request Request, admitted float64) float64 {
	short := s.isShortOfTime(now, request)
	due := now.Sub(s.dividedAt) >= divideInterval
	if due {
		s.decay(now)
	}
	own, isNew := s.tenant(request)
	if short {
		own.short++
	} else {
		own.others++
	}
	if due || isNew {
		s.divide(admitted)
	}
	if short {
		return own.shortChance
	}
	return own.othersChance
}

// isShortOfTime reports whether the request has clearly less time left than the recent requests of
// its route with the most.
func (s *shares) isShortOfTime(now time.Time, request Request) bool {
	longest := s.negatedLongest[request.Route]
	if longest == nil {
		longest = &recentMinimum{}
		s.negatedLongest[request.Route] = longest
	}
	longest.observe(now, -request.Remaining)
	negated, _ := longest.value(now)
	return request.Remaining < -negated-shortOfTimeMargin
}

// tenant returns the share of the request's tenant at its priority.
func (s *shares) tenant(request Request) (own *tenantShare, isNew bool) {
	position, found := slices.BinarySearchFunc(s.levels, request.Priority, func(l *level, priority int) int { return cmp.Compare(l.priority, priority) })
	if !found {
		s.levels = slices.Insert(s.levels, position, &level{priority: request.Priority, byTenant: make(map[string]*tenantShare)})
	}
	l := s.levels[position]
	if own := l.byTenant[request.Tenant]; own != nil {
		return own, false
	}
	own = &tenantShare{name: request.Tenant, weight: 1}
	if weight, named := s.weights[request.Tenant]; named && weight > 0 {
		own.weight = weight
	}
	l.byTenant[request.Tenant] = own
	l.tenants = append(l.tenants, own)
	return own, true
}

// divide divides the admitted share of the recent requests.
func (s *shares) divide(admitted float64) {
	total := 0.0
	for _, l := range s.levels {
		total += l.demand()
	}
	remaining := admitted * total
	for _, l := range s.levels {
		demand := l.demand()
		total -= demand
		reserve := min(lessUrgentShare*remaining, max(total, 0))
		quota := min(demand, remaining-reserve)
		l.divide(quota)
		remaining -= quota
	}
}

// decay decays all counts and drops tenants without recent requests.
func (s *shares) decay(now time.Time) {
	factor := decayFactor(s.dividedAt, now)
	s.dividedAt = now
	for _, l := range s.levels {
		l.tenants = slices.DeleteFunc(l.tenants, func(t *tenantShare) bool {
			t.short *= factor
			t.others *= factor
			if t.recent() >= minRecentRequests {
				return false
			}
			delete(l.byTenant, t.name)
			return true
		})
	}
	s.levels = slices.DeleteFunc(s.levels, func(l *level) bool { return len(l.tenants) == 0 })
}

func (l *level) demand() float64 {
	sum := 0.0
	for _, t := range l.tenants {
		sum += t.demand()
	}
	return sum
}

// divide gives the tenants their weighted max-min fair share of a quota: none gets more than its
// demand, and of the rest each gets a part by its weight.
func (l *level) divide(quota float64) {
	weights := 0.0
	for _, t := range l.tenants {
		weights += t.weight
	}
	slices.SortFunc(l.tenants, func(a, b *tenantShare) int {
		return cmp.Or(cmp.Compare(a.demand()/a.weight, b.demand()/b.weight), cmp.Compare(a.name, b.name))
	})
	for _, t := range l.tenants {
		own := min(t.demand(), quota*t.weight/weights)
		t.divide(own)
		quota -= own
		weights -= t.weight
	}
}

// recent returns the decayed number of requests.
func (t *tenantShare) recent() float64 { return t.short + t.others }

// demand returns the number of requests that the division counts: the decayed number, but at least 1.
// Without that minimum the newest of the requests of many tenants with few requests each would count as
// the largest demand, and would be refused more often than the share to refuse.
func (t *tenantShare) demand() float64 { return max(t.recent(), 1) }

// divide divides a quota: requests with less time left than usual get up to shortOfTimeShare of it, and
// what the others do not need.
func (t *tenantShare) divide(quota float64) {
	scale := 1.0
	if recent := t.recent(); recent > 0 {
		scale = t.demand() / recent
	}
	short, others := scale*t.short, scale*t.others
	ownShort := min(short, max(shortOfTimeShare*quota, quota-others))
	t.shortChance = ratio(ownShort, short)
	t.othersChance = ratio(quota-ownShort, others)
}

// ratio returns the admitted share of a count; of a count of 0 all are admitted.
func ratio(admitted, count float64) float64 {
	if count <= 0 {
		return 1
	}
	return min(1, max(0, admitted/count))
}
