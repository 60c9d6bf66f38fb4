package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"dalehook/internal/backend"
	"dalehook/internal/machine"
)

// serviceMethods are the methods that a caller's request to a service may have.
var serviceMethods = []string{
	http.MethodGet,
	http.MethodHead,
	http.MethodPost,
	http.MethodPut,
	http.MethodPatch,
	http.MethodDelete,
	http.MethodOptions,
}

// servicePathSegments is the number of path segments before a service's own
// path: /v1/services/{service}.
const servicePathSegments = 3

// serviceRequest is a caller's request to a service as it is kept until its
// answer: whole, so that it can be sent again. The back end's client leaves out
// the headers that belong to the caller's connection.
type serviceRequest struct {
	caller       context.Context
	method       string
	path         string
	headers      http.Header
	body         []byte
	unrepeatable bool
}

// callService serves ANY /v1/services/:service/*path.
func (h *Handler) callService(w http.ResponseWriter, r *http.Request, params httprouter.Params) *machine.Failure {
	input, failure := h.parseService(r, params.ByName("service"))
	if failure != nil {
		return failure
	}
	path, failure := servicePath(r, params.ByName("path"))
	if failure != nil {
		return failure
	}
	body, failure := readBody(w, r, h.options.Limits.ServiceBody)
	if failure != nil {
		return failure
	}
	request := serviceRequest{
		caller:       r.Context(),
		method:       r.Method,
		path:         path,
		headers:      r.Header,
		body:         body,
		unrepeatable: input.Unrepeatable,
	}
	if input.Unrepeatable {
		input.Digest = request.digest()
	}
	opened, failure := h.calls.open(w, request)
	if failure != nil {
		return failure
	}
	defer h.calls.remove(opened.id)
	input.Call = opened.id
	h.options.Submit(input)
	return h.awaitService(opened, r)
}

// awaitService waits until a call has been answered by a reply or by a relayed
// answer. An answer that broke off after a part of it was passed on ends the
// caller's connection, since a normal end would make it look whole.
func (h *Handler) awaitService(opened *call, r *http.Request) *machine.Failure {
	gone := r.Context().Done()
	for {
		select {
		case event := <-opened.events:
			if event.relayed {
				finishRelay(opened, event.whole)
				return nil
			}
			if opened.claim(handlerOwner) {
				return h.writeReply(opened.writer, "", event.body)
			}
		case <-gone:
			gone = nil
			h.options.Submit(machine.CallGone{Call: opened.id})
			if opened.claim(handlerOwner) {
				abort(opened.writer)
			}
		}
	}
}

// finishRelay ends a call whose answer was passed on.
func finishRelay(opened *call, whole bool) {
	if !whole {
		abort(opened.writer)
	}
}

// parseService checks the headers of a request to a service.
func (h *Handler) parseService(r *http.Request, service string) (machine.ServiceCall, *machine.Failure) {
	input := machine.ServiceCall{Service: service, Method: r.Method}
	if failure := checkName("service", service); failure != nil {
		return input, failure
	}
	var failure *machine.Failure
	if input.Key, failure = single(headerIdempotencyKey, r.Header[headerIdempotencyKey]); failure != nil {
		return input, failure
	}
	if failure = checkOptionalName(headerIdempotencyKey, input.Key); failure != nil {
		return input, failure
	}
	if input.Unrepeatable, failure = parseRepeatable(r.Header); failure != nil {
		return input, failure
	}
	if input.Unrepeatable && input.Key == "" {
		return input, badRequest(headerIdempotencyKey, "an unrepeatable request needs an %s", headerIdempotencyKey)
	}
	left, failure := h.parseDeadline(r.Header)
	input.Deadline = time.Now().Add(left)
	return input, failure
}

// parseRepeatable reads Dalehook-Repeatable: "no" marks an unrepeatable request.
// Any other word but "yes" is refused rather than guessed at.
func parseRepeatable(header http.Header) (unrepeatable bool, failure *machine.Failure) {
	word, failure := single(headerRepeatable, header[headerRepeatable])
	if failure != nil {
		return false, failure
	}
	switch {
	case word == "" || strings.EqualFold(word, "yes"):
		return false, nil
	case strings.EqualFold(word, "no"):
		return true, nil
	}
	return false, badRequest(headerRepeatable, "%s must be yes or no", headerRepeatable)
}

// parseDeadline reads Dalehook-Deadline-Ms: the time that the caller allows.
func (h *Handler) parseDeadline(header http.Header) (time.Duration, *machine.Failure) {
	values, given := header[headerDeadline]
	if !given {
		return h.options.Limits.Deadline, nil
	}
	text, failure := single(headerDeadline, values)
	if failure != nil {
		return 0, failure
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, badRequest(headerDeadline, "%s is not a number", headerDeadline)
	}
	return checkDeadline(headerDeadline, milliseconds, h.options.Limits.MaxDeadline)
}

// servicePath returns the service's own path and query as the caller wrote
// them. The router splits the decoded path; an escaped slash in the service's
// name would split the written one elsewhere, and is refused.
func servicePath(r *http.Request, decoded string) (string, *machine.Failure) {
	path := r.URL.EscapedPath()
	for range servicePathSegments {
		next := strings.IndexByte(path[1:], '/')
		path = path[1+next:]
	}
	if plain, err := url.PathUnescape(path); err != nil || plain != decoded {
		return "", badRequest("path", "the name of the service holds an escaped slash")
	}
	if r.URL.RawQuery == "" {
		return path, nil
	}
	return path + "?" + r.URL.RawQuery, nil
}

// digest returns a hash over method, path and body.
func (s serviceRequest) digest() string {
	digest := sha256.New()
	writeText(digest, s.method)
	writeText(digest, s.path)
	digest.Write(s.body)
	return hex.EncodeToString(digest.Sum(nil))
}

// Attempt is one sending of a caller's request to a back end.
type Attempt struct {
	// Request is what the back end's client is to send. Its headers and body are
	// shared with other attempts and must not be changed.
	Request backend.ServiceRequest
	call    *call
	relay   relayWriter
}

// NewAttempt returns the attempt that an output asks for; false when the call
// is not open any more, so that nothing can be sent.
func (h *Handler) NewAttempt(send machine.SendService) (*Attempt, bool) {
	open, ok := h.calls.find(send.Call)
	if !ok || open.service.caller == nil {
		return nil, false
	}
	attempt := &Attempt{
		call:  open,
		relay: relayWriter{call: open},
		Request: backend.ServiceRequest{
			Call:     send.Call,
			Attempt:  send.Attempt,
			Backend:  send.Backend,
			Address:  send.Address,
			Method:   open.service.method,
			Path:     open.service.path,
			Headers:  open.service.headers,
			Body:     open.service.body,
			Deadline: send.Deadline,
		},
	}
	if send.Relay {
		attempt.Request.Relay = &attempt.relay
	}
	return attempt, true
}

// Context returns the context of the sending. It ends with the caller, but not
// for an unrepeatable request whose answer is recorded: that one goes on under
// the node's own context, as it can't be sent again.
func (a *Attempt) Context(node context.Context) context.Context {
	if a.call.service.unrepeatable && a.Request.Relay == nil {
		return node
	}
	return a.call.service.caller
}

// End says how the sending ended. It returns the result as the machine is to
// see it, with Relayed set when the caller's response was begun.
func (a *Attempt) End(result machine.ServiceResult) machine.ServiceResult {
	result.Relayed = a.relay.owned
	if result.Relayed {
		a.call.notify(callEvent{relayed: true, whole: result.Outcome == machine.SendAnswered})
	}
	return result
}
