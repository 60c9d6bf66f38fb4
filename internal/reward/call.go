// Package reward schedules the reward calls of batch items. An item of a batch job may have a
// reward call: a request to a service that scores the item's text. The score is part of the item's
// result, which is only recorded once the score is known.
//
// Queue is a state machine without I/O: inputs are method calls with the current time, and the
// calls to send are returned to the driver.
package reward

import (
	"bytes"
	"time"

	"dalehook/internal/routetable"
)

// Call is a request that scores the text of an item. It may be repeated.
type Call struct {
	ID   string
	Host string
	// Path is the request path including the query. Host and Path select the route.
	Path string
	Body []byte `json:",omitempty"`
}

// Equal reports whether two calls are the same, so that they share a score.
func (c *Call) Equal(other *Call) bool {
	if c == nil || other == nil {
		return c == other
	}
	return c.ID == other.ID && c.Host == other.Host && c.Path == other.Path && bytes.Equal(c.Body, other.Body)
}

// Item identifies the batch item that a call scores.
type Item struct {
	// Tenant is the tenant that the call is made for, or empty.
	Tenant        string
	JobID, ItemID string
}

// SendID identifies one send of a call.
type SendID uint64

// Send asks the driver to make a call.
type Send struct {
	ID   SendID
	Item Item
	Call *Call
	// Table is the configuration that Route belongs to.
	Table   *routetable.Table
	Route   *routetable.Route
	Service string
	// Deadline is when the servers should give up.
	Deadline time.Time
	Inputs   Inputs
}

// Inputs are the values that a send was based on, for logs.
type Inputs struct {
	// Try is the number of sends of the call, including this one.
	Try int
	// Failures is the number of failure answers to the call so far.
	Failures int
	// Waited is the time since the text was complete.
	Waited time.Duration
	// InFlight is the number of other calls in flight to the service.
	InFlight int
	// Capacity is the maximum number of concurrent calls to the service.
	Capacity int
}

// Answer is the outcome of a send.
type Answer struct {
	// Score is empty if the call was not answered with success.
	Score string
	// Failures is the number of servers that answered with a failure.
	Failures int
}

// Verdict says what an answer means for the item.
type Verdict int

// Verdicts.
const (
	// VerdictNone: the answer has no effect.
	VerdictNone Verdict = iota
	// VerdictScored: the item has its score.
	VerdictScored
	// VerdictRetry: the call will be repeated.
	VerdictRetry
	// VerdictDead: the call failed as often as its route allows.
	VerdictDead
)

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return [...]string{"none", "scored", "retry", "dead"}[v]
}
