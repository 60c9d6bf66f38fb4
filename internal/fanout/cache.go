package fanout

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"dalehook/internal/clock"
	"dalehook/internal/placement"
	"dalehook/internal/store"
)

const (
	// fanOutDegree is the number of nodes that one node serves a change to: 1,000 nodes are at most four levels
	// deep, and each node sends the change eight times.
	fanOutDegree = 8
	// serveTimeout is how long a node that is asked for a change waits for it to arrive: the node may itself
	// have requested it a moment ago.
	serveTimeout = 800 * time.Millisecond
	// LargeBytes is the size at which nodes fetch a record from each other: 1,000 nodes reading a smaller one
	// keep a store that delivers 80 MB/s busy for less than half a second.
	LargeBytes = 32 << 10
)

// Question asks a node for its knowledge of the topic.
type Question struct {
	// From is the offset after what the asker knows; negative if it knows nothing.
	From int64
	// Next is the offset up to which the asker wants to know at least.
	Next int64
	// Asker is the address at which the asker answers the same question.
	Asker string
	// Gone is the address of a node that the asker was redirected to and that did not answer; empty for none.
	Gone string
}

// Answer holds a node's knowledge, or redirects to another node.
type Answer struct {
	Records []store.Record
	// Whole is set if the records are the newest of each key instead of the changes after From.
	Whole bool
	// Next is the offset after what the node knows, which may be less than requested; negative if it knows
	// nothing.
	Next int64
	// Age is the time from the read of the store to this answer.
	Age time.Duration
	// Elsewhere is the address of a node that has been served the change, or is about to be; empty for none.
	Elsewhere string
}

// Cache holds a node's knowledge of the topic and serves it to others. It is safe for concurrent use.
type Cache struct {
	mutex sync.Mutex
	// records holds the newest record of each key, including tombstones after base.
	records map[string]store.Record
	// base is the offset from which all changes are held, next the offset after them; negative while nothing is
	// held.
	base, next int64
	// askedAt is when the store was asked for that state.
	askedAt time.Time
	// large is the offset after the last large record.
	large int64
	// advanced is closed when next advances.
	advanced chan struct{}
	// recipients are the nodes that are served the changes up to recipientsNext.
	recipients     []string
	recipientsNext int64
}

// NewCache returns an empty cache.
func NewCache() *Cache { return &Cache{next: -1, base: -1, advanced: make(chan struct{})} }

// Update adds records up to an offset: those since the known end, or, if snapshot is set, the newest of
// each key.
func (c *Cache) Update(records []store.Record, snapshot bool, next int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if snapshot {
		c.records = make(map[string]store.Record, len(records))
		c.base, c.large = next, 0
	}
	if c.records == nil {
		return // the preceding records are unknown
	}
	for _, record := range records {
		c.records[record.Key] = record
		if len(record.Value) >= LargeBytes {
			c.large = max(c.large, record.Offset+1)
		}
	}
	if next == c.next {
		return
	}
	c.next = next
	close(c.advanced)
	c.advanced = make(chan struct{})
}

// MarkUpToDate records that the held state was the newest when the store was asked.
func (c *Cache) MarkUpToDate(at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if at.After(c.askedAt) {
		c.askedAt = at
	}
}

// CacheState describes how far a cache knows the topic.
type CacheState struct {
	// Next is the offset after what is known, Large the offset after the last large record.
	Next, Large int64
	// AskedAt is when the store was asked, by package clock.
	AskedAt time.Time
}

// State returns how far the topic is known; ok is false if nothing is known.
func (c *Cache) State() (state CacheState, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return CacheState{Next: c.next, Large: c.large, AskedAt: c.askedAt}, c.records != nil && !c.askedAt.IsZero()
}

// Serve answers another node. It waits up to serveTimeout for records that have not arrived yet.
func (c *Cache) Serve(ctx context.Context, question Question) Answer {
	if elsewhere := c.redirect(question); elsewhere != "" {
		return Answer{Elsewhere: elsewhere}
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	for {
		answer, advanced := c.answer(question)
		if advanced == nil {
			return answer
		}
		select {
		case <-ctx.Done():
			return answer
		case <-advanced:
		}
	}
}

// redirect returns the node to which an asker is redirected, or an empty string if this node serves it. An
// asker is always redirected to the same node, so that no two nodes wait for each other.
func (c *Cache) redirect(question Question) (elsewhere string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if question.Next > c.recipientsNext {
		c.recipients, c.recipientsNext = nil, question.Next
	}
	c.recipients = slices.DeleteFunc(c.recipients, func(node string) bool { return node == question.Gone })
	if slices.Contains(c.recipients, question.Asker) {
		return ""
	}
	if len(c.recipients) < fanOutDegree {
		c.recipients = append(c.recipients, question.Asker)
		return ""
	}
	return slices.MaxFunc(c.recipients, func(a, b string) int {
		return cmp.Compare(placement.Score(a, question.Asker), placement.Score(b, question.Asker))
	})
}

// answer returns what is known, and a channel that is closed once more is known if that does not suffice.
func (c *Cache) answer(question Question) (Answer, <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.records == nil {
		return Answer{Next: -1}, c.advanced
	}
	if c.next < question.Next {
		return Answer{Next: c.next, Age: clock.Since(c.askedAt)}, c.advanced
	}
	answer := Answer{Next: c.next, Age: clock.Since(c.askedAt), Whole: question.From < c.base}
	for _, record := range c.records {
		if answer.Whole && len(record.Value) == 0 || !answer.Whole && record.Offset < question.From {
			continue
		}
		answer.Records = append(answer.Records, record)
	}
	slices.SortFunc(answer.Records, func(a, b store.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return answer, nil
}
