package scaling

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// spread brings the number of servers to a target, one by one: each where it costs the least
// for the number that is there already, so that all zones have some and dear ones fewer.
func (s *service) spread(now time.Time, target int) {
	counts := make(map[string]int, len(s.zones))
	total := 0
	for name, place := range s.zones {
		counts[name] = place.count()
		total += counts[name]
	}
	for ; total < target; total++ {
		name, found := s.cheapest(counts)
		if !found {
			break
		}
		counts[name]++
	}
	for ; total > target; total-- {
		name, found := s.dearest(counts)
		if !found {
			break
		}
		counts[name]--
	}
	for name, place := range s.zones {
		if counts[name] != place.count() {
			place.wanted, place.askAt, place.asked = counts[name], now, false
		}
	}
}

func (s *service) cheapest(counts map[string]int) (best string, found bool) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if counts[name] >= s.Maximum {
			continue
		}
		if !found || s.cost(name, counts[name]+1) < s.cost(best, counts[best]+1) {
			best, found = name, true
		}
	}
	return best, found
}

func (s *service) dearest(counts map[string]int) (best string, found bool) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if counts[name] <= s.Minimum {
			continue
		}
		if !found || s.cost(name, counts[name]) > s.cost(best, counts[best]) {
			best, found = name, true
		}
	}
	return best, found
}

func (s *service) cost(zoneName string, count int) float64 {
	return float64(count) * cmp.Or(s.ZonePrices[zoneName], 1)
}
