package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// writeReply encodes a machine's answer. A failure is returned to be written.
func (h *Handler) writeReply(w http.ResponseWriter, step string, body any) *machine.Failure {
	switch reply := body.(type) {
	case machine.Failure:
		return withStep(reply, step)
	case *machine.Failure:
		return withStep(*reply, step)
	case machine.StepAccepted:
		h.writeJSON(w, http.StatusAccepted, stepAccepted(reply))
	case machine.SamplesRead:
		h.writeJSON(w, http.StatusOK, newSamplesRead(reply))
	case machine.PlanMade:
		h.writeJSON(w, http.StatusOK, PlanAnswer{
			Digest:    reply.Plan.Digest,
			Confirmed: reply.Confirmed,
			Revision:  reply.Revision,
			Plan:      reply.Plan,
		})
	case machine.PlanInForce:
		h.writeJSON(w, http.StatusOK, ConfirmAnswer(reply))
	case machine.EventOut:
		h.writeJSON(w, http.StatusOK, reply)
	case machine.StatusReport:
		h.writeJSON(w, http.StatusOK, reply)
	case machine.ServiceResponse:
		writeServiceResponse(w, reply)
	default:
		h.log.Error("api: Unknown reply.", zap.String("type", fmt.Sprintf("%T", body)))
		return &machine.Failure{Code: machine.CodeInternal, Message: "the node gave an unknown reply", Step: step}
	}
	return nil
}

// withStep returns a failure that names the step of its call.
func withStep(failure machine.Failure, step string) *machine.Failure {
	if failure.Step == "" {
		failure.Step = step
	}
	return &failure
}

// newSamplesRead returns the body of a read; lists are never null.
func newSamplesRead(reply machine.SamplesRead) samplesRead {
	body := samplesRead(reply)
	if body.Samples == nil {
		body.Samples = []machine.SampleView{}
	}
	for i := range body.Samples {
		if body.Samples[i].Versions == nil {
			body.Samples[i].Versions = []record.Segment{}
		}
	}
	return body
}

// writeServiceResponse writes a back end's answer that was kept whole.
func writeServiceResponse(w http.ResponseWriter, reply machine.ServiceResponse) {
	header := w.Header()
	for _, line := range reply.Response.Headers {
		header.Add(line.Name, line.Value)
	}
	if reply.Replayed {
		header.Set(headerReplayed, "true")
	}
	w.WriteHeader(reply.Response.Status)
	w.Write(reply.Response.Body)
}

// writeJSON writes a value as the whole answer.
func (h *Handler) writeJSON(w http.ResponseWriter, status int, value any) {
	buffer := getBuffer()
	defer putBuffer(buffer)
	encoder := json.NewEncoder(buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		h.log.Error("api: Answer can't be encoded.", zap.Error(err))
		http.Error(w, `{"error":{"code":"internal","message":"the answer can't be encoded","step":"","peer":"","not_run":false,"retry_after_ms":0}}`,
			http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(buffer.Len()))
	w.WriteHeader(status)
	w.Write(buffer.Bytes())
}
