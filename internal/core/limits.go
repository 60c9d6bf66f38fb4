package core

import (
	"slices"
	"strings"

	"dalehook/internal/record"
)

// classLimits returns the limits of all plans in force, sorted by class. Where
// plans overlap on a class, the larger limit and the higher importance count,
// since each plan was sized for its own crowd.
func classLimits(control *record.Control) []record.ClassLimit {
	var limits []record.ClassLimit
	for _, event := range control.Events() {
		for _, limit := range event.Plan.Limits {
			limits = mergeLimit(limits, limit)
		}
	}
	slices.SortFunc(limits, func(a, b record.ClassLimit) int { return strings.Compare(a.Class, b.Class) })
	return limits
}

func mergeLimit(limits []record.ClassLimit, limit record.ClassLimit) []record.ClassLimit {
	index := slices.IndexFunc(limits, func(l record.ClassLimit) bool { return l.Class == limit.Class })
	if index < 0 {
		return append(limits, limit)
	}
	merged := &limits[index]
	merged.Rate = max(merged.Rate, limit.Rate)
	merged.Concurrent = max(merged.Concurrent, limit.Concurrent)
	merged.Importance = max(merged.Importance, limit.Importance)
	return limits
}
