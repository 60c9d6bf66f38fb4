package standin

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"dalehook/internal/backend"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 32 << 20

// abort closes the connection without a response, or in the middle of one.
func abort() { panic(http.ErrAbortHandler) }

// writeJSON writes a JSON response with a Content-Length header.
func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		abort()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// errorResponse is an HTTP error response. A zero retryAfter omits the
// Retry-After header.
type errorResponse struct {
	status     int
	code       string
	message    string
	retryAfter time.Duration
}

func (r errorResponse) write(w http.ResponseWriter) {
	if r.retryAfter > 0 {
		seconds := math.Ceil(r.retryAfter.Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	writeJSON(w, r.status, backend.ErrorBody{Error: backend.ErrorDetail{
		Code:         r.code,
		Message:      r.message,
		RetryAfterMs: r.retryAfter.Milliseconds(),
	}})
}

func badRequest(message string) errorResponse {
	return errorResponse{status: http.StatusBadRequest, code: "bad_request", message: message}
}

// readJSON decodes a request's body into target. On failure it responds with
// status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	body, ok := readBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, target); err != nil {
		badRequest("decode the body: " + err.Error()).write(w)
		return false
	}
	return true
}

// readBody reads a request's body. On failure it responds with status 400 and
// returns false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		badRequest("read the body: " + err.Error()).write(w)
		return nil, false
	}
	return body, true
}

// queryUint parses a query parameter as an unsigned integer; a missing or
// malformed parameter yields zero.
func queryUint(r *http.Request, name string) uint64 {
	value, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return value
}
