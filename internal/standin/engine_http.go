package standin

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"dalehook/internal/backend"
	"dalehook/internal/cluster"
)

// busyRetryAfter is the Retry-After value of an engine that rejects work.
const busyRetryAfter = 500 * time.Millisecond

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := httprouter.New()
	handle := func(method, path string, handler http.HandlerFunc) {
		router.HandlerFunc(method, path, e.faults.guard(handler))
	}
	handle(http.MethodPost, backend.PathCompletions, e.postCompletion)
	handle(http.MethodDelete, backend.PathCompletions, e.deleteCompletion)
	handle(http.MethodPost, backend.PathOrders, e.postOrder)
	handle(http.MethodGet, backend.PathLoad, e.getLoad)
	handle(http.MethodPost, backend.PathExportKV, e.postExport)
	handle(http.MethodGet, backend.PathCacheEvents, e.getCacheEvents)
	handle(http.MethodPost, backend.PathLeave, e.postLeave)
	handle(http.MethodGet, "/counts", e.getCounts)
	router.Handler(http.MethodPost, "/faults", e.faults)
	return router
}

func (e *Engine) getCounts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.counts)
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.recordReportLocked()
	// Leaving is reported without the report lag.
	report.Leaving = e.leaving
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := e.cache.events(queryUint(r, "from"), time.Now().Add(-e.options.EventLag))
	writeJSON(w, http.StatusOK, events)
}

func (e *Engine) postLeave(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.background.run(func() { e.registrar.register(e.background.ctx, cluster.StateLeaving) })
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var order backend.Order
	if !readJSON(w, r, &order) {
		return
	}
	if order.Action != backend.ActionLoad || order.Version <= 0 || order.Model == "" {
		badRequest("the order names no action load, model and version").write(w)
		return
	}
	if e.acceptOrder(order) {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusConflict, backend.OrderRefused{LastFence: e.lastFence})
}

func (e *Engine) postExport(w http.ResponseWriter, r *http.Request) {
	var export backend.ExportRequest
	if !readJSON(w, r, &export) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.generations[export.RequestID]
	if !ok {
		unknownRequest().write(w)
		return
	}
	writeJSON(w, http.StatusOK, backend.ExportedKV{Handle: kvHandle(g.request.Prompt), Tokens: g.kvTokens()})
}

// kvHandle returns the handle of a prompt's KV cache. Any engine can import it.
func kvHandle(prompt string) string {
	return fmt.Sprintf("kv-%016x", xxhash.Sum64String(prompt))
}

func unknownRequest() *errorResponse {
	return &errorResponse{status: http.StatusNotFound, code: "unknown_request", message: "no such request"}
}

func (e *Engine) deleteCompletion(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.URL.Query().Get("request_id")
	g, ok := e.generations[id]
	if !ok {
		unknownRequest().write(w)
		return
	}
	g.setState(generationAborted)
	delete(e.generations, id)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) postCompletion(w http.ResponseWriter, r *http.Request) {
	var request backend.CompletionRequest
	if !readJSON(w, r, &request) {
		return
	}
	if request.RequestID == "" || !request.Stream || request.MaxTokens <= 0 {
		badRequest("request_id, stream and max_tokens are needed").write(w)
		return
	}
	g, rejection := e.attach(request)
	if rejection != nil {
		rejection.write(w)
		return
	}
	defer e.detach(g)
	e.stream(w, r, g, resumeOffset(request))
}

func resumeOffset(request backend.CompletionRequest) int {
	if request.Resume == nil {
		return 0
	}
	return request.Resume.TokenOffset
}

// attach attaches a reader to an existing generation, or enqueues a new one.
func (e *Engine) attach(request backend.CompletionRequest) (*generation, *errorResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.signal()
	existing, ok := e.generations[request.RequestID]
	if ok && !existing.matches(request) {
		return nil, &errorResponse{status: http.StatusConflict, code: "request_conflict", message: "the request id stands for another prompt"}
	}
	if ok && existing.canResumeFrom(resumeOffset(request)) {
		e.reattachLocked(existing)
		return existing, nil
	}
	if rejection := e.checkAdmissionLocked(request); rejection != nil {
		return nil, rejection
	}
	if ok {
		existing.setState(generationAborted)
	}
	return e.enqueueLocked(request), nil
}

// reattachLocked attaches a reader and requeues a paused generation.
func (e *Engine) reattachLocked(g *generation) {
	g.readers++
	if g.state == generationPaused {
		g.setState(generationWaiting)
		heap.Push(&e.queue, g)
	}
}

func (e *Engine) enqueueLocked(request backend.CompletionRequest) *generation {
	e.lastSequence++
	g := newGeneration(request, e.lastSequence)
	g.readers = 1
	if e.faults.consume(FaultCutStream) {
		g.breakAt = (g.startOffset + g.length) / 2
	}
	e.generations[request.RequestID] = g
	heap.Push(&e.queue, g)
	return g
}

// checkAdmissionLocked returns the error response for a new request that is
// rejected, or nil if the request is admitted.
func (e *Engine) checkAdmissionLocked(request backend.CompletionRequest) *errorResponse {
	unavailable := func(code, message string) *errorResponse {
		return &errorResponse{
			status:     http.StatusServiceUnavailable,
			code:       code,
			message:    message,
			retryAfter: busyRetryAfter,
		}
	}
	switch {
	case e.leaving:
		return unavailable("leaving", "the engine is leaving")
	case e.faults.active(FaultRefuse):
		return unavailable("refused", "the engine takes no new work")
	case e.version == 0:
		return unavailable("no_weights", "no version is loaded")
	case request.Model != "" && request.Model != e.model:
		return &errorResponse{status: http.StatusConflict, code: "wrong_model", message: "another model is loaded"}
	case len(e.queue) >= e.options.QueueLimit:
		return unavailable("busy", "the queue is full")
	}
	return checkResume(request)
}

// checkResume checks that the text of a resume matches the completion up to the
// resume offset.
func checkResume(request backend.CompletionRequest) *errorResponse {
	if request.Resume == nil || request.Resume.TokenOffset == 0 {
		return nil
	}
	if request.Resume.Text == "" {
		return unknownRequest()
	}
	if request.Resume.Text != CompletionText(request.Prompt, 0, request.Resume.TokenOffset) {
		return &errorResponse{status: http.StatusConflict, code: "resume_mismatch", message: "the text is not that many tokens of the answer"}
	}
	return nil
}

// detach removes a reader from a generation.
func (e *Engine) detach(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	g.idleSince = time.Now()
}

// streamStep is the next action of a stream: send a chunk, abort, or wait for a
// change.
type streamStep struct {
	chunk   backend.CompletionChunk
	ready   bool
	aborted bool
	changed <-chan struct{}
}

// stream sends a generation's tokens from an offset to its end.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for {
		if !e.faults.awaitEnd(r.Context(), FaultFreeze) {
			abort()
		}
		step := e.nextStep(g, offset)
		switch {
		case step.aborted:
			abort()
		case step.ready:
			writeEvent(w, step.chunk)
			offset += step.chunk.Tokens
			if step.chunk.Choices[0].FinishReason != nil {
				fmt.Fprintf(w, "data: %s\n\n", backend.StreamEnd)
				return
			}
			_ = controller.Flush()
		default:
			e.waitForTokens(r, step.changed)
		}
	}
}

// nextStep returns the next step of a stream at an offset.
func (e *Engine) nextStep(g *generation, offset int) streamStep {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.state == generationAborted || g.breakAt >= 0 && offset >= g.breakAt {
		g.breakAt = -1
		return streamStep{aborted: true}
	}
	chunk, ready := g.chunk(offset, e.options.ChunkTokens)
	if !ready && g.state == generationDone {
		// The reader has all tokens; send an empty final chunk.
		chunk, ready = g.encode(g.length, g.length, e.version), true
	}
	return streamStep{chunk: chunk, ready: ready, changed: g.changed}
}

func (e *Engine) waitForTokens(r *http.Request, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-r.Context().Done():
		abort()
	case <-e.background.ctx.Done():
		abort()
	}
}

func writeEvent(w http.ResponseWriter, chunk backend.CompletionChunk) {
	encoded, err := json.Marshal(chunk)
	if err != nil {
		abort()
	}
	fmt.Fprintf(w, "data: %s\n\n", encoded)
}
