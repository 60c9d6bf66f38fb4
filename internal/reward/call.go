// Package reward decides when the reward calls of batch items are made. An item of a
// batch job may name a reward call: a request to a service that scores its text. The
// score becomes a part of the item's result, which is not listed without it.
//
// Queue is a state machine without I/O: inputs are methods with the time, and what is
// to be sent is returned to the driver.
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
	// Path is where the request goes, with its query; with Host it chooses the route.
	Path string
	Body []byte `json:",omitempty"`
}

// Equal says whether two calls are the same, so that the score of one is that of the
// other.
func (c *Call) Equal(other *Call) bool {
	if c == nil || other == nil {
		return c == other
	}
	return c.ID == other.ID && c.Host == other.Host && c.Path == other.Path && bytes.Equal(c.Body, other.Body)
}

// Item names the item of a batch job that a call scores.
type Item struct {
	// Tenant is on whose behalf the call is made; empty for nobody's.
	Tenant        string
	JobID, ItemID string
}

// SendID names one send of a call.
type SendID uint64

// Send asks the driver to make a call.
type Send struct {
	ID   SendID
	Item Item
	Call *Call
	// Table is the configuration that Route was chosen by.
	Table   *routetable.Table
	Route   *routetable.Route
	Service string
	// Deadline is when the servers are to give up.
	Deadline time.Time
	Inputs   Inputs
}

// Inputs are what a send went by, for logs.
type Inputs struct {
	// Try counts the sends of the call from 1.
	Try int
	// Failures is the number of answers so far that said that the call failed.
	Failures int
	// Waited is the time since the text was whole.
	Waited time.Duration
	// UnderWay is the number of calls at the service, without this one.
	UnderWay int
	// Room is the number of calls that the service takes at once.
	Room int
}

// Answer is what a send came to.
type Answer struct {
	// Score is empty where the call was not answered with success.
	Score string
	// Failures is the number of servers that answered that the call failed.
	Failures int
}

// Verdict is what is known of an item after an answer.
type Verdict int

// The verdicts.
const (
	// VerdictNone: the answer changes nothing.
	VerdictNone Verdict = iota
	// VerdictScored: the item has its score.
	VerdictScored
	// VerdictRetry: the call is made again.
	VerdictRetry
	// VerdictDead: the call failed as often as its route allows.
	VerdictDead
)

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return [...]string{"none", "scored", "retry", "dead"}[v]
}
