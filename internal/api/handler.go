// Package api is the HTTP interface for callers and operators. It checks each
// call for form, passes it to the machine as an input with a CallID and writes
// the answer that the machine or a back end gives.
package api

import (
	"net/http"

	"dalehook/internal/machine"
)

// Handler serves the fixed HTTP interface of a node.
type Handler struct {
	options Options
}

// New returns a handler without open calls.
func New(options Options) *Handler {
	options.Limits = options.Limits.withDefaults()
	return &Handler{options: options}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {}

// Reply hands a machine's answer to the call that waits for it.
func (h *Handler) Reply(reply machine.Reply) {}
