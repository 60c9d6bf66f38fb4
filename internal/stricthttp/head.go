package stricthttp

import (
	"bytes"
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
	for h.state != headEnded {
		end := bytes.IndexByte(read, '\n')
		if end < 0 {
			h.line = append(h.line, read...)
			return nil
		}
		line := read[:end]
		if len(h.line) > 0 {
			line = append(h.line, line...)
		}
		h.line = nil
		read = read[end+1:]
		if broken := h.checkLine(string(bytes.TrimSuffix(line, []byte("\r")))); broken != nil {
			return broken
		}
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

// statusDigits is the number of digits of a status.
const statusDigits = 3

// minStatus and maxStatus bound the statuses of final responses.
const (
	minStatus = 200
	maxStatus = 599
)

// checkStatusLine checks a line such as "HTTP/1.1 200 OK". The reason may be missing.
func (h *headChecker) checkStatusLine(line string) *BrokenResponseError {
	broken := newHeadError(KindStatusLine, line)
	version, rest, _ := strings.Cut(line, " ")
	status, reason, _ := strings.Cut(rest, " ")
	if !isVersion(version) || !isNumber(status, statusDigits) || !httpguts.ValidHeaderFieldValue(reason) {
		return broken
	}
	code, err := strconv.Atoi(status)
	if err != nil {
		return broken
	}
	h.interim = code >= http.StatusContinue && code < minStatus && code != http.StatusSwitchingProtocols
	if !h.interim && (code < minStatus || code > maxStatus) {
		return broken
	}
	h.state, h.oldVersion = expectField, version == "HTTP/1.0"
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

// isNumber reports whether a text consists of as many digits.
func isNumber(text string, digits int) bool {
	return len(text) == digits && strings.Trim(text, "0123456789") == ""
}
