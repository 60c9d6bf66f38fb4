package client

import (
	"context"
	"net/url"

	"dalehook/internal/api"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// PlanAnswer is a node's answer to a plan that was asked for.
type PlanAnswer = api.PlanAnswer

// Confirmed is a node's answer to a confirmation.
type Confirmed = api.ConfirmAnswer

// Confirmation puts a plan in force.
type Confirmation struct {
	// Digest and Revision name the plan and the revision that it builds on.
	Digest   string          `json:"-"`
	Revision record.Revision `json:"revision"`
	Operator string          `json:"operator,omitempty"`
	// Plan is sent along when the node may not hold it itself; it may be nil.
	Plan *record.Plan `json:"plan,omitempty"`
}

// MakePlan asks for a plan.
func (c *Client) MakePlan(ctx context.Context, event record.Event) (PlanAnswer, error) {
	var answer PlanAnswer
	err := c.post(ctx, "/v1/plans", event, &answer)
	return answer, err
}

// Plan reads a plan.
func (c *Client) Plan(ctx context.Context, digest string) (PlanAnswer, error) {
	var answer PlanAnswer
	err := c.get(ctx, "/v1/plans/"+url.PathEscape(digest), nil, &answer)
	return answer, err
}

// ConfirmPlan puts a plan in force.
func (c *Client) ConfirmPlan(ctx context.Context, confirmation Confirmation) (Confirmed, error) {
	var answer Confirmed
	path := "/v1/plans/" + url.PathEscape(confirmation.Digest) + "/confirm"
	err := c.post(ctx, path, confirmation, &answer)
	return answer, err
}

// Withdrawal takes an event out of force.
type Withdrawal struct {
	Event string `json:"-"`
	// Revision is the one in force that the operator has seen.
	Revision record.Revision `json:"revision"`
	Operator string          `json:"operator,omitempty"`
}

// WithdrawEvent takes an event out of force.
func (c *Client) WithdrawEvent(ctx context.Context, withdrawal Withdrawal) (machine.EventOut, error) {
	var answer machine.EventOut
	path := "/v1/events/" + url.PathEscape(withdrawal.Event) + "/withdraw"
	err := c.post(ctx, path, withdrawal, &answer)
	return answer, err
}

// Status reads what the node knows.
func (c *Client) Status(ctx context.Context) (machine.StatusReport, error) {
	var answer machine.StatusReport
	err := c.get(ctx, "/v1/status", nil, &answer)
	return answer, err
}
