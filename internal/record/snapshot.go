package record

import (
	"slices"
	"time"

	"dalehook/internal/cluster"
)

// Snapshot is the state of a Control in a form that gob can carry to a node that
// starts. Its size is bounded by the limits of Control: closed steps are named
// only, and only the last ids are kept.
type Snapshot struct {
	Offset    uint64
	Revision  Revision
	Events    []ConfirmedEvent
	Versions  []ModelVersion
	Leases    []DutyLease
	View      cluster.View
	Previous  cluster.View
	FirstView uint64
	Steps     []StepOpened
	IDs       []SeenID
	Closed    []string
	Decisions []Decision
}

// ModelVersion is the newest version of one model.
type ModelVersion struct {
	Model   cluster.ModelName
	Version cluster.Version
	At      time.Time
}

// DutyLease is the lease of one duty.
type DutyLease struct {
	Duty  Duty
	Lease Lease
}

// Snapshot returns the state; it shares memory with the Control and must not be
// changed.
func (c *Control) Snapshot() Snapshot {
	snapshot := Snapshot{
		Offset:    c.offset,
		Revision:  c.revision,
		Events:    c.Events(),
		View:      c.view,
		Previous:  c.previous,
		FirstView: c.firstView,
		Steps:     c.Steps(),
		IDs:       slices.Clone(c.ids.order),
		Closed:    slices.Clone(c.closed.order),
		Decisions: slices.Clone(c.decisions),
	}
	for _, model := range sortedKeys(c.versions) {
		newest := c.versions[model]
		snapshot.Versions = append(snapshot.Versions, ModelVersion{Model: model, Version: newest.Version, At: newest.At})
	}
	for _, duty := range sortedKeys(c.leases) {
		snapshot.Leases = append(snapshot.Leases, DutyLease{Duty: duty, Lease: c.leases[duty]})
	}
	return snapshot
}

// RestoreControl returns the Control from which a snapshot was taken.
func RestoreControl(snapshot Snapshot) *Control {
	control := NewControl()
	control.offset = snapshot.Offset
	control.revision = snapshot.Revision
	control.view = snapshot.View
	control.previous = snapshot.Previous
	control.firstView = snapshot.FirstView
	control.decisions = slices.Clone(snapshot.Decisions)
	for _, event := range snapshot.Events {
		control.events[event.Plan.Event.Name] = event
	}
	for _, version := range snapshot.Versions {
		control.versions[version.Model] = announced{Version: version.Version, At: version.At}
	}
	for _, duty := range snapshot.Leases {
		control.leases[duty.Duty] = duty.Lease
	}
	for _, step := range snapshot.Steps {
		control.steps[step.Step] = step
	}
	for _, seen := range snapshot.IDs {
		control.ids.add(seen.ID, seen.Offset)
	}
	for _, step := range snapshot.Closed {
		control.closed.add(step)
	}
	return control
}
