// Package planner turns an operator's event into a plan. It is a pure function
// of the event and of a snapshot of the node's state, after the model of Nomad's
// schedulers: the plan names the revision that it was computed at, and the fold
// of the control log rejects it when another revision is in force by then.
package planner

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

// Snapshot is all that a plan depends on besides the event.
type Snapshot struct {
	// Now is the time of planning; what would have to start earlier is missing.
	Now      time.Time
	Revision record.Revision
	// Events are the events in force.
	Events []record.ConfirmedEvent
	// Backends are the engines and service servers that are live.
	Backends []Backend
	// Versions are the newest versions of the models.
	Versions []record.ModelVersion
	// Parameters describe the machines; zero fields take the defaults.
	Parameters Parameters
}

// Backend is what the planner reads of one back end.
type Backend struct {
	ID      cluster.BackendID
	Kind    cluster.BackendKind
	Pool    string
	Zone    cluster.ZoneName
	Model   cluster.ModelName
	Version cluster.Version
	// Slots is the number of requests that run at once, zero when not reported.
	Slots int
}

// Parameters describe the machines.
type Parameters struct{}

// FieldError names a field of an event that is not possible.
type FieldError struct {
	Field   string
	Message string
}

// Error implements error.
func (e FieldError) Error() string { return e.Field + ": " + e.Message }

// Make computes the plan for an event. The event has passed Check.
func Make(snapshot Snapshot, event record.Event) record.Plan { return record.Plan{} }

// Check returns what is wrong with an event, in order of its fields.
func Check(event record.Event) []FieldError { return nil }

// Render writes a plan as a page for people.
func Render(plan record.Plan) string { return "" }
