// Package scaling decides how many servers each zone has of the services whose number may be
// chosen. Machine is a state machine without I/O; Driver runs it on the holder of the lease.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Service is a service whose number of servers may be chosen.
type Service struct {
	Name string
	// Slots is the number of requests that a server runs at once.
	Slots int
	// Minimum and Maximum bound the servers of each zone.
	Minimum, Maximum int
	// BootTime is from an order until a new server serves.
	BootTime time.Duration
	// ZonePrices holds what a second of a server costs in each zone, relative to others.
	ZonePrices map[string]float64
}

// Order asks for a number of servers in a zone, the ones that are there included.
type Order struct {
	Service, Zone string
	Count         int
	// Epoch is the lease's, which fences the order.
	Epoch int64
}

// Outcome is what came of an order.
type Outcome int

// The outcomes.
const (
	// OutcomeTaken: the order is carried out.
	OutcomeTaken Outcome = iota
	// OutcomeUnknown: the order may be carried out, also later.
	OutcomeUnknown
	// OutcomeFenced: a later holder of the lease has ordered.
	OutcomeFenced
)

// String implements fmt.Stringer.
func (o Outcome) String() string { return [...]string{"taken", "unknown", "fenced"}[o] }

// Options configure a Machine.
type Options struct {
	// Headroom is the number of slots for each item that was open at once.
	Headroom float64
	// Most bounds the servers of a service over all zones, beside its own bounds; 0 for none.
	Most int
	// Epoch is the lease's.
	Epoch int64
}

// DefaultHeadroom has a slot for each item.
const DefaultHeadroom = 1.0

const (
	// lowerAfter is how long fewer servers must have sufficed for some to be given back. It is
	// above the time between the steps of trainers, whose demand comes at once.
	lowerAfter = time.Minute
	// lookFor is how long a holder that has just begun counts the servers that are there: some
	// may be missing for a moment.
	lookFor = 3 * time.Second
	// listedWithin is the time after a server's boot within which it stands in the list.
	listedWithin = 4 * time.Second
	// retryAfter is the time after an order of which nothing is known.
	retryAfter = time.Second
)

// Machine decides for the term of one holder. It is used by one goroutine.
type Machine struct {
	options  Options
	services map[string]*service
	fenced   bool
}

// service is what is known of one service.
type service struct {
	Service
	zones map[string]*zone
	// lookUntil is until when the servers are counted that are there as the term begins.
	lookUntil time.Time
	// peaks holds the most items that were open at once, by second.
	peaks map[int64]int
	// sufficedSince is since when fewer servers would have sufficed; zero when they did not.
	sufficedSince time.Time
}

// zone is what is known of a service in one zone.
type zone struct {
	// listed is the number of servers that are there, found that of those which were there as
	// the term began.
	listed, found int
	// wanted is the number that was decided on; 0 before the first decision.
	wanted int
	// askAt is when the number is to be ordered; zero when it is not.
	askAt time.Time
	// asked says that it was ordered before: it is again only while the list shows another.
	asked bool
}

// NewMachine returns the machine of a term.
func NewMachine(options Options) *Machine {
	options.Headroom = cmp.Or(options.Headroom, DefaultHeadroom)
	return &Machine{options: options, services: make(map[string]*service)}
}

// HandleServices takes the services whose number of servers may be chosen.
func (m *Machine) HandleServices(services []Service) {
	present := make(map[string]bool)
	for _, given := range services {
		present[given.Name] = true
		known := m.services[given.Name]
		if known == nil {
			known = &service{zones: make(map[string]*zone), peaks: make(map[int64]int)}
			m.services[given.Name] = known
		}
		known.Service = given
		for name := range given.ZonePrices {
			if known.zones[name] == nil {
				known.zones[name] = &zone{}
			}
		}
	}
	maps.DeleteFunc(m.services, func(name string, _ *service) bool { return !present[name] })
}

// HandleServers takes the number of servers of a service by zone, without those that leave.
func (m *Machine) HandleServers(now time.Time, name string, listed map[string]int) {
	known := m.services[name]
	if known == nil {
		return
	}
	if known.lookUntil.IsZero() {
		known.lookUntil = now.Add(lookFor)
	}
	for zoneName, place := range known.zones {
		place.listed = listed[zoneName]
		if now.Before(known.lookUntil) {
			place.found = max(place.found, place.listed)
		}
	}
}

// HandleDemand takes the number of a service's items that are open.
func (m *Machine) HandleDemand(now time.Time, name string, open int) {
	known := m.services[name]
	if known == nil {
		return
	}
	second := now.Unix()
	known.peaks[second] = max(known.peaks[second], open)
	oldest := now.Add(-lowerAfter).Unix()
	maps.DeleteFunc(known.peaks, func(at int64, _ int) bool { return at < oldest })
}

// HandleOutcome takes what came of an order.
func (m *Machine) HandleOutcome(now time.Time, order Order, outcome Outcome) {
	known := m.services[order.Service]
	if known == nil || known.zones[order.Zone] == nil {
		return
	}
	place := known.zones[order.Zone]
	switch {
	case outcome == OutcomeFenced:
		m.fenced = true
	case order.Count != place.wanted:
		// Another number is to be ordered.
	case outcome == OutcomeTaken:
		place.askAt = time.Time{}
	default:
		place.askAt = now.Add(retryAfter)
	}
}

// Tick returns the orders that are due.
func (m *Machine) Tick(now time.Time) []Order {
	if m.fenced {
		return nil
	}
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(m.services)) {
		known := m.services[name]
		if known.Slots <= 0 || known.found() == 0 || now.Before(known.lookUntil) {
			continue
		}
		m.decide(now, known)
		orders = append(orders, m.due(now, known)...)
	}
	return orders
}

// due returns the orders that are due for a service, and notes when they are again: an order
// that nothing came of is made once more.
func (m *Machine) due(now time.Time, known *service) []Order {
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(known.zones)) {
		place := known.zones[name]
		if place.wanted == 0 {
			continue
		}
		settled := place.listed == place.wanted
		switch {
		case place.asked && settled:
			place.askAt = time.Time{}
		case place.askAt.IsZero() && !settled:
			place.askAt = now.Add(known.BootTime + listedWithin)
		}
		if place.askAt.IsZero() || now.Before(place.askAt) {
			continue
		}
		place.askAt, place.asked = now.Add(known.BootTime+listedWithin), true
		orders = append(orders, Order{Service: known.Name, Zone: name, Count: place.wanted, Epoch: m.options.Epoch})
	}
	return orders
}

// decide sets how many servers each zone is to have.
func (m *Machine) decide(now time.Time, known *service) {
	target := m.target(known)
	current := known.total()
	switch {
	case target > current:
		known.sufficedSince = time.Time{}
		known.spread(now, target)
	case target == current:
		known.sufficedSince = time.Time{}
	case known.sufficedSince.IsZero():
		known.sufficedSince = now
	case now.Sub(known.sufficedSince) >= lowerAfter:
		known.sufficedSince = time.Time{}
		known.spread(now, target)
	}
}

// target returns how many servers a service needs: slots for the most items that were open at
// once lately, and no fewer servers than there were when the term began, since what else runs
// there is not known here.
func (m *Machine) target(known *service) int {
	most := 0
	for _, peak := range known.peaks {
		most = max(most, peak)
	}
	needed := int(math.Ceil(float64(most) * m.options.Headroom / float64(known.Slots)))
	if m.options.Most > 0 {
		needed = min(needed, m.options.Most)
	}
	return min(max(needed, known.found()), known.Maximum*len(known.zones))
}

// found returns how many servers there were as the term began.
func (s *service) found() int {
	total := 0
	for _, place := range s.zones {
		total += place.found
	}
	return total
}

// total returns how many servers were decided on, or were there.
func (s *service) total() int {
	total := 0
	for _, place := range s.zones {
		total += place.count()
	}
	return total
}

func (z *zone) count() int { return cmp.Or(z.wanted, z.found) }
