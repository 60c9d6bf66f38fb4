package api

import (
	"net/http"
	"net/url"
	"strconv"
	"time"
	"unicode"

	"dalehook/internal/machine"
)

// Limits of names.
const (
	maxIDLength   = 128
	maxNameLength = 256
)

// checkID checks a name that becomes part of a log's name or of a path: letters,
// digits, '.', '_' and '-', at most 128 of them.
func checkID(field, id string) *machine.Failure {
	switch {
	case id == "":
		return badRequest(field, "%s is missing", field)
	case len(id) > maxIDLength:
		return badRequest(field, "%s is longer than %d characters", field, maxIDLength)
	case id == "." || id == "..":
		return badRequest(field, "%s can't be %q", field, id)
	}
	for _, character := range []byte(id) {
		if !isIDCharacter(character) {
			return badRequest(field, "%s may hold only letters, digits, '.', '_' and '-'", field)
		}
	}
	return nil
}

// isIDCharacter reports whether a character may stand in an id.
func isIDCharacter(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '.' || c == '_' || c == '-'
}

// checkName checks a name that is only compared and shown.
func checkName(field, name string) *machine.Failure {
	if name == "" {
		return badRequest(field, "%s is missing", field)
	}
	return checkOptionalName(field, name)
}

// checkOptionalName checks a name that may be empty.
func checkOptionalName(field, name string) *machine.Failure {
	if len(name) > maxNameLength {
		return badRequest(field, "%s is longer than %d bytes", field, maxNameLength)
	}
	for _, character := range name {
		if unicode.IsControl(character) {
			return badRequest(field, "%s holds a control character", field)
		}
	}
	return nil
}

// checkDeadline turns a caller's deadline in milliseconds into a duration.
func checkDeadline(field string, milliseconds int64, longest time.Duration) (time.Duration, *machine.Failure) {
	if milliseconds <= 0 {
		return 0, badRequest(field, "%s must be above zero: the deadline has passed", field)
	}
	if milliseconds > longest.Milliseconds() {
		return 0, badRequest(field, "%s must be at most %d", field, longest.Milliseconds())
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// single returns the only value of a header or parameter, empty for none.
func single(field string, values []string) (string, *machine.Failure) {
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", badRequest(field, "%s is given %d times", field, len(values))
}

// naturalNumber parses a parameter that is a number and not negative, zero when
// it is absent.
func naturalNumber(field string, query url.Values) (int64, *machine.Failure) {
	text, failure := single(field, query[field])
	if failure != nil || !query.Has(field) {
		return 0, failure
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, badRequest(field, "%s is not a number", field)
	}
	if number < 0 {
		return 0, badRequest(field, "%s is negative", field)
	}
	return number, nil
}

// parseQuery returns the parameters of a request.
func parseQuery(r *http.Request) (url.Values, *machine.Failure) {
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, badRequest("query", "malformed query: %s", err)
	}
	return query, nil
}
