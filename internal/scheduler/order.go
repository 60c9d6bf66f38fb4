package scheduler

import (
	"cmp"
	"slices"
	"strings"
)

// Maps are iterated in a fixed order wherever the order affects the output, so that the machine is
// deterministic.

func (m *Machine) sortedJobs() []*job {
	jobs := make([]*job, 0, len(m.jobs))
	for _, next := range m.jobs {
		jobs = append(jobs, next)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.arrival, b.arrival) })
	return jobs
}

func (m *Machine) sortedAttempts() []*attempt {
	attempts := make([]*attempt, 0, len(m.attempts))
	for _, running := range m.attempts {
		attempts = append(attempts, running)
	}
	slices.SortFunc(attempts, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return attempts
}

func sortedItems(owner *job) []*item {
	items := make([]*item, 0, len(owner.items))
	for _, waiting := range owner.items {
		items = append(items, waiting)
	}
	slices.SortFunc(items, func(a, b *item) int { return cmp.Compare(a.source.ID, b.source.ID) })
	return items
}

// joinLines joins the data of events into the text of a result.
func joinLines(lines []string) string { return strings.Join(lines, "\n") }
