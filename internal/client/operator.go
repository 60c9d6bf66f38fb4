package client

import (
	"context"
	"net/url"

	"dalehook/internal/api"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// PlanResponse is a node's response to CreatePlan and Plan.
type PlanResponse = api.PlanAnswer

// ConfirmResponse is a node's response to ConfirmPlan.
type ConfirmResponse = api.ConfirmAnswer

// Confirmation identifies the plan that an operator puts in force.
type Confirmation struct {
	// Digest identifies the plan; Revision is the revision that it is based on.
	Digest   string          `json:"-"`
	Revision record.Revision `json:"revision"`
	Operator string          `json:"operator,omitempty"`
	// Plan is the plan itself, for a node that may not have it; it may be nil.
	Plan *record.Plan `json:"plan,omitempty"`
}

// CreatePlan creates a plan for an event.
func (c *Client) CreatePlan(ctx context.Context, event record.Event) (PlanResponse, error) {
	var response PlanResponse
	err := c.post(ctx, "/v1/plans", event, &response)
	return response, err
}

// Plan returns the plan with the digest.
func (c *Client) Plan(ctx context.Context, digest string) (PlanResponse, error) {
	var response PlanResponse
	err := c.get(ctx, "/v1/plans/"+url.PathEscape(digest), nil, &response)
	return response, err
}

// ConfirmPlan puts a plan in force.
func (c *Client) ConfirmPlan(ctx context.Context, confirmation Confirmation) (ConfirmResponse, error) {
	var response ConfirmResponse
	path := "/v1/plans/" + url.PathEscape(confirmation.Digest) + "/confirm"
	err := c.post(ctx, path, confirmation, &response)
	return response, err
}

// Withdrawal identifies the event that an operator withdraws.
type Withdrawal struct {
	Event string `json:"-"`
	// Revision is the revision in force that the operator has seen.
	Revision record.Revision `json:"revision"`
	Operator string          `json:"operator,omitempty"`
}

// WithdrawEvent withdraws an event that is in force.
func (c *Client) WithdrawEvent(ctx context.Context, withdrawal Withdrawal) (machine.EventOut, error) {
	var response machine.EventOut
	path := "/v1/events/" + url.PathEscape(withdrawal.Event) + "/withdraw"
	err := c.post(ctx, path, withdrawal, &response)
	return response, err
}

// Status returns the node's status report.
func (c *Client) Status(ctx context.Context) (machine.StatusReport, error) {
	var report machine.StatusReport
	err := c.get(ctx, "/v1/status", nil, &report)
	return report, err
}
