package scheduler

import (
	"cmp"
	"time"
)

// cursor is the position in the queue of a job from which its next item starts.
type cursor struct {
	job *job
	// head is the next item, at index next, and class its class among the items of all jobs. head is
	// nil if no item is left or no engine has a free slot for the job.
	head  *item
	class class
	next  int
	// kept holds the items before next that stay in the queue. It shares the queue's array.
	kept []*item
	// passedOver counts the items that no engine with a free slot suits.
	passedOver int
}

// newCursor returns a cursor at the first waiting item of a job.
func newCursor(now time.Time, owner *job) *cursor {
	position := &cursor{job: owner, kept: owner.queue[:0]}
	position.settle(now)
	return position
}

// advance moves the cursor to the next item. The current one stays in the queue if kept is set.
func (c *cursor) advance(now time.Time, kept bool) {
	if kept {
		c.kept = append(c.kept, c.job.queue[c.next])
	}
	c.next++
	c.settle(now)
}

// settle sets the head from the index of the next item, and skips finished items.
func (c *cursor) settle(now time.Time) {
	c.head = nil
	for c.next < len(c.job.queue) && c.job.queue[c.next].finished {
		c.next++
	}
	if c.next == len(c.job.queue) {
		return
	}
	c.head = c.job.queue[c.next]
	if c.job.isOrderedBySlack() {
		c.class = c.head.class()
		if c.job.isOverdue(now) {
			c.class = classOverdue
		}
	}
}

// close removes the items that have started or finished from the queue.
func (c *cursor) close() {
	queue := c.job.queue
	kept := append(c.kept, queue[c.next:]...)
	clear(queue[len(kept):])
	c.job.queue = kept
}

// nextCursor returns the cursor whose next item starts first, or nil if no items wait. cursors are in
// order of arrival.
func (m *Machine) nextCursor(cursors []*cursor) *cursor {
	var byArrival, bySlack *cursor
	for _, position := range cursors {
		switch {
		case position.head == nil:
		case !position.job.isOrderedBySlack():
			if byArrival == nil {
				byArrival = position
			}
		case bySlack == nil || position.precedes(bySlack):
			bySlack = position
		}
	}
	if bySlack == nil || byArrival != nil && byArrival.job.arrival < bySlack.job.arrival {
		return byArrival
	}
	return m.shareAmongTenants(cursors, bySlack)
}

// precedes reports whether the next item of a cursor starts before that of another.
func (c *cursor) precedes(other *cursor) bool {
	if c.class != other.class {
		return c.class < other.class
	}
	if order := c.head.startBy.Compare(other.head.startBy); order != 0 && c.class != classOverdue {
		return order < 0
	}
	return c.job.precedes(other.job)
}

// shareAmongTenants returns the cursor from which the next item starts. Among the cursors whose next item
// has less than tenantWindow more slack than that of the first, the tenant with the lowest load goes first.
// Overdue items keep their order.
func (m *Machine) shareAmongTenants(cursors []*cursor, first *cursor) *cursor {
	if first.class == classOverdue {
		return first
	}
	chosen := first
	for _, position := range cursors {
		if position.head == nil || !position.job.isOrderedBySlack() || position.class != first.class ||
			position.head.startBy.Sub(first.head.startBy) >= tenantWindow {
			continue
		}
		less := 0
		if position.job.tenant != chosen.job.tenant {
			less = cmp.Compare(m.tenantLoad(position.job.tenant), m.tenantLoad(chosen.job.tenant))
		}
		if less < 0 || less == 0 && position.precedes(chosen) {
			chosen = position
		}
	}
	return chosen
}

// tenantLoad returns the running items of a tenant divided by its weight.
func (m *Machine) tenantLoad(tenant string) float64 {
	weight, known := m.options.TenantWeights[tenant]
	if !known || weight <= 0 {
		weight = 1
	}
	return float64(m.runningByTenant[tenant]) / weight
}

// countRunning adds to the running attempts of a tenant.
func (m *Machine) countRunning(tenant string, change int) {
	m.runningByTenant[tenant] += change
	if m.runningByTenant[tenant] == 0 {
		delete(m.runningByTenant, tenant)
	}
}
