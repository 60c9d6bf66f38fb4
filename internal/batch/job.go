// Package batch holds batch jobs as they stand in the store: what was accepted,
// the results in the order of the log, and the end. All nodes that read a
// partition come to the same state.
package batch

import (
	"fmt"

	"dalehook/internal/reward"
)

// Item is one request of a batch job.
type Item struct {
	ID   string
	Path string
	// Headers are sent along as they came.
	Headers map[string]string `json:",omitempty"`
	Body    []byte
	// Tokens is the prompt and the most that is generated, summed.
	Tokens int
	// Expected is the caller's estimate of the tokens that will be generated; 0
	// when it gave none.
	Expected int `json:",omitempty"`
	// Group names the items that share a prompt; empty when there are no groups.
	Group string `json:",omitempty"`
	// Reward scores the whole text; nil when the item needs no score.
	Reward *reward.Call `json:",omitempty"`
}

// Name names a job to those who may know of it.
type Name struct {
	// Tenant is whose jobs are looked among; empty for those of nobody.
	Tenant string
	ID     string
}

// Job is a batch job as a caller submitted it.
type Job struct {
	ID string
	// Tenant is on whose behalf the items run; empty where callers need no keys.
	Tenant string `json:",omitempty"`
	Host   string
	// Path is the path that the job was submitted to; it chooses the route.
	Path string
	// Step counts a trainer's jobs from 0.
	Step  int
	Model string `json:",omitempty"`
	// MinVersion is the oldest weight version that may make the results' tokens.
	MinVersion int64
	// WantedGroups is the number of whole groups that the trainer waits for.
	WantedGroups int
	Items        []Item
}

// Outcome says how an item ended.
type Outcome int

// The outcomes of an item.
const (
	// OutcomeCompleted items carry their whole text.
	OutcomeCompleted Outcome = iota
	// OutcomeDead items were given up.
	OutcomeDead
)

var outcomeNames = [...]string{"completed", "dead"}

// String implements fmt.Stringer. Results of later builds may have outcomes that this one does not have.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome %d", int(o))
	}
	return outcomeNames[o]
}

// Result is the final state of an item.
type Result struct {
	JobID  string
	ItemID string
	// Outcome is completed or dead.
	Outcome Outcome
	// Text is the data of all events, joined by line feeds.
	Text string `json:",omitempty"`
	// Versions are the weight versions that made the text, ascending.
	Versions []int64 `json:",omitempty"`
	// Score is what the item's reward call was answered with; empty for items that
	// have none or are dead.
	Score string `json:",omitempty"`
}

// End closes a job.
type End struct {
	JobID string
	// Tenant is that of the caller. The end of another tenant's job is void.
	Tenant string `json:",omitempty"`
}
