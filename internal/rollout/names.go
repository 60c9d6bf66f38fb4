package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// sortedNames is a sorted set, for going through a map in a fixed order.
type sortedNames struct{ names []string }

func (s *sortedNames) insert(name string) {
	if i, found := slices.BinarySearch(s.names, name); !found {
		s.names = slices.Insert(s.names, i, name)
	}
}

func (s *sortedNames) remove(name string) {
	if i, found := slices.BinarySearch(s.names, name); found {
		s.names = slices.Delete(s.names, i, i+1)
	}
}

func (s *sortedNames) clone() []string { return slices.Clone(s.names) }

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// ownerHints remembers who holds the steps that this node has heard of last.
type ownerHints struct {
	hints map[string]ownerHint
	order []string
}

// maxOwnerHints bounds the hints that are kept.
const maxOwnerHints = 8192

func (h *ownerHints) get(step string) (ownerHint, bool) {
	hint, ok := h.hints[step]
	return hint, ok
}

// set takes a hint, unless one of a higher epoch is known.
func (h *ownerHints) set(step string, hint ownerHint) {
	known, ok := h.hints[step]
	if ok && known.epoch > hint.epoch {
		return
	}
	if !ok {
		h.order = append(h.order, step)
	}
	if len(h.order) > maxOwnerHints {
		delete(h.hints, h.order[0])
		h.order = slices.Delete(h.order, 0, 1)
	}
	h.hints[step] = hint
}

func (s *sortedNames) has(name string) bool {
	_, found := slices.BinarySearch(s.names, name)
	return found
}
