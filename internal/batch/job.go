// Package batch defines batch jobs and their records in the store: the accepted job, its results
// in log order, and its end. All nodes that read a partition build the same state.
//
// A trainer is a caller that trains a model: in each step it submits one job and waits for WantedGroups
// complete groups.
package batch

import (
	"fmt"

	"dalehook/internal/reward"
)

// Item is one request of a batch job.
type Item struct {
	ID   string
	Path string
	// Headers are forwarded unchanged.
	Headers map[string]string `json:",omitempty"`
	Body    []byte
	// Tokens is the length of the prompt plus the maximum length of the completion.
	Tokens int
	// Expected is the caller's estimate of the number of generated tokens, or 0.
	Expected int `json:",omitempty"`
	// Prompt is the length of the prompt in tokens, or 0 if unknown.
	Prompt int `json:",omitempty"`
	// Group identifies the items that share a prompt. It is empty if the job has no groups.
	Group string `json:",omitempty"`
	// Reward is the call that scores the complete text, or nil if the item needs no score.
	Reward *reward.Call `json:",omitempty"`
}

// JobKey identifies a job within a tenant.
type JobKey struct {
	// Tenant is the owner of the job; empty for jobs without a tenant.
	Tenant string
	ID     string
}

// Job is a batch job as a caller submitted it.
type Job struct {
	ID string
	// Tenant is the tenant that the items run for; empty if callers need no keys.
	Tenant string `json:",omitempty"`
	Host   string
	// Path is the path that the job was submitted to. It selects the route.
	Path string
	// Step counts a trainer's jobs from 0.
	Step  int
	Model string `json:",omitempty"`
	// MinVersion is the oldest weight version that may generate the results.
	MinVersion int64
	// WantedGroups is the number of complete groups that the trainer waits for.
	WantedGroups int
	Items        []Item
	// AcceptedAt is the time of day at which a node accepted the job, by the clock of its machine, in
	// Unix milliseconds. It is 0 in jobs that earlier builds accepted.
	AcceptedAt int64 `json:",omitempty"`
}

// The memory of a job in the state of a log and in the scheduler, beyond its texts.
const (
	itemMemory   = 1000
	headerMemory = 100
)

// Memory returns the memory that an open job takes at each node that follows its partition, in bytes.
func (j *Job) Memory() (bytes int64) {
	for i := range j.Items {
		item := &j.Items[i]
		bytes += int64(itemMemory + len(item.ID) + len(item.Path) + len(item.Group) + len(item.Body))
		for name, value := range item.Headers {
			bytes += int64(headerMemory + len(name) + len(value))
		}
		if item.Reward != nil {
			bytes += int64(len(item.Reward.ID) + len(item.Reward.Host) + len(item.Reward.Path) + len(item.Reward.Body))
		}
	}
	return bytes
}

// Outcome says how an item ended.
type Outcome int

// Outcomes of an item.
const (
	// OutcomeCompleted items have a complete text.
	OutcomeCompleted Outcome = iota
	// OutcomeDead items were given up.
	OutcomeDead
)

var outcomeNames = [...]string{"completed", "dead"}

// String implements fmt.Stringer. Results of later builds may have outcomes that are unknown to
// this one.
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
	// Versions are the weight versions that generated the text, in ascending order.
	Versions []int64 `json:",omitempty"`
	// Score is the answer to the item's reward call. It is empty for dead items and for items
	// without a reward call.
	Score string `json:",omitempty"`
}

// End is the end of a job.
type End struct {
	JobID string
	// Tenant is the tenant of the caller. An end by another tenant than the job's is ignored.
	Tenant string `json:",omitempty"`
}
