package api

import (
	"io"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"dalehook/internal/machine"
)

// getStatus serves GET /v1/status.
func (h *Handler) getStatus(w http.ResponseWriter, r *http.Request, _ httprouter.Params) *machine.Failure {
	return h.ask(w, r, "", func(id machine.CallID) machine.Input {
		return machine.GetStatus{Call: id}
	})
}

// getHealth serves GET /healthz: the process answers.
func (h *Handler) getHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) *machine.Failure {
	return writeOK(w)
}

// getReadiness serves GET /readyz: the node takes callers' requests.
func (h *Handler) getReadiness(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) *machine.Failure {
	if h.options.Leaving() {
		return unavailable(machine.CodeLeaving, "the node is leaving")
	}
	if !h.options.Ready() {
		return unavailable(machine.CodeStarting, "the node is not ready yet")
	}
	return writeOK(w)
}

// writeOK answers a check of health.
func writeOK(w http.ResponseWriter) *machine.Failure {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	io.WriteString(w, "ok\n")
	return nil
}
