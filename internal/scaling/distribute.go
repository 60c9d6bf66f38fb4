package scaling

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// distribute changes the zone targets until they add up to the target, one server at a time. A
// server's marginal cost is the zone's price times the resulting number of servers there, so that
// all zones get servers and expensive zones get fewer.
func (s *serviceState) distribute(now time.Time, target int) {
	counts := make(map[string]int, len(s.zones))
	total := 0
	for name, zone := range s.zones {
		counts[name] = zone.targetOrBaseline()
		total += counts[name]
	}
	for ; total < target; total++ {
		name, found := s.cheapestToAdd(counts)
		if !found {
			break
		}
		counts[name]++
	}
	for ; total > target; total-- {
		name, found := s.costliestToRemove(counts)
		if !found {
			break
		}
		counts[name]--
	}
	for name, zone := range s.zones {
		if counts[name] != zone.targetOrBaseline() {
			zone.target, zone.orderAt, zone.ordered = counts[name], now, false
		}
	}
}

func (s *serviceState) cheapestToAdd(counts map[string]int) (best string, found bool) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if counts[name] >= s.Maximum {
			continue
		}
		if !found || s.marginalCost(name, counts[name]+1) < s.marginalCost(best, counts[best]+1) {
			best, found = name, true
		}
	}
	return best, found
}

func (s *serviceState) costliestToRemove(counts map[string]int) (best string, found bool) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if counts[name] <= s.Minimum {
			continue
		}
		if !found || s.marginalCost(name, counts[name]) > s.marginalCost(best, counts[best]) {
			best, found = name, true
		}
	}
	return best, found
}

func (s *serviceState) marginalCost(zoneName string, count int) float64 {
	return float64(count) * cmp.Or(s.ZonePrices[zoneName], 1)
}
