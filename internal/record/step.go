package record

import (
	"time"

	"dalehook/internal/cluster"
)

// StepLog returns the name of the log that belongs to one step. The name is
// derived from the step id by the caller's validated id, which holds only
// letters, digits, '.', '_' and '-'.
func StepLog(step string) string { return "step." + step }

// Sample is one sample as the trainer posted it.
type Sample struct {
	ID        string `json:"id"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Group     string `json:"group,omitempty"`
}

// StepBody is the first valid record of a step's log. A second body is void.
type StepBody struct {
	Event    string    `json:"event"`
	Trainer  string    `json:"trainer"`
	Step     string    `json:"step"`
	Samples  []Sample  `json:"samples"`
	Deadline time.Time `json:"deadline,omitzero"`
	// Digest covers event, trainer, step, samples and the deadline as posted.
	Digest string `json:"digest"`
	// Demand is the trainer's demand in force when the step was accepted. It
	// counts when the event is withdrawn while the step runs.
	Demand *RolloutDemand `json:"demand,omitempty"`
}

// Placement says which engine runs an attempt, so that a new owner resumes it.
type Placement struct {
	// Sample is the index of the sample in StepBody.Samples.
	Sample  int               `json:"sample"`
	Attempt int               `json:"attempt"`
	Engine  cluster.BackendID `json:"engine"`
}

// SamplesPlaced records where attempts run. Valid under the epoch in force only.
type SamplesPlaced struct {
	Epoch      Epoch       `json:"epoch"`
	Placements []Placement `json:"placements"`
	// Carried lists the samples whose attempt brought tokens along from
	// elsewhere. Their engine can't stream it from its start.
	Carried []int `json:"carried,omitempty"`
}

// Segment is a run of tokens that one weight version produced. FromToken is
// inclusive, ToToken exclusive.
type Segment struct {
	Version   cluster.Version `json:"version"`
	FromToken int             `json:"from_token"`
	ToToken   int             `json:"to_token"`
}

// Result is one finished attempt of a sample.
type Result struct {
	// Sample is the index of the sample in StepBody.Samples.
	Sample   int       `json:"sample"`
	Attempt  int       `json:"attempt"`
	Text     string    `json:"text"`
	Segments []Segment `json:"segments"`
}

// Oldest returns the lowest version of the result's segments.
func (r Result) Oldest() cluster.Version {
	var oldest cluster.Version
	for i, s := range r.Segments {
		if i == 0 || s.Version < oldest {
			oldest = s.Version
		}
	}
	return oldest
}

// SamplesCommitted finishes samples. Valid under the epoch in force only; of
// several results of one sample the first valid one wins until it is revoked.
type SamplesCommitted struct {
	Epoch   Epoch    `json:"epoch"`
	Results []Result `json:"results"`
}

// SamplesRevoked takes back committed results that are over the staleness bound
// and that the trainer has not acknowledged. They are run again.
type SamplesRevoked struct {
	Epoch   Epoch `json:"epoch"`
	Samples []int `json:"samples"`
	// Newest is the version against which the samples were judged.
	Newest cluster.Version `json:"newest"`
}

// SampleFailure is a sample's final error.
type SampleFailure struct {
	Sample  int    `json:"sample"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

// SamplesFailed ends samples with a final error.
type SamplesFailed struct {
	Epoch    Epoch           `json:"epoch"`
	Failures []SampleFailure `json:"failures"`
}
