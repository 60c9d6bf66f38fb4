package stricthttp

import (
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// headState is what a headChecker expects next.
type headState int

const (
	// headEnded means that bytes belong to a body, or to no response.
	headEnded headState = iota
	expectStatusLine
	expectField
)

// headChecker checks the head of a response as it is read, before it is parsed: net/http takes heads that are not valid
// in the protocol. The zero value checks nothing until begin.
type headChecker struct {
	state headState
	// line is what was read of the current line.
	line []byte
	// interim says that another head follows this one, and oldVersion that its version is HTTP/1.0.
	interim, oldVersion bool
}

// begin starts the check of the next response.
func (h *headChecker) begin() { *h = headChecker{state: expectStatusLine} }

// check checks bytes that were read, up to the end of the head. It returns nil, or what is wrong with them.
func (h *headChecker) check(read []byte) *BrokenResponseError {
	if h.state == headEnded {
		return nil
	}
	rest := string(read)
	for h.state != headEnded {
		line, after, complete := strings.Cut(rest, "\n")
		if !complete {
			h.line = append(h.line, rest...)
			return nil
		}
		if len(h.line) > 0 {
			line = string(append(h.line, line...))
			h.line = nil
		}
		if broken := h.checkLine(strings.TrimSuffix(line, "\r")); broken != nil {
			return broken
		}
		rest = after
	}
	return nil
}

// checkLine checks a line without its end.
func (h *headChecker) checkLine(line string) *BrokenResponseError {
	switch {
	case h.state == expectStatusLine:
		return h.checkStatusLine(line)
	case line != "":
		return h.checkField(line)
	case h.interim:
		h.begin()
	default:
		h.state = headEnded
	}
	return nil
}

// checkStatusLine checks a line such as "HTTP/1.1 200 OK". The reason may be missing.
func (h *headChecker) checkStatusLine(line string) *BrokenResponseError {
	version, rest, _ := strings.Cut(line, " ")
	text, reason, _ := strings.Cut(rest, " ")
	status := parseStatus(text)
	if !isVersion(version) || !isInterim(status) && !isFinal(status) || !httpguts.ValidHeaderFieldValue(reason) {
		return newHeadError(KindStatusLine, line)
	}
	h.state = expectField
	h.interim = isInterim(status)
	h.oldVersion = version == "HTTP/1.0"
	return nil
}

// checkField checks a line such as "Content-Length: 6". A line that continues the one before it is none. The transfer
// encoding of HTTP/1.0, which has none, leaves open where the body ends.
func (h *headChecker) checkField(line string) *BrokenResponseError {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return newHeadError(KindField, line)
	}
	if h.oldVersion && strings.EqualFold(name, "Transfer-Encoding") {
		return newHeadError(KindFraming, line)
	}
	return nil
}

// checkTrailer checks the names of the fields after a body.
func checkTrailer(trailer http.Header) *BrokenResponseError {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return newHeadError(KindField, name)
		}
	}
	return nil
}

// maxQuotedBytes bounds the part of a line that an error quotes.
const maxQuotedBytes = 100

// newHeadError returns the error of a head with a line that is not valid.
func newHeadError(kind Kind, line string) *BrokenResponseError {
	return &BrokenResponseError{Kind: kind, Detail: strconv.Quote(line[:min(len(line), maxQuotedBytes)])}
}

// isVersion reports whether a text is a version of HTTP/1, of any minor version.
func isVersion(version string) bool {
	minor, found := strings.CutPrefix(version, "HTTP/1.")
	return found && isNumber(minor, 1)
}

// statusDigits is the number of digits of a status.
const statusDigits = 3

// parseStatus returns the status that a text states, and 0 if it states none.
func parseStatus(text string) int {
	if !isNumber(text, statusDigits) {
		return 0
	}
	status, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return status
}

// isInterim reports whether the head of another response follows one with this status. After 101, which no request asks
// for, the connection would speak another protocol.
func isInterim(status int) bool {
	return status >= 100 && status <= 199 && status != http.StatusSwitchingProtocols
}

// isFinal reports whether a final response may have this status.
func isFinal(status int) bool { return status >= 200 && status <= 599 }

// isNumber reports whether a text consists of as many digits.
func isNumber(text string, digits int) bool {
	return len(text) == digits && strings.Trim(text, "0123456789") == ""
}
