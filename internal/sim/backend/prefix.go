package backend

import "slices"

// prefixCache holds the shared prefixes of prompt groups in limited memory; the
// one used longest ago gives way first.
type prefixCache struct {
	capacity int
	entries  []prefixEntry
}

type prefixEntry struct {
	group  string
	tokens int
}

func newPrefixCache(capacity int) prefixCache { return prefixCache{capacity: capacity} }

// use reports whether the group's prefix is there, and puts it there.
func (c *prefixCache) use(group string, tokens int) bool {
	if group == "" || tokens == 0 || tokens > c.capacity {
		return false
	}
	index := slices.IndexFunc(c.entries, func(e prefixEntry) bool { return e.group == group })
	if index >= 0 {
		c.entries = slices.Delete(c.entries, index, index+1)
	}
	c.entries = append(c.entries, prefixEntry{group: group, tokens: tokens})
	for c.size() > c.capacity {
		c.entries = c.entries[1:]
	}
	return index >= 0
}

func (c *prefixCache) size() int {
	total := 0
	for _, e := range c.entries {
		total += e.tokens
	}
	return total
}

// clear forgets everything: cached state of another version is of no use.
func (c *prefixCache) clear() { c.entries = nil }

func (c *prefixCache) groups() []string {
	names := make([]string, 0, len(c.entries))
	for _, e := range c.entries {
		names = append(names, e.group)
	}
	slices.Sort(names)
	return names
}
