package usage

import (
	"cmp"
	"slices"
	"time"
)

// Counter accumulates the counts of one process until the store has them. It is not safe for
// concurrent use.
type Counter struct {
	process      string
	windowLength time.Duration
	retention    time.Duration
	sequence     int64
	// unbatched holds the counts that are not part of a batch yet.
	unbatched map[countKey]int
	// unconfirmed is the batch handed out for appending whose append is not confirmed; nil for none.
	unconfirmed *Batch
}

type countKey struct {
	window Window
	tenant string
}

// NewCounter returns the counter of a process. Counts that could not be appended within the
// retention after the end of their window are dropped.
func NewCounter(process string, windowLength, retention time.Duration) *Counter {
	return &Counter{process: process, windowLength: windowLength, retention: retention, unbatched: make(map[countKey]int)}
}

// Add counts one request of a tenant that started at the given time.
func (c *Counter) Add(tenantName string, at time.Time) {
	c.unbatched[countKey{window: WindowAt(at, c.windowLength), tenant: tenantName}]++
}

// Pending reports whether there are counts that the store is not known to have.
func (c *Counter) Pending() bool { return c.unconfirmed != nil || len(c.unbatched) > 0 }

// NextBatch returns the batch to append, nil for none. It returns the same batch until
// HandleAppended, since an append without an answer may have been carried out. Lost is the
// number of requests discarded because the retention of their windows has passed.
func (c *Counter) NextBatch(now time.Time) (next *Batch, lost int) {
	if c.unconfirmed != nil && c.isExpired(now, c.unconfirmed.Counts[len(c.unconfirmed.Counts)-1].Window) {
		for _, count := range c.unconfirmed.Counts {
			lost += count.Requests
		}
		c.unconfirmed = nil
	}
	if c.unconfirmed != nil {
		return c.unconfirmed, lost
	}
	var counts []Count
	for key, requests := range c.unbatched {
		if c.isExpired(now, key.window) {
			lost += requests
			continue
		}
		counts = append(counts, Count{Window: key.window, Tenant: key.tenant, Requests: requests})
	}
	clear(c.unbatched)
	if len(counts) == 0 {
		return nil, lost
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Tenant, b.Tenant))
	})
	c.sequence++
	c.unconfirmed = &Batch{Process: c.process, Sequence: c.sequence, Counts: counts}
	return c.unconfirmed, lost
}

func (c *Counter) isExpired(now time.Time, window Window) bool {
	return now.Sub(window.End(c.windowLength)) > c.retention
}

// HandleAppended records that the store has the batch.
func (c *Counter) HandleAppended() { c.unconfirmed = nil }
