package api

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// errNotOwner means that the call was answered by someone else.
var errNotOwner = eris.New("api: the call has been answered")

// relayWriter passes the answer of one attempt on to the caller. The first byte
// claims the caller's response; without the claim nothing is passed on, so a
// late attempt can't write into an answer that the machine has given.
type relayWriter struct {
	call   *call
	header http.Header
	// decided is set once the status has come; owned when the claim succeeded.
	decided bool
	owned   bool
}

// Header implements http.ResponseWriter. The headers are the writer's own until
// it has claimed the response.
func (w *relayWriter) Header() http.Header {
	if w.header == nil {
		w.header = make(http.Header)
	}
	return w.header
}

// WriteHeader implements http.ResponseWriter. Informational statuses are not
// passed on.
func (w *relayWriter) WriteHeader(status int) {
	if w.decided || status < http.StatusOK {
		return
	}
	w.decided = true
	w.owned = w.call.claim(w)
	if !w.owned {
		return
	}
	target := w.call.writer.Header()
	for name, values := range w.header {
		target[name] = values
	}
	w.call.writer.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *relayWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if !w.owned {
		return 0, errNotOwner
	}
	return w.call.writer.Write(p)
}

// Flush implements http.Flusher.
func (w *relayWriter) Flush() {
	if w.owned {
		flush(w.call.writer)
	}
}

// flush sends what the server has buffered of a response.
func flush(w http.ResponseWriter) {
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}
