package record

import (
	"time"

	"dalehook/internal/cluster"
)

// Offset returns the offset of the last entry that was folded.
func (c *Control) Offset() uint64 { return c.offset }

// Revision returns the revision of the configuration in force.
func (c *Control) Revision() Revision { return c.revision }

// Events returns the events in force, sorted by name.
func (c *Control) Events() []ConfirmedEvent {
	if c.eventList == nil {
		c.eventList = sortedValues(c.events)
	}
	return c.eventList
}

// Event returns the event in force with the given name.
func (c *Control) Event(name string) (ConfirmedEvent, bool) {
	event, ok := c.events[name]
	return event, ok
}

// PlanByDigest returns the event in force whose plan has the given digest.
func (c *Control) PlanByDigest(digest string) (ConfirmedEvent, bool) {
	for _, event := range c.Events() {
		if event.Plan.Digest == digest {
			return event, true
		}
	}
	return ConfirmedEvent{}, false
}

// Newest returns the newest announced version of a model, zero for none.
func (c *Control) Newest(model cluster.ModelName) cluster.Version {
	return c.versions[model].Version
}

// NewestAt returns the trainer's time of the newest announcement, which is the
// zero time for a model without versions.
func (c *Control) NewestAt(model cluster.ModelName) time.Time {
	return c.versions[model].At
}

// Models returns the models with an announced version, sorted.
func (c *Control) Models() []cluster.ModelName { return sortedKeys(c.versions) }

// Lease returns the lease of a duty; the zero Lease when it was never claimed.
func (c *Control) Lease(duty Duty) Lease { return c.leases[duty] }

// View returns the placement view in force.
func (c *Control) View() cluster.View { return c.view }

// PreviousView returns the view before the one in force.
func (c *Control) PreviousView() cluster.View { return c.previous }

// FirstView returns the number of the first view ever, zero for none.
func (c *Control) FirstView() uint64 { return c.firstView }

// Steps returns the open steps, sorted by id.
func (c *Control) Steps() []StepOpened {
	if c.stepList == nil {
		c.stepList = sortedValues(c.steps)
	}
	return c.stepList
}

// Step returns an open step.
func (c *Control) Step(id string) (StepOpened, bool) {
	step, ok := c.steps[id]
	return step, ok
}

// StepClosed reports whether a step is known to be closed. Only the last few
// hundred closed steps are known.
func (c *Control) StepClosed(id string) bool { return c.closed.has(id) }

// Seen returns the offset of the record with the given id, if it is among the
// last ControlIDMemory records.
func (c *Control) Seen(id ID) (uint64, bool) { return c.ids.find(id) }
