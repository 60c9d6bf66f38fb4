package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"dalehook/internal/machine"
)

const (
	// exactBody is the largest announced body, in bytes, for which memory is
	// taken before the bytes have come.
	exactBody = 64 << 10
	// keptBuffer is the largest buffer, in bytes, that goes back to the pool.
	keptBuffer = 1 << 20
)

// buffers holds buffers for bodies that are decoded or encoded in one go.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// getBuffer returns an empty buffer.
func getBuffer() *bytes.Buffer { return buffers.Get().(*bytes.Buffer) }

// putBuffer gives a buffer back; nobody may hold a slice of it.
func putBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() > keptBuffer {
		return
	}
	buffer.Reset()
	buffers.Put(buffer)
}

// readBody returns a request's body in memory of its own, which may be kept
// for as long as an attempt runs.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *machine.Failure) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > 0 && r.ContentLength <= exactBody {
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, bodyFailure(err, limit)
		}
		unboundBody(w)
		return body, nil
	}
	buffer := getBuffer()
	defer putBuffer(buffer)
	if failure := readInto(buffer, w, r, limit); failure != nil {
		return nil, failure
	}
	return bytes.Clone(buffer.Bytes()), nil
}

// readInto reads a request's body into a buffer.
func readInto(buffer *bytes.Buffer, w http.ResponseWriter, r *http.Request, limit int64) *machine.Failure {
	if r.ContentLength > limit {
		return tooLarge(limit)
	}
	if _, err := buffer.ReadFrom(http.MaxBytesReader(w, r.Body, limit)); err != nil {
		return bodyFailure(err, limit)
	}
	unboundBody(w)
	return nil
}

// boundBody bounds the time in which the rest of a request comes. It holds also
// for what the server itself reads of a body that was refused unread.
func boundBody(w http.ResponseWriter, timeout time.Duration) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
}

// unboundBody takes the bound away once the body has come; it would otherwise
// end the wait for the answer.
func unboundBody(w http.ResponseWriter) {
	http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// tooLarge returns the failure of a body over the limit.
func tooLarge(limit int64) *machine.Failure {
	failure := badRequest("body", "body is larger than %d bytes", limit)
	failure.Status = http.StatusRequestEntityTooLarge
	failure.Code = machine.CodeTooLarge
	return failure
}

// bodyFailure turns an error of reading a body into a failure.
func bodyFailure(err error, limit int64) *machine.Failure {
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return tooLarge(limit)
	}
	var networkError net.Error
	if errors.As(err, &networkError) && networkError.Timeout() {
		failure := badRequest("body", "body did not come in time")
		failure.Status = http.StatusRequestTimeout
		return failure
	}
	return badRequest("body", "body could not be read: %s", err)
}

// decodeBody reads a request's body as one JSON value without unknown fields.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int64, value any) *machine.Failure {
	buffer := getBuffer()
	defer putBuffer(buffer)
	if failure := readInto(buffer, w, r, limit); failure != nil {
		return failure
	}
	return decodeJSON(buffer.Bytes(), value)
}

// decodeJSON decodes one JSON value strictly.
func decodeJSON(data []byte, value any) *machine.Failure {
	if !utf8.Valid(data) {
		return badRequest("body", "body is not valid UTF-8")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return jsonFailure(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return badRequest("body", "data follows the JSON value")
	}
	return nil
}

// unknownFieldPrefix begins the error by which encoding/json names a field; the
// package has no type for it.
const unknownFieldPrefix = "json: unknown field "

// jsonFailure turns an error of encoding/json into a failure that names the
// field where the error does.
func jsonFailure(err error) *machine.Failure {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return badRequest(wrongType.Field, "a JSON %s does not fit here", wrongType.Value)
	}
	if name, ok := strings.CutPrefix(err.Error(), unknownFieldPrefix); ok {
		name = strings.Trim(name, `"`)
		return badRequest(name, "unknown field %q", name)
	}
	if errors.Is(err, io.EOF) {
		return badRequest("body", "body is empty")
	}
	return badRequest("body", "malformed JSON: %s", err)
}
