package standin

import (
	"slices"
	"time"

	"dalehook/internal/backend"
)

const (
	// lostEventInterval drops every event whose sequence number is a multiple of
	// it, so that consumers see gaps.
	lostEventInterval = 7
	// maxCacheEvents bounds the feed; older events are discarded.
	maxCacheEvents = 1024
)

// prefixCache holds the prefix groups whose KV cache is in memory, in least
// recently used order, and the feed of stored and evicted groups.
type prefixCache struct {
	maxGroups int
	groups    []cachedGroup
	sequence  uint64
	feed      []timestamped[backend.CacheEvent]
}

type cachedGroup struct {
	name   string
	tokens int
}

// touch marks a group as most recently used, adds it if missing, and reports
// whether it was cached.
func (c *prefixCache) touch(now time.Time, name string, tokens int) bool {
	index := slices.IndexFunc(c.groups, func(g cachedGroup) bool { return g.name == name })
	if index >= 0 {
		group := c.groups[index]
		c.groups = append(slices.Delete(c.groups, index, index+1), group)
		return true
	}
	c.groups = append(c.groups, cachedGroup{name: name, tokens: tokens})
	c.record(now, backend.CacheStored, name)
	if len(c.groups) > c.maxGroups {
		c.record(now, backend.CacheEvicted, c.groups[0].name)
		c.groups = slices.Delete(c.groups, 0, 1)
	}
	return false
}

func (c *prefixCache) record(now time.Time, kind, group string) {
	c.sequence++
	if c.sequence%lostEventInterval == 0 {
		return
	}
	event := backend.CacheEvent{Sequence: c.sequence, Kind: kind, Group: group}
	c.feed = append(c.feed, timestamped[backend.CacheEvent]{at: now, value: event})
	if excess := len(c.feed) - maxCacheEvents; excess > 0 {
		c.feed = slices.Delete(c.feed, 0, excess)
	}
}

// events returns the events up to a time, from a sequence number on.
func (c *prefixCache) events(from uint64, before time.Time) backend.CacheEvents {
	found := backend.CacheEvents{Events: []backend.CacheEvent{}, Next: 1}
	for _, event := range c.feed {
		if event.at.After(before) {
			break
		}
		found.Next = event.value.Sequence + 1
		if event.value.Sequence >= from {
			found.Events = append(found.Events, event.value)
		}
	}
	return found
}

func (c *prefixCache) tokens() int {
	total := 0
	for _, group := range c.groups {
		total += group.tokens
	}
	return total
}
