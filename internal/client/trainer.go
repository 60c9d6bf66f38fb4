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

// Step is a batch of samples posted by a trainer.
type Step struct {
	Event      string          `json:"event"`
	Trainer    string          `json:"trainer"`
	ID         string          `json:"step"`
	Samples    []record.Sample `json:"samples"`
	DeadlineMS int64           `json:"deadline_ms,omitempty"`
}

// StepResponse is a node's response to PostStep.
type StepResponse struct {
	Step     string `json:"step"`
	Accepted int    `json:"accepted"`
}

// ReadRequest is a request for the finished samples of a step.
type ReadRequest struct {
	Step string
	// Cursor is the cursor of the previous page, empty for the first read.
	Cursor string
	// MaxWait is how long the node may delay its response while no samples are
	// ready.
	MaxWait time.Duration
	// Version is the trainer's newest weight version, zero for none.
	Version cluster.Version
}

// SamplesPage is a node's response to ReadSamples.
type SamplesPage struct {
	Samples []machine.SampleView `json:"samples"`
	Cursor  string               `json:"cursor"`
	Done    bool                 `json:"done"`
}

// PostStep posts a step. It is idempotent.
func (c *Client) PostStep(ctx context.Context, step Step) (StepResponse, error) {
	var response StepResponse
	err := c.post(ctx, "/v1/steps", step, &response)
	return response, err
}

// ReadSamples returns the samples after a cursor.
func (c *Client) ReadSamples(ctx context.Context, request ReadRequest) (SamplesPage, error) {
	query := url.Values{}
	if request.Cursor != "" {
		query.Set("after", request.Cursor)
	}
	if request.MaxWait > 0 {
		query.Set("wait_ms", strconv.FormatInt(request.MaxWait.Milliseconds(), 10))
	}
	if request.Version > 0 {
		query.Set("version", strconv.FormatInt(int64(request.Version), 10))
	}
	var page SamplesPage
	err := c.get(ctx, "/v1/steps/"+url.PathEscape(request.Step)+"/samples", query, &page)
	return page, err
}
