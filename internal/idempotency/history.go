package idempotency

import (
	"slices"

	"dalehook/internal/cluster"
)

// mostHistory bounds the views that a node remembers.
const mostHistory = 32

// viewHistory remembers which view came directly before another one.
type viewHistory struct {
	links []viewLink
}

type viewLink struct {
	number uint64
	before cluster.View
}

// add notes the view before a view; one without a number is unknown.
func (h *viewHistory) add(number uint64, before cluster.View) {
	_, known := h.before(number)
	if known || before.Number == 0 {
		return
	}
	h.links = append(h.links, viewLink{number: number, before: before})
	if len(h.links) > mostHistory {
		h.links = slices.Delete(h.links, 0, 1)
	}
}

// before returns the view directly before a view.
func (h *viewHistory) before(number uint64) (cluster.View, bool) {
	index := slices.IndexFunc(h.links, func(l viewLink) bool { return l.number == number })
	if index < 0 {
		return cluster.View{}, false
	}
	return h.links[index].before, true
}
