// Package api is the HTTP interface for callers and operators. It checks each
// call for form, passes it to the machine as an input with a CallID and writes
// the answer that the machine or a back end gives.
package api

import (
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"dalehook/internal/machine"
)

// Handler serves the fixed HTTP interface of a node.
type Handler struct {
	options Options
	log     *zap.Logger
	router  *httprouter.Router
	calls   *callTable
	metrics *metrics
}

// New returns a handler without open calls.
func New(options Options) *Handler {
	options.Limits = options.Limits.withDefaults()
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Registry == nil {
		options.Registry = prometheus.NewRegistry()
	}
	h := &Handler{
		options: options,
		log:     options.Logger.Named("api"),
		calls:   newCallTable(options.Limits.OpenCalls),
	}
	h.metrics = newMetrics(options.Registry, h.calls)
	h.router = h.newRouter()
	return h
}

// newRouter returns the routes. The router corrects no path by itself: a
// service's path is the caller's own.
func (h *Handler) newRouter() *httprouter.Router {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	router.NotFound = http.HandlerFunc(h.notFound)
	router.MethodNotAllowed = http.HandlerFunc(h.methodNotAllowed)

	router.POST("/v1/steps", h.route("post_step", h.postStep))
	router.GET("/v1/steps/:step/samples", h.route("read_samples", h.readSamples))
	router.POST("/v1/plans", h.route("post_plan", h.postPlan))
	router.GET("/v1/plans/:digest", h.route("get_plan", h.getPlan))
	router.POST("/v1/plans/:digest/confirm", h.route("confirm_plan", h.confirmPlan))
	router.POST("/v1/events/:event/withdraw", h.route("withdraw_event", h.withdrawEvent))
	router.GET("/v1/status", h.route("status", h.getStatus))
	router.GET("/healthz", h.route("healthz", h.getHealth))
	router.GET("/readyz", h.route("readyz", h.getReadiness))
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(h.options.Registry, promhttp.HandlerOpts{}))

	service := h.route("service", h.callService)
	for _, method := range serviceMethods {
		router.Handle(method, "/v1/services/:service/*path", service)
	}
	return router
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
}

// Reply hands a machine's answer to the call that waits for it. It never blocks.
func (h *Handler) Reply(reply machine.Reply) {
	open, ok := h.calls.find(reply.Call)
	if !ok {
		return
	}
	if !open.notify(callEvent{body: reply.Body}) {
		h.log.Error("api: Call answered twice.", zap.Uint64("call", uint64(reply.Call)))
	}
}

// Close fails the calls that are still open and refuses further ones. It is
// called when the machine no longer runs.
func (h *Handler) Close() {
	h.calls.close(machine.Failure{
		Status:  http.StatusServiceUnavailable,
		Code:    machine.CodeOutcomeUnknown,
		Message: "the node stopped before the answer was known",
	})
}

// handleFunc serves one route. A failure that it returns is yet to be written.
type handleFunc func(http.ResponseWriter, *http.Request, httprouter.Params) *machine.Failure

// route wraps a route with its metrics and the writing of failures.
func (h *Handler) route(name string, handle handleFunc) httprouter.Handle {
	counted := h.metrics.route(name)
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		observed := counted.begin(w, h.options.Leaving)
		defer observed.end()
		if r.ContentLength != 0 {
			boundBody(observed, h.options.Limits.BodyTimeout)
		}
		if failure := handle(observed, r, params); failure != nil {
			h.writeFailure(observed, *failure)
		}
	}
}

// ask passes a call to the machine, waits for the reply and writes it.
func (h *Handler) ask(w http.ResponseWriter, r *http.Request, step string, input func(machine.CallID) machine.Input) *machine.Failure {
	opened, failure := h.calls.open(w, serviceRequest{})
	if failure != nil {
		failure.Step = step
		return failure
	}
	defer h.calls.remove(opened.id)
	h.options.Submit(input(opened.id))
	select {
	case event := <-opened.events:
		return h.writeReply(w, step, event.body)
	case <-r.Context().Done():
		h.options.Submit(machine.CallGone{Call: opened.id})
		abort(w)
		return nil
	}
}

// abort ends a call by closing the caller's connection, so that what was
// written so far can't be taken for a whole answer. It does not return.
func abort(w http.ResponseWriter) {
	if observed, ok := w.(*observedWriter); ok {
		observed.aborted = true
	}
	panic(http.ErrAbortHandler)
}

// notFound answers a path that the interface does not have.
func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	failure := badRequest("path", "no such path")
	failure.Status = http.StatusNotFound
	failure.Code = codeNotFound
	h.writeFailure(w, *failure)
}

// methodNotAllowed answers a method that a path does not have.
func (h *Handler) methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	failure := badRequest("method", "method %s is not allowed here", r.Method)
	failure.Status = http.StatusMethodNotAllowed
	failure.Code = codeMethodNotAllowed
	h.writeFailure(w, *failure)
}
