package record

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"dalehook/internal/cluster"
)

// The limits of what a Control keeps, so that a node's memory and the snapshot
// for a starting node stay bounded.
const (
	// MaxEvents is the largest number of events in force. A confirmation beyond
	// it takes the place of the event that ended first, if that one ends before
	// the new event starts, and is void otherwise.
	MaxEvents = 64
	// MaxOpenSteps is the largest number of open steps.
	MaxOpenSteps = 4096
	// MaxDuties is the largest number of duties ever claimed.
	MaxDuties = 1024
	// MaxModels is the largest number of models with versions.
	MaxModels = 1024
	// ControlIDMemory is the number of the last records whose ids are
	// remembered. A second copy that stands further behind the first is judged
	// anew; that is harmless, since each control record is also decided by its
	// revision, epoch, version or step.
	ControlIDMemory = 1024
	// closedStepMemory is the number of closed steps that stay known, so that a
	// late StepOpened does not open them again.
	closedStepMemory = 512
	// decisionMemory is the number of the last configuration records that can
	// be named as winners.
	decisionMemory = 32
)

// Control is the fold of the control log. It is a pure function of the entries
// that were applied in order, so that every node computes the same state.
// Values that its readers return are shared and must not be changed.
type Control struct {
	offset    uint64
	revision  Revision
	events    map[string]ConfirmedEvent
	versions  map[cluster.ModelName]announced
	leases    map[Duty]Lease
	view      cluster.View
	previous  cluster.View
	firstView uint64
	steps     map[string]StepOpened
	ids       idMemory
	closed    recentSteps
	decisions []Decision
	// eventList and stepList hold the sorted events and steps until they change.
	eventList []ConfirmedEvent
	stepList  []StepOpened
}

// announced is the newest version of a model.
type announced struct {
	Version cluster.Version
	At      time.Time
}

// Decision is a valid configuration record, kept to name it as a winner.
type Decision struct {
	Base   Revision
	Offset uint64
	Text   string
}

// NewControl returns the state before the first entry of the control log.
func NewControl() *Control {
	return &Control{
		events:   map[string]ConfirmedEvent{},
		versions: map[cluster.ModelName]announced{},
		leases:   map[Duty]Lease{},
		steps:    map[string]StepOpened{},
		ids:      newIDMemory(ControlIDMemory),
		closed:   newRecentSteps(closedStepMemory),
	}
}

// Apply folds one entry. Entries must come in order without gaps: one that was
// applied before, or that comes too early, changes nothing and says so.
func (c *Control) Apply(entry Entry) Change {
	change := Change{Offset: entry.Offset, ID: entry.Record.ID, Body: entry.Record.Body}
	if reason := orderReason(c.offset, entry.Offset); reason != "" {
		change.Reason = reason
		return change
	}
	c.offset = entry.Offset
	if first, seen := c.ids.add(entry.Record.ID, entry.Offset); seen {
		return change.void(ReasonDuplicate, fmt.Sprintf("the record's first copy at offset %d", first), first)
	}
	switch body := entry.Record.Body.(type) {
	case PlanConfirmed:
		return c.confirm(change, body)
	case EventWithdrawn:
		return c.withdraw(change, body)
	case VersionAnnounced:
		return c.announce(change, body)
	case LeaseClaimed:
		return c.claim(change, body)
	case ViewPublished:
		return c.publish(change, body)
	case StepOpened:
		return c.openStep(change, body)
	case StepClosed:
		return c.closeStep(change, body)
	case StepBody, SamplesPlaced, SamplesCommitted, SamplesRevoked, SamplesFailed:
		return change.void(ReasonWrongLog, "", 0)
	default:
		return change.void(ReasonUnknownKind, "", 0)
	}
}

// orderReason says why an entry is out of order, empty when it is the next.
func orderReason(applied, offset uint64) VoidReason {
	switch {
	case offset <= applied:
		return ReasonApplied
	case offset > applied+1:
		return ReasonGap
	default:
		return ""
	}
}

func (c Change) void(reason VoidReason, winner string, offset uint64) Change {
	c.Reason, c.Winner, c.WinnerOffset = reason, winner, offset
	return c
}

func (c Change) valid() Change {
	c.Valid = true
	return c
}

func (c Change) repeated() Change {
	c.Valid, c.Repeated = true, true
	return c
}

func (c *Control) confirm(change Change, body PlanConfirmed) Change {
	name := body.Plan.Event.Name
	if name == "" || body.Plan.Digest == "" {
		return change.void(ReasonInvalid, "", 0)
	}
	if inForce, ok := c.events[name]; ok && inForce.Plan.Digest == body.Plan.Digest {
		change.Revision = inForce.Revision
		return change.repeated()
	}
	if body.Base != c.revision {
		return c.conflict(change, body.Base)
	}
	if !c.makeRoom(body.Plan.Event) {
		return change.void(ReasonLimit, fmt.Sprintf("%d events in force", len(c.events)), 0)
	}
	c.decide(change.Offset, body.Base, fmt.Sprintf("plan %s of event %s, confirmed by %s at revision %d",
		body.Plan.Digest, name, operatorName(body.Operator), change.Offset))
	change.Revision = c.revision
	c.eventList = nil
	c.events[name] = ConfirmedEvent{Plan: body.Plan, Revision: c.revision, Operator: body.Operator}
	return change.valid()
}

func (c *Control) withdraw(change Change, body EventWithdrawn) Change {
	if body.Event == "" {
		return change.void(ReasonInvalid, "", 0)
	}
	if _, ok := c.events[body.Event]; !ok {
		return change.repeated()
	}
	if body.Base != c.revision {
		return c.conflict(change, body.Base)
	}
	c.decide(change.Offset, body.Base, fmt.Sprintf("withdrawal of event %s by %s at revision %d",
		body.Event, operatorName(body.Operator), change.Offset))
	change.Revision = c.revision
	c.eventList = nil
	delete(c.events, body.Event)
	return change.valid()
}

func operatorName(operator string) string {
	if operator == "" {
		return "an unnamed operator"
	}
	return operator
}

// decide moves the revision and remembers the record as a possible winner.
func (c *Control) decide(offset uint64, base Revision, text string) {
	c.revision = Revision(offset)
	c.decisions = append(c.decisions, Decision{Base: base, Offset: offset, Text: text})
	if extra := len(c.decisions) - decisionMemory; extra > 0 {
		c.decisions = slices.Delete(c.decisions, 0, extra)
	}
}

// conflict names the record that took the base, or else the last one.
func (c *Control) conflict(change Change, base Revision) Change {
	if len(c.decisions) == 0 {
		return change.void(ReasonConflict, fmt.Sprintf("revision %d in force", c.revision), uint64(c.revision))
	}
	winner := c.decisions[len(c.decisions)-1]
	for _, candidate := range c.decisions {
		if candidate.Base == base {
			winner = candidate
			break
		}
	}
	return change.void(ReasonConflict, winner.Text, winner.Offset)
}

// makeRoom keeps the number of events within MaxEvents.
func (c *Control) makeRoom(event Event) bool {
	if _, replaces := c.events[event.Name]; replaces || len(c.events) < MaxEvents {
		return true
	}
	oldest := slices.MinFunc(c.Events(), func(a, b ConfirmedEvent) int {
		return a.Plan.Event.End().Compare(b.Plan.Event.End())
	})
	if !oldest.Plan.Event.End().Before(event.Start) {
		return false
	}
	c.eventList = nil
	delete(c.events, oldest.Plan.Event.Name)
	return true
}

func (c *Control) announce(change Change, body VersionAnnounced) Change {
	if body.Model == "" || body.Version <= 0 {
		return change.void(ReasonInvalid, "", 0)
	}
	newest, known := c.versions[body.Model]
	switch {
	case body.Version == newest.Version:
		return change.repeated()
	case body.Version < newest.Version:
		return change.void(ReasonNotNewer, fmt.Sprintf("version %d of model %s", newest.Version, body.Model), 0)
	case !known && len(c.versions) >= MaxModels:
		return change.void(ReasonLimit, fmt.Sprintf("%d models", len(c.versions)), 0)
	}
	c.versions[body.Model] = announced{Version: body.Version, At: body.At}
	return change.valid()
}

func (c *Control) claim(change Change, body LeaseClaimed) Change {
	if body.Duty == DutyStep {
		return change.void(ReasonWrongLog, "", 0)
	}
	if body.Duty == "" || body.Holder == "" {
		return change.void(ReasonInvalid, "", 0)
	}
	lease, known := c.leases[body.Duty]
	if body.Supersedes != lease.Epoch {
		return change.void(ReasonConflict, leaseWinner(lease), uint64(lease.Epoch))
	}
	if !known && len(c.leases) >= MaxDuties {
		return change.void(ReasonLimit, fmt.Sprintf("%d duties", len(c.leases)), 0)
	}
	c.leases[body.Duty] = Lease{Epoch: Epoch(change.Offset), Holder: body.Holder, Incarnation: body.Incarnation}
	return change.valid()
}

// leaseWinner names the holder of a lease in force.
func leaseWinner(lease Lease) string {
	if lease.Epoch == 0 {
		return "no claim before it"
	}
	return fmt.Sprintf("node %s (incarnation %d) at epoch %d", lease.Holder, lease.Incarnation, lease.Epoch)
}

func (c *Control) publish(change Change, body ViewPublished) Change {
	lease := c.leases[DutyView]
	if body.Epoch == 0 || body.Epoch != lease.Epoch {
		return change.void(ReasonEpoch, leaseWinner(lease), uint64(lease.Epoch))
	}
	members := slices.Clone(body.Members)
	slices.SortFunc(members, func(a, b cluster.Node) int { return cmp.Compare(a.ID, b.ID) })
	if len(members) == 0 || hasDuplicateNode(members) {
		return change.void(ReasonInvalid, "", 0)
	}
	c.previous = c.view
	c.view = cluster.View{Number: change.Offset, Members: members}
	if c.firstView == 0 {
		c.firstView = change.Offset
	}
	return change.valid()
}

func hasDuplicateNode(sorted []cluster.Node) bool {
	for i := 1; i < len(sorted); i++ {
		if sorted[i].ID == sorted[i-1].ID {
			return true
		}
	}
	return false
}

func (c *Control) openStep(change Change, body StepOpened) Change {
	if body.Step == "" {
		return change.void(ReasonInvalid, "", 0)
	}
	if open, ok := c.steps[body.Step]; ok {
		if open.Digest == body.Digest {
			return change.repeated()
		}
		return change.void(ReasonStepConflict, "step "+open.Step+" with digest "+open.Digest, 0)
	}
	if c.closed.has(body.Step) {
		return change.void(ReasonStepClosed, "the closing of step "+body.Step, 0)
	}
	if len(c.steps) >= MaxOpenSteps {
		return change.void(ReasonLimit, fmt.Sprintf("%d open steps", len(c.steps)), 0)
	}
	c.stepList = nil
	c.steps[body.Step] = body
	return change.valid()
}

func (c *Control) closeStep(change Change, body StepClosed) Change {
	if _, ok := c.steps[body.Step]; !ok {
		return change.void(ReasonStepClosed, "", 0)
	}
	c.stepList = nil
	delete(c.steps, body.Step)
	c.closed.add(body.Step)
	return change.valid()
}

// sortedKeys returns the keys of a map in order, so that no map order shows.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// sortedValues returns the values of a map in the order of its keys.
func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, key := range sortedKeys(m) {
		values = append(values, m[key])
	}
	return values
}
