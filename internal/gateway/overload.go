package gateway

import "time"

// OverloadOptions configure how a Gateway protects loaded services.
type OverloadOptions struct {
	// Off disables limits, budgets and refusals under overload.
	Off bool
	// HedgeShare and RetryShare are the hedges, and the retries after a rejection, for each admitted
	// request of a loaded service.
	HedgeShare, RetryShare float64
	// TenantWeights holds the weights of tenants whose share under overload is not 1.
	TenantWeights map[string]float64
}

// ServiceOverload is the state of one service at this node, for operators.
type ServiceOverload struct {
	Service string
	// RefusedShare is the share of requests that is refused, from 0 to 1.
	RefusedShare float64
	// Offered and Accepted are the recent requests per second, and those answered without evidence of
	// overload.
	Offered, Accepted float64
	// Utilization is the mean that servers stated lately: requests running and waiting for each slot;
	// 0 if unknown.
	Utilization float64
	// EvidenceAge is the time since the last evidence of overload; negative if there was none.
	EvidenceAge time.Duration
}

// Overload returns the state of the services that this node has sent requests to, by name.
func (g *Gateway) Overload(_ time.Time) []ServiceOverload { return nil }
