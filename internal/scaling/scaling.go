// Package scaling decides how many servers each scalable service has in each zone. Autoscaler is a
// state machine without I/O; Driver runs it on the holder of the lease.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Service is a scalable service, one whose number of servers the autoscaler chooses.
type Service struct {
	Name string
	// Slots is the number of requests that a server runs concurrently.
	Slots int
	// Minimum and Maximum bound the number of servers in each zone.
	Minimum, Maximum int
	// BootTime is the time from an order until a new server is ready.
	BootTime time.Duration
	// ZonePrices holds the relative price of a server second in each zone.
	ZonePrices map[string]float64
}

// Order requests a total number of servers in a zone, existing ones included.
type Order struct {
	Service, Zone string
	Count         int
	// Epoch is the epoch of the lease, the fencing token of the order.
	Epoch int64
}

// Outcome is the outcome of an order.
type Outcome int

// The outcomes of orders.
const (
	// OutcomeAccepted means that the provider accepted the order. Its label is "taken".
	OutcomeAccepted Outcome = iota
	// OutcomeUnknown means that the order may be carried out, possibly later.
	OutcomeUnknown
	// OutcomeFenced means that the order was refused because a later holder of the lease has
	// placed one.
	OutcomeFenced
)

// String implements fmt.Stringer.
func (o Outcome) String() string { return [...]string{"taken", "unknown", "fenced"}[o] }

// Options configure an Autoscaler.
type Options struct {
	// SlotsPerItem is the number of slots to provide for each item of the peak demand.
	SlotsPerItem float64
	// MaxServers bounds the number of servers of a service over all zones, in addition to the
	// bounds of the service; 0 means no such bound.
	MaxServers int
	// Epoch is the epoch of the lease.
	Epoch int64
}

// DefaultSlotsPerItem is the default of Options.SlotsPerItem.
const DefaultSlotsPerItem = 1.0

const (
	// scaleDownDelay is how long fewer servers must have sufficed before the number is reduced.
	// It exceeds the time between two steps of a trainer, whose demand comes in bursts.
	scaleDownDelay = time.Minute
	// observationPeriod is how long a new holder counts the existing servers before it decides,
	// since some may be missing temporarily.
	observationPeriod = 3 * time.Second
	// listingDelay is the time after a server's boot within which the server list contains it.
	listingDelay = 4 * time.Second
	// retryDelay is the delay before an order with an unknown outcome is repeated.
	retryDelay = time.Second
)

// Autoscaler chooses the number of servers during the term of one holder. It is not safe for
// concurrent use.
type Autoscaler struct {
	options  Options
	services map[string]*serviceState
	fenced   bool
}

// serviceState is the state of one service.
type serviceState struct {
	Service
	zones map[string]*zoneState
	// observeUntil is the end of the observation period.
	observeUntil time.Time
	// peakItems holds the maximum number of open items, by second.
	peakItems map[int64]int
	// surplusSince is the time since which fewer servers would have sufficed; zero if they would
	// not suffice now.
	surplusSince time.Time
}

// zoneState is the state of a service in one zone.
type zoneState struct {
	// listed is the current number of servers, and baseline the maximum number seen during the
	// observation period.
	listed, baseline int
	// target is the chosen number of servers; 0 before the first decision.
	target int
	// orderAt is when the target is to be ordered; zero if no order is due.
	orderAt time.Time
	// ordered is set once the target was ordered; it is then ordered again only while listed
	// differs from it.
	ordered bool
}

// NewAutoscaler returns the autoscaler of a term.
func NewAutoscaler(options Options) *Autoscaler {
	options.SlotsPerItem = cmp.Or(options.SlotsPerItem, DefaultSlotsPerItem)
	return &Autoscaler{options: options, services: make(map[string]*serviceState)}
}

// HandleServices replaces the set of scalable services.
func (a *Autoscaler) HandleServices(services []Service) {
	present := make(map[string]bool)
	for _, config := range services {
		present[config.Name] = true
		service := a.services[config.Name]
		if service == nil {
			service = &serviceState{zones: make(map[string]*zoneState), peakItems: make(map[int64]int)}
			a.services[config.Name] = service
		}
		service.Service = config
		for name := range config.ZonePrices {
			if service.zones[name] == nil {
				service.zones[name] = &zoneState{}
			}
		}
	}
	maps.DeleteFunc(a.services, func(name string, _ *serviceState) bool { return !present[name] })
}

// HandleServers updates the number of servers of a service by zone, without draining ones.
func (a *Autoscaler) HandleServers(now time.Time, name string, listed map[string]int) {
	service := a.services[name]
	if service == nil {
		return
	}
	if service.observeUntil.IsZero() {
		service.observeUntil = now.Add(observationPeriod)
	}
	for zoneName, zone := range service.zones {
		zone.listed = listed[zoneName]
		if now.Before(service.observeUntil) {
			zone.baseline = max(zone.baseline, zone.listed)
		}
	}
}

// HandleDemand records the current number of open items of a service.
func (a *Autoscaler) HandleDemand(now time.Time, name string, openItems int) {
	service := a.services[name]
	if service == nil {
		return
	}
	second := now.Unix()
	service.peakItems[second] = max(service.peakItems[second], openItems)
	oldest := now.Add(-scaleDownDelay).Unix()
	maps.DeleteFunc(service.peakItems, func(at int64, _ int) bool { return at < oldest })
}

// HandleOutcome processes the outcome of an order.
func (a *Autoscaler) HandleOutcome(now time.Time, order Order, outcome Outcome) {
	service := a.services[order.Service]
	if service == nil || service.zones[order.Zone] == nil {
		return
	}
	zone := service.zones[order.Zone]
	switch {
	case outcome == OutcomeFenced:
		a.fenced = true
	case order.Count != zone.target:
		// The target has changed since the order.
	case outcome == OutcomeAccepted:
		zone.orderAt = time.Time{}
	default:
		zone.orderAt = now.Add(retryDelay)
	}
}

// Tick updates the targets and returns the orders that are due.
func (a *Autoscaler) Tick(now time.Time) []Order {
	if a.fenced {
		return nil
	}
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		service := a.services[name]
		if service.Slots <= 0 || service.baselineServers() == 0 || now.Before(service.observeUntil) {
			continue
		}
		a.updateTargets(now, service)
		orders = append(orders, a.dueOrders(now, service)...)
	}
	return orders
}

// dueOrders returns the orders that are due for a service and schedules their repetition, in case
// an order has no effect.
func (a *Autoscaler) dueOrders(now time.Time, service *serviceState) []Order {
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(service.zones)) {
		zone := service.zones[name]
		if zone.target == 0 {
			continue
		}
		reached := zone.listed == zone.target
		switch {
		case zone.ordered && reached:
			zone.orderAt = time.Time{}
		case zone.orderAt.IsZero() && !reached:
			zone.orderAt = now.Add(service.BootTime + listingDelay)
		}
		if zone.orderAt.IsZero() || now.Before(zone.orderAt) {
			continue
		}
		zone.orderAt, zone.ordered = now.Add(service.BootTime+listingDelay), true
		orders = append(orders, Order{Service: service.Name, Zone: name, Count: zone.target, Epoch: a.options.Epoch})
	}
	return orders
}

// updateTargets sets the target of each zone.
func (a *Autoscaler) updateTargets(now time.Time, service *serviceState) {
	target := a.neededServers(service)
	current := service.targetServers()
	switch {
	case target > current:
		service.surplusSince = time.Time{}
		service.distribute(now, target)
	case target == current:
		service.surplusSince = time.Time{}
	case service.surplusSince.IsZero():
		service.surplusSince = now
	case now.Sub(service.surplusSince) >= scaleDownDelay:
		service.surplusSince = time.Time{}
		service.distribute(now, target)
	}
}

// neededServers returns how many servers a service needs: enough slots for the recent peak of open
// items, but no fewer servers than when the term began, since other load on them is not known here.
func (a *Autoscaler) neededServers(service *serviceState) int {
	maxPeak := 0
	for _, peak := range service.peakItems {
		maxPeak = max(maxPeak, peak)
	}
	needed := int(math.Ceil(float64(maxPeak) * a.options.SlotsPerItem / float64(service.Slots)))
	if a.options.MaxServers > 0 {
		needed = min(needed, a.options.MaxServers)
	}
	return min(max(needed, service.baselineServers()), service.Maximum*len(service.zones))
}

// baselineServers returns the number of servers when the term began.
func (s *serviceState) baselineServers() int {
	total := 0
	for _, zone := range s.zones {
		total += zone.baseline
	}
	return total
}

// targetServers returns the total target of all zones; a zone without a decision counts with its
// baseline.
func (s *serviceState) targetServers() int {
	total := 0
	for _, zone := range s.zones {
		total += zone.targetOrBaseline()
	}
	return total
}

func (z *zoneState) targetOrBaseline() int { return cmp.Or(z.target, z.baseline) }
