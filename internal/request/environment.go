package request

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
	"dalehook/internal/routing"
)

// Server is a service server as this node sees it.
type Server = routing.Server

// Environment is what the machine reads from the rest of the node. It is called
// from within the machine's own calls and must answer from memory.
type Environment interface {
	// View returns the placement view in force; its number is zero when there
	// is none.
	View() cluster.View
	// PreviousView returns the view published directly before View; its number
	// is zero when there was none or it isn't known.
	PreviousView() cluster.View
	// Alive reports whether membership takes the node for live.
	Alive(node cluster.NodeID) bool
	// Nodes counts the live nodes, this one included.
	Nodes() int
	// Servers lists the servers of a service in a fixed order.
	Servers(service string) []Server
	// KnownService reports whether the service exists at all.
	KnownService(service string) bool
	// ClassOf returns the class under which a service is limited and shed.
	ClassOf(service string) string
	// Limits returns the class limits of the plans in force, for the whole cluster.
	Limits() []record.ClassLimit
	// Shares returns what this node may use of those limits now.
	Shares(now time.Time) []record.ClassLimit
	// ShedOrder names classes, the first to be shed first.
	ShedOrder() []string
	// ObserveAnswer passes on what a back end said of itself on an answer; load
	// is negative when it said nothing.
	ObserveAnswer(now time.Time, backend cluster.BackendID, load int, leaving bool)
	// ObserveFailure passes on that a back end could not be used.
	ObserveFailure(now time.Time, backend cluster.BackendID, err string)
}
