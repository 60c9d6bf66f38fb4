package client

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// Step is a batch of samples as a trainer posts it.
type Step struct {
	Event      string          `json:"event"`
	Trainer    string          `json:"trainer"`
	Step       string          `json:"step"`
	Samples    []record.Sample `json:"samples"`
	DeadlineMS int64           `json:"deadline_ms,omitempty"`
}

// Accepted is a node's answer to a step.
type Accepted struct {
	Step     string `json:"step"`
	Accepted int    `json:"accepted"`
}

// Read asks for the finished samples of a step.
type Read struct {
	Step string
	// After is the cursor of the read before, empty at the start.
	After string
	// Wait is how long the node may hold its answer back.
	Wait time.Duration
	// Version is the trainer's own newest version, zero for none.
	Version cluster.Version
}

// Page is a node's answer to a read.
type Page struct {
	Samples []machine.SampleView `json:"samples"`
	Cursor  string               `json:"cursor"`
	Done    bool                 `json:"done"`
}

// PostStep posts a step. Posting the same step again is the same as once.
func (c *Client) PostStep(ctx context.Context, step Step) (Accepted, error) {
	var answer Accepted
	err := c.post(ctx, "/v1/steps", step, &answer)
	return answer, err
}

// ReadSamples reads samples that lie behind a cursor.
func (c *Client) ReadSamples(ctx context.Context, read Read) (Page, error) {
	query := url.Values{}
	if read.After != "" {
		query.Set("after", read.After)
	}
	if read.Wait > 0 {
		query.Set("wait_ms", strconv.FormatInt(read.Wait.Milliseconds(), 10))
	}
	if read.Version > 0 {
		query.Set("version", strconv.FormatInt(int64(read.Version), 10))
	}
	var answer Page
	err := c.get(ctx, "/v1/steps/"+url.PathEscape(read.Step)+"/samples", query, &answer)
	return answer, err
}
