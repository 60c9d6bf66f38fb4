package usage

import (
	"cmp"
	"slices"
	"time"
)

// Counter collects what one process counts until it stands in the store. It is used by one
// goroutine at a time.
type Counter struct {
	process  string
	length   time.Duration
	keepFor  time.Duration
	sequence int64
	// open holds what no batch has taken yet.
	open map[countOf]int
	// batch was taken and does not stand in the store for certain; nil for none.
	batch *Batch
}

type countOf struct {
	window Window
	tenant string
}

// NewCounter returns the counter of a process, for windows of a length. What could not be
// appended for keepFor after its window ended is dropped.
func NewCounter(process string, length, keepFor time.Duration) *Counter {
	return &Counter{process: process, length: length, keepFor: keepFor, open: make(map[countOf]int)}
}

// Add counts a request of a tenant that began at a time.
func (c *Counter) Add(tenantName string, at time.Time) {
	c.open[countOf{window: WindowAt(at, c.length), tenant: tenantName}]++
}

// Pending says whether anything does not stand in the store yet.
func (c *Counter) Pending() bool { return c.batch != nil || len(c.open) > 0 }

// Next returns the batch to append, nil for none: the same one until HandleAppended, since an
// append without an answer may have been carried out. Dropped is the number of requests that
// are given up since their windows ended too long ago.
func (c *Counter) Next(now time.Time) (next *Batch, dropped int) {
	if c.batch != nil && c.tooOld(now, c.batch.Counts[len(c.batch.Counts)-1].Window) {
		for _, count := range c.batch.Counts {
			dropped += count.Requests
		}
		c.batch = nil
	}
	if c.batch != nil {
		return c.batch, dropped
	}
	var counts []Count
	for key, requests := range c.open {
		if c.tooOld(now, key.window) {
			dropped += requests
			continue
		}
		counts = append(counts, Count{Window: key.window, Tenant: key.tenant, Requests: requests})
	}
	clear(c.open)
	if len(counts) == 0 {
		return nil, dropped
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Tenant, b.Tenant))
	})
	c.sequence++
	c.batch = &Batch{Process: c.process, Sequence: c.sequence, Counts: counts}
	return c.batch, dropped
}

func (c *Counter) tooOld(now time.Time, window Window) bool {
	return now.Sub(window.End(c.length)) > c.keepFor
}

// HandleAppended notes that the batch stands in the store.
func (c *Counter) HandleAppended() { c.batch = nil }
