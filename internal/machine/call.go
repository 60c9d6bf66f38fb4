package machine

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

// CallID names one call of a caller at one node, unique in the process's life.
type CallID uint64

// PostStep is a trainer's POST /v1/steps, already checked for form. Body.Digest
// is set by the API.
type PostStep struct {
	Call CallID
	Body record.StepBody
}

func (PostStep) input() {}

// ReadSamples is a trainer's GET /v1/steps/{step}/samples.
type ReadSamples struct {
	Call CallID
	Step string
	// After is the trainer's cursor, empty at the start.
	After string
	Wait  time.Duration
	// Version is the trainer's own newest version, zero when it named none.
	Version cluster.Version
}

func (ReadSamples) input() {}

// PostPlan asks for a plan from an event.
type PostPlan struct {
	Call  CallID
	Event record.Event
}

func (PostPlan) input() {}

// ConfirmPlan is an operator's POST /v1/plans/{digest}/confirm. Plan is what the
// operator confirms when the node does not hold the digest itself; it may be nil.
type ConfirmPlan struct {
	Call     CallID
	Digest   string
	Revision record.Revision
	Operator string
	Plan     *record.Plan
}

func (ConfirmPlan) input() {}

// WithdrawEvent is an operator's POST /v1/events/{event}/withdraw.
type WithdrawEvent struct {
	Call     CallID
	Event    string
	Revision record.Revision
	Operator string
}

func (WithdrawEvent) input() {}

// GetPlan is an operator's GET /v1/plans/{digest}.
type GetPlan struct {
	Call   CallID
	Digest string
}

func (GetPlan) input() {}

// GetStatus is GET /v1/status.
type GetStatus struct {
	Call CallID
}

func (GetStatus) input() {}

// ServiceCall is a caller's request to a service. The driver keeps the body; the
// machine decides where it runs and what is answered.
type ServiceCall struct {
	Call    CallID
	Service string
	Method  string
	// Class is the class that the caller names, empty for that of the service.
	Class string
	// Key is the caller's Idempotency-Key, empty for none.
	Key string
	// Unrepeatable requests run at most once; they carry a Key.
	Unrepeatable bool
	// Digest covers method, path and body, so that a key that is used for two
	// different requests is refused. Set for unrepeatable requests.
	Digest   string
	Deadline time.Time
}

func (ServiceCall) input() {}

// CallGone says that the caller has closed its connection.
type CallGone struct {
	Call CallID
}

func (CallGone) input() {}

// SendService asks the driver to send a kept request to a back end. When Relay
// is set the answer is streamed to the caller as it comes and the call ends
// with it; otherwise the driver buffers it and hands it over in ServiceResult.
type SendService struct {
	Call     CallID
	Attempt  int
	Backend  cluster.BackendID
	Address  string
	Deadline time.Time
	Relay    bool
}

func (SendService) output() {}

// SendOutcome says how an attempt of a service request ended.
type SendOutcome string

const (
	// SendAnswered means that the whole answer came.
	SendAnswered SendOutcome = "answered"
	// SendNotSent means that no byte left for the back end.
	SendNotSent SendOutcome = "not_sent"
	// SendRefused means that the back end itself said that it did not run the
	// request (503 with Dalehook-Not-Run: true).
	SendRefused SendOutcome = "refused"
	// SendUnknown means that bytes left and no answer came.
	SendUnknown SendOutcome = "unknown"
	// SendCut means that the answer broke off. With Relay the driver has
	// already aborted the caller's connection if it had passed anything on.
	SendCut SendOutcome = "cut"
)

// ServiceResult answers SendService.
type ServiceResult struct {
	Call    CallID
	Attempt int
	Backend cluster.BackendID
	Outcome SendOutcome
	// Relayed is set when the caller has received (part of) the answer.
	Relayed bool
	// Response is set when Outcome is SendAnswered and Relay was not asked for.
	Response *Response
	// Load is the back end's load as it stood on the answer; negative when it
	// said nothing.
	Load int
	// Leaving is set when the back end said so on the answer.
	Leaving bool
	Took    time.Duration
	Err     string
}

func (ServiceResult) input() {}

// Response is a whole HTTP answer of a back end.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Header is one HTTP header line.
type Header struct {
	Name  string
	Value string
}

// Reply answers a call; the driver encodes Body. Exactly one Reply, or one
// relayed answer, ends each call. Body is one of the reply types below.
type Reply struct {
	Call CallID
	Body any
}

func (Reply) output() {}

// StepAccepted answers PostStep with 202.
type StepAccepted struct {
	Step     string
	Accepted int
}

// SampleView is one sample as the trainer reads it.
type SampleView struct {
	ID       string           `json:"id"`
	Cursor   string           `json:"cursor"`
	Attempt  int              `json:"attempt"`
	Text     string           `json:"text"`
	Versions []record.Segment `json:"versions"`
	// Error is set instead of text when the sample ended with a final error.
	Error *record.SampleFailure `json:"error,omitempty"`
}

// SamplesRead answers ReadSamples with 200.
type SamplesRead struct {
	Samples []SampleView
	Cursor  string
	Done    bool
}

// PlanMade answers PostPlan and GetPlan.
type PlanMade struct {
	Plan      record.Plan
	Confirmed bool
	// Revision is that of the confirmation, when there is one.
	Revision record.Revision
}

// PlanInForce answers ConfirmPlan.
type PlanInForce struct {
	Digest   string
	Revision record.Revision
}

// EventOut answers WithdrawEvent: the event is not in force.
type EventOut struct {
	Event string `json:"event"`
	// Revision is the one in force without the event.
	Revision record.Revision `json:"revision"`
}

// ServiceResponse answers a ServiceCall with a recorded or buffered answer.
type ServiceResponse struct {
	Response Response
	// Replayed is set when it is the recorded answer of an earlier request.
	Replayed bool
}

// StatusReport answers GetStatus.
type StatusReport struct {
	Node     cluster.Node    `json:"node"`
	Revision record.Revision `json:"config_revision"`
	// ControlOffset is the last control record that this node has folded.
	ControlOffset uint64          `json:"control_offset"`
	View          cluster.View    `json:"view"`
	Leaving       bool            `json:"leaving"`
	StoreDown     bool            `json:"store_down"`
	Members       []MemberStatus  `json:"members"`
	Backends      []BackendStatus `json:"backends"`
	Events        []EventStatus   `json:"events"`
	Steps         []StepStatus    `json:"steps"`
}

// MemberStatus is a node as this node sees it.
type MemberStatus struct {
	ID          cluster.NodeID      `json:"id"`
	Incarnation cluster.Incarnation `json:"incarnation"`
	Zone        cluster.ZoneName    `json:"zone"`
	State       string              `json:"state"`
}

// BackendStatus is a back end as this node sees it.
type BackendStatus struct {
	ID      cluster.BackendID    `json:"id"`
	Kind    cluster.BackendKind  `json:"kind"`
	Pool    string               `json:"pool"`
	Zone    cluster.ZoneName     `json:"zone"`
	State   cluster.MachineState `json:"state"`
	Running int                  `json:"running"`
	Waiting int                  `json:"waiting"`
	Model   cluster.ModelName    `json:"model,omitempty"`
	Version cluster.Version      `json:"version,omitempty"`
	// Unreported says that this node has no report of the back end, since others
	// watch it: its load and model are not known here.
	Unreported bool `json:"unreported,omitempty"`
}

// EventStatus is a confirmed event.
type EventStatus struct {
	Name     string          `json:"name"`
	Digest   string          `json:"digest"`
	Revision record.Revision `json:"revision"`
	Start    time.Time       `json:"start"`
}

// StepStatus is a step that this node owns.
type StepStatus struct {
	Step      string       `json:"step"`
	Epoch     record.Epoch `json:"epoch"`
	Samples   int          `json:"samples"`
	Committed int          `json:"committed"`
	Running   int          `json:"running"`
}

// Leave asks the node to stop as planned: the first SIGTERM.
type Leave struct{}

func (Leave) input() {}

// Left says that nothing is left to finish; the driver may stop the process.
type Left struct{}

func (Left) output() {}
