package api

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers of the interface.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRepeatable     = "Dalehook-Repeatable"
	headerDeadline       = "Dalehook-Deadline-Ms"
	headerReplayed       = "Dalehook-Replayed"
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
// Expect is answered by the HTTP server itself.
var hopHeaders = []string{
	"Connection",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// removeHopHeaders deletes the headers that belong to one connection, and those
// that its Connection header names.
func removeHopHeaders(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
}
