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

// bodyLimit is the largest request body in bytes.
const bodyLimit = 32 << 20

// abort closes the connection without an answer, or in the middle of one.
func abort() { panic(http.ErrAbortHandler) }

// writeJSON answers with a JSON body of a stated length.
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

// refusal is an error answer. RetryAfter is zero for none.
type refusal struct {
	status     int
	code       string
	message    string
	retryAfter time.Duration
}

func (r refusal) write(w http.ResponseWriter) {
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

func badRequest(message string) refusal {
	return refusal{status: http.StatusBadRequest, code: "bad_request", message: message}
}

// readJSON decodes a request's body into target, or answers 400 and returns
// false.
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

// readBody reads a request's body, or answers and returns false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		badRequest("read the body: " + err.Error()).write(w)
		return nil, false
	}
	return body, true
}

// queryUint reads a number from the query, zero when it is not there or wrong.
func queryUint(r *http.Request, name string) uint64 {
	value, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return value
}
