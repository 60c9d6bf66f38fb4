package overload

import (
	"maps"
	"time"
)

// DefaultBudgetShare is the number of hedges, and of retries after a rejection, that one admitted
// request pays for. It bounds the load that they add to a service that is loaded already.
const DefaultBudgetShare = 0.1

// Parameters of a Service.
const (
	// budgetFloor is the number of hedges, and of retries, a second that need no admitted request.
	budgetFloor = 0.2
	// initialBudget lets the first request of a node be sent to two more servers.
	initialBudget = 2
	// budgetCapacity bounds the hedges, and the retries, that a node saves up before an overload.
	budgetCapacity = 10
	// lightUtilization is the mean utilization up to which hedges and retries draw on no budget.
	lightUtilization = 0.5
	// minAnswers is the smallest number of recent answers whose minimum is taken as the time that a
	// request needs.
	minAnswers = 5
	// routeLifetime is how long the answers of a route without requests are kept. It only bounds
	// memory: an answer counts for at most two periods of a recentMinimum.
	routeLifetime = 5 * time.Second
)

// ServiceOptions configure a Service.
type ServiceOptions struct {
	// HedgeShare and RetryShare are the hedges, and the retries after a rejection, for each admitted
	// request of a loaded service; 0 means DefaultBudgetShare, and NoBudget none.
	HedgeShare, RetryShare float64
	// TenantWeights holds the weights of tenants whose share is not 1.
	TenantWeights map[string]float64
}

// Service is what one node knows about one service: its throttle, its budgets and the fastest recent
// answers of its routes. It is not safe for concurrent use.
type Service struct {
	Throttle        *Throttle
	hedges, retries *Budget
	// answers holds the latencies of complete responses by route.
	answers map[string]*recentMinimum
}

// NewService returns a service without observations.
func NewService(options ServiceOptions) *Service {
	return &Service{
		Throttle: NewThrottle(ThrottleOptions{TenantWeights: options.TenantWeights}),
		hedges:   newServiceBudget(options.HedgeShare),
		retries:  newServiceBudget(options.RetryShare),
		answers:  make(map[string]*recentMinimum),
	}
}

// NoBudget is the share of a budget that is always empty.
const NoBudget = -1

func newServiceBudget(share float64) *Budget {
	if share == NoBudget {
		return NewBudget(BudgetOptions{})
	}
	if share == 0 {
		share = DefaultBudgetShare
	}
	return NewBudget(BudgetOptions{Share: share, Floor: budgetFloor, Initial: initialBudget, Capacity: budgetCapacity})
}

// Admit decides about a request; draw is uniform in [0, 1). An admitted request pays for hedges and
// retries.
func (s *Service) Admit(now time.Time, request Request, draw float64) Decision {
	decision := s.Throttle.Admit(now, request, draw)
	if decision.Admitted {
		s.Earn()
	}
	return decision
}

// Earn pays for hedges and retries on behalf of a request that is admitted without a decision.
func (s *Service) Earn() {
	s.hedges.Earn()
	s.retries.Earn()
}

// IsTooLate reports whether a request has less time left than the fastest recent answer of its route
// took, and would be answered too late.
func (s *Service) IsTooLate(now time.Time, route string, remaining time.Duration) bool {
	answers := s.answers[route]
	if answers == nil {
		return false
	}
	fastest, count := answers.value(now)
	return count >= minAnswers && remaining < fastest
}

// ObserveAnswer records the latency of a complete response.
func (s *Service) ObserveAnswer(now time.Time, route string, latency time.Duration) {
	answers := s.answers[route]
	if answers == nil {
		maps.DeleteFunc(s.answers, func(_ string, r *recentMinimum) bool { return now.Sub(r.ends) >= routeLifetime })
		answers = &recentMinimum{}
		s.answers[route] = answers
	}
	answers.observe(now, latency)
}

// AllowHedge reports whether a second copy of a slow request may be sent, and takes it out of the
// budget unless the service is lightly used. Under overload there are no hedges: a copy would take the
// slot of another request.
func (s *Service) AllowHedge(now time.Time) bool {
	return s.isLightlyUsed(now) || !s.Throttle.Loaded(now) && s.hedges.Take(now)
}

// AllowRetry reports whether a rejected request may be sent to another server, and takes it out of
// the budget unless the service is lightly used or another server is known to have a free slot.
func (s *Service) AllowRetry(now time.Time, hasFreeSlot bool) bool {
	return hasFreeSlot || s.isLightlyUsed(now) || s.retries.Take(now)
}

// isLightlyUsed reports whether hedges and retries draw on no budget. The budget would not suffice for
// one hanging server among five: a fifth of all requests needs a hedge then.
func (s *Service) isLightlyUsed(now time.Time) bool {
	if s.Throttle.Loaded(now) {
		return false
	}
	utilization, known := s.Throttle.Utilization(now)
	return !known || utilization < lightUtilization
}
