package api

import (
	"errors"
	"net/http"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/julienschmidt/httprouter"

	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// PlanAnswer is the body of POST /v1/plans and GET /v1/plans/{digest}.
type PlanAnswer struct {
	Digest    string          `json:"digest"`
	Confirmed bool            `json:"confirmed"`
	Revision  record.Revision `json:"revision"`
	Plan      record.Plan     `json:"plan"`
}

// ConfirmRequest is the body of POST /v1/plans/{digest}/confirm.
type ConfirmRequest struct {
	// Revision is the revision on which the plan was computed; it is required.
	Revision *record.Revision `json:"revision"`
	Operator string           `json:"operator"`
	// Plan is the plan itself, for a node that does not hold the digest.
	Plan *record.Plan `json:"plan,omitempty"`
}

// ConfirmAnswer is the body of a confirmed plan.
type ConfirmAnswer struct {
	Digest   string          `json:"digest"`
	Revision record.Revision `json:"revision"`
}

// eventValidator checks the tags of record.Event and names fields as in JSON.
var eventValidator = newEventValidator()

func newEventValidator() *validator.Validate {
	created := validator.New()
	created.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	return created
}

// postPlan serves POST /v1/plans.
func (h *Handler) postPlan(w http.ResponseWriter, r *http.Request, _ httprouter.Params) *machine.Failure {
	var event record.Event
	if failure := decodeBody(w, r, h.options.Limits.PlanBody, &event); failure != nil {
		return failure
	}
	if failure := checkEvent(event); failure != nil {
		return failure
	}
	return h.ask(w, r, "", func(id machine.CallID) machine.Input {
		return machine.PostPlan{Call: id, Event: event}
	})
}

// getPlan serves GET /v1/plans/:digest.
func (h *Handler) getPlan(w http.ResponseWriter, r *http.Request, params httprouter.Params) *machine.Failure {
	digest := params.ByName("digest")
	if failure := checkID("digest", digest); failure != nil {
		return failure
	}
	return h.ask(w, r, "", func(id machine.CallID) machine.Input {
		return machine.GetPlan{Call: id, Digest: digest}
	})
}

// confirmPlan serves POST /v1/plans/:digest/confirm.
func (h *Handler) confirmPlan(w http.ResponseWriter, r *http.Request, params httprouter.Params) *machine.Failure {
	digest := params.ByName("digest")
	var request ConfirmRequest
	if failure := decodeBody(w, r, h.options.Limits.PlanBody, &request); failure != nil {
		return failure
	}
	if failure := request.check(digest); failure != nil {
		return failure
	}
	return h.ask(w, r, "", func(id machine.CallID) machine.Input {
		return machine.ConfirmPlan{
			Call:     id,
			Digest:   digest,
			Revision: *request.Revision,
			Operator: request.Operator,
			Plan:     request.Plan,
		}
	})
}

// WithdrawRequest is the body of POST /v1/events/{event}/withdraw.
type WithdrawRequest struct {
	// Revision is the revision in force that the operator has seen; it is required.
	Revision *record.Revision `json:"revision"`
	Operator string           `json:"operator"`
}

// withdrawEvent serves POST /v1/events/:event/withdraw.
func (h *Handler) withdrawEvent(w http.ResponseWriter, r *http.Request, params httprouter.Params) *machine.Failure {
	var request WithdrawRequest
	if failure := decodeBody(w, r, h.options.Limits.PlanBody, &request); failure != nil {
		return failure
	}
	if request.Revision == nil {
		return badRequest("revision", "revision is missing")
	}
	if failure := checkOptionalName("operator", request.Operator); failure != nil {
		return failure
	}
	return h.ask(w, r, "", func(id machine.CallID) machine.Input {
		return machine.WithdrawEvent{
			Call:     id,
			Event:    params.ByName("event"),
			Revision: *request.Revision,
			Operator: request.Operator,
		}
	})
}

// check checks a confirmation against the digest of its path.
func (c ConfirmRequest) check(digest string) *machine.Failure {
	if failure := checkID("digest", digest); failure != nil {
		return failure
	}
	if c.Revision == nil {
		return badRequest("revision", "revision is missing")
	}
	if failure := checkOptionalName("operator", c.Operator); failure != nil {
		return failure
	}
	if c.Plan != nil && c.Plan.Digest != digest {
		return badRequest("plan.digest", "plan.digest is not the digest of the path")
	}
	return nil
}

// checkEvent checks an event for form.
func checkEvent(event record.Event) *machine.Failure {
	err := eventValidator.Struct(event)
	var faults validator.ValidationErrors
	if errors.As(err, &faults) {
		_, field, _ := strings.Cut(faults[0].Namespace(), ".")
		return badRequest(field, "%s must be %s", field, ruleText(faults[0]))
	}
	if event.Duration < 0 {
		return badRequest("duration", "duration is negative")
	}
	if event.Arrival < 0 {
		return badRequest("arrival", "arrival is negative")
	}
	return nil
}

// ruleText returns the words for a broken rule.
func ruleText(fault validator.FieldError) string {
	switch fault.Tag() {
	case "required":
		return "given"
	case "gte":
		return "at least " + fault.Param()
	case "lte":
		return "at most " + fault.Param()
	}
	return strings.TrimSpace(fault.Tag() + " " + fault.Param())
}
